"""Comparing digests with peers, joining, and finding lost parts of the mesh."""

import threading
import time

from result import Err

from knapweedspring_core import Counters, Member, MemberState
from knapweedspring_node._membership._digest import differing_buckets
from knapweedspring_node._membership._links import Exchange, LinkPool, Outcome
from knapweedspring_node._membership._local import LocalState
from knapweedspring_node._membership._messages import (
    Digests,
    Entries,
    Gossip,
    Kind,
    pack,
    unpack,
)
from knapweedspring_node._membership._settings import MembershipSettings
from knapweedspring_node._membership._spreader import Spreader
from knapweedspring_node._membership._table import LIVE_STATES
from knapweedspring_node._membership._topology import Topology

__all__ = ["Reconciler"]

#: Seconds that a peer has to send a whole set of entries.
TRANSFER_TIMEOUT_S = 10.0
#: Shortest time between two transfers from peers that are not known yet, in s.
JOIN_TRANSFER_PERIOD_S = 0.3
#: Shortest time between two transfers, when declarations differ, in seconds.
RECORDS_TRANSFER_PERIOD_S = 1.0
#: The same, when only members differ, as a part of the sync period.
MEMBERS_TRANSFER_PERIOD_FACTOR = 0.25
#: Seconds that a pushed change needs to reach all nodes.
NEWS_TRAVEL_S = 2.0
#: Seconds between two attempts to join while no peer is known.
JOIN_PERIOD_S = 0.5


