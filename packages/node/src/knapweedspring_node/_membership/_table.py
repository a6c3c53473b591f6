"""The table of members: precedence of entries, and snapshots for readers."""

import threading
import time
from dataclasses import dataclass, replace

from knapweedspring_core import Member, MemberState, UpstreamState
from knapweedspring_node._membership._digest import BucketDigest, bucket_of

__all__ = ["LIVE_STATES", "MemberTable"]

#: States of nodes that may still respond.
LIVE_STATES = frozenset({MemberState.ALIVE, MemberState.SUSPECT})

_STATE_RANK = {
    MemberState.ALIVE: 0,
    MemberState.SUSPECT: 1,
    MemberState.DEAD: 2,
    MemberState.LEFT: 3,
}


@dataclass(frozen=True, slots=True)
class _Entry:
    """A member and the time of its last change."""

    member: Member
    #: Monotonic time in seconds at which the entry was stored.
    updated_at: float


def precedence(member: Member) -> tuple[int, int, int]:
    """Return the key that orders the entries of one node.

    Every node of the mesh keeps the entry with the greatest key.
    """
    return member.incarnation, member.revision, _STATE_RANK[member.state]


class MemberTable:
    """The entries of all nodes; ``LocalState`` adds the rules of refutation.

    Readers get immutable snapshots without a lock. Merging is commutative and
    idempotent, as the entry with the greatest precedence wins.

    :param own_data_centre: data centre of this node; :meth:`providers` returns the
        members of this data centre before all others.
    """

    def __init__(self, own_data_centre: str) -> None:
        self._own_data_centre = own_data_centre
        self._lock = threading.Lock()
        self._entries: dict[str, _Entry] = {}
        self._digest = BucketDigest()
        self._by_service: dict[str, dict[str, Member]] = {}
        self._providers: dict[str, tuple[Member, ...]] = {}
        #: Last snapshot of the entries; None when an entry has changed since then.
        self._members: tuple[Member, ...] | None = ()
        self._live_version = 0
        self._changed_at = time.monotonic()

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
        """Counter that increases when the set of live members changes."""
        return self._live_version

    @property
    def changed_at(self) -> float:
        """Monotonic time in seconds at which an entry was last stored."""
        return self._changed_at

    @property
    def members(self) -> tuple[Member, ...]:
        """Snapshot of all entries."""
        snapshot = self._members
        if snapshot is None:
            with self._lock:
                snapshot = tuple(entry.member for entry in self._entries.values())
                self._members = snapshot
        return snapshot

    def providers(self, service: str) -> tuple[Member, ...]:
        """Return the live members with a ready upstream of the service.

        Members of this node's data centre come first. The tuple is cached until an
        entry with the service changes.
        """
        snapshot = self._providers.get(service)
        if snapshot is not None:
            return snapshot
        if service not in self._by_service:
            return ()
        with self._lock:
            snapshot = self._own_data_centre_first(self._by_service.get(service, {}))
            self._providers[service] = snapshot
        return snapshot

    def find(self, node_id: str) -> Member | None:
        """Look up an entry by node ID."""
        entry = self._entries.get(node_id)
        return None if entry is None else entry.member

    def merge(self, member: Member) -> bool:
        """Store an entry that takes precedence over the current one.

        An unknown node that is dead or has left is not added, so that expired
        entries do not return from peers that keep them longer.

        :return: whether the entry was stored.
        """
        with self._lock:
            current = self._entries.get(member.node_id)
            if current is None and member.state not in LIVE_STATES:
                return False
            if current is not None and precedence(current.member) >= precedence(member):
                return False
            self._put_entry(member, current)
            return True

    def mark_state(self, current: Member, state: MemberState) -> Member | None:
        """Change the state of an entry.

        :param current: the entry as the caller read it.
        :param state: the new state.
        :return: the new entry, or None when the entry has changed meanwhile.
        """
        changed = replace(current, state=state)
        with self._lock:
            entry = self._entries.get(current.node_id)
            if entry is None or entry.member != current:
                return None
            self._put_entry(changed, entry)
        return changed

    def in_state_longer_than(
        self, state: MemberState, age_s: float
    ) -> tuple[Member, ...]:
        """Return the entries in a state that last changed at least ``age_s`` ago.

        :param state: state of the entries.
        :param age_s: smallest time since the last change of an entry, in seconds.
        """
        cutoff_at = time.monotonic() - age_s
        with self._lock:
            return tuple(
                entry.member
                for entry in self._entries.values()
                if entry.member.state is state and entry.updated_at <= cutoff_at
            )

    def remove_member(self, member: Member) -> None:
        """Remove an entry, unless it has changed since the caller read it."""
        with self._lock:
            entry = self._entries.get(member.node_id)
            if entry is not None and entry.member == member:
                del self._entries[member.node_id]
                self._digest.remove(member.node_id)
                self._members = None

    def members_in_buckets(self, buckets: tuple[int, ...]) -> tuple[Member, ...]:
        """Return the entries in the given buckets, whatever the state of the members.

        :param buckets: numbers of the buckets.
        """
        wanted = frozenset(buckets)
        return tuple(
            member for member in self.members if bucket_of(member.node_id) in wanted
        )

    def _put_entry(self, member: Member, previous: _Entry | None) -> None:
        was_live = previous is not None and previous.member.state in LIVE_STATES
        is_live = member.state in LIVE_STATES
        self._changed_at = time.monotonic()
        self._entries[member.node_id] = _Entry(member, self._changed_at)
        self._members = None
        if is_live:
            version = f"{member.incarnation}.{member.revision}"
            self._digest.put(member.node_id, version)
        else:
            self._digest.remove(member.node_id)
        if was_live != is_live:
            self._live_version += 1
        self._index_services(member, previous)

    def _index_services(self, member: Member, previous: _Entry | None) -> None:
        services = {upstream.service for upstream in member.upstreams}
        if previous is not None:
            services |= {upstream.service for upstream in previous.member.upstreams}
        for service in services:
            nodes = self._by_service.setdefault(service, {})
            if _provides(member, service):
                nodes[member.node_id] = member
            else:
                nodes.pop(member.node_id, None)
            if not nodes:
                del self._by_service[service]
            self._providers.pop(service, None)

    def _own_data_centre_first(self, nodes: dict[str, Member]) -> tuple[Member, ...]:
        def is_remote(member: Member) -> bool:
            return member.data_centre != self._own_data_centre

        return tuple(sorted(nodes.values(), key=is_remote))


def _provides(member: Member, service: str) -> bool:
    return member.state in LIVE_STATES and any(
        upstream.service == service and upstream.state is UpstreamState.READY
        for upstream in member.upstreams
    )
