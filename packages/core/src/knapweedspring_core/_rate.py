"""Token bucket that holds a program to a number of calls a second."""

import threading
import time

__all__ = ["TokenBucket"]


class TokenBucket:
    """Lets calls pass at a rate, with short bursts above it.

    :param rate_per_s: calls a second in the long run.
    :param burst: calls that may pass at once after a pause.
    """

    def __init__(self, rate_per_s: float, burst: int) -> None:
        self._rate_per_s = rate_per_s
        self._burst = float(burst)
        self._lock = threading.Lock()
        self._tokens = float(burst)
        self._filled_at = time.monotonic()

    def take(self) -> float:
        """Take one token, perhaps one that is still to come.

        :return: seconds that the caller must wait before its call.
        """
        with self._lock:
            now = time.monotonic()
            earned = (now - self._filled_at) * self._rate_per_s
            self._tokens = min(self._burst, self._tokens + earned) - 1.0
            self._filled_at = now
            return max(0.0, -self._tokens / self._rate_per_s)
