"""Anti-entropy: comparing digests with peers, joining, rejoining after partitions."""

import threading
import time

from result import Err

from knapweedspring_core import Counters, Member, MemberState
from knapweedspring_node._membership._digest import differing_buckets
from knapweedspring_node._membership._dissemination import Disseminator
from knapweedspring_node._membership._links import Exchange, ExchangeResult, LinkPool
from knapweedspring_node._membership._local_state import LocalState
from knapweedspring_node._membership._messages import (
    Digests,
    Entries,
    Gossip,
    Kind,
    pack,
    unpack,
)
from knapweedspring_node._membership._settings import MembershipSettings
from knapweedspring_node._membership._table import LIVE_STATES
from knapweedspring_node._membership._topology import Topology

__all__ = ["Reconciler"]

#: Seconds to wait for a connection to a peer, and as many again for its reply, in a
#: transfer of entries.
TRANSFER_TIMEOUT_S = 10.0
#: Shortest time between two transfers, in seconds, when the peer is not in the table.
JOIN_TRANSFER_PERIOD_S = 0.3
#: Shortest time between two transfers when declarations differ, in seconds.
RECORDS_TRANSFER_PERIOD_S = 1.0
#: Shortest time between two transfers when only members differ, as a fraction of the
#: sync period.
MEMBERS_TRANSFER_PERIOD_FACTOR = 0.25
#: Seconds in which a pushed update is expected to reach all nodes.
GOSSIP_PROPAGATION_S = 2.0
#: Seconds between two attempts to join while the node has no neighbours.
JOIN_PERIOD_S = 0.5


