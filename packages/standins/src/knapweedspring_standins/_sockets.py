"""Waiting on sockets: whether a peer left, and which answer came first."""

import select
import socket
import time

__all__ = ["is_gone", "wait_any", "wait_while_present"]

_EVENTS = select.POLLIN | select.POLLRDHUP
_BROKEN = select.POLLHUP | select.POLLERR | select.POLLRDHUP


def is_gone(sock: socket.socket) -> bool:
    """Whether the peer closed or broke the connection."""
    if sock.fileno() < 0:
        return True
    poller = select.poll()
    poller.register(sock, _EVENTS)
    events = poller.poll(0)
    return bool(events) and _means_gone(sock, events[0][1])


def wait_while_present(sock: socket.socket, seconds: float) -> bool:
    """Sleep, but no longer than the peer stays connected.

    :param sock: connection of the peer, whose request was read whole.
    :param seconds: time to sleep.
    :return: whether the peer is still there.
    """
    until = time.monotonic() + seconds
    poller = select.poll()
    poller.register(sock, _EVENTS)
    while (left := until - time.monotonic()) > 0:
        events = poller.poll(left * 1_000)
        if not events:
            continue
        if _means_gone(sock, events[0][1]):
            return False
        # A next request is already there; only a break is of interest now.
        poller.modify(sock, select.POLLRDHUP)
    return True


def wait_any(
    sockets: list[socket.socket], peer: socket.socket, seconds: float
) -> socket.socket | None:
    """Wait until one of ``sockets`` is readable or ``peer`` left.

    :param sockets: connections that an answer is expected on.
    :param peer: connection whose end ends the wait.
    :param seconds: longest wait.
    :return: the readable socket, ``peer`` when it left, or None.
    """
    until = time.monotonic() + seconds
    poller = select.poll()
    by_fd = {sock.fileno(): sock for sock in sockets}
    for sock in sockets:
        poller.register(sock, select.POLLIN)
    poller.register(peer, _EVENTS)
    while (left := until - time.monotonic()) > 0:
        for fd, event in poller.poll(left * 1_000):
            if fd in by_fd:
                return by_fd[fd]
            if _means_gone(peer, event):
                return peer
            poller.modify(peer, select.POLLRDHUP)
    return None


def _means_gone(sock: socket.socket, event: int) -> bool:
    if event & _BROKEN:
        return True
    try:
        return sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True
