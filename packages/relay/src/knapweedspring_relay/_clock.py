"""Clock for deadlines and ages, which includes the VM's suspensions."""

import time

__all__ = ["SuspensionMeter", "now_s", "suspension_meter", "time_of_day_ms"]

#: Shortest suspension detected, in seconds. Smaller differences between the boot clock
#: and the monotonic clock come from the time between the two readings.
MIN_SUSPENSION_S = 0.02


class SuspensionMeter:
    """Measures for how long the VM has been suspended.

    The monotonic clock stops during a suspension and the boot clock does not. Reading
    the boot clock is a system call on some machines, so it is read only a few times a
    second.
    """

    def __init__(self) -> None:
        self._suspended_s = 0.0
        self._first_difference_s = _clock_difference_s()

    @property
    def suspended_s(self) -> float:
        """Total length of the detected suspensions, in seconds."""
        return self._suspended_s

    def check(self) -> float:
        """Detect whether the VM was suspended since the last check.

        :return: length of the suspension, in seconds; 0 when there was none.
        """
        total_s = _clock_difference_s() - self._first_difference_s
        length_s = total_s - self._suspended_s
        if length_s < MIN_SUSPENSION_S:
            return 0.0
        self._suspended_s = total_s
        return length_s


def _clock_difference_s() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.monotonic()


#: The only suspension meter of the process; the relay checks it periodically.
suspension_meter = SuspensionMeter()


def now_s() -> float:
    """Return the monotonic time plus the length of detected suspensions, in seconds.

    The clock never goes backwards. Because it includes suspensions, a request whose
    deadline passed while the VM was suspended is not forwarded.
    """
    # Reads the attribute, not the property: this runs at each step of a call.
    return time.monotonic() + suspension_meter._suspended_s


def time_of_day_ms() -> int:
    """Return the time of day, in milliseconds since the epoch; it may jump."""
    return time.time_ns() // 1_000_000