class Reconciler:
    """Finds and repairs differences between nodes, such as those after lost pushes.

    :param local: the member table and the declarations, which are compared.
    :param topology: chooses the peers to compare digests with.
    :param links: sends the messages.
    :param disseminator: composes and applies gossip.
    :param settings: sync and rejoin periods.
    :param counters: counts transfers.
    """

    def __init__(
        self,
        local: LocalState,
        topology: Topology,
        links: LinkPool,
        disseminator: Disseminator,
        settings: MembershipSettings,
        counters: Counters,
    ) -> None:
        self._local = local
        self._topology = topology
        self._links = links
        self._disseminator = disseminator
        self._settings = settings
        self._counters = counters
        self._lock = threading.Lock()
        self._contacts: dict[str, None] = {}
        self._transfer_began_at = 0.0
        self._rejoin_attempted_at = 0.0

    def add_contacts(self, addresses: tuple[str, ...]) -> None:
        """Add control addresses to join through.

        Exchanges digests at once with the nodes at addresses not added before.

        :param addresses: ``ip:port`` of each contact.
        """
        with self._lock:
            new = [address for address in addresses if address not in self._contacts]
            self._contacts.update(dict.fromkeys(new))
        for address in new:
            self.exchange_digests(address)

    def sync_with_random_peer(self) -> None:
        """Compare digests with a random peer; called every sync period."""
        peer = self._topology.random_peer()
        if peer is not None:
            self.exchange_digests(peer.control_address)

    def rejoin(self) -> None:
        """Exchange digests with a dead member or with an unused contact.

        A contact is unused when no live member has its address. Called every
        :data:`JOIN_PERIOD_S` seconds. A node with neighbours makes only one attempt in
        each rejoin period; the other calls have no effect.
        """
        is_isolated = not self._topology.neighbours()
        period_s = JOIN_PERIOD_S if is_isolated else self._settings.rejoin_period_s
        now_s = time.monotonic()
        if now_s - self._rejoin_attempted_at < period_s:
            return
        self._rejoin_attempted_at = now_s
        candidates = self._rejoin_candidates()
        if candidates:
            self.exchange_digests(self._topology.choose_address(candidates))

    def exchange_digests(self, address: str) -> None:
        """Exchange digests with the node at a control address, whatever its node ID."""
        own_address = self._local.own_entry.control_address
        if not own_address or address == own_address:
            return
        payload = self._disseminator.compose_gossip(
            "", self._refutable_entries(address)
        )

        def on_done(result: ExchangeResult) -> None:
            if isinstance(result, Err):
                return
            gossip = unpack(result.ok_value.payload, Gossip)
            if not isinstance(gossip, Err):
                self._disseminator.apply_gossip(gossip.ok_value)
                self.compare_digests(gossip.ok_value, address)

        timeout_s = self._settings.probe_timeout_s
        self._links.submit(address, Exchange(Kind.PING, payload, timeout_s, on_done))

    def compare_digests(self, gossip: Gossip, address: str) -> None:
        """Start a transfer when a peer's digests differ from this node's.

        Starts none while the last transfer with any peer began too recently.

        :param gossip: the peer's message.
        :param address: control address of the peer.
        """
        records_differ = gossip.records_digest != self._local.records_digest
        members_differ = gossip.members_digest != self._local.table.digest
        if not (records_differ or members_differ):
            return
        if not self._begin_transfer_if_due(records_differ, gossip.sender):
            return
        digests = Digests(
            members=self._local.table.bucket_digests if members_differ else b"",
            records=self._local.record_bucket_digests if records_differ else b"",
        )
        self._counters.add("membership_transfers")

        def on_done(result: ExchangeResult) -> None:
            self._finish_transfer(address, result)

        exchange = Exchange(Kind.DIGESTS, pack(digests), TRANSFER_TIMEOUT_S, on_done)
        self._links.submit(address, exchange)

    def answer_digests(self, digests: Digests) -> Entries:
        """Return this node's entries in all buckets that differ from the peer's."""
        own_members = self._local.table.bucket_digests
        own_records = self._local.record_bucket_digests
        return self._entries_in_buckets(
            differing_buckets(own_members, digests.members),
            differing_buckets(own_records, digests.records),
        )

    def apply_entries(self, entries: Entries) -> None:
        """Merge the entries that a peer sent in a transfer."""
        self._local.merge_transfer(entries.members, entries.records)

    def _finish_transfer(self, address: str, result: ExchangeResult) -> None:
        if isinstance(result, Err):
            return
        unpacked = unpack(result.ok_value.payload, Entries)
        if isinstance(unpacked, Err):
            return
        peer_entries = unpacked.ok_value
        own_entries = self._entries_in_buckets(
            peer_entries.member_buckets, peer_entries.record_buckets
        )
        self.apply_entries(peer_entries)
        missing = _entries_missing_at_peer(own_entries, peer_entries)
        if missing.members or missing.records:
            exchange = Exchange(Kind.ENTRIES, pack(missing), TRANSFER_TIMEOUT_S)
            self._links.submit(address, exchange)

    def _entries_in_buckets(
        self, member_buckets: tuple[int, ...], record_buckets: tuple[int, ...]
    ) -> Entries:
        return Entries(
            member_buckets=member_buckets,
            record_buckets=record_buckets,
            members=self._local.table.members_in_buckets(member_buckets),
            records=self._local.records_in_buckets(record_buckets),
        )

    def _begin_transfer_if_due(self, records_differ: bool, peer: str) -> bool:
        period_s = self._transfer_period_s(records_differ, peer)
        now_s = time.monotonic()
        with self._lock:
            if now_s - self._transfer_began_at < period_s:
                return False
            self._transfer_began_at = now_s
            return True

    def _transfer_period_s(self, records_differ: bool, peer: str) -> float:
        if self._local.table.find(peer) is None:
            return JOIN_TRANSFER_PERIOD_S
        if records_differ:
            return RECORDS_TRANSFER_PERIOD_S
        if time.monotonic() - self._local.table.changed_at < GOSSIP_PROPAGATION_S:
            # A push that is still under way probably removes the difference.
            return self._settings.sync_period_s
        return self._settings.sync_period_s * MEMBERS_TRANSFER_PERIOD_FACTOR

    def _refutable_entries(self, address: str) -> tuple[Member, ...]:
        """Return the entries with this control address whose state is not alive.

        They are sent to the node at the address, so that it can refute its own entry.
        """
        return tuple(
            member
            for member in self._local.table.members
            if member.control_address == address
            and member.state is not MemberState.ALIVE
        )

    def _rejoin_candidates(self) -> list[str]:
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


def _entries_missing_at_peer(own_entries: Entries, peer_entries: Entries) -> Entries:
    members = frozenset(peer_entries.members)
    records = frozenset(peer_entries.records)
    return Entries(
        member_buckets=own_entries.member_buckets,
        record_buckets=own_entries.record_buckets,
        members=tuple(
            member for member in own_entries.members if member not in members
        ),
        records=tuple(
            record for record in own_entries.records if record not in records
        ),
    )
