"""A node: creates its parts and starts and stops them through a supervisor."""

import random
import secrets
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from result import Err, Ok, Result

from knapweedspring_core import (
    Counters,
    DeclarationStore,
    EventLog,
    HttpPlatform,
    MetricsPage,
    ObjectRecord,
    Supervisor,
    ThreadChild,
    TimerService,
    declaration_key,
)
from knapweedspring_node._admin import AdminPages
from knapweedspring_node._admin_backend import NodeAdminBackend
from knapweedspring_node._announcements import Announcements
from knapweedspring_node._calls import (
    CallPath,
    CallPathSettings,
    CallServer,
    PeerRevoker,
    ServerLimits,
    WorkerGuard,
)
from knapweedspring_node._config import (
    ContactsWriter,
    PlatformWatcher,
    ReporterDependencies,
    Roles,
    StatusReporter,
    StatusWriter,
    parse_contacts,
    read_contacts,
)
from knapweedspring_node._drain import Drain
from knapweedspring_node._membership import (
    Identity,
    MembershipService,
    MembershipSettings,
)
from knapweedspring_node._node_parts import NodeParts
from knapweedspring_node._settings import NodeSettings

__all__ = ["BoundAddresses", "Node", "StartError"]

GATE_UPDATE_PERIOD_S = 0.5
#: Seconds that :meth:`Node.stop` waits for the threads to end.
THREAD_JOIN_TIMEOUT_S = 2.0
CONTACTS_RETRY_MIN_S = 1.0
CONTACTS_RETRY_MAX_S = 8.0
#: Size in bits of the random gate epoch of a node process.
EPOCH_BITS = 62


@dataclass(frozen=True, slots=True)
class StartError:
    """Why a node cannot start."""

    #: What to change in the settings.
    detail: str


@dataclass(frozen=True, slots=True)
class BoundAddresses:
    """Addresses that a node is bound to, each ``ip:port``."""

    #: Address for calls.
    call_address: str
    #: Address for control messages between nodes.
    control_address: str
    #: Address of the admin pages.
    admin_address: str


