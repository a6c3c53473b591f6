"""The clock that deadlines and ages go by."""

import time

__all__ = ["now_s"]


def now_s() -> float:
    """Return the time since the VM started, in seconds.

    It never jumps, and unlike the monotonic clock it goes on while the VM is suspended,
    so that a request whose deadline passed meanwhile is not sent on.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
