"""The table of members: which entry wins, and the snapshots that readers get."""

import threading
import time
from dataclasses import dataclass, replace

from knapweedspring_core import Member, MemberState, UpstreamState
from knapweedspring_node._membership._digest import BucketDigest, bucket_of

__all__ = ["LIVE_STATES", "MemberTable"]

#: States in which a node may answer.
LIVE_STATES = frozenset({MemberState.ALIVE, MemberState.SUSPECT})

_RANK = {
    MemberState.ALIVE: 0,
    MemberState.SUSPECT: 1,
    MemberState.DEAD: 2,
    MemberState.LEFT: 3,
}


@dataclass(frozen=True, slots=True)
class _Entry:
    """A member and when its state was taken over."""

    member: Member
    #: Monotonic time in seconds.
    since_s: float


def precedence(member: Member) -> tuple[int, int, int]:
    """Order entries of one node: the greatest wins everywhere."""
    return member.incarnation, member.revision, _RANK[member.state]


class MemberTable:
    """Entries of all nodes but the own one's rules of refutation.

    Readers get immutable snapshots without a lock. Merging is commutative and
    idempotent, as the entry with the greatest precedence wins.

    :param own_data_centre: its providers come first.
    """

    def __init__(self, own_data_centre: str) -> None:
        self._own_data_centre = own_data_centre
        self._lock = threading.Lock()
        self._entries: dict[str, _Entry] = {}
        self._digest = BucketDigest()
        self._by_service: dict[str, dict[str, Member]] = {}
        self._providers: dict[str, tuple[Member, ...]] = {}
        self._members: tuple[Member, ...] | None = ()
        self._live_version = 0
        self._changed_s = time.monotonic()

    @property
    def digest(self) -> int:
        """Digest of the live members."""
        return self._digest.root

    @property
    def bucket_digests(self) -> bytes:
        """Digest of each bucket of the live members."""
        with self._lock:
            return self._digest.buckets

    @property
    def live_version(self) -> int:
        """Grows when a node joins or leaves the live members."""
        return self._live_version

    @property
    def changed_s(self) -> float:
        """Monotonic time of the last change, in seconds."""
        return self._changed_s

    @property
    def members(self) -> tuple[Member, ...]:
        """All entries."""
        snapshot = self._members
        if snapshot is None:
            with self._lock:
                snapshot = tuple(entry.member for entry in self._entries.values())
                self._members = snapshot
        return snapshot

    def providers(self, service: str) -> tuple[Member, ...]:
        """Live members with a ready upstream of the service.

        The first call after a change sorts them; the others look a tuple up.
        """
        snapshot = self._providers.get(service)
        if snapshot is not None:
            return snapshot
        if service not in self._by_service:
            return ()
        with self._lock:
            snapshot = self._ordered(self._by_service.get(service, {}))
            self._providers[service] = snapshot
        return snapshot

    def find(self, node_id: str) -> Member | None:
        """Look an entry up."""
        entry = self._entries.get(node_id)
        return None if entry is None else entry.member

    def merge(self, member: Member) -> bool:
        """Take an entry in when it goes before the one held.

        A dead or departed node that is not known is not added, so that
        expired entries do not come back from peers that hold them longer.

        :return: whether the entry was taken.
        """
        with self._lock:
            held = self._entries.get(member.node_id)
            if held is None and member.state not in LIVE_STATES:
                return False
            if held is not None and precedence(held.member) >= precedence(member):
                return False
            self._put(member, held)
            return True

    def mark(self, held: Member, state: MemberState) -> Member | None:
        """Change the state of an entry that still is ``held``.

        :return: the new entry, None when another came first.
        """
        changed = replace(held, state=state)
        with self._lock:
            entry = self._entries.get(held.node_id)
            if entry is None or entry.member != held:
                return None
            self._put(changed, entry)
        return changed

    def older_than(self, state: MemberState, age_s: float) -> tuple[Member, ...]:
        """Entries that have been in a state for longer than ``age_s``."""
        limit = time.monotonic() - age_s
        with self._lock:
            return tuple(
                entry.member
                for entry in self._entries.values()
                if entry.member.state is state and entry.since_s <= limit
            )

    def forget(self, member: Member) -> None:
        """Drop an entry that still is ``member``."""
        with self._lock:
            entry = self._entries.get(member.node_id)
            if entry is not None and entry.member == member:
                del self._entries[member.node_id]
                self._digest.remove(member.node_id)
                self._members = None

    def in_buckets(self, buckets: tuple[int, ...]) -> tuple[Member, ...]:
        """Entries of some buckets, dead ones included."""
        wanted = frozenset(buckets)
        return tuple(
            member for member in self.members if bucket_of(member.node_id) in wanted
        )

    def _put(self, member: Member, held: _Entry | None) -> None:
        was_live = held is not None and held.member.state in LIVE_STATES
        is_live = member.state in LIVE_STATES
        self._changed_s = time.monotonic()
        self._entries[member.node_id] = _Entry(member, self._changed_s)
        self._members = None
        if is_live:
            version = f"{member.incarnation}.{member.revision}"
            self._digest.put(member.node_id, version)
        else:
            self._digest.remove(member.node_id)
        if was_live != is_live:
            self._live_version += 1
        self._index(member, held)

    def _index(self, member: Member, held: _Entry | None) -> None:
        services = {upstream.service for upstream in member.upstreams}
        if held is not None:
            services |= {upstream.service for upstream in held.member.upstreams}
        for service in services:
            nodes = self._by_service.setdefault(service, {})
            if _provides(member, service):
                nodes[member.node_id] = member
            else:
                nodes.pop(member.node_id, None)
            if not nodes:
                del self._by_service[service]
            self._providers.pop(service, None)

    def _ordered(self, nodes: dict[str, Member]) -> tuple[Member, ...]:
        def is_remote(member: Member) -> bool:
            return member.data_centre != self._own_data_centre

        return tuple(sorted(nodes.values(), key=is_remote))


def _provides(member: Member, service: str) -> bool:
    return member.state in LIVE_STATES and any(
        upstream.service == service and upstream.state is UpstreamState.READY
        for upstream in member.upstreams
    )
