"""The configuration in force on this node; versions never go back."""

import asyncio

from knapweedspring_core import Counters
from knapweedspring_relay._configuration import Configuration, RouteTable
from knapweedspring_relay._logs import DecisionLog

__all__ = ["DeclaredState"]


class DeclaredState:
    """Holds the newest configuration heard of, whoever told it.

    :param log: decision log.
    :param counters: counts changes.
    """

    def __init__(self, log: DecisionLog, counters: Counters) -> None:
        self._log = log
        self._counters = counters
        self._table: RouteTable | None = None
        self._heard_version = 0
        self._newer = asyncio.Event()

    @property
    def table(self) -> RouteTable | None:
        """Routes in force; None before the first configuration."""
        return self._table

    @property
    def version(self) -> int:
        """Version in force; 0 before the first configuration."""
        return self._table.configuration.version if self._table is not None else 0

    @property
    def newer_exists(self) -> asyncio.Event:
        """Set while a version is known to exist that is newer than the one held."""
        return self._newer

    def hear_of(self, version: int) -> None:
        """Take in that somebody goes by a version."""
        if version > self.version:
            self._heard_version = max(self._heard_version, version)
            self._newer.set()

    def offer(self, configuration: Configuration, source: str) -> bool:
        """Put a configuration in force unless one as new is.

        :param configuration: the configuration.
        :param source: where it came from, for the log.
        :return: whether it was put in force.
        """
        old = self.version
        if configuration.version <= old:
            return False
        self._table = RouteTable(configuration)
        if configuration.version >= self._heard_version:
            self._newer.clear()
        self._counters.add("configurations", source)
        self._log.state(
            "configuration:in-force",
            version=configuration.version,
            previous=old,
            source=source,
            n_routes=len(configuration.routes),
        )
        return True
