"""This node's membership view and the rules for merging the entries of peers."""

import threading
from collections.abc import Callable, Iterable
from dataclasses import replace

from knapweedspring_core import (
    AnnouncedUpstream,
    Counters,
    DeclarationStore,
    EventLog,
    Member,
    MemberState,
    ObjectRecord,
)
from knapweedspring_node._membership._digest import BucketDigest, bucket_of
from knapweedspring_node._membership._settings import Identity
from knapweedspring_node._membership._table import (
    LIVE_STATES,
    MemberTable,
    precedence,
)
from knapweedspring_node._membership._update_queue import UpdateQueue

__all__ = ["LocalState"]


#: When a transfer has more entries than this, they are not queued for dissemination.
BULK_THRESHOLD_ENTRIES = 64


class _BulkTransferFlag(threading.local):
    """Whether the current thread is merging a large transfer."""

    active = False


class LocalState:
    """The member table, this node's own entry and the declarations' digest.

    A peer may hold an entry of this node that has precedence over the node's own entry,
    such as one that marks the node as suspect or dead. When this node receives such an
    entry, it publishes a newer entry of its own, which takes precedence over the peer's
    entry at every node. This is called a refutation.

    :param identity: describes this node.
    :param store: the declarations to disseminate.
    :param events: records changes of members' states, and large transfers.
    :param counters: counts changes of entries, and refutations.
    """

    def __init__(
        self,
        identity: Identity,
        store: DeclarationStore,
        events: EventLog,
        counters: Counters,
    ) -> None:
        self._bulk_transfer = _BulkTransferFlag()
        self._store = store
        self._events = events
        self._counters = counters
        self._table = MemberTable(identity.data_centre)
        self._updates = UpdateQueue()
        self._own_lock = threading.Lock()
        self._own_entry = Member(
            node_id=identity.node_id,
            incarnation=identity.incarnation,
            data_centre=identity.data_centre,
            call_address=identity.call_address,
            control_address="",
            admin_address=identity.admin_address,
        )
        self._records_lock = threading.Lock()
        self._records_digest = BucketDigest()
        self._node_by_address: dict[str, str] = {}
        self._subscribers: list[Callable[[Member], None]] = []
        store.subscribe(self._on_record_changed)
        for record in store.records:
            self._on_record_changed(record)

    @property
    def table(self) -> MemberTable:
        """The table of members, this node included."""
        return self._table

    @property
    def updates(self) -> UpdateQueue:
        """Changes that have not been pushed to the neighbours."""
        return self._updates

    @property
    def own_entry(self) -> Member:
        """This node's entry."""
        return self._own_entry

    @property
    def records_digest(self) -> int:
        """Digest of all declarations."""
        return self._records_digest.root

    @property
    def record_bucket_digests(self) -> bytes:
        """Digests of all buckets of the declarations, concatenated in bucket order."""
        with self._records_lock:
            return self._records_digest.buckets

    def subscribe(self, callback: Callable[[Member], None]) -> None:
        """Register a callback that is called with each changed entry."""
        self._subscribers.append(callback)

    def publish_control_address(self, control_address: str) -> None:
        """Publish this node's entry with the address that peers connect to."""
        self._update_own_entry(
            lambda own: replace(own, control_address=control_address)
        )

    def announce(self, upstream: AnnouncedUpstream) -> bool:
        """Publish an upstream of this VM.

        :return: False when the same upstream is published already.
        """

        def change(own: Member) -> Member:
            others = _upstreams_without(own, upstream.service)
            return replace(own, upstreams=(*others, upstream))

        if upstream in self._own_entry.upstreams:
            return False
        self._update_own_entry(change)
        return True

    def withdraw(self, service: str) -> bool:
        """Remove an upstream from this node's entry.

        :return: False when the service has no published upstream.
        """
        if len(_upstreams_without(self._own_entry, service)) == len(
            self._own_entry.upstreams
        ):
            return False
        self._update_own_entry(
            lambda own: replace(own, upstreams=tuple(_upstreams_without(own, service)))
        )
        return True

    def leave(self) -> None:
        """Publish that this node has left the mesh."""
        self._update_own_entry(lambda own: replace(own, state=MemberState.LEFT))

    def merge_transfer(
        self, members: tuple[Member, ...], records: tuple[ObjectRecord, ...]
    ) -> None:
        """Merge the entries of whole buckets.

        The entries of a large transfer, as on joining, are not queued for
        dissemination: the neighbours get them by comparing digests.
        """
        self._bulk_transfer.active = (
            len(members) + len(records) > BULK_THRESHOLD_ENTRIES
        )
        try:
            n_records = self.merge_records(records)
            n_members = self.merge_members(members)
        finally:
            is_bulk, self._bulk_transfer.active = self._bulk_transfer.active, False
        if is_bulk:
            self._events.record(
                "membership:transfer", n_members=n_members, n_records=n_records
            )

    def merge_members(self, members: Iterable[Member]) -> int:
        """Merge a peer's entries and queue the new ones for dissemination.

        :return: the number of entries that changed this node's view.
        """
        return sum(self._merge_member(member) for member in members)

    def merge_records(self, records: Iterable[ObjectRecord]) -> int:
        """Merge a peer's declarations and queue the new ones for dissemination.

        :return: the number of declarations that changed the store.
        """
        return sum(self._store.merge(record) for record in records)

    def mark_state(self, current: Member, state: MemberState) -> bool:
        """Publish a state that this node has detected for a member.

        :param current: the entry that the detection was based on.
        :param state: the new state.
        :return: False when the entry has changed since it was read; nothing is
            published then.
        """
        changed = self._table.mark_state(current, state)
        if changed is None:
            return False
        self._publish_change(changed, current)
        return True

    def remove_expired_members(self, age_s: float) -> None:
        """Remove members that have been dead or left for ``age_s`` seconds."""
        for state in (MemberState.DEAD, MemberState.LEFT):
            for member in self._table.in_state_longer_than(state, age_s):
                self._table.remove_member(member)
                if self._node_by_address.get(member.control_address) == member.node_id:
                    del self._node_by_address[member.control_address]

    def records_in_buckets(self, buckets: tuple[int, ...]) -> tuple[ObjectRecord, ...]:
        """Return the declarations of some buckets.

        :param buckets: numbers of the buckets.
        """
        wanted = frozenset(buckets)
        return tuple(
            record
            for record in self._store.records
            if bucket_of(str(record.key)) in wanted
        )

    def _merge_member(self, member: Member) -> bool:
        if member.node_id == self._own_entry.node_id:
            return self._refute(member)
        previous = self._table.find(member.node_id)
        if not self._table.merge(member):
            return False
        self._publish_change(member, previous)
        if member.state in LIVE_STATES:
            self._mark_replaced_node_dead(member)
        return True

    def _refute(self, peer_entry: Member) -> bool:
        """Publish a newer entry of this node if a peer's entry has precedence over it.

        :return: whether a newer entry was published.
        """
        with self._own_lock:
            if precedence(peer_entry) <= precedence(self._own_entry):
                return False
            self._own_entry = _superseding_entry(peer_entry, self._own_entry)
            refutation = self._own_entry
            self._table.merge(refutation)
        self._counters.add("membership_refutations")
        self._publish_change(refutation, peer_entry)
        return True

    def _mark_replaced_node_dead(self, member: Member) -> None:
        """Mark as dead the node that had the member's control address before."""
        replaced_id = self._node_by_address.get(member.control_address)
        self._node_by_address[member.control_address] = member.node_id
        if replaced_id is None or replaced_id == member.node_id:
            return
        replaced = self._table.find(replaced_id)
        if replaced is None or replaced.control_address != member.control_address:
            return
        if replaced.state in LIVE_STATES and replaced.incarnation < member.incarnation:
            self.mark_state(replaced, MemberState.DEAD)

    def _update_own_entry(self, change: Callable[[Member], Member]) -> None:
        with self._own_lock:
            previous = self._own_entry
            self._own_entry = replace(change(previous), revision=previous.revision + 1)
            self._table.merge(self._own_entry)
            changed = self._own_entry
        self._publish_change(changed, previous)

    def _publish_change(self, member: Member, previous: Member | None) -> None:
        self._counters.add("membership_changes", member.state)
        is_own = member.node_id == self._own_entry.node_id
        is_disseminated = is_own or not self._bulk_transfer.active
        if is_disseminated:
            self._updates.add_member(member, urgent=is_own)
        is_new_state = previous is None or previous.state is not member.state
        if is_disseminated and is_new_state:
            self._events.record(
                "membership:state",
                node=member.node_id,
                state=member.state,
                incarnation=member.incarnation,
            )
        for callback in self._subscribers:
            callback(member)

    def _on_record_changed(self, record: ObjectRecord) -> None:
        with self._records_lock:
            # The callbacks of two merges may run in either order, so the version
            # is read from the store.
            version = self._store.version_of(record.key)
            self._records_digest.put(str(record.key), str(version))
        if not self._bulk_transfer.active:
            self._updates.add_record(record)


def _upstreams_without(member: Member, service: str) -> list[AnnouncedUpstream]:
    return [upstream for upstream in member.upstreams if upstream.service != service]


def _superseding_entry(peer_entry: Member, own: Member) -> Member:
    if peer_entry.incarnation > own.incarnation:
        # An earlier process with this node ID had a clock that was ahead.
        return replace(own, incarnation=peer_entry.incarnation + 1, revision=0)
    return replace(own, revision=peer_entry.revision + 1)