class Reconciler:
    """Repairs whatever the pushes missed.

    :param local: members and declarations.
    :param topology: chooses peers.
    :param links: carries messages.
    :param spreader: composes and takes in gossip.
    :param settings: periods.
    :param counters: counts transfers.
    """

    def __init__(
        self,
        local: LocalState,
        topology: Topology,
        links: LinkPool,
        spreader: Spreader,
        settings: MembershipSettings,
        counters: Counters,
    ) -> None:
        self._local = local
        self._topology = topology
        self._links = links
        self._spreader = spreader
        self._settings = settings
        self._counters = counters
        self._lock = threading.Lock()
        self._contacts: dict[str, None] = {}
        self._transferred_s = 0.0
        self._rejoined_s = 0.0

    def add_contacts(self, addresses: tuple[str, ...]) -> None:
        """Remember control addresses to join through, and try them at once."""
        with self._lock:
            new = [address for address in addresses if address not in self._contacts]
            self._contacts.update(dict.fromkeys(new))
        for address in new:
            self.greet(address)

    def sync_with_random_peer(self) -> None:
        """Compare digests with a random peer; called every sync period."""
        peer = self._topology.random_peer()
        if peer is not None:
            self.greet(peer.control_address)

    def rejoin(self) -> None:
        """Try one dead member or contact; called every join period."""
        alone = not self._topology.neighbours()
        period_s = JOIN_PERIOD_S if alone else self._settings.rejoin_period_s
        now_s = time.monotonic()
        if now_s - self._rejoined_s < period_s:
            return
        self._rejoined_s = now_s
        candidates = self._lost_addresses()
        if candidates:
            self.greet(self._topology.choose(candidates))

    def greet(self, address: str) -> None:
        """Exchange digests with whoever has the address."""
        own_address = self._local.own.control_address
        if not own_address or address == own_address:
            return
        payload = self._spreader.compose("", self._entries_at(address))

        def on_done(outcome: Outcome) -> None:
            if isinstance(outcome, Err):
                return
            gossip = unpack(outcome.ok_value.payload, Gossip)
            if not isinstance(gossip, Err):
                self._spreader.take_in(gossip.ok_value)
                self.compare(gossip.ok_value, address)

        timeout_s = self._settings.probe_timeout_s
        self._links.submit(address, Exchange(Kind.PING, payload, timeout_s, on_done))

    def compare(self, gossip: Gossip, address: str) -> None:
        """Begin a transfer when a peer's digests differ from the own ones.

        :param gossip: what the peer sent.
        :param address: its control address.
        """
        records_differ = gossip.records_digest != self._local.records_digest
        members_differ = gossip.members_digest != self._local.table.digest
        if not (records_differ or members_differ):
            return
        if not self._may_transfer(records_differ, gossip.sender):
            return
        digests = Digests(
            members=self._local.table.bucket_digests if members_differ else b"",
            records=self._local.record_bucket_digests if records_differ else b"",
        )
        self._counters.add("membership_transfers")

        def on_done(outcome: Outcome) -> None:
            self._finish_transfer(address, outcome)

        exchange = Exchange(Kind.DIGESTS, pack(digests), TRANSFER_TIMEOUT_S, on_done)
        self._links.submit(address, exchange)

    def answer_digests(self, digests: Digests) -> Entries:
        """Return the own entries of all buckets that differ."""
        own_members = self._local.table.bucket_digests
        own_records = self._local.record_bucket_digests
        return self._entries(
            differing_buckets(own_members, digests.members),
            differing_buckets(own_records, digests.records),
        )

    def take_in(self, entries: Entries) -> None:
        """Merge a peer's entries."""
        self._local.merge_transfer(entries.members, entries.records)

    def _finish_transfer(self, address: str, outcome: Outcome) -> None:
        if isinstance(outcome, Err):
            return
        unpacked = unpack(outcome.ok_value.payload, Entries)
        if isinstance(unpacked, Err):
            return
        theirs = unpacked.ok_value
        mine = self._entries(theirs.member_buckets, theirs.record_buckets)
        self.take_in(theirs)
        missing = _without_common(mine, theirs)
        if missing.members or missing.records:
            exchange = Exchange(Kind.ENTRIES, pack(missing), TRANSFER_TIMEOUT_S)
            self._links.submit(address, exchange)

    def _entries(
        self, member_buckets: tuple[int, ...], record_buckets: tuple[int, ...]
    ) -> Entries:
        return Entries(
            member_buckets=member_buckets,
            record_buckets=record_buckets,
            members=self._local.table.in_buckets(member_buckets),
            records=self._local.records_in_buckets(record_buckets),
        )

    def _may_transfer(self, records_differ: bool, peer: str) -> bool:
        period_s = self._transfer_period_s(records_differ, peer)
        now_s = time.monotonic()
        with self._lock:
            if now_s - self._transferred_s < period_s:
                return False
            self._transferred_s = now_s
            return True

    def _transfer_period_s(self, records_differ: bool, peer: str) -> float:
        if self._local.table.find(peer) is None:
            return JOIN_TRANSFER_PERIOD_S
        if records_differ:
            return RECORDS_TRANSFER_PERIOD_S
        if time.monotonic() - self._local.table.changed_s < NEWS_TRAVEL_S:
            # The peer most likely is about to hear what this node just heard.
            return self._settings.sync_period_s
        return self._settings.sync_period_s * MEMBERS_TRANSFER_PERIOD_FACTOR

    def _entries_at(self, address: str) -> tuple[Member, ...]:
        """Entries that name an address and are not held alive.

        Whoever has the address learns that it is thought dead, and refutes.
        """
        return tuple(
            member
            for member in self._local.table.members
            if member.control_address == address
            and member.state is not MemberState.ALIVE
        )

    def _lost_addresses(self) -> list[str]:
        members = self._local.table.members
        live = {
            member.control_address for member in members if member.state in LIVE_STATES
        }
        lost = [
            member.control_address
            for member in members
            if member.state is MemberState.DEAD
        ]
        lost += self._contacts
        return [address for address in lost if address not in live]


def _without_common(mine: Entries, theirs: Entries) -> Entries:
    members = frozenset(theirs.members)
    records = frozenset(theirs.records)
    return Entries(
        member_buckets=mine.member_buckets,
        record_buckets=mine.record_buckets,
        members=tuple(one for one in mine.members if one not in members),
        records=tuple(one for one in mine.records if one not in records),
    )
