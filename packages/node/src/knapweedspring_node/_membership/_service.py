"""The membership service: assembles its components and handles peers' requests."""

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
from knapweedspring_node._membership._anti_entropy import JOIN_PERIOD_S, Reconciler
from knapweedspring_node._membership._curve import FirmKeys
from knapweedspring_node._membership._detector import (
    SUSPICION_CHECK_PERIOD_S,
    DetectorParts,
    FailureDetector,
)
from knapweedspring_node._membership._digest import hash_64
from knapweedspring_node._membership._dissemination import PUSH_PERIOD_S, Disseminator
from knapweedspring_node._membership._errors import (
    MembershipError,
    PeerUnknown,
    PeerUnreachable,
)
from knapweedspring_node._membership._links import (
    Exchange,
    ExchangeResult,
    LinkPool,
    Reply,
    TrafficFilter,
)
from knapweedspring_node._membership._local_state import LocalState
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
from knapweedspring_node._membership._topology import Topology

__all__ = ["MembershipService"]

#: Seconds between two checks for expired entries.
EXPIRY_CHECK_PERIOD_S = 5.0
#: Longest time in seconds that :meth:`MembershipService.leave` waits until the
#: neighbours have confirmed its push.
LEAVE_TIMEOUT_S = 1.0

_DONE = Reply(Kind.DONE, b"")


class _AllowAll(TrafficFilter):
    """Drops no message; the filter outside failure tests."""


