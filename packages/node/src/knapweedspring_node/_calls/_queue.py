"""Queue of the calls that wait for a slot, in order of rank."""

import bisect
import threading
from collections.abc import Iterator

from knapweedspring_core import Refusal
from knapweedspring_node._calls._rank import Rank

__all__ = ["Waiter", "WaitQueue"]


class Waiter:
    """One waiting call; its own thread blocks in :meth:`wait`.

    The gate's lock guards every change of state.

    :param rank: precedence in the queue.
    :param class_name: request class.
    :param deadline_at: end of the request on the monotonic clock, in seconds.
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
        """When it was admitted, on the monotonic clock, in seconds."""
        return self._admitted_at

    @property
    def class_name(self) -> str:
        """Request class."""
        return self._class_name

    @property
    def deadline_at(self) -> float:
        """End of the request on the monotonic clock, in seconds."""
        return self._deadline_at

    @property
    def decided(self) -> bool:
        """Whether it was admitted or refused."""
        return self._decided.is_set()

    @property
    def refusal(self) -> Refusal | None:
        """Why it was refused; None when it waits or was admitted."""
        return self._refusal

    @property
    def key(self) -> tuple[Rank, int]:
        """Place in the queue; the greatest key is admitted next."""
        return self._key

    def place(self, key: tuple[Rank, int]) -> None:
        """Set the place in the queue."""
        self._key = key

    def admit(self, now: float) -> None:
        """Wake the call up as admitted."""
        self._admitted_at = now
        self._decided.set()

    def refuse(self, refusal: Refusal) -> None:
        """Wake the call up as refused."""
        self._refusal = refusal
        self._decided.set()

    def wait(self, timeout_s: float) -> bool:
        """Block until a decision.

        :return: False when the timeout passed first.
        """
        return self._decided.wait(timeout_s)


def _key_of(waiter: Waiter) -> tuple[Rank, int]:
    return waiter.key


class WaitQueue:
    """Waiting calls sorted by rank; among equals the oldest goes first.

    Not thread-safe: the gate's lock guards it.
    """

    def __init__(self) -> None:
        self._waiters: list[Waiter] = []
        self._n_pushed = 0

    def __len__(self) -> int:
        return len(self._waiters)

    def __iter__(self) -> Iterator[Waiter]:
        return iter(tuple(self._waiters))

    @property
    def first(self) -> Waiter | None:
        """The call to be admitted next."""
        return self._waiters[-1] if self._waiters else None

    @property
    def last(self) -> Waiter | None:
        """The newest call of the lowest rank."""
        return self._waiters[0] if self._waiters else None

    def n_ahead_of(self, rank: Rank) -> int:
        """Count the calls that a new call of this rank would wait for."""
        index = bisect.bisect_left(self._waiters, (rank, -self._n_pushed), key=_key_of)
        return len(self._waiters) - index

    def n_ahead(self, waiter: Waiter) -> int:
        """Count the calls that a waiting call waits for."""
        index = bisect.bisect_right(self._waiters, waiter.key, key=_key_of)
        return len(self._waiters) - index

    def push(self, waiter: Waiter, in_order_of_arrival: bool = False) -> None:
        """Insert a call at its rank, or behind all others.

        :param waiter: the call.
        :param in_order_of_arrival: ignore ranks, for the passthrough policy.
        """
        self._n_pushed += 1
        rank = Rank(0, False, 0) if in_order_of_arrival else waiter.rank
        waiter.place((rank, -self._n_pushed))
        bisect.insort(self._waiters, waiter, key=_key_of)

    def pop_first(self) -> Waiter:
        """Remove and return the call to be admitted next."""
        return self._waiters.pop()

    def remove(self, waiter: Waiter) -> None:
        """Take a call out; nothing happens when it has left the queue."""
        index = bisect.bisect_left(self._waiters, waiter.key, key=_key_of)
        if index < len(self._waiters) and self._waiters[index] is waiter:
            del self._waiters[index]
