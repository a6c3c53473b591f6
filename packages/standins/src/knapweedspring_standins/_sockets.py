"""Detects the disconnect of a peer and the first of several awaited answers.

Each of the answers is awaited on a connection of its own.
"""

import select
import socket
import time

__all__ = ["is_disconnected", "wait_first_readable", "wait_while_connected"]

_EVENTS = select.POLLIN | select.POLLRDHUP
_DISCONNECT_EVENTS = select.POLLHUP | select.POLLERR | select.POLLRDHUP


def is_disconnected(sock: socket.socket) -> bool:
    """Whether the peer closed or reset the connection."""
    if sock.fileno() < 0:
        return True
    poller = select.poll()
    poller.register(sock, _EVENTS)
    events = poller.poll(0)
    return bool(events) and _shows_disconnect(sock, events[0][1])


def wait_while_connected(sock: socket.socket, timeout_s: float) -> bool:
    """Sleep, but end early when the peer disconnects.

    :param sock: connection of the peer, whose request was read completely.
    :param timeout_s: longest sleep, in seconds.
    :return: whether the peer is still connected.
    """
    deadline_at = time.monotonic() + timeout_s
    poller = select.poll()
    poller.register(sock, _EVENTS)
    while (remaining_s := deadline_at - time.monotonic()) > 0:
        events = poller.poll(remaining_s * 1_000)
        if not events:
            continue
        if _shows_disconnect(sock, events[0][1]):
            return False
        # The next request has arrived, so only a disconnect matters from now on.
        poller.modify(sock, select.POLLRDHUP)
    return True


def wait_first_readable(
    sockets: list[socket.socket], peer: socket.socket, timeout_s: float
) -> socket.socket | None:
    """Wait until one of ``sockets`` is readable or ``peer`` disconnects.

    :param sockets: connections on which an answer is expected.
    :param peer: connection whose disconnect ends the wait.
    :param timeout_s: longest wait, in seconds.
    :return: the readable socket, ``peer`` after its disconnect, or None on timeout.
    """
    deadline_at = time.monotonic() + timeout_s
    poller = select.poll()
    by_fd = {sock.fileno(): sock for sock in sockets}
    for sock in sockets:
        poller.register(sock, select.POLLIN)
    poller.register(peer, _EVENTS)
    while (remaining_s := deadline_at - time.monotonic()) > 0:
        for fd, event in poller.poll(remaining_s * 1_000):
            if fd in by_fd:
                return by_fd[fd]
            if _shows_disconnect(peer, event):
                return peer
            poller.modify(peer, select.POLLRDHUP)
    return None


def _shows_disconnect(sock: socket.socket, event: int) -> bool:
    if event & _DISCONNECT_EVENTS:
        return True
    try:
        return sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True
