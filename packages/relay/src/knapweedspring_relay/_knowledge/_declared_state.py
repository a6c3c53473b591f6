"""The configuration in force on this node; its version never decreases."""

import asyncio
from collections.abc import Callable

from knapweedspring_core import Counters
from knapweedspring_relay._configuration import Configuration, RouteTable
from knapweedspring_relay._knowledge._position import ORIGIN, StorePosition
from knapweedspring_relay._logs import DecisionLog

__all__ = ["DeclaredState"]


class DeclaredState:
    """Holds the newest configuration received from the store or a peer.

    :param log: decision log.
    :param counters: counts the configurations put in force, by source.
    """

    def __init__(self, log: DecisionLog, counters: Counters) -> None:
        self._log = log
        self._counters = counters
        self._table: RouteTable | None = None
        self._position = ORIGIN
        self._newest_known_version = 0
        self._newer_exists = asyncio.Event()
        self._subscribers: list[Callable[[], None]] = []

    @property
    def table(self) -> RouteTable | None:
        """Routes in force; None before the first configuration."""
        return self._table

    @property
    def version(self) -> int:
        """Version in force; 0 before the first configuration."""
        return self._table.configuration.version if self._table is not None else 0

    @property
    def position(self) -> StorePosition:
        """Position of the store up to which the configuration was read."""
        return self._position

    @property
    def newer_exists(self) -> asyncio.Event:
        """Event that is set while a peer is known to have a newer configuration."""
        return self._newer_exists

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call a function after each configuration that is put in force.

        :param callback: function to call.
        """
        self._subscribers.append(callback)

    def observe_version(self, version: int) -> None:
        """Record that a peer has a version in force.

        :param version: version of the peer's configuration.
        """
        if version > self.version:
            self._newest_known_version = max(self._newest_known_version, version)
            self._newer_exists.set()

    def advance(self, position: StorePosition) -> None:
        """Record that the store has no newer configuration up to a position.

        :param position: position of the store.
        """
        self._position = max(self._position, position)

    def apply(self, configuration: Configuration, source: str) -> bool:
        """Put a configuration in force if it is newer than the one in force.

        :param configuration: configuration from the store or a peer.
        :param source: where it came from, for the log and the counter.
        :return: whether the configuration was put in force.
        """
        old = self.version
        if configuration.version <= old:
            return False
        self._table = RouteTable(configuration)
        if configuration.version >= self._newest_known_version:
            self._newer_exists.clear()
        self._counters.add("configurations", source)
        self._log.write_state(
            "configuration:in-force",
            version=configuration.version,
            previous=old,
            source=source,
            n_routes=len(configuration.routes),
        )
        for callback in self._subscribers:
            callback()
        return True
