"""Token bucket that limits the calls per second of a program."""

import threading
import time

__all__ = ["TokenBucket"]


class TokenBucket:
    """Limits calls to a long-term rate, but allows short bursts above that rate.

    :param rate_per_s: long-term limit of calls per second.
    :param burst: number of calls that may be made at once after an idle time.
    """

    def __init__(self, rate_per_s: float, burst: int) -> None:
        self._rate_per_s = rate_per_s
        self._burst = float(burst)
        self._lock = threading.Lock()
        self._tokens = float(burst)
        self._refilled_at = time.monotonic()

    def reserve(self) -> float:
        """Reserve one token, which may become available only later.

        :return: seconds that the caller must wait before it makes its call.
        """
        with self._lock:
            now = time.monotonic()
            refilled = (now - self._refilled_at) * self._rate_per_s
            self._tokens = min(self._burst, self._tokens + refilled) - 1.0
            self._refilled_at = now
            return max(0.0, -self._tokens / self._rate_per_s)
