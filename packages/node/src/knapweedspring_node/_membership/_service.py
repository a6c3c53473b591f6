"""The membership service: assembles the parts and serves peers' requests."""

import queue
from collections.abc import Callable

import zmq
from result import Err, Ok, Result

from knapweedspring_core import (
    AnnouncedUpstream,
    Child,
    Counters,
    DeclarationStore,
    EventLog,
    Member,
    MembershipView,
    Subscription,
    ThreadChild,
    TimerService,
)
from knapweedspring_node._membership._curve import FirmKeys
from knapweedspring_node._membership._detector import (
    SWEEP_PERIOD_S,
    FailureDetector,
    Parts,
)
from knapweedspring_node._membership._digest import hash_64
from knapweedspring_node._membership._errors import (
    MembershipError,
    PeerUnknown,
    PeerUnreachable,
)
from knapweedspring_node._membership._links import (
    Exchange,
    LinkPool,
    Outcome,
    Reply,
    TrafficFilter,
)
from knapweedspring_node._membership._local import LocalState
from knapweedspring_node._membership._messages import (
    Digests,
    Entries,
    Gossip,
    Kind,
    ProbeReport,
    ProbeRequest,
    Request,
    pack,
    unpack,
)
from knapweedspring_node._membership._server import ControlServer
from knapweedspring_node._membership._settings import (
    Identity,
    MembershipSettings,
    validate,
)
from knapweedspring_node._membership._spreader import PUSH_PERIOD_S, Spreader
from knapweedspring_node._membership._sync import JOIN_PERIOD_S, Reconciler
from knapweedspring_node._membership._topology import Topology

__all__ = ["MembershipService"]

#: Seconds between two looks for entries to forget.
EXPIRY_PERIOD_S = 5.0
#: Seconds that :meth:`MembershipService.leave` waits for the neighbours.
LEAVE_TIMEOUT_S = 1.0

_DONE = Reply(Kind.DONE, b"")


class _AllowAll(TrafficFilter):
    """The filter of a node that works normally."""


