"""Slots of an upstream and the first-come queue in front of them."""

import threading
from collections import deque
from collections.abc import Callable

__all__ = ["SlotQueue"]

GIVE_UP_POLL_S = 0.1


class SlotQueue:
    """Hands out a fixed number of slots, first come, first served.

    :param n_slots: requests that are worked on at once.
    """

    def __init__(self, n_slots: int) -> None:
        self._n_slots = n_slots
        self._n_busy = 0
        self._waiting: deque[threading.Event] = deque()
        self._lock = threading.Lock()

    @property
    def n_busy(self) -> int:
        """Slots in use."""
        return self._n_busy

    @property
    def n_slots(self) -> int:
        """All slots."""
        return self._n_slots

    @property
    def n_waiting(self) -> int:
        """Requests in the queue."""
        return len(self._waiting)

    def acquire(self, gives_up: Callable[[], bool]) -> bool:
        """Wait for a slot.

        :param gives_up: polled while waiting, and once more when the slot
            came; true ends the wait.
        :return: whether the caller now holds a slot.
        """
        ticket = self._enter()
        while ticket is not None and not ticket.wait(GIVE_UP_POLL_S):
            if gives_up() and self._leave(ticket):
                return False
        if gives_up():
            self.release()
            return False
        return True

    def release(self) -> None:
        """Give a slot back; the first in the queue gets it."""
        with self._lock:
            if self._waiting:
                self._waiting.popleft().set()
            else:
                self._n_busy -= 1

    def _enter(self) -> threading.Event | None:
        with self._lock:
            if self._n_busy < self._n_slots:
                self._n_busy += 1
                return None
            ticket = threading.Event()
            self._waiting.append(ticket)
            return ticket

    def _leave(self, ticket: threading.Event) -> bool:
        """Quit the queue; False when the slot was handed over meanwhile."""
        with self._lock:
            if ticket.is_set():
                return False
            self._waiting.remove(ticket)
            return True
