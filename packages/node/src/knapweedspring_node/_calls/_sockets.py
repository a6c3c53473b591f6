"""Sockets whose timeouts are kept by the kernel.

Python waits for a socket with a timeout by polling before each call. Every poll
hands the interpreter lock to another thread, and under load it takes a thread long
to get the lock back. With the timeout in the kernel a call needs one turn only.
"""

import math
import socket
import struct

__all__ = ["set_kernel_timeout"]

MIN_TIMEOUT_S = 0.001


def set_kernel_timeout(sock: socket.socket, timeout_s: float) -> None:
    """Make the socket block, at most so long in each call.

    A call that takes longer raises :class:`BlockingIOError`.

    :param timeout_s: seconds, for receiving and for sending each.
    """
    fraction, seconds = math.modf(max(timeout_s, MIN_TIMEOUT_S))
    interval = struct.pack("ll", int(seconds), int(fraction * 1_000_000))
    sock.settimeout(None)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, interval)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, interval)
