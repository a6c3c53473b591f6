"""Admission queue of a gate: the calls that wait for a slot, in order of rank."""

import bisect
import threading
from collections.abc import Iterator

from knapweedspring_core import Refusal
from knapweedspring_node._calls._rank import Rank

__all__ = ["AdmissionQueue", "QueuedCall"]


class QueuedCall:
    """One call in the admission queue; its thread blocks in :meth:`wait_for_decision`.

    The gate's lock guards every change of state.

    :param rank: precedence in the queue.
    :param class_name: request class.
    :param deadline_at: deadline of the request, on the monotonic clock, in seconds.
    """

    def __init__(self, rank: Rank, class_name: str, deadline_at: float) -> None:
        self._rank = rank
        self._class_name = class_name
        self._deadline_at = deadline_at
        self._decided = threading.Event()
        self._refusal: Refusal | None = None
        self._admitted_at = 0.0
        self._key: tuple[Rank, int] = (rank, 0)

    @property
    def rank(self) -> Rank:
        """Precedence in the queue."""
        return self._rank

    @property
    def admitted_at(self) -> float:
        """When the call was admitted, on the monotonic clock, in seconds."""
        return self._admitted_at

    @property
    def class_name(self) -> str:
        """Request class."""
        return self._class_name

    @property
    def deadline_at(self) -> float:
        """Deadline of the request, on the monotonic clock, in seconds."""
        return self._deadline_at

    @property
    def decided(self) -> bool:
        """Whether the call was admitted or refused."""
        return self._decided.is_set()

    @property
    def refusal(self) -> Refusal | None:
        """The refusal; None while the call waits and after it was admitted."""
        return self._refusal

    @property
    def key(self) -> tuple[Rank, int]:
        """Sort key in the queue; the greatest key is admitted next."""
        return self._key

    def set_key(self, key: tuple[Rank, int]) -> None:
        """Set the sort key in the queue."""
        self._key = key

    def admit(self, now: float) -> None:
        """Admit the call and wake its thread.

        :param now: monotonic time, in seconds.
        """
        self._admitted_at = now
        self._decided.set()

    def refuse(self, refusal: Refusal) -> None:
        """Refuse the call and wake its thread."""
        self._refusal = refusal
        self._decided.set()

    def wait_for_decision(self, timeout_s: float) -> bool:
        """Block until the call is admitted or refused.

        :param timeout_s: longest time to block, in seconds.
        :return: False when the timeout passed first.
        """
        return self._decided.wait(timeout_s)


def _key_of(queued_call: QueuedCall) -> tuple[Rank, int]:
    return queued_call.key


class AdmissionQueue:
    """Queued calls sorted by rank; among equal ranks the oldest is admitted first.

    Not thread-safe: the gate's lock guards it.
    """

    def __init__(self) -> None:
        self._queued_calls: list[QueuedCall] = []
        self._n_pushed = 0

    def __len__(self) -> int:
        return len(self._queued_calls)

    def __iter__(self) -> Iterator[QueuedCall]:
        return iter(tuple(self._queued_calls))

    @property
    def first(self) -> QueuedCall | None:
        """The call to be admitted next; None when the queue is empty."""
        return self._queued_calls[-1] if self._queued_calls else None

    @property
    def last(self) -> QueuedCall | None:
        """The newest call of the lowest rank; None when the queue is empty."""
        return self._queued_calls[0] if self._queued_calls else None

    def n_ahead_of_rank(self, rank: Rank) -> int:
        """Return the number of calls that a new call of this rank would wait for."""
        index = bisect.bisect_left(
            self._queued_calls, (rank, -self._n_pushed), key=_key_of
        )
        return len(self._queued_calls) - index

    def n_ahead_of_call(self, queued_call: QueuedCall) -> int:
        """Return the number of calls that a queued call waits for."""
        index = bisect.bisect_right(self._queued_calls, queued_call.key, key=_key_of)
        return len(self._queued_calls) - index

    def push(self, queued_call: QueuedCall, in_order_of_arrival: bool = False) -> None:
        """Insert a call in order of rank, or behind all queued calls.

        :param queued_call: the call to insert.
        :param in_order_of_arrival: whether to ignore ranks, as in passthrough mode.
        """
        self._n_pushed += 1
        rank = Rank(0, False, 0) if in_order_of_arrival else queued_call.rank
        queued_call.set_key((rank, -self._n_pushed))
        bisect.insort(self._queued_calls, queued_call, key=_key_of)

    def pop_first(self) -> QueuedCall:
        """Remove and return the call to be admitted next."""
        return self._queued_calls.pop()

    def remove(self, queued_call: QueuedCall) -> None:
        """Remove a call; does nothing when it is no longer in the queue."""
        index = bisect.bisect_left(self._queued_calls, queued_call.key, key=_key_of)
        if index < len(self._queued_calls) and self._queued_calls[index] is queued_call:
            del self._queued_calls[index]
