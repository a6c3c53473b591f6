"""Pacing of calls to a rate that an upstream names and may change at any time."""

__all__ = ["CallPacer"]

#: Time for which unused calls accumulate, in seconds. Calls arrive unevenly; within the
#: bursts that this allows, the rate is kept over any longer time.
BURST_S = 0.25
#: Lowest rate that is used, in calls per second. Only an answer shows that a limit has
#: changed, so a few calls are sent to an upstream that takes none.
MIN_RATE_PER_S = 0.5
#: Share of a call up to which a sum of shares counts as whole; covers rounding errors.
ROUNDING_TOLERANCE = 1e-6


class CallPacer:
    """Limits the starts of calls to a rate; without a rate, calls start at any time.

    In any time of ``t`` seconds, at most ``rate * t`` calls start, plus those of a
    burst of ``BURST_S`` and one more. Not thread-safe. The methods get the time as an
    argument.
    """

    def __init__(self) -> None:
        self._rate_per_s: float | None = None
        self._n_available = 0.0
        self._counted_at = 0.0

    @property
    def rate_per_s(self) -> float | None:
        """Rate in calls per second; None when calls are not limited."""
        return self._rate_per_s

    def set_rate(self, rate_per_s: float | None, now: float) -> None:
        """Set or end the limit.

        :param rate_per_s: rate in calls per second, of which at least
            ``MIN_RATE_PER_S`` is used; None to end the limit.
        :param now: monotonic time, in seconds.
        """
        if rate_per_s is None:
            self._rate_per_s = None
            return
        if self._rate_per_s is None:
            self._n_available = 1.0
        else:
            self._count_available(now)
        self._rate_per_s = max(MIN_RATE_PER_S, rate_per_s)
        self._n_available = min(self._n_available, self._max_available)
        self._counted_at = now

    def record_start(self, now: float) -> None:
        """Count the start of a call.

        :param now: monotonic time, in seconds.
        """
        if self._rate_per_s is not None:
            self._count_available(now)
            self._n_available -= 1.0

    def delay_s(self, now: float, n_ahead: int = 0) -> float:
        """Return the time until a call may start, in seconds; 0 when it may start now.

        :param now: monotonic time, in seconds.
        :param n_ahead: number of calls that start before it.
        """
        if self._rate_per_s is None:
            return 0.0
        self._count_available(now)
        n_missing = 1.0 + n_ahead - self._n_available
        return n_missing / self._rate_per_s if n_missing > ROUNDING_TOLERANCE else 0.0

    @property
    def _max_available(self) -> float:
        assert self._rate_per_s is not None
        return 1.0 + BURST_S * self._rate_per_s

    def _count_available(self, now: float) -> None:
        assert self._rate_per_s is not None
        n_new = max(0.0, now - self._counted_at) * self._rate_per_s
        self._n_available = min(self._max_available, self._n_available + n_new)
        self._counted_at = max(now, self._counted_at)