class Node:
    """A node of the mesh; call :meth:`start`, later :meth:`stop`.

    :param settings: settings of the node.
    """

    def __init__(self, settings: NodeSettings) -> None:
        self._settings = settings
        self._events = EventLog(settings.node_id)
        self._counters = Counters()
        self._store = DeclarationStore()
        self._timers = TimerService(on_error=self._record_error)
        self._platform = HttpPlatform(
            settings.platform_address, data_centre=settings.data_centre
        )
        self._admin_backend = NodeAdminBackend(lambda: self._parts)
        self._supervisor = Supervisor("node")
        self._stopped = threading.Event()

    @property
    def settings(self) -> NodeSettings:
        """Settings of the node."""
        return self._settings

    @property
    def parts(self) -> NodeParts:
        """Parts of the node; available after :meth:`start` has succeeded."""
        return self._parts

    def start(self) -> Result[BoundAddresses, StartError]:
        """Bind the addresses and start every part.

        :return: the bound addresses, or what to change in the settings.
        """
        settings = self._settings
        server = CallServer(
            settings.call_address, self._counters, _server_limits(settings)
        )
        calls_bound = server.listen()
        if isinstance(calls_bound, Err):
            return Err(StartError(str(calls_bound.err_value)))
        pages = AdminPages(self._admin_backend, MetricsPage(self._counters))
        pages_bound = pages.bind(settings.admin_address)
        if isinstance(pages_bound, Err):
            return Err(StartError(pages_bound.err_value.advice))
        membership = self._make_membership(calls_bound.ok_value, pages_bound.ok_value)
        control_bound = membership.bind()
        if isinstance(control_bound, Err):
            return Err(StartError(str(control_bound.err_value)))
        self._parts = self._make_parts(membership, server)
        self._start_children(server, pages)
        return Ok(
            BoundAddresses(
                calls_bound.ok_value, control_bound.ok_value, pages_bound.ok_value
            )
        )

    def stop(self) -> bool:
        """Drain the node, leave the mesh and stop every part.

        :return: whether all calls and tickets finished before the stop deadline.
        """
        deadline_ms = self._settings.stop_deadline_ms
        intent = self._store.upstream_intent(self._settings.node_id)
        if intent is not None:
            deadline_ms = intent.stop_deadline_ms
        finished = self._parts.drain.run(deadline_ms)
        self._parts.membership.leave()
        self._stopped.set()
        self._supervisor.stop()
        self._supervisor.join(THREAD_JOIN_TIMEOUT_S)
        return finished

    def _make_membership(
        self, call_address: str, admin_address: str
    ) -> MembershipService:
        settings = self._settings
        identity = Identity(
            node_id=settings.node_id,
            firm=settings.firm,
            data_centre=settings.data_centre,
            call_address=settings.advertised_call_address or call_address,
            admin_address=admin_address,
            incarnation=time.time_ns() // 1_000_000,
        )
        membership_settings = MembershipSettings(
            control_address=settings.control_address,
            advertised_address=settings.advertised_control_address,
            curve_public_key=settings.curve_public_key,
            curve_secret_key=settings.curve_secret_key,
            allow_plain=settings.allow_plain_control,
            contacts=settings.seeds,
        )
        return MembershipService(
            identity,
            membership_settings,
            self._store,
            self._timers,
            self._events,
            self._counters,
        )

    def _make_parts(
        self, membership: MembershipService, server: CallServer
    ) -> NodeParts:
        settings = self._settings
        path_settings = CallPathSettings(
            node_id=settings.node_id,
            data_centre=settings.data_centre,
            # A random epoch is unique even when the clock is set back; 0 stands
            # for an unknown epoch.
            epoch=secrets.randbits(EPOCH_BITS) | 1,
            mesh_key=bytes.fromhex(settings.mesh_key),
            ticket_lifetime_s=settings.ticket_lifetime_ms / 1_000,
        )
        calls = CallPath(
            path_settings,
            self._store,
            membership,
            PeerRevoker(membership),
            self._events,
            self._counters,
            WorkerGuard(
                settings.n_workers, lambda: server.n_busy, self._store.top_priority
            ),
            lambda: self._parts.drain.draining,
        )
        membership.set_ask_handler(calls.revoke_handler.handle)
        announcements = Announcements(
            settings.node_id, calls, membership, self._store, self._events
        )
        roles = Roles(membership, settings.node_id, settings.data_centre)
        contacts = ContactsWriter(self._platform, roles, membership.members)
        watcher = self._make_watcher(membership, roles, contacts)
        return NodeParts(
            events=self._events,
            counters=self._counters,
            store=self._store,
            platform=self._platform,
            watcher=watcher,
            reporter=self._make_reporter(roles, watcher, contacts),
            membership=membership,
            calls=calls,
            announcements=announcements,
            drain=Drain(announcements, calls, server, self._events),
        )

    def _make_reporter(
        self, roles: Roles, watcher: PlatformWatcher, contacts: ContactsWriter
    ) -> StatusReporter:
        dependencies = ReporterDependencies(
            roles=roles,
            store=self._store,
            read_status=self._admin_backend.status,
            watcher=watcher,
            contacts=contacts,
            writer=StatusWriter(self._platform, roles),
        )
        return StatusReporter(dependencies, self._events, self._counters)

    def _make_watcher(
        self,
        membership: MembershipService,
        roles: Roles,
        contacts_writer: ContactsWriter,
    ) -> PlatformWatcher:
        def add_contacts(record: ObjectRecord) -> None:
            contacts_writer.update_stored_contacts(record)
            contacts = parse_contacts(record).contacts
            membership.add_contacts(
                tuple(contact.control_address for contact in contacts)
            )

        return PlatformWatcher(
            self._platform,
            self._store,
            roles,
            self._events,
            self._counters,
            add_contacts,
        )

    def _start_children(self, server: CallServer, pages: AdminPages) -> None:
        parts = self._parts
        server.set_handler(parts.calls.handler)
        self._store.subscribe(self._apply_declaration)
        self._timers.call_every(GATE_UPDATE_PERIOD_S, parts.announcements.update_gates)
        for child in (
            self._make_thread_child("timers", self._timers.run, self._timers.stop),
            parts.membership,
            self._make_thread_child(
                "joiner", self._join_through_platform, self._stopped.set
            ),
            parts.watcher,
            parts.reporter,
            self._make_thread_child("calls", server.serve, server.stop),
            pages,
        ):
            self._supervisor.add(child)
        self._supervisor.start()

    def _make_thread_child(
        self, name: str, run: Callable[[], None], stop: Callable[[], None]
    ) -> ThreadChild:
        return ThreadChild(name, run, stop, lambda _, error: self._record_error(error))

    def _join_through_platform(self) -> None:
        """Retry reading the contacts until the platform answers or a peer is known.

        A known peer supplies the other members. If a node retried even then, the
        number of platform calls during an outage would grow with the number of
        starting nodes.
        """
        pause_s = CONTACTS_RETRY_MIN_S
        while not self._stopped.is_set() and len(self._parts.membership.members()) < 2:
            contacts = read_contacts(self._platform)
            if isinstance(contacts, Ok):
                self._parts.membership.add_contacts(contacts.ok_value)
                return
            self._stopped.wait(random.uniform(0, pause_s))
            pause_s = min(pause_s * 2, CONTACTS_RETRY_MAX_S)

    def _apply_declaration(self, record: ObjectRecord) -> None:
        key = declaration_key(record.key)
        if key is None:
            return
        version = self._store.in_force_version(key)
        self._events.record("declaration:in-force", key=key, version=version)
        if key.kind == "Policy":
            self._parts.calls.apply_policy()
        elif key.kind == "UpstreamIntent":
            self._parts.announcements.update_gates()

    def _record_error(self, error: BaseException) -> None:
        self._counters.add("internal_errors", type(error).__name__)
        self._events.record("internal:error", error=repr(error))


def _server_limits(settings: NodeSettings) -> ServerLimits:
    return ServerLimits(settings.n_workers, settings.n_connections)
