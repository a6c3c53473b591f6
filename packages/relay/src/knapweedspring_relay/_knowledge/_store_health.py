"""Which calls to the store fail on this node, and the era of the store."""

from collections.abc import Iterable

from knapweedspring_core import Counters
from knapweedspring_relay._clock import now_s
from knapweedspring_relay._knowledge._object_store import StoreError
from knapweedspring_relay._logs import DecisionLog

__all__ = ["StoreHealth"]


class StoreHealth:
    """Tracks which kinds of calls to the store fail on this node, and its era.

    :param log: decision log.
    :param counters: counts the restorations of the store.
    """

    def __init__(self, log: DecisionLog, counters: Counters) -> None:
        self._log = log
        self._counters = counters
        self._era: int | None = None
        self._failing_since: dict[str, float] = {}

    @property
    def is_failing(self) -> bool:
        """Whether the last call to the store failed for at least one purpose."""
        return bool(self._failing_since)

    @property
    def era(self) -> int:
        """Newest era of the store that is known; 0 before the first one."""
        return self._era or 0

    def observe_era(self, era: int) -> None:
        """Record the era of an answer of the store, or of a peer's knowledge.

        A newer era means that the store was restored from an older copy.

        :param era: number of the era.
        """
        if self._era is None:
            self._era = era
        elif era > self._era:
            self._log.write_state("store:restored", era=era, previous=self._era)
            self._counters.add("store_restorations")
            self._era = era

    def fails_for(self, purposes: Iterable[str]) -> bool:
        """Return whether the last call failed for one of some purposes.

        :param purposes: what the calls were for.
        """
        return any(purpose in self._failing_since for purpose in purposes)

    def forget(self, purpose: str) -> None:
        """Forget the failures for a purpose, when its calls have ended.

        :param purpose: what the calls were for.
        """
        self._failing_since.pop(purpose, None)

    def failing_duration_s(self, now: float) -> float:
        """Return for how long calls to the store have been failing, in seconds.

        It is 0 when no call fails, and the longest time when calls for several purposes
        fail.

        :param now: monotonic time, in seconds.
        """
        return now - min(self._failing_since.values(), default=now)

    def record_result(self, purpose: str, error: StoreError | None) -> None:
        """Record the result of a call to the store.

        :param purpose: what the call was for.
        :param error: failure of the call; None when it succeeded.
        """
        if error is None:
            failing_since = self._failing_since.pop(purpose, None)
            if failing_since is not None:
                away_s = round(now_s() - failing_since, 3)
                self._log.write_state("store:regained", purpose=purpose, away_s=away_s)
        elif purpose not in self._failing_since:
            self._failing_since[purpose] = now_s()
            self._log.write_state("store:lost", purpose=purpose, reason=error.detail)
