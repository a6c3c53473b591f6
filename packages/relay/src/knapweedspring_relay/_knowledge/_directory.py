"""Directory of the gates, with the node and the upstream of each."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

from knapweedspring_relay._clock import now_s
from knapweedspring_relay._knowledge._change_log import ChangeLog
from knapweedspring_relay._knowledge._leavings import Leavings
from knapweedspring_relay._knowledge._position import ORIGIN, StorePosition
from knapweedspring_relay._upstream_process import UpstreamProcess

__all__ = [
    "Directory",
    "DirectorySnapshot",
    "GateEntry",
    "SkippedEntry",
    "UpstreamState",
]

#: Time for which an entry that disappeared from the store stays in use, in seconds. Its
#: node writes it again within two seconds of the end of an outage of the store.
MISSING_GRACE_S = 2.5
#: Number of processes that are remembered as departed. They are needed only when the
#: store is restored from an older copy, which lists the entries of the last seconds.
MAX_DEPARTED = 4_096


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

    @property
    def process(self) -> UpstreamProcess:
        """Identity of the run of the upstream."""
        return UpstreamProcess(self.node, self.instance, self.born_ms)


@dataclass(frozen=True, slots=True)
class SkippedEntry:
    """An entry that cannot be used, for example one of another writer."""

    #: Name of the entry.
    name: str
    #: Why it cannot be used, for logs.
    reason: str


@dataclass(frozen=True, slots=True)
class DirectorySnapshot:
    """All entries as of one position of the store."""

    #: Position of the store; a greater one is newer.
    position: StorePosition
    #: Entries by node.
    entries: Mapping[str, GateEntry]
    #: Entries that cannot be used.
    skipped: tuple[SkippedEntry, ...] = ()


class _ServiceLocation(NamedTuple):
    """Key of the index by service and data centre."""

    #: Name of the service.
    service: str
    #: Name of the data centre.
    data_centre: str


class Directory:
    """Entries of the directory on this node, with look-up by service.

    When several entries have the same gate address, only the entry with the newest
    process is used. So an address that was reassigned leads to the new VM only. Entries
    without a declared service are not used, and hide no other entry.
    """

    def __init__(self) -> None:
        self._position = ORIGIN
        self._entries: dict[str, GateEntry] = {}
        self._missing_at: dict[str, float] = {}
        self._departed: dict[UpstreamProcess, None] = {}
        self._leavings = Leavings()
        #: Names of the declared services; None before the first configuration.
        self._services: frozenset[str] | None = None
        self._changes = ChangeLog()
        self._by_service: dict[str, tuple[GateEntry, ...]] = {}
        self._by_location: dict[_ServiceLocation, tuple[GateEntry, ...]] = {}

    @property
    def position(self) -> StorePosition:
        """Position of the store that the entries correspond to; ``ORIGIN`` at first."""
        return self._position

    @property
    def entries(self) -> Mapping[str, GateEntry]:
        """Entries by node, with those that disappeared within the grace period."""
        return self._entries

    @property
    def n_nodes(self) -> int:
        """Number of nodes known, at least 1."""
        return max(1, len(self._entries))

    def listed_entry(self, node: str) -> GateEntry | None:
        """Return the entry of a node; None when the store has none.

        :param node: name of the node.
        """
        return None if node in self._missing_at else self._entries.get(node)

    def listed_entries(self) -> tuple[GateEntry, ...]:
        """Return the entries that the store has."""
        return tuple(
            entry
            for node, entry in self._entries.items()
            if node not in self._missing_at
        )

    def nodes_changed_since(self, position: StorePosition) -> frozenset[str] | None:
        """Return the nodes whose entries changed after a position.

        :param position: position of the reader.
        :return: the nodes; None when the reader needs all entries.
        """
        return self._changes.nodes_changed_since(position)

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

    def declare_services(self, names: Iterable[str]) -> None:
        """Use the entries of the declared services only.

        :param names: names of all services of the configuration in force.
        """
        services = frozenset(names)
        if services != self._services:
            self._services = services
            self._rebuild_index()

    @property
    def leavings(self) -> Leavings:
        """Processes that are known to leave."""
        return self._leavings

    def record_leaving(self, process: UpstreamProcess) -> bool:
        """Stop using a process that its gate, or another node, reported as leaving.

        The process stays unused whatever its entry says: the gate may be restarted
        before it can publish the leaving.

        :param process: the process.
        :return: whether it was not known to leave.
        """
        if not self._leavings.record(process, now_s()):
            return False
        self._rebuild_index()
        return True

    def leavings_to_pass_on(self, now: float) -> tuple[UpstreamProcess, ...]:
        """Return the latest processes that leave without their entries saying so.

        :param now: monotonic time, in seconds.
        """
        return tuple(
            process
            for process in self._leavings.latest(now)
            if self._is_untold(process)
        )

    def _is_untold(self, process: UpstreamProcess) -> bool:
        """Return whether the entry of a node does not tell that a process leaves."""
        entry = self._entries.get(process.node)
        if entry is None or entry.born_ms < process.born_ms:
            return True
        return entry.process == process and entry.state is UpstreamState.READY

    def apply_listing(self, snapshot: DirectorySnapshot, now: float) -> bool:
        """Apply a complete listing, if no newer position has been applied.

        Entries that the listing lacks are marked as missing and stay in use until
        :meth:`expire_missing` removes them. A listing of a newer era comes from an
        older copy of the store: entries of processes that have departed since are
        ignored, and a process that drains stays draining.

        :param snapshot: the listing.
        :param now: monotonic time, in seconds.
        :return: whether the listing was applied.
        """
        if snapshot.position < self._position:
            return False
        is_restored = snapshot.position.era > self._position.era
        listed = dict(snapshot.entries)
        if is_restored:
            listed = self._without_departed(listed)
        changed = {
            node
            for node, entry in listed.items()
            if node in self._missing_at or self._entries.get(node) != entry
        }
        for node in self._entries.keys() - listed.keys():
            if node not in self._missing_at:
                self._missing_at[node] = now
                changed.add(node)
            if not is_restored:
                self._record_departure(node)
        if is_restored or self._position == ORIGIN:
            self._changes.restart(snapshot.position)
        else:
            self._changes.add(snapshot.position, frozenset(changed))
        self._position = snapshot.position
        self._entries.update(listed)
        for node in listed:
            self._missing_at.pop(node, None)
        self._rebuild_index()
        return True

    def apply_changes(
        self,
        position: StorePosition,
        updated: Iterable[GateEntry],
        removed: Iterable[str],
        now: float,
    ) -> bool:
        """Apply changes of entries that the store reports.

        :param position: position of the store after the changes.
        :param updated: entries that were written.
        :param removed: nodes whose entries were deleted.
        :param now: monotonic time, in seconds.
        :return: whether the changes were applied; False when they belong to another era
            or are older than the directory.
        """
        if position.era != self._position.era or position < self._position:
            return False
        changed = set()
        for entry in updated:
            changed.add(entry.node)
            self._entries[entry.node] = entry
            self._missing_at.pop(entry.node, None)
            self._departed.pop(entry.process, None)
        for node in removed:
            if node in self._entries:
                changed.add(node)
                self._missing_at.setdefault(node, now)
                self._record_departure(node)
        self._changes.add(position, frozenset(changed))
        self._position = position
        if changed:
            self._rebuild_index()
        return True

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

    def _record_departure(self, node: str) -> None:
        self._departed[self._entries[node].process] = None
        if len(self._departed) > MAX_DEPARTED:
            del self._departed[next(iter(self._departed))]

    def _without_departed(
        self, listed: Mapping[str, GateEntry]
    ) -> dict[str, GateEntry]:
        """Correct a listing of an older copy by what is known of its processes."""
        corrected = {}
        for node, entry in listed.items():
            process, known = entry.process, self._entries.get(node)
            if process in self._departed:
                continue
            drains = known is not None and known.state is UpstreamState.DRAINING
            if drains and known is not None and known.process == process:
                entry = known
            corrected[node] = entry
        return corrected

    def _is_declared(self, service: str) -> bool:
        return bool(service) and (self._services is None or service in self._services)

    def _rebuild_index(self) -> None:
        entry_by_address: dict[str, GateEntry] = {}
        for entry in self._entries.values():
            if not self._is_declared(entry.service):
                continue
            newest = entry_by_address.get(entry.gate_address)
            if newest is None or entry.born_ms > newest.born_ms:
                entry_by_address[entry.gate_address] = entry
        by_service: dict[str, list[GateEntry]] = {}
        for node in sorted(entry.node for entry in entry_by_address.values()):
            entry = self._entries[node]
            is_ready = entry.state is UpstreamState.READY
            if is_ready and entry.process not in self._leavings:
                by_service.setdefault(entry.service, []).append(entry)
        self._by_service = {name: tuple(found) for name, found in by_service.items()}
        self._by_location.clear()