class MembershipService(Child, MembershipView):
    """Knows the firm's nodes and spreads declarations between them.

    Call :meth:`bind`, then :meth:`start`; add contacts at any time.

    >>> service = MembershipService(
    ...     identity, settings, store, timers, events, counters
    ... )  # doctest: +SKIP
    >>> control_address = service.bind().unwrap()  # doctest: +SKIP
    >>> service.start()  # doctest: +SKIP

    :param identity: the own node.
    :param settings: addresses, keys and periods.
    :param store: declarations; what peers tell is merged into it.
    :param timers: drives probes and pushes.
    :param events: records members' states.
    :param counters: counts messages, bytes, probes and suspicions.
    :param traffic_filter: hook by which failure tests drop messages.
    """

    def __init__(
        self,
        identity: Identity,
        settings: MembershipSettings,
        store: DeclarationStore,
        timers: TimerService,
        events: EventLog,
        counters: Counters,
        traffic_filter: TrafficFilter | None = None,
    ) -> None:
        self._identity = identity
        self._settings = settings
        self._store = store
        self._timers = timers
        self._context = zmq.Context()
        self._keys = FirmKeys(settings)
        self._local = LocalState(identity, store, events, counters)
        passing = traffic_filter or _AllowAll()
        firm = identity.firm
        self._links = LinkPool(self._context, self._keys, firm, counters, passing)
        self._server = ControlServer(
            self._context, self._keys, firm, counters, passing, self._handle
        )
        seed = hash_64(f"{identity.node_id} {identity.incarnation}")
        self._topology = Topology(
            self._local.table, identity.node_id, identity.data_centre, seed
        )
        self._spreader = Spreader(self._local, self._topology, self._links, events)
        self._reconciler = Reconciler(
            self._local, self._topology, self._links, self._spreader, settings, counters
        )
        parts = Parts(
            local=self._local,
            topology=self._topology,
            links=self._links,
            spreader=self._spreader,
            reconciler=self._reconciler,
            counters=counters,
            events=events,
        )
        self._detector = FailureDetector(parts, settings)
        self._on_ask: Callable[[bytes], bytes] | None = None
        self._subscriptions: list[Subscription] = []
        self._server_thread = ThreadChild(
            "control-server",
            self._server.run,
            self._server.stop,
            lambda name, error: self._on_error(events, error),
        )

    @property
    def name(self) -> str:
        """Name for events and status pages."""
        return "membership"

    @property
    def own(self) -> Member:
        """The own entry, as peers see it."""
        return self._local.own

    @property
    def is_relay(self) -> bool:
        """Whether the node talks with other data centres."""
        return self._topology.is_relay

    @property
    def n_links(self) -> int:
        """Number of open links to peers."""
        return self._links.n_links

    def bind(self) -> Result[str, MembershipError]:
        """Bind the control address.

        :return: the ``ip:port`` that is bound, which the advertised one may
            differ from, or what to change in the settings.
        """
        checked = validate(self._settings)
        if isinstance(checked, Err):
            return checked
        self._keys.start(self._context)
        bound = self._server.bind(self._settings.control_address)
        if isinstance(bound, Err):
            self._keys.stop()
            return bound
        address = self._settings.advertised_address or bound.ok_value
        self._links.open(address)
        self._local.open(address)
        return bound

    def start(self) -> None:
        """Begin to serve peers, to probe and to join through the contacts."""
        self._local.subscribe(self._spreader.on_member)
        self._store.subscribe(self._spreader.on_record)
        self._server_thread.start()
        settings = self._settings
        for interval_s, callback in (
            (PUSH_PERIOD_S, self._spreader.push),
            (settings.probe_period_s, self._detector.probe_next),
            (SWEEP_PERIOD_S, self._detector.sweep),
            (settings.sync_period_s, self._reconciler.sync_with_random_peer),
            (JOIN_PERIOD_S, self._reconciler.rejoin),
            (EXPIRY_PERIOD_S, lambda: self._local.expire(settings.expiry_s)),
        ):
            self._subscriptions.append(self._timers.every(interval_s, callback))
        self._reconciler.add_contacts(settings.contacts)

    def stop(self) -> None:
        """End without telling peers; call :meth:`leave` before."""
        for subscription in self._subscriptions:
            subscription.cancel()
        self._links.close()
        self._server_thread.stop()

    def join(self, timeout_s: float) -> bool:
        """Wait for the threads and close the sockets."""
        ended = self._links.join(timeout_s) and self._server_thread.join(timeout_s)
        if ended:
            self._keys.stop()
            self._server.close()
            self._context.destroy(linger=0)
        return ended

    def members(self) -> tuple[Member, ...]:
        """Every known node, whatever its state, this one included."""
        return self._local.table.members

    def providers(self, service: str) -> tuple[Member, ...]:
        """Live nodes with a ready upstream of the service, own data centre first."""
        return self._local.table.providers(service)

    def find(self, node_id: str) -> Member | None:
        """Look a node up by name."""
        return self._local.table.find(node_id)

    def announce(self, upstream: AnnouncedUpstream) -> None:
        """Publish an upstream of this VM, or a change of it, at once."""
        self._local.announce(upstream)

    def withdraw(self, service: str) -> None:
        """Publish that this VM has no upstream of the service any more."""
        self._local.withdraw(service)

    def leave(self) -> None:
        """Tell peers that this node departs; returns when neighbours know."""
        self._local.leave()
        self._spreader.push_and_wait(LEAVE_TIMEOUT_S)

    def add_contacts(self, addresses: tuple[str, ...]) -> None:
        """Join through control addresses, now and whenever they are lost."""
        self._reconciler.add_contacts(addresses)

    def subscribe(self, callback: Callable[[Member], None]) -> None:
        """Have ``callback`` called with each entry that changed.

        It is called in a control thread and must return quickly.
        """
        self._local.subscribe(callback)

    def on_ask(self, handler: Callable[[bytes], bytes]) -> None:
        """Set what answers the peers' :meth:`ask`.

        It is called in the server's thread and must return quickly.
        """
        self._on_ask = handler

    def ask(
        self, node_id_or_address: str, payload: bytes, timeout_s: float
    ) -> Result[bytes, MembershipError]:
        """Send bytes to one peer's handler and wait for its answer.

        :param node_id_or_address: name of a member, or a control address.
        :param payload: what the handler gets.
        :param timeout_s: seconds to wait, for a connection and for the answer
            each.
        :return: the answer; after :class:`PeerUnreachable` the handler may
            have run.
        """
        address = self._address_of(node_id_or_address)
        if isinstance(address, Err):
            return address
        answers: queue.Queue[Outcome] = queue.Queue()
        exchange = Exchange(Kind.ASK, payload, timeout_s, answers.put)
        self._links.submit(address.ok_value, exchange)
        try:
            outcome = answers.get(timeout=2 * timeout_s)
        except queue.Empty:
            return Err(PeerUnreachable(f"no answer from {node_id_or_address}"))
        if isinstance(outcome, Err):
            return outcome
        return Ok(outcome.ok_value.payload)

    def _address_of(self, node_id_or_address: str) -> Result[str, MembershipError]:
        member = self.find(node_id_or_address)
        if member is not None:
            return Ok(member.control_address)
        if ":" in node_id_or_address:
            return Ok(node_id_or_address)
        return Err(PeerUnknown(node_id_or_address))

    def _handle(self, request: Request) -> Reply | None:
        if request.kind is Kind.PING:
            return self._handle_ping(request)
        if request.kind is Kind.PUSH:
            return self._handle_push(request)
        if request.kind is Kind.PROBE:
            return self._handle_probe(request)
        if request.kind is Kind.DIGESTS:
            return self._handle_digests(request)
        if request.kind is Kind.ENTRIES:
            return self._handle_entries(request)
        if request.kind is Kind.ASK and self._on_ask is not None:
            return Reply(Kind.ASK, self._on_ask(request.payload))
        return Reply(Kind.REFUSED, b"this node does not take the message")

    def _handle_ping(self, request: Request) -> Reply:
        gossip = unpack(request.payload, Gossip)
        if isinstance(gossip, Err):
            return _refusal(gossip.err_value)
        self._take_in(gossip.ok_value)
        self._reconciler.compare(gossip.ok_value, request.sender_address)
        return Reply(Kind.PING, self._spreader.compose(gossip.ok_value.sender))

    def _handle_push(self, request: Request) -> Reply:
        gossip = unpack(request.payload, Gossip)
        if isinstance(gossip, Err):
            return _refusal(gossip.err_value)
        self._take_in(gossip.ok_value)
        return _DONE

    def _take_in(self, gossip: Gossip) -> None:
        self._spreader.take_in(gossip)
        sender = self.find(gossip.sender)
        if sender is not None:
            self._detector.heard(sender.data_centre)

    def _handle_probe(self, request: Request) -> Reply | None:
        probe = unpack(request.payload, ProbeRequest)
        if isinstance(probe, Err):
            return _refusal(probe.err_value)
        target = probe.ok_value

        def on_done(outcome: Outcome) -> None:
            report = ProbeReport(_is_from(outcome, target.target))
            self._server.reply(request, Reply(Kind.PROBE, pack(report)))

        exchange = Exchange(
            Kind.PING,
            self._spreader.compose(target.target),
            self._settings.probe_timeout_s,
            on_done,
        )
        self._links.submit(target.target_address, exchange)
        return None

    def _handle_digests(self, request: Request) -> Reply:
        digests = unpack(request.payload, Digests)
        if isinstance(digests, Err):
            return _refusal(digests.err_value)
        entries = self._reconciler.answer_digests(digests.ok_value)
        return Reply(Kind.ENTRIES, pack(entries))

    def _handle_entries(self, request: Request) -> Reply:
        entries = unpack(request.payload, Entries)
        if isinstance(entries, Err):
            return _refusal(entries.err_value)
        self._reconciler.take_in(entries.ok_value)
        return _DONE

    def _on_error(self, events: EventLog, error: BaseException) -> None:
        events.record("membership:error", error=repr(error))


def _refusal(error: MembershipError) -> Reply:
    return Reply(Kind.REFUSED, error.detail.encode())


def _is_from(outcome: Outcome, node_id: str) -> bool:
    if isinstance(outcome, Err):
        return False
    gossip = unpack(outcome.ok_value.payload, Gossip)
    return isinstance(gossip, Ok) and gossip.ok_value.sender == node_id
