"""Finds out that an upstream that leaves has ended."""

import asyncio

from knapweedspring_relay._http_client import ConnectionPool
from knapweedspring_relay._local_upstream import UpstreamTracker

__all__ = ["UpstreamEnd"]

#: Period in which the upstream is checked, in seconds. Each check opens a connection.
CHECK_PERIOD_S = 1.0


class UpstreamEnd:
    """Watches for the end of an upstream beside a node that stops.

    :param tracker: tracks the state of the upstream.
    :param pool: connections to the upstream.
    """

    def __init__(self, tracker: UpstreamTracker, pool: ConnectionPool) -> None:
        self._tracker = tracker
        self._pool = pool
        self._has_ended = False

    @property
    def has_ended(self) -> bool:
        """Whether the upstream left and accepts no connections any more."""
        return self._has_ended

    async def wait(self) -> None:
        """Wait until the upstream leaves and has ended."""
        while True:
            upstream = self._tracker.current
            is_leaving = upstream is not None and not upstream.is_ready
            if is_leaving and await self._pool.refuses_connections(
                self._tracker.address
            ):
                self._has_ended = True
                return
            await asyncio.sleep(CHECK_PERIOD_S)
