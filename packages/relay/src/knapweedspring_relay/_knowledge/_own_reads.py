"""Reads the configuration on a node whose sources stand still one after another."""

import asyncio
from collections.abc import Awaitable, Callable

__all__ = ["OwnReads"]

#: Time after the loss of a source from which a node that finds no other reads the
#: configuration from the store itself, in seconds. Sources that fail one after another
#: take longer than a change of the configuration may.
MAX_WITHOUT_SOURCE_S = 0.7
#: Shortest and longest time between two such reads, in seconds. Each doubles the next.
OWN_READ_MIN_S = 1.0
OWN_READ_MAX_S = 8.0


class OwnReads:
    """Reads the configuration from the store while a node has no source.

    A node that has not had a source yet asks seeds instead. A node that answers without
    watching the store shows that others cannot reach it either, so it is not read then.

    :param read_configuration: reads the configuration from the store.
    """

    def __init__(self, read_configuration: Callable[[], Awaitable[bool]]) -> None:
        self._read_configuration = read_configuration
        self._has_had_source = False
        self._without_since: float | None = None
        self._answered_at = float("-inf")
        self._next_at = 0.0
        self._pause_s = OWN_READ_MIN_S
        self._read: asyncio.Future[bool] | None = None

    def record_answer(self, now: float) -> None:
        """Record that a node answered which does not watch the store.

        :param now: monotonic time, in seconds.
        """
        self._answered_at = now

    def check(self, has_source: bool, now: float) -> None:
        """Read the configuration if it is due.

        :param has_source: whether the node watches the store, or follows a node that
            does.
        :param now: monotonic time, in seconds.
        """
        if has_source:
            self._has_had_source = True
            self._without_since = None
            self._pause_s = OWN_READ_MIN_S
            return
        if self._without_since is None:
            self._without_since = now
            self._next_at = now + MAX_WITHOUT_SOURCE_S
        was_answered = self._answered_at >= self._without_since
        if was_answered or now < self._next_at or not self._has_had_source:
            return
        self._next_at = now + self._pause_s
        self._pause_s = min(OWN_READ_MAX_S, 2.0 * self._pause_s)
        self._read = asyncio.ensure_future(self._read_configuration())

    def stop(self) -> None:
        """Cancel a read in progress."""
        if self._read is not None:
            self._read.cancel()