class MembershipService(Child, MembershipView):
    """Maintains the view of the firm's nodes and disseminates declarations.

    Call :meth:`bind`, then :meth:`start`; add contacts at any time.

    >>> service = MembershipService(
    ...     identity, settings, store, timers, events, counters
    ... )  # doctest: +SKIP
    >>> control_address = service.bind().unwrap()  # doctest: +SKIP
    >>> service.start()  # doctest: +SKIP

    :param identity: describes this node.
    :param settings: addresses, keys and periods.
    :param store: holds the declarations; declarations from peers are merged into it.
    :param timers: runs the periodic probes, pushes and comparisons of digests.
    :param events: records changes of members' states.
    :param counters: counts messages, bytes, probes and suspicions.
    :param traffic_filter: hook with which failure tests drop messages.
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
        active_filter = traffic_filter or _AllowAll()
        firm = identity.firm
        self._links = LinkPool(self._context, self._keys, firm, counters, active_filter)
        self._server = ControlServer(
            self._context,
            self._keys,
            firm,
            counters,
            active_filter,
            self._handle_request,
        )
        seed = hash_64(f"{identity.node_id} {identity.incarnation}")
        self._topology = Topology(
            self._local.table, identity.node_id, identity.data_centre, seed
        )
        self._disseminator = Disseminator(
            self._local, self._topology, self._links, events
        )
        self._reconciler = Reconciler(
            self._local,
            self._topology,
            self._links,
            self._disseminator,
            settings,
            counters,
        )
        parts = DetectorParts(
            local=self._local,
            topology=self._topology,
            links=self._links,
            disseminator=self._disseminator,
            reconciler=self._reconciler,
            counters=counters,
            events=events,
        )
        self._detector = FailureDetector(parts, settings)
        self._ask_handler: Callable[[bytes], bytes] | None = None
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
    def own_entry(self) -> Member:
        """This node's entry, as published to peers."""
        return self._local.own_entry

    @property
    def is_relay(self) -> bool:
        """Whether this node exchanges messages with other data centres."""
        return self._topology.is_relay

    @property
    def n_links(self) -> int:
        """Number of open links to peers."""
        return self._links.n_links

    def bind(self) -> Result[str, MembershipError]:
        """Bind the control address.

        :return: the bound ``ip:port``, or an error that says what to change in the
            settings. The address advertised to peers may differ from the bound one.
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
        self._links.set_own_address(address)
        self._local.publish_control_address(address)
        return bound

    def start(self) -> None:
        """Start serving peers, probing, and joining through the contacts."""
        self._local.subscribe(self._disseminator.on_member_changed)
        self._store.subscribe(self._disseminator.on_record_changed)
        self._server_thread.start()
        settings = self._settings
        for interval_s, callback in (
            (PUSH_PERIOD_S, self._disseminator.push_updates),
            (settings.probe_period_s, self._detector.probe_next),
            (SUSPICION_CHECK_PERIOD_S, self._detector.expire_suspicions),
            (settings.sync_period_s, self._reconciler.sync_with_random_peer),
            (JOIN_PERIOD_S, self._reconciler.rejoin),
            (
                EXPIRY_CHECK_PERIOD_S,
                lambda: self._local.remove_expired_members(settings.expiry_s),
            ),
        ):
            self._subscriptions.append(self._timers.call_every(interval_s, callback))
        self._reconciler.add_contacts(settings.contacts)

    def stop(self) -> None:
        """Stop all activity without notifying peers; call :meth:`leave` first."""
        for subscription in self._subscriptions:
            subscription.cancel()
        self._links.close()
        self._server_thread.stop()

    def join(self, timeout_s: float) -> bool:
        """Wait for the threads and close the sockets.

        :param timeout_s: seconds to wait for each thread.
        :return: whether all threads have ended; else the sockets stay open.
        """
        ended = self._links.join(timeout_s) and self._server_thread.join(timeout_s)
        if ended:
            self._keys.stop()
            self._server.close()
            self._context.destroy(linger=0)
        return ended

    def members(self) -> tuple[Member, ...]:
        """Return every known node in any state, including this node."""
        return self._local.table.members

    def providers(self, service: str) -> tuple[Member, ...]:
        """Return live nodes with a ready upstream, first those of this data centre.

        :param service: name of the service.
        """
        return self._local.table.providers(service)

    def find_member(self, node_id: str) -> Member | None:
        """Look up a node by its node ID.

        :return: the node's entry, or None when it is not known.
        """
        return self._local.table.find(node_id)

    def announce(self, upstream: AnnouncedUpstream) -> None:
        """Publish an upstream of this VM, or a change of it."""
        self._local.announce(upstream)

    def withdraw(self, service: str) -> None:
        """Publish that this VM no longer has an upstream of the service."""
        self._local.withdraw(service)

    def leave(self) -> None:
        """Publish that this node leaves, and wait for the neighbours to confirm.

        Waits at most :data:`LEAVE_TIMEOUT_S` seconds.
        """
        self._local.leave()
        self._disseminator.push_updates_and_wait(LEAVE_TIMEOUT_S)

    def add_contacts(self, addresses: tuple[str, ...]) -> None:
        """Add control addresses of nodes through which this node joins the mesh.

        The nodes are contacted at once, and again later while no live member has the
        address.

        :param addresses: ``ip:port`` of each contact.
        """
        self._reconciler.add_contacts(addresses)

    def subscribe(self, callback: Callable[[Member], None]) -> None:
        """Register a callback that is called with each changed entry.

        The callback runs in the thread that changes the entry and must return quickly.
        """
        self._local.subscribe(callback)

    def set_ask_handler(self, handler: Callable[[bytes], bytes]) -> None:
        """Set the handler of ``ASK`` requests, which peers send with :meth:`send_ask`.

        The handler runs in the control server's thread and must return quickly.

        :param handler: maps the payload of a request to the payload of the reply.
        """
        self._ask_handler = handler

    def send_ask(
        self, node_id_or_address: str, payload: bytes, timeout_s: float
    ) -> Result[bytes, MembershipError]:
        """Send an ``ASK`` request to one peer's handler and wait for the reply.

        :param node_id_or_address: node ID of a member, or a control address.
        :param payload: bytes that the peer's handler is called with.
        :param timeout_s: seconds to wait for a connection, and as many again for the
            reply.
        :return: the payload of the reply, or an error; after
            :class:`PeerUnreachable` the handler may have run.
        """
        address = self._address_of(node_id_or_address)
        if isinstance(address, Err):
            return address
        results: queue.Queue[ExchangeResult] = queue.Queue()
        exchange = Exchange(Kind.ASK, payload, timeout_s, results.put)
        self._links.submit(address.ok_value, exchange)
        try:
            result = results.get(timeout=2 * timeout_s)
        except queue.Empty:
            return Err(PeerUnreachable(f"no reply from {node_id_or_address}"))
        if isinstance(result, Err):
            return result
        return Ok(result.ok_value.payload)

    def _address_of(self, node_id_or_address: str) -> Result[str, MembershipError]:
        member = self.find_member(node_id_or_address)
        if member is not None:
            return Ok(member.control_address)
        if ":" in node_id_or_address:
            return Ok(node_id_or_address)
        return Err(PeerUnknown(node_id_or_address))

    def _handle_request(self, request: Request) -> Reply | None:
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
        if request.kind is Kind.ASK and self._ask_handler is not None:
            return Reply(Kind.ASK, self._ask_handler(request.payload))
        return Reply(Kind.REFUSED, b"this node does not take the message")

    def _handle_ping(self, request: Request) -> Reply:
        gossip = unpack(request.payload, Gossip)
        if isinstance(gossip, Err):
            return _refusal(gossip.err_value)
        self._apply_gossip(gossip.ok_value)
        self._reconciler.compare_digests(gossip.ok_value, request.sender_address)
        return Reply(
            Kind.PING, self._disseminator.compose_gossip(gossip.ok_value.sender)
        )

    def _handle_push(self, request: Request) -> Reply:
        gossip = unpack(request.payload, Gossip)
        if isinstance(gossip, Err):
            return _refusal(gossip.err_value)
        self._apply_gossip(gossip.ok_value)
        return _DONE

    def _apply_gossip(self, gossip: Gossip) -> None:
        self._disseminator.apply_gossip(gossip)
        sender = self.find_member(gossip.sender)
        if sender is not None:
            self._detector.record_message_from(sender.data_centre)

    def _handle_probe(self, request: Request) -> Reply | None:
        """Probe a third node for a peer; the reply is sent when the probe ends."""
        probe = unpack(request.payload, ProbeRequest)
        if isinstance(probe, Err):
            return _refusal(probe.err_value)
        probe_request = probe.ok_value

        def on_done(result: ExchangeResult) -> None:
            report = ProbeReport(_is_reply_from(result, probe_request.target))
            self._server.reply(request, Reply(Kind.PROBE, pack(report)))

        exchange = Exchange(
            Kind.PING,
            self._disseminator.compose_gossip(probe_request.target),
            self._settings.probe_timeout_s,
            on_done,
        )
        self._links.submit(probe_request.target_address, exchange)
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
        self._reconciler.apply_entries(entries.ok_value)
        return _DONE

    def _on_error(self, events: EventLog, error: BaseException) -> None:
        events.record("membership:error", error=repr(error))


def _refusal(error: MembershipError) -> Reply:
    return Reply(Kind.REFUSED, error.detail.encode())


def _is_reply_from(result: ExchangeResult, node_id: str) -> bool:
    if isinstance(result, Err):
        return False
    gossip = unpack(result.ok_value.payload, Gossip)
    return isinstance(gossip, Ok) and gossip.ok_value.sender == node_id
