"""Limits the share of the server's workers that each kind of call may occupy.

A call occupies a worker until its reply is written, also while it is queued at a gate
of this or another node. If new requests or queued calls occupied every worker, the
child calls of running requests would get no worker, and requests of higher priority
would stay unread.
"""

import random
from collections.abc import Callable

from knapweedspring_core import Outcome, Reason, Refusal
from knapweedspring_node._calls._rank import Rank

__all__ = ["WorkerGuard"]

#: Share of the workers for calls that run at the upstreams of this node. Each may
#: make a call of its own, which needs another worker.
IN_FLIGHT_SHARE = 1 / 3
#: Share of the workers for calls that are queued at a gate of this node.
WAITING_SHARE = 1 / 6
#: Share of busy workers above which new requests are refused.
BUSY_SHARE = 0.75
#: Share of busy workers above which new requests of the top class are refused, too.
BUSY_SHARE_TOP = 0.95
RETRY_AFTER_S = 0.5


class WorkerGuard:
    """Refuses new requests while most workers are busy.

    :param n_workers: number of workers of the server.
    :param n_busy: returns the number of workers that are handling a request.
    :param top_priority: returns the highest priority of the classes in force.
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
        """Number of calls that the gates of this node may run at the same time."""
        return max(1, int(self._n_workers * IN_FLIGHT_SHARE))

    @property
    def n_waiting_max(self) -> int:
        """Number of calls that may be queued at a gate of this node."""
        return max(1, int(self._n_workers * WAITING_SHARE))

    def set_passthrough(self, passthrough: bool) -> None:
        """Switch the guard off or on.

        :param passthrough: whether no request is refused.
        """
        self._passthrough = passthrough

    def check_refusal(self, rank: Rank) -> Refusal | None:
        """Return a refusal of a new request when too few workers are free.

        :param rank: rank of the request.
        :return: the ``not-run`` refusal, or None when the request may proceed.
        """
        is_top = rank.priority >= self._top_priority()
        share = BUSY_SHARE_TOP if is_top else BUSY_SHARE
        if self._passthrough or self._n_busy() <= share * self._n_workers:
            return None
        retry_after_ms = round(RETRY_AFTER_S * self._rng.uniform(0.5, 1.5) * 1_000)
        detail = "most workers of this node are busy"
        return Refusal(Outcome.NOT_RUN, Reason.OVERLOADED, retry_after_ms, detail)
