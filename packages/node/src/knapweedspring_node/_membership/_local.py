"""What this node holds of the mesh, and the rules for taking in what peers say."""

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
from knapweedspring_node._membership._news import NewsQueue
from knapweedspring_node._membership._settings import Identity
from knapweedspring_node._membership._table import (
    LIVE_STATES,
    MemberTable,
    precedence,
)

__all__ = ["LocalState"]


#: Entries of one transfer from which on it is not passed on entry by entry.
BULK_MIN_ENTRIES = 64


class _Bulk(threading.local):
    """Whether the present thread merges a large transfer."""

    active = False


class LocalState:
    """The member table with the own entry, and the declarations' digest.

    :param identity: the own node.
    :param store: declarations that are spread.
    :param events: records changes of members' states.
    :param counters: counts suspicions and refutations.
    """

    def __init__(
        self,
        identity: Identity,
        store: DeclarationStore,
        events: EventLog,
        counters: Counters,
    ) -> None:
        self._bulk = _Bulk()
        self._store = store
        self._events = events
        self._counters = counters
        self._table = MemberTable(identity.data_centre)
        self._news = NewsQueue()
        self._own_lock = threading.Lock()
        self._own = Member(
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
        store.subscribe(self._on_record)
        for record in store.records:
            self._on_record(record)

    @property
    def table(self) -> MemberTable:
        """The members, the own node included."""
        return self._table

    @property
    def news(self) -> NewsQueue:
        """Changes that the neighbours have not been told."""
        return self._news

    @property
    def own(self) -> Member:
        """The own entry."""
        return self._own

    @property
    def records_digest(self) -> int:
        """Digest of the declarations."""
        return self._records_digest.root

    @property
    def record_bucket_digests(self) -> bytes:
        """Digest of each bucket of the declarations."""
        with self._records_lock:
            return self._records_digest.buckets

    def subscribe(self, callback: Callable[[Member], None]) -> None:
        """Have ``callback`` called with each entry that changed."""
        self._subscribers.append(callback)

    def open(self, control_address: str) -> None:
        """Publish the own entry with the address that peers connect to."""
        self._change_own(lambda own: replace(own, control_address=control_address))

    def announce(self, upstream: AnnouncedUpstream) -> bool:
        """Publish an upstream; False when nothing changed."""

        def change(own: Member) -> Member:
            others = _without(own, upstream.service)
            return replace(own, upstreams=(*others, upstream))

        if upstream in self._own.upstreams:
            return False
        self._change_own(change)
        return True

    def withdraw(self, service: str) -> bool:
        """Take an upstream out; False when there is none."""
        if len(_without(self._own, service)) == len(self._own.upstreams):
            return False
        self._change_own(
            lambda own: replace(own, upstreams=tuple(_without(own, service)))
        )
        return True

    def leave(self) -> None:
        """Publish that the node departs for good."""
        self._change_own(lambda own: replace(own, state=MemberState.LEFT))

    def merge_transfer(
        self, members: tuple[Member, ...], records: tuple[ObjectRecord, ...]
    ) -> None:
        """Take in the entries of whole buckets.

        A large transfer, as on joining, is not passed on entry by entry: the
        neighbours compare digests themselves.
        """
        self._bulk.active = len(members) + len(records) > BULK_MIN_ENTRIES
        try:
            n_records = self.merge_records(records)
            n_members = self.merge_members(members)
        finally:
            is_bulk, self._bulk.active = self._bulk.active, False
        if is_bulk:
            self._events.record(
                "membership:transfer", n_members=n_members, n_records=n_records
            )

    def merge_members(self, members: Iterable[Member]) -> int:
        """Take in what a peer holds; what is new will be passed on.

        :return: how many entries were new.
        """
        return sum(self._merge_member(member) for member in members)

    def merge_records(self, records: Iterable[ObjectRecord]) -> int:
        """Take in a peer's declarations; what is new will be passed on."""
        return sum(self._store.merge(record) for record in records)

    def mark(self, held: Member, state: MemberState) -> bool:
        """Change a member's state on this node's own judgement."""
        changed = self._table.mark(held, state)
        if changed is None:
            return False
        self._tell(changed, held)
        return True

    def expire(self, age_s: float) -> None:
        """Forget members that have been dead or gone for ``age_s`` seconds."""
        for state in (MemberState.DEAD, MemberState.LEFT):
            for member in self._table.older_than(state, age_s):
                self._table.forget(member)
                if self._node_by_address.get(member.control_address) == member.node_id:
                    del self._node_by_address[member.control_address]

    def records_in_buckets(self, buckets: tuple[int, ...]) -> tuple[ObjectRecord, ...]:
        """Declarations of some buckets."""
        wanted = frozenset(buckets)
        return tuple(
            record
            for record in self._store.records
            if bucket_of(str(record.key)) in wanted
        )

    def _merge_member(self, member: Member) -> bool:
        if member.node_id == self._own.node_id:
            return self._refute(member)
        held = self._table.find(member.node_id)
        if not self._table.merge(member):
            return False
        self._tell(member, held)
        if member.state in LIVE_STATES:
            self._retire_predecessor(member)
        return True

    def _refute(self, claim: Member) -> bool:
        """Publish a newer own entry when peers hold another one."""
        with self._own_lock:
            if precedence(claim) <= precedence(self._own):
                return False
            self._own = _above(claim, self._own)
            refuted = self._own
            self._table.merge(refuted)
        self._counters.add("membership_refutations")
        self._tell(refuted, claim)
        return True

    def _retire_predecessor(self, member: Member) -> None:
        """Hold the node dead whose control address has a new owner."""
        other_id = self._node_by_address.get(member.control_address)
        self._node_by_address[member.control_address] = member.node_id
        if other_id is None or other_id == member.node_id:
            return
        other = self._table.find(other_id)
        if other is None or other.control_address != member.control_address:
            return
        if other.state in LIVE_STATES and other.incarnation < member.incarnation:
            self.mark(other, MemberState.DEAD)

    def _change_own(self, change: Callable[[Member], Member]) -> None:
        with self._own_lock:
            held = self._own
            self._own = replace(change(held), revision=held.revision + 1)
            self._table.merge(self._own)
            changed = self._own
        self._tell(changed, held)

    def _tell(self, member: Member, held: Member | None) -> None:
        self._counters.add("membership_changes", member.state)
        is_own = member.node_id == self._own.node_id
        is_passed_on = is_own or not self._bulk.active
        if is_passed_on:
            self._news.add_member(member, urgent=is_own)
        is_new_state = held is None or held.state is not member.state
        if is_passed_on and is_new_state:
            self._events.record(
                "membership:state",
                node=member.node_id,
                state=member.state,
                incarnation=member.incarnation,
            )
        for callback in self._subscribers:
            callback(member)

    def _on_record(self, record: ObjectRecord) -> None:
        with self._records_lock:
            # The callbacks of two merges may arrive in either order.
            version = self._store.version_of(record.key)
            self._records_digest.put(str(record.key), str(version))
        if not self._bulk.active:
            self._news.add_record(record)


def _without(member: Member, service: str) -> list[AnnouncedUpstream]:
    return [one for one in member.upstreams if one.service != service]


def _above(claim: Member, own: Member) -> Member:
    if claim.incarnation > own.incarnation:
        # A process that bore this name before had a clock that ran ahead.
        return replace(own, incarnation=claim.incarnation + 1, revision=0)
    return replace(own, revision=claim.revision + 1)
