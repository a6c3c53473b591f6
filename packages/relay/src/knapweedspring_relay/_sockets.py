"""Kernel timeouts of the connections that the relay opens or accepts."""

import asyncio
import socket

__all__ = ["BACKLOG", "set_timeouts"]

#: Maximum number of connections that the kernel queues until a listener accepts them.
BACKLOG = 1_024
#: Unanswered TCP keep-alive probes after which the kernel ends a connection.
MAX_KEEPALIVE_PROBES = 2


def set_timeouts(transport: asyncio.Transport, unacknowledged_s: float) -> None:
    """Make the kernel end the connection when the peer stops responding.

    Also disables Nagle's algorithm, so that short messages are sent at once.

    :param transport: the connection.
    :param unacknowledged_s: time for which sent bytes may stay unacknowledged, in
        seconds.
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    seconds = max(1, round(unacknowledged_s))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, round(unacknowledged_s * 1_000)
    )
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, seconds)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, seconds)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, MAX_KEEPALIVE_PROBES)
