"""The clock that deadlines and ages go by."""

import time

__all__ = ["SuspensionMeter", "now_s", "suspensions"]

#: Difference between the boot clock and the monotonic clock that counts as a
#: suspension and not as the time between two readings, in seconds.
MIN_SUSPENSION_S = 0.02


class SuspensionMeter:
    """Measures for how long the VM has been suspended.

    The monotonic clock stops meanwhile; the boot clock does not, but is a system call
    on some machines, so it is read a few times a second only.
    """

    def __init__(self) -> None:
        self._suspended_s = 0.0
        self._first_difference_s = _difference_s()

    @property
    def suspended_s(self) -> float:
        """Time of all suspensions that were noticed, in seconds."""
        return self._suspended_s

    def check(self) -> float:
        """Notice a suspension since the last check.

        :return: its length, in seconds; 0 when there was none.
        """
        total_s = _difference_s() - self._first_difference_s
        length_s = total_s - self._suspended_s
        if length_s < MIN_SUSPENSION_S:
            return 0.0
        self._suspended_s = total_s
        return length_s


def _difference_s() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.monotonic()


#: The process's only meter; its owner checks it periodically.
suspensions = SuspensionMeter()


def now_s() -> float:
    """Return the time since the VM started, suspensions included, in seconds.

    It never jumps back. A request whose deadline passed while the VM was suspended is
    so not sent on.
    """
    # The attribute and not its property: this is called at each step of a call.
    return time.monotonic() + suspensions._suspended_s
