"""Socket timeouts that the kernel enforces.

For a socket with a timeout, Python polls before each send or receive. Each poll
releases the interpreter lock, and under load a thread waits long to acquire it again.
With a kernel timeout, each send or receive releases the lock only once.
"""

import math
import socket
import struct

__all__ = ["set_kernel_timeout"]

MIN_TIMEOUT_S = 0.001


def set_kernel_timeout(sock: socket.socket, timeout_s: float) -> None:
    """Make a socket blocking, with a time limit for each send or receive.

    A send or receive that takes longer raises :class:`BlockingIOError`.

    :param timeout_s: time limit of each send or receive, in seconds.
    """
    fraction, seconds = math.modf(max(timeout_s, MIN_TIMEOUT_S))
    interval = struct.pack("ll", int(seconds), int(fraction * 1_000_000))
    sock.settimeout(None)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, interval)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, interval)
