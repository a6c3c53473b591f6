"""Moving rate of the units that are asked for."""

import math

__all__ = ["DemandMeter"]

#: Time constant of the moving rate, in seconds: long enough for workspaces that send a
#: request each second, short enough to notice within a window that callers moved.
TIME_CONSTANT_S = 2.0


class DemandMeter:
    """Measures the rate at which units are asked for, granted or not.

    :param now: monotonic time, in seconds.
    """

    def __init__(self, now: float) -> None:
        self._rate_per_s = 0.0
        self._updated_at = now

    def add(self, n_units: int, now: float) -> None:
        """Count units that are asked for.

        :param n_units: number of units.
        :param now: monotonic time, in seconds.
        """
        self._rate_per_s = self.rate_per_s(now) + n_units / TIME_CONSTANT_S
        self._updated_at = now

    def rate_per_s(self, now: float) -> float:
        """Return the moving rate, in units per second.

        :param now: monotonic time, in seconds.
        """
        elapsed_s = max(0.0, now - self._updated_at)
        return self._rate_per_s * math.exp(-elapsed_s / TIME_CONSTANT_S)
