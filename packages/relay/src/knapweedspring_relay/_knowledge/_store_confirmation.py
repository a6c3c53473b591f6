"""When the store last confirmed what this node knows."""

__all__ = ["MIN_ADVANCE_S", "StoreConfirmation"]

#: Smallest difference between two confirmations that is passed on, in seconds. Smaller
#: ones come from the time that frames take.
MIN_ADVANCE_S = 0.5


class StoreConfirmation:
    """Time of the last answer of the store up to which this node knows everything.

    A watch that waits confirms nothing: its answer may be lost, and its connection then
    returns nothing further. Only an answer counts, of the store to this node or to one
    that this node follows, directly or over others.
    """

    def __init__(self) -> None:
        self._confirmed_at = float("-inf")

    def age_s(self, now: float) -> float:
        """Return how long ago the store gave the answer, in seconds.

        :param now: monotonic time, in seconds.
        :return: infinite before the first answer.
        """
        return now - self._confirmed_at

    def record(self, confirmed_at: float) -> bool:
        """Record an answer of the store.

        :param confirmed_at: time at which the store gave it, at the earliest, on the
            monotonic clock, in seconds.
        :return: whether it is newer than the last one by ``MIN_ADVANCE_S``.
        """
        has_advanced = confirmed_at - self._confirmed_at >= MIN_ADVANCE_S
        self._confirmed_at = max(self._confirmed_at, confirmed_at)
        return has_advanced
