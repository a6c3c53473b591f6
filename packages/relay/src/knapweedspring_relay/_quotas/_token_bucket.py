"""Token bucket whose rate and depth can change.

The module uses no clock: methods get the time as an argument.
"""

__all__ = ["TokenBucket"]


class TokenBucket:
    """Grants units at a sustained rate, and some at once after a pause.

    In any span of ``t`` seconds, units for at most ``rate * t + depth`` requests come
    due. A bucket starts empty, so the bound holds across a bucket that replaces another
    one with an unknown number of units left.

    :param rate_per_s: units per second.
    :param depth: greatest number of unused units.
    :param now: monotonic time, in seconds.
    :param n_units: units at the start.
    """

    def __init__(
        self, rate_per_s: float, depth: float, now: float, n_units: float = 0.0
    ) -> None:
        self._rate_per_s = rate_per_s
        self._depth = depth
        self._n_units = min(n_units, depth)
        self._updated_at = now

    @property
    def rate_per_s(self) -> float:
        """Units per second."""
        return self._rate_per_s

    @property
    def depth(self) -> float:
        """Greatest number of unused units."""
        return self._depth

    def set_limits(self, rate_per_s: float, depth: float, now: float) -> None:
        """Change rate and depth; units beyond the new depth are lost.

        :param rate_per_s: units per second.
        :param depth: greatest number of unused units.
        :param now: monotonic time, in seconds.
        """
        self._advance(now)
        self._rate_per_s = rate_per_s
        self._depth = depth
        self._n_units = min(self._n_units, depth)

    def take(self, max_delay_s: float, now: float) -> float | None:
        """Take one unit, which may come due a little later.

        :param max_delay_s: longest time until the unit comes due, in seconds.
        :param now: monotonic time, in seconds.
        :return: time until the unit comes due, in seconds; None when it is not granted.
        """
        delay_s = self.delay_s(now)
        if delay_s > max_delay_s:
            return None
        self._n_units -= 1.0
        return delay_s

    def give_back(self, n_units: int, now: float) -> None:
        """Return units whose requests did not run.

        :param n_units: number of units.
        :param now: monotonic time, in seconds.
        """
        self._advance(now)
        self._n_units = min(self._depth, self._n_units + n_units)

    def delay_s(self, now: float) -> float:
        """Return the time until the next unit comes due, in seconds.

        It is infinite for a bucket that never holds a whole unit.

        :param now: monotonic time, in seconds.
        """
        self._advance(now)
        if self._n_units >= 1.0:
            return 0.0
        if self._rate_per_s <= 0.0 or self._depth < 1.0:
            return float("inf")
        return (1.0 - self._n_units) / self._rate_per_s

    def _advance(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._updated_at)
        self._updated_at = max(self._updated_at, now)
        gained = self._n_units + elapsed_s * self._rate_per_s
        self._n_units = min(self._depth, gained)
