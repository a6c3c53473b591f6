"""Kernel time-outs of the connections that the relay opens or accepts."""

import asyncio
import socket

__all__ = ["set_time_outs"]

#: Keep-alive probes without an answer after which the kernel ends a connection.
MAX_PROBES = 2


def set_time_outs(transport: asyncio.Transport, unacknowledged_s: float) -> None:
    """Have the kernel end the connection when the peer falls silent.

    :param transport: the connection.
    :param unacknowledged_s: time that sent bytes may stay unacknowledged, in seconds.
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
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, MAX_PROBES)
