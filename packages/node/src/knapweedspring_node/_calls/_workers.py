"""Shares of the server's workers, so that no kind of call takes them all.

A call keeps its worker while it waits, here or at another node. If new requests
or waiting calls took every worker, the calls that running requests make would find
none, and a more important request would stay unread.
"""

import random
from collections.abc import Callable

from knapweedspring_core import Outcome, Reason, Refusal
from knapweedspring_node._calls._rank import Rank

__all__ = ["WorkerGuard"]

#: Share of the workers that calls running at the own upstream may hold. Each may
#: make a call of its own, which needs another worker.
IN_FLIGHT_SHARE = 1 / 3
#: Share that calls waiting at the own gate may hold.
WAITING_SHARE = 1 / 6
#: Share in use from which new requests are refused.
BUSY_SHARE = 0.75
#: The same for the top class.
BUSY_SHARE_TOP = 0.95
RETRY_AFTER_S = 0.5


class WorkerGuard:
    """Refuses new requests while most workers are in use.

    :param n_workers: workers of the server.
    :param n_busy: counts the workers that have a request in hand.
    :param top_priority: priority of the most important class in force.
    :param rng: source of the jitter of ``Retry-After``.
    """

    def __init__(
        self,
        n_workers: int,
        n_busy: Callable[[], int],
        top_priority: Callable[[], int],
        rng: random.Random | None = None,
    ) -> None:
        self._n_workers = n_workers
        self._n_busy = n_busy
        self._top_priority = top_priority
        self._rng = rng or random.Random()
        self._passthrough = False

    @property
    def n_in_flight_max(self) -> int:
        """Calls that the gates of this node may run at the same time."""
        return max(1, int(self._n_workers * IN_FLIGHT_SHARE))

    @property
    def n_waiting_max(self) -> int:
        """Calls that may wait at a gate of this node."""
        return max(1, int(self._n_workers * WAITING_SHARE))

    def set_passthrough(self, passthrough: bool) -> None:
        """Switch the guard off."""
        self._passthrough = passthrough

    def refuses(self, rank: Rank) -> Refusal | None:
        """Tell whether a new request finds too few workers free.

        :param rank: rank of the request.
        :return: the ``not-run`` refusal, or None when it may go on.
        """
        is_top = rank.priority >= self._top_priority()
        share = BUSY_SHARE_TOP if is_top else BUSY_SHARE
        if self._passthrough or self._n_busy() <= share * self._n_workers:
            return None
        retry_after_ms = round(RETRY_AFTER_S * self._rng.uniform(0.5, 1.5) * 1_000)
        detail = "most workers of this node are busy"
        return Refusal(Outcome.NOT_RUN, Reason.OVERLOADED, retry_after_ms, detail)
