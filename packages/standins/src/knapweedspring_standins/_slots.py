"""Slots of an upstream, with a FIFO queue of requests that wait for one."""

import threading
from collections import deque
from collections.abc import Callable

__all__ = ["SlotQueue"]

CANCEL_POLL_S = 0.1


class SlotQueue:
    """A fixed number of slots, granted in order of arrival; thread-safe.

    :param n_slots: number of requests that run at once.
    """

    def __init__(self, n_slots: int) -> None:
        self._n_slots = n_slots
        self._n_busy = 0
        self._waiting: deque[threading.Event] = deque()
        self._lock = threading.Lock()

    @property
    def n_busy(self) -> int:
        """Number of slots in use."""
        return self._n_busy

    @property
    def n_slots(self) -> int:
        """Number of slots, in use or free."""
        return self._n_slots

    @property
    def n_waiting(self) -> int:
        """Number of requests in the queue."""
        return len(self._waiting)

    def acquire(self, is_cancelled: Callable[[], bool]) -> bool:
        """Wait for a slot until it is granted or the request is cancelled.

        :param is_cancelled: polled while waiting, and once more after the slot was
            granted; the wait ends without a slot when it returns true.
        :return: whether the caller now holds a slot.
        """
        slot_granted = self._take_or_enqueue()
        while slot_granted is not None and not slot_granted.wait(CANCEL_POLL_S):
            if is_cancelled() and self._leave_queue(slot_granted):
                return False
        if is_cancelled():
            self.release()
            return False
        return True

    def release(self) -> None:
        """Free a slot, or hand it to the first request in the queue."""
        with self._lock:
            if self._waiting:
                self._waiting.popleft().set()
            else:
                self._n_busy -= 1

    def _take_or_enqueue(self) -> threading.Event | None:
        with self._lock:
            if self._n_busy < self._n_slots:
                self._n_busy += 1
                return None
            slot_granted = threading.Event()
            self._waiting.append(slot_granted)
            return slot_granted

    def _leave_queue(self, slot_granted: threading.Event) -> bool:
        """Leave the queue; return False when the slot was granted meanwhile."""
        with self._lock:
            if slot_granted.is_set():
                return False
            self._waiting.remove(slot_granted)
            return True
