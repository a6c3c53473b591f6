"""Dissemination of updates to the neighbours by gossip."""

import threading
import time

from knapweedspring_core import EventLog, Member, ObjectRecord
from knapweedspring_node._membership._links import Exchange, ExchangeResult, LinkPool
from knapweedspring_node._membership._local_state import LocalState
from knapweedspring_node._membership._messages import Gossip, Kind, pack
from knapweedspring_node._membership._topology import Topology

__all__ = ["Disseminator"]

#: Seconds between two periodic pushes of queued updates. An urgent change is pushed at
#: once only if the last push was sent at least this long ago.
PUSH_PERIOD_S = 0.2
#: Seconds to wait for a connection to a neighbour, and as many again for its
#: confirmation of a push.
PUSH_TIMEOUT_S = 1.0


class Disseminator:
    """Composes gossip and pushes updates to all neighbours.

    Changes of this node's entry and of declarations are pushed at once, unless a
    push was sent within the last :data:`PUSH_PERIOD_S` seconds. All other updates
    wait for the next periodic push.

    :param local: the member table and the declarations.
    :param topology: chooses the neighbours.
    :param links: sends the pushes.
    :param events: provides the clock for the gossip's stamps.
    """

    def __init__(
        self, local: LocalState, topology: Topology, links: LinkPool, events: EventLog
    ) -> None:
        self._local = local
        self._topology = topology
        self._links = links
        self._events = events
        self._condition = threading.Condition()
        self._n_unconfirmed = 0
        self._pushed_at = 0.0

    def compose_gossip(self, target: str, members: tuple[Member, ...] = ()) -> bytes:
        """Return a packed probe or reply that repeats recent updates.

        :param target: node ID of the intended receiver; empty when any node at
            the receiver's address may take the message.
        :param members: entries to send in addition to the recent updates.
        """
        return self._pack_gossip(
            target, (*members, *self._local.updates.next_repeats()), ()
        )

    def apply_gossip(self, gossip: Gossip) -> None:
        """Merge the updates in a peer's gossip and advance the clock to its stamp."""
        self._events.clock.observe(gossip.stamp)
        self._local.merge_records(gossip.records)
        self._local.merge_members(gossip.members)

    def on_member_changed(self, member: Member) -> None:
        """Push a change of this node's entry, at once unless a push was just sent."""
        if member.node_id == self._local.own_entry.node_id:
            self._push_unless_recent()

    def on_record_changed(self, record: ObjectRecord) -> None:
        """Push a changed declaration, at once unless a push was just sent."""
        self._push_unless_recent()

    def push_updates(self) -> None:
        """Send one batch of queued updates to all neighbours.

        Called every :data:`PUSH_PERIOD_S` seconds.
        """
        if self._local.updates.is_empty:
            return
        neighbours = self._topology.neighbours()
        if not neighbours:
            return
        self._pushed_at = time.monotonic()
        members, records = self._local.updates.pop_batch()
        payload = self._pack_gossip("", members, records)
        exchange = Exchange(Kind.PUSH, payload, PUSH_TIMEOUT_S, self._on_push_done)
        with self._condition:
            self._n_unconfirmed += len(neighbours)
        for neighbour in neighbours:
            self._links.submit(neighbour.control_address, exchange)

    def push_updates_and_wait(self, timeout_s: float) -> bool:
        """Send one batch of updates and wait until no push awaits a confirmation.

        A push that failed no longer awaits one.

        :param timeout_s: seconds to wait.
        :return: False when pushes were still unconfirmed after ``timeout_s``.
        """
        self.push_updates()
        with self._condition:
            return self._condition.wait_for(lambda: self._n_unconfirmed == 0, timeout_s)

    def _push_unless_recent(self) -> None:
        if time.monotonic() - self._pushed_at >= PUSH_PERIOD_S:
            self.push_updates()

    def _pack_gossip(
        self,
        target: str,
        members: tuple[Member, ...],
        records: tuple[ObjectRecord, ...],
    ) -> bytes:
        gossip = Gossip(
            sender=self._local.own_entry.node_id,
            target=target,
            stamp=self._events.clock.now(),
            members_digest=self._local.table.digest,
            records_digest=self._local.records_digest,
            members=members,
            records=records,
        )
        return pack(gossip)

    def _on_push_done(self, result: ExchangeResult) -> None:
        with self._condition:
            self._n_unconfirmed -= 1
            self._condition.notify_all()
