"""The store in which a deployment keeps what must last, as the relay sees it."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from result import Result

from knapweedspring_relay._configuration import Configuration
from knapweedspring_relay._directory import DirectorySnapshot, GateEntry

__all__ = [
    "ConfigurationRead",
    "DeploymentStore",
    "DirectoryChanges",
    "EntryRecord",
    "StoreConflict",
    "StoreError",
    "StoreHistoryGone",
    "StoreUnavailable",
]


@dataclass(frozen=True, slots=True)
class StoreError:
    """Base of the failures of the store."""

    #: Description for logs.
    detail: str


@dataclass(frozen=True, slots=True)
class StoreUnavailable(StoreError):
    """No answer, or a refusal; a write may have taken effect or may do so later."""


@dataclass(frozen=True, slots=True)
class StoreHistoryGone(StoreError):
    """The store no longer holds the changes that were asked for."""


@dataclass(frozen=True, slots=True)
class StoreConflict(StoreError):
    """Another write came first."""


@dataclass(frozen=True, slots=True)
class ConfigurationRead:
    """The configuration as the store holds it."""

    #: Revision of the store to go on from.
    revision: int
    #: The newest configuration that can be read; None when there is none.
    configuration: Configuration | None
    #: Why a stored configuration cannot be used; empty when it can.
    problem: str = ""


@dataclass(frozen=True, slots=True)
class EntryRecord:
    """A gate's entry and the revision that it was written at."""

    #: Revision; 0 when the entry does not exist.
    revision: int
    #: The entry; None when it does not exist or cannot be read.
    entry: GateEntry | None


@dataclass(frozen=True, slots=True)
class DirectoryChanges:
    """What changed in the directory up to a revision."""

    #: Revision of the store to go on from.
    revision: int
    #: Entries that were written.
    updated: tuple[GateEntry, ...]
    #: Nodes whose entries were deleted or can no longer be read.
    removed: tuple[str, ...]


class DeploymentStore(ABC):
    """The store of a deployment; each adapter implements it."""

    @abstractmethod
    async def read_configuration(self) -> Result[ConfigurationRead, StoreError]:
        """Read the configuration."""

    @abstractmethod
    async def watch_configuration(
        self, revision: int, wait_s: float
    ) -> Result[ConfigurationRead, StoreError]:
        """Wait for a newer configuration; at most ``wait_s`` seconds."""

    @abstractmethod
    async def read_directory(self) -> Result[DirectorySnapshot, StoreError]:
        """Read all entries of the directory."""

    @abstractmethod
    async def watch_directory(
        self, revision: int, wait_s: float
    ) -> Result[DirectoryChanges, StoreError]:
        """Wait for changes of the directory; at most ``wait_s`` seconds."""

    @abstractmethod
    async def read_entry(self, node: str) -> Result[EntryRecord, StoreError]:
        """Read one entry of the directory."""

    @abstractmethod
    async def write_entry(
        self, entry: GateEntry, revision: int
    ) -> Result[EntryRecord, StoreError]:
        """Write an entry if its revision is still the given one.

        :param entry: the entry.
        :param revision: 0 to create it.
        """

    @abstractmethod
    async def delete_entry(
        self, node: str, revision: int
    ) -> Result[EntryRecord, StoreError]:
        """Delete an entry if its revision is still the given one."""

    @abstractmethod
    def close(self) -> None:
        """Break the calls that are waiting."""
