"""Pauses between failed calls to the store."""

import asyncio
import random

__all__ = ["Backoff"]

#: Shortest and longest pause after a failed call to the store, in seconds, before
#: jitter. Entries that a restored store lacks must be back within about two seconds.
RETRY_MIN_S = 0.3
RETRY_MAX_S = 1.0


class Backoff:
    """Exponentially growing pauses with jitter.

    :param rng: source of the jitter.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._pause_s = RETRY_MIN_S

    def reset(self) -> None:
        """Reset the next pause to the shortest one."""
        self._pause_s = RETRY_MIN_S

    async def wait(self) -> None:
        """Sleep for the next pause and lengthen the one after it."""
        await asyncio.sleep(self._pause_s * self._rng.uniform(0.7, 1.3))
        self._pause_s = min(RETRY_MAX_S, 1.6 * self._pause_s)
