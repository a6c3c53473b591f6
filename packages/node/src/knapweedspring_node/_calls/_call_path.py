"""Assembly of the call path of one node."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from knapweedspring_core import (
    AnnouncedUpstream,
    Counters,
    DeclarationStore,
    EventLog,
    MembershipView,
    PolicyMode,
)
from knapweedspring_node._calls._admission import Gate, GatePolicy
from knapweedspring_node._calls._attempts import CallRunner
from knapweedspring_node._calls._budget import RetryRatio
from knapweedspring_node._calls._call_handler import CallHandler
from knapweedspring_node._calls._entry_side import EntrySide
from knapweedspring_node._calls._gate_side import GateSide
from knapweedspring_node._calls._in_flight import InFlightTable
from knapweedspring_node._calls._levels import LevelTable
from knapweedspring_node._calls._mac_codec import MacCodec
from knapweedspring_node._calls._outbound import ConnectionPools
from knapweedspring_node._calls._remote import RemoteNodes
from knapweedspring_node._calls._revocation import RevokeHandler, Revoker
from knapweedspring_node._calls._roots import RootRequestTable
from knapweedspring_node._calls._routing import UpstreamPicker
from knapweedspring_node._calls._run_ledger import RunLedger
from knapweedspring_node._calls._tickets import TicketTable
from knapweedspring_node._calls._upstreams import LocalUpstreams
from knapweedspring_node._calls._workers import WorkerGuard

__all__ = ["CallPathSettings", "CallPath"]

#: Time that the run ledger keeps an entry after the lifetime of its ticket, in seconds,
#: so that delayed messages still find the entry.
LEDGER_MARGIN_S = 60.0


@dataclass(frozen=True, slots=True)
class CallPathSettings:
    """Settings of the node that the call path uses."""

    #: Name of the node.
    node_id: str
    #: Data centre of the node.
    data_centre: str
    #: Random number that identifies this process; differs after a restart.
    epoch: int
    #: Secret shared by the firm's nodes.
    mesh_key: bytes
    #: How long a ticket may be used, in seconds.
    ticket_lifetime_s: float


class CallPath:
    """The call path of a node: entry side, gate side, tickets and shared tables.

    :param store: declarations in force.
    :param view: membership view.
    :param revoker: revokes runs whose reply was lost.
    :param workers: limits the share of the server's workers for each kind of call.
    :param is_draining: returns whether the node refuses new root requests.
    """

    def __init__(
        self,
        settings: CallPathSettings,
        store: DeclarationStore,
        view: MembershipView,
        revoker: Revoker,
        events: EventLog,
        counters: Counters,
        workers: WorkerGuard,
        is_draining: Callable[[], bool],
    ) -> None:
        self._store = store
        self._events = events
        self._counters = counters
        self._workers = workers
        node_id, epoch, key = settings.node_id, settings.epoch, settings.mesh_key
        hop_codec = MacCodec(key, "hop")
        forward_codec = MacCodec(key, "forward")
        self._pools = ConnectionPools()
        self._upstreams = LocalUpstreams(self._make_gate)
        self._in_flight = InFlightTable(node_id, epoch)
        self._ledger = RunLedger(settings.ticket_lifetime_s + LEDGER_MARGIN_S)
        self._tickets = TicketTable(
            node_id, epoch, MacCodec(key, "ticket"), settings.ticket_lifetime_s
        )
        self._revoke_handler = RevokeHandler(self._ledger, events, epoch)
        self._levels = LevelTable()
        self._gate_side = GateSide(
            self._upstreams,
            self._pools,
            self._in_flight,
            self._ledger,
            store,
            self._levels,
            events,
            counters,
            epoch,
        )
        remote = RemoteNodes(node_id, self._pools, hop_codec, forward_codec)
        self._call_runner = CallRunner(
            node_id,
            UpstreamPicker(view, node_id, settings.data_centre),
            self._levels,
            self._gate_side,
            remote,
            revoker,
            RetryRatio(),
            store.top_priority,
            lambda: self._pools.is_stopping,
            events,
            counters,
            random.Random(),
        )
        entry_side = EntrySide(
            store,
            view,
            self._in_flight,
            RootRequestTable(node_id, epoch, MacCodec(key, "request-id")),
            self._tickets,
            self._levels,
            self._workers,
            self._call_runner,
            remote,
            events,
            counters,
            is_draining,
        )
        self._handler = CallHandler(
            entry_side, self._gate_side, hop_codec, forward_codec, counters
        )

    @property
    def handler(self) -> CallHandler:
        """Handler for the calls that the server parsed."""
        return self._handler

    @property
    def upstreams(self) -> LocalUpstreams:
        """Upstreams on this VM."""
        return self._upstreams

    @property
    def tickets(self) -> TicketTable:
        """Tickets issued by this process."""
        return self._tickets

    @property
    def revoke_handler(self) -> RevokeHandler:
        """Handler for revocations that other nodes send to this gate."""
        return self._revoke_handler

    @property
    def n_in_flight(self) -> int:
        """Number of calls that the upstreams on this VM are running."""
        return len(self._in_flight)

    def apply_policy(self) -> None:
        """Apply the mode of the policy in force: protect or passthrough."""
        passthrough = self._store.policy().mode is PolicyMode.PASSTHROUGH
        self._call_runner.set_passthrough(passthrough)
        self._levels.set_passthrough(passthrough)
        self._workers.set_passthrough(passthrough)
        for upstream in self._upstreams.local_upstreams:
            upstream.gate.set_passthrough(passthrough)

    def end_waits(self) -> None:
        """End the waits for answers, so that their callers are answered.

        The outcome of such a call is unknown unless its gate confirms that it did not
        run.
        """
        self._pools.end_waits()

    def close(self) -> None:
        """Close the idle connections to upstreams and other nodes."""
        self._pools.close()

    def _make_gate(self, announced: AnnouncedUpstream) -> Gate:
        slots = min(announced.slots, self._workers.n_in_flight_max)
        if slots < announced.slots:
            self._events.record(
                "gate:too-few-workers",
                service=announced.service,
                slots=announced.slots,
                used=slots,
                advice="raise n_workers to three times the slots",
            )
        gate = Gate(
            slots=slots,
            connections=announced.connections,
            top_priority=self._store.top_priority,
            counters=self._counters,
            events=self._events,
            policy=GatePolicy(n_waiting_max=self._workers.n_waiting_max),
        )
        passthrough = self._store.policy().mode is PolicyMode.PASSTHROUGH
        gate.set_passthrough(passthrough)
        return gate
