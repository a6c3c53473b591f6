"""Directory of the gates: which node stands beside which upstream."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

__all__ = ["Directory", "DirectorySnapshot", "GateEntry", "UpstreamState"]

#: Entries that vanish from the store are used this much longer: their owners put
#: them back within two seconds of an outage's end.
MISSING_GRACE_S = 2.5


class UpstreamState(StrEnum):
    """What an upstream says of itself."""

    #: Takes requests.
    READY = "ready"
    #: Finishes what it has and takes no new requests.
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class GateEntry:
    """What one node publishes of its gate and of the upstream beside it."""

    #: Name of the node, unique in the deployment.
    node: str
    #: Where other nodes send calls for the upstream, as ``ip:port``.
    gate_address: str
    #: Where other nodes ask what this one knows, as ``ip:port``.
    knowledge_address: str
    #: Data centre of the node.
    data_centre: str
    #: Service of the upstream; empty when the node knows of none.
    service: str
    #: Identity of the upstream's process.
    instance: str
    #: When that process started, in milliseconds since the epoch.
    born_ms: int
    #: Requests that the upstream works on at the same time.
    slots: int
    #: State of the upstream.
    state: UpstreamState


@dataclass(frozen=True, slots=True)
class DirectorySnapshot:
    """All entries as of one revision of the store."""

    #: Revision; the greater one is the newer one.
    revision: int
    #: Entries by node.
    entries: Mapping[str, GateEntry]


class _Place(NamedTuple):
    """A service in a data centre."""

    #: Name of the service.
    service: str
    #: Name of the data centre.
    data_centre: str


class Directory:
    """The entries that this node believes, and look-up by service.

    Entries of one gate address compete: the newest process there holds it, so an
    address that was given to another VM names the new one only.
    """

    def __init__(self) -> None:
        self._revision = 0
        self._entries: dict[str, GateEntry] = {}
        self._missing_at: dict[str, float] = {}
        self._by_service: dict[str, tuple[GateEntry, ...]] = {}
        self._by_place: dict[_Place, tuple[GateEntry, ...]] = {}

    @property
    def revision(self) -> int:
        """Revision of the store that the entries stand for."""
        return self._revision

    @property
    def entries(self) -> Mapping[str, GateEntry]:
        """Entries by node."""
        return self._entries

    @property
    def n_nodes(self) -> int:
        """Number of nodes known, at least 1."""
        return max(1, len(self._entries))

    def providers(self, service: str) -> tuple[GateEntry, ...]:
        """Return the gates of a service whose upstreams take requests."""
        return self._by_service.get(service, ())

    def providers_in(self, service: str, data_centre: str) -> tuple[GateEntry, ...]:
        """Return those of them in one data centre."""
        place = _Place(service, data_centre)
        found = self._by_place.get(place)
        if found is None:
            found = tuple(
                entry
                for entry in self.providers(service)
                if entry.data_centre == data_centre
            )
            self._by_place[place] = found
        return found

    def replace_all(self, snapshot: DirectorySnapshot, now: float) -> bool:
        """Take over a whole listing unless a newer one is held.

        :param snapshot: the listing.
        :param now: monotonic time, in seconds.
        :return: whether it was taken.
        """
        if snapshot.revision < self._revision:
            return False
        for node in self._entries.keys() - snapshot.entries.keys():
            self._missing_at.setdefault(node, now)
        self._revision = snapshot.revision
        self._entries.update(snapshot.entries)
        for node in snapshot.entries:
            self._missing_at.pop(node, None)
        self._rebuild()
        return True

    def change(
        self,
        revision: int,
        updated: Iterable[GateEntry],
        removed: Iterable[str],
        now: float,
    ) -> None:
        """Take in the changes up to a revision.

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
        self._rebuild()

    def drop_missing(self, now: float) -> tuple[str, ...]:
        """Forget the entries that have been missing for the grace period.

        :param now: monotonic time, in seconds.
        :return: the nodes that were forgotten.
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
            self._rebuild()
        return dropped

    def _rebuild(self) -> None:
        holders: dict[str, GateEntry] = {}
        for entry in self._entries.values():
            holder = holders.get(entry.gate_address)
            if holder is None or entry.born_ms > holder.born_ms:
                holders[entry.gate_address] = entry
        by_service: dict[str, list[GateEntry]] = {}
        for node in sorted(entry.node for entry in holders.values()):
            entry = self._entries[node]
            if entry.service and entry.state is UpstreamState.READY:
                by_service.setdefault(entry.service, []).append(entry)
        self._by_service = {name: tuple(found) for name, found in by_service.items()}
        self._by_place.clear()
