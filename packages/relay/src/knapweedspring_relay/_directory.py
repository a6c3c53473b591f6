"""Directory of the gates, with the node and the upstream of each."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

__all__ = ["Directory", "DirectorySnapshot", "GateEntry", "UpstreamState"]

#: Time for which an entry that disappeared from the store stays in use, in seconds. Its
#: node writes it again within two seconds of the end of an outage of the store.
MISSING_GRACE_S = 2.5


class UpstreamState(StrEnum):
    """State that an upstream reports in its heartbeats."""

    #: Accepts requests.
    READY = "ready"
    #: Finishes the requests in progress and accepts no new ones.
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class GateEntry:
    """Directory entry in which a node publishes its gate and its upstream."""

    #: Name of the node, unique in the deployment.
    node: str
    #: Address at which other nodes send calls for the upstream, as ``ip:port``.
    gate_address: str
    #: Address of the peer page with configuration and directory, as ``ip:port``.
    knowledge_address: str
    #: Data centre of the node.
    data_centre: str
    #: Service of the upstream; empty when its service is not known.
    service: str
    #: Identity of the upstream's process.
    instance: str
    #: Start of the upstream's process, in milliseconds since the epoch.
    born_ms: int
    #: Maximum number of requests that the upstream runs concurrently.
    slots: int
    #: State of the upstream.
    state: UpstreamState


@dataclass(frozen=True, slots=True)
class DirectorySnapshot:
    """All entries as of one revision of the store."""

    #: Revision of the store; a greater one is newer.
    revision: int
    #: Entries by node.
    entries: Mapping[str, GateEntry]


class _ServiceLocation(NamedTuple):
    """Key of the index by service and data centre."""

    #: Name of the service.
    service: str
    #: Name of the data centre.
    data_centre: str


class Directory:
    """Entries of the directory on this node, with look-up by service.

    When several entries have the same gate address, only the entry with the newest
    process is used. So an address that was reassigned leads to the new VM only.
    """

    def __init__(self) -> None:
        self._revision = 0
        self._entries: dict[str, GateEntry] = {}
        self._missing_at: dict[str, float] = {}
        self._by_service: dict[str, tuple[GateEntry, ...]] = {}
        self._by_location: dict[_ServiceLocation, tuple[GateEntry, ...]] = {}

    @property
    def revision(self) -> int:
        """Revision of the store that the entries correspond to; 0 at first."""
        return self._revision

    @property
    def entries(self) -> Mapping[str, GateEntry]:
        """Entries by node."""
        return self._entries

    @property
    def n_nodes(self) -> int:
        """Number of nodes known, at least 1."""
        return max(1, len(self._entries))

    def ready_gates(self, service: str) -> tuple[GateEntry, ...]:
        """Return the gates of a service whose upstreams are ready."""
        return self._by_service.get(service, ())

    def ready_gates_in(self, service: str, data_centre: str) -> tuple[GateEntry, ...]:
        """Return the gates of a service in a data centre whose upstreams are ready."""
        location = _ServiceLocation(service, data_centre)
        found = self._by_location.get(location)
        if found is None:
            found = tuple(
                entry
                for entry in self.ready_gates(service)
                if entry.data_centre == data_centre
            )
            self._by_location[location] = found
        return found

    def apply_listing(self, snapshot: DirectorySnapshot, now: float) -> bool:
        """Apply a complete listing, if no newer revision has been applied.

        Entries that the listing lacks are marked as missing and stay in use until
        :meth:`expire_missing` removes them.

        :param snapshot: the listing.
        :param now: monotonic time, in seconds.
        :return: whether the listing was applied.
        """
        if snapshot.revision < self._revision:
            return False
        for node in self._entries.keys() - snapshot.entries.keys():
            self._missing_at.setdefault(node, now)
        self._revision = snapshot.revision
        self._entries.update(snapshot.entries)
        for node in snapshot.entries:
            self._missing_at.pop(node, None)
        self._rebuild_index()
        return True

    def apply_changes(
        self,
        revision: int,
        updated: Iterable[GateEntry],
        removed: Iterable[str],
        now: float,
    ) -> None:
        """Apply changes of entries that the store reports.

        :param revision: revision of the store after the changes.
        :param updated: entries that were written.
        :param removed: nodes whose entries were deleted.
        :param now: monotonic time, in seconds.
        """
        for entry in updated:
            self._entries[entry.node] = entry
            self._missing_at.pop(entry.node, None)
        for node in removed:
            if node in self._entries:
                self._missing_at.setdefault(node, now)
        self._revision = max(self._revision, revision)
        self._rebuild_index()

    def expire_missing(self, now: float) -> tuple[str, ...]:
        """Remove the entries that have been missing for the grace period.

        :param now: monotonic time, in seconds.
        :return: the nodes whose entries were removed.
        """
        dropped = tuple(
            node
            for node, since in self._missing_at.items()
            if now - since >= MISSING_GRACE_S
        )
        for node in dropped:
            del self._missing_at[node]
            self._entries.pop(node, None)
        if dropped:
            self._rebuild_index()
        return dropped

    def _rebuild_index(self) -> None:
        entry_by_address: dict[str, GateEntry] = {}
        for entry in self._entries.values():
            newest = entry_by_address.get(entry.gate_address)
            if newest is None or entry.born_ms > newest.born_ms:
                entry_by_address[entry.gate_address] = entry
        by_service: dict[str, list[GateEntry]] = {}
        for node in sorted(entry.node for entry in entry_by_address.values()):
            entry = self._entries[node]
            if entry.service and entry.state is UpstreamState.READY:
                by_service.setdefault(entry.service, []).append(entry)
        self._by_service = {name: tuple(found) for name, found in by_service.items()}
        self._by_location.clear()
