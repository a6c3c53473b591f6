"""Passing news on to the neighbours."""

import threading
import time

from knapweedspring_core import EventLog, Member, ObjectRecord
from knapweedspring_node._membership._links import Exchange, LinkPool, Outcome
from knapweedspring_node._membership._local import LocalState
from knapweedspring_node._membership._messages import Gossip, Kind, pack
from knapweedspring_node._membership._topology import Topology

__all__ = ["Spreader"]

#: Seconds between two messages of news to the same neighbour.
PUSH_PERIOD_S = 0.2
#: Seconds that a neighbour has to confirm news.
PUSH_TIMEOUT_S = 1.0


class Spreader:
    """Composes gossip and pushes news to all neighbours.

    News of the own node and declarations leave at once, when nothing left
    within the last period; what peers told is collected for one period.
    """

    def __init__(
        self, local: LocalState, topology: Topology, links: LinkPool, events: EventLog
    ) -> None:
        self._local = local
        self._topology = topology
        self._links = links
        self._events = events
        self._condition = threading.Condition()
        self._n_outstanding = 0
        self._pushed_s = 0.0

    def compose(self, target: str, members: tuple[Member, ...] = ()) -> bytes:
        """Make a packed probe or reply that repeats recent news.

        :param target: name of the node that is meant; empty for any.
        :param members: entries that the receiver must see.
        """
        return self._pack(target, (*members, *self._local.news.repeat()), ())

    def take_in(self, gossip: Gossip) -> None:
        """Merge what a peer told."""
        self._events.clock.observe(gossip.stamp)
        self._local.merge_records(gossip.records)
        self._local.merge_members(gossip.members)

    def on_member(self, member: Member) -> None:
        """Push a change of the own entry at once."""
        if member.node_id == self._local.own.node_id:
            self._push_unless_recent()

    def on_record(self, record: ObjectRecord) -> None:
        """Push a declaration at once."""
        self._push_unless_recent()

    def push(self) -> None:
        """Send what waits to all neighbours; called every period."""
        if self._local.news.empty:
            return
        neighbours = self._topology.neighbours()
        if not neighbours:
            return
        self._pushed_s = time.monotonic()
        members, records = self._local.news.take()
        payload = self._pack("", members, records)
        exchange = Exchange(Kind.PUSH, payload, PUSH_TIMEOUT_S, self._on_done)
        with self._condition:
            self._n_outstanding += len(neighbours)
        for neighbour in neighbours:
            self._links.submit(neighbour.control_address, exchange)

    def push_and_wait(self, timeout_s: float) -> bool:
        """Send what waits and wait until the neighbours confirmed.

        :return: False when the timeout passed first.
        """
        self.push()
        with self._condition:
            return self._condition.wait_for(lambda: self._n_outstanding == 0, timeout_s)

    def _push_unless_recent(self) -> None:
        if time.monotonic() - self._pushed_s >= PUSH_PERIOD_S:
            self.push()

    def _pack(
        self,
        target: str,
        members: tuple[Member, ...],
        records: tuple[ObjectRecord, ...],
    ) -> bytes:
        gossip = Gossip(
            sender=self._local.own.node_id,
            target=target,
            stamp=self._events.clock.now(),
            members_digest=self._local.table.digest,
            records_digest=self._local.records_digest,
            members=members,
            records=records,
        )
        return pack(gossip)

    def _on_done(self, outcome: Outcome) -> None:
        with self._condition:
            self._n_outstanding -= 1
            self._condition.notify_all()
