"""Admin backend that reads the state of a running node."""

from collections.abc import Callable

from knapweedspring_core import (
    AnnouncedUpstream,
    BudgetUse,
    DeclarationState,
    DeclarationStatus,
    DeclarationStore,
    Event,
    GateStatus,
    Member,
    StatusPage,
)
from knapweedspring_node._admin import AdminBackend
from knapweedspring_node._calls import LocalUpstream
from knapweedspring_node._node_parts import NodeParts

__all__ = ["NodeAdminBackend", "declaration_statuses"]


class NodeAdminBackend(AdminBackend):
    """Serves the admin pages from the parts of a running node.

    :param parts: returns the node's parts; not called before the node has created them.
    """

    def __init__(self, parts: Callable[[], NodeParts]) -> None:
        self._get_parts = parts
        self._cached_objects: tuple[DeclarationState, ...] = ()
        self._cached_statuses: tuple[DeclarationStatus, ...] = ()

    @property
    def _parts(self) -> NodeParts:
        return self._get_parts()

    def status(self) -> StatusPage:
        """Return the node's state."""
        parts = self._parts
        own = parts.membership.own_entry
        return StatusPage(
            node_id=own.node_id,
            incarnation=own.incarnation,
            data_centre=own.data_centre,
            declarations=self._declarations(parts.store),
            gates=tuple(
                _gate_status(upstream)
                for upstream in parts.calls.upstreams.local_upstreams
            ),
            draining=parts.drain.draining,
            n_unfinished=parts.drain.n_unfinished,
            budget=BudgetUse(
                n_spent=parts.counters.total("retries"),
                n_denied=parts.counters.total("retries_denied"),
            ),
            watching=parts.watcher.is_watching,
            reporting=parts.reporter.is_reporter,
            n_platform_calls=parts.platform.n_calls,
        )

    def members(self) -> tuple[Member, ...]:
        """Return the membership view."""
        return self._parts.membership.members()

    def events(self) -> tuple[Event, ...]:
        """Return the event ring, oldest first."""
        return self._parts.events.events

    def announce(self, upstream: AnnouncedUpstream) -> None:
        """Apply an upstream's announcement.

        :param upstream: service, address, capacity and state that were announced.
        """
        self._parts.announcements.announce(upstream)

    def receive_report(self, page: StatusPage) -> None:
        """Record the state of another node.

        :param page: status page of the other node.
        """
        self._parts.reporter.receive_report(page)

    def _declarations(self, store: DeclarationStore) -> tuple[DeclarationStatus, ...]:
        """Return the declarations' statuses, cached until a declaration changes."""
        current = store.objects
        if current is not self._cached_objects:
            self._cached_statuses = declaration_statuses(current)
            self._cached_objects = current
        return self._cached_statuses


def declaration_statuses(
    objects: tuple[DeclarationState, ...],
) -> tuple[DeclarationStatus, ...]:
    """Return the statuses of stored declarations, in the same order.

    :param objects: declarations as a store holds them.
    """
    return tuple(
        DeclarationStatus(
            kind=state.record.key.kind,
            name=state.record.key.name,
            version=state.record.version,
            in_force_version=state.in_force_version,
            deleted=state.record.deleted,
            invalid_path="" if state.error is None else state.error.path,
            advice="" if state.error is None else state.error.advice,
        )
        for state in objects
    )


def _gate_status(upstream: LocalUpstream) -> GateStatus:
    announced, gate = upstream.announced, upstream.gate
    level = gate.load().level
    return GateStatus(
        service=announced.service,
        address=announced.address,
        state=announced.state,
        slots=announced.slots,
        limit=gate.limit,
        n_in_flight=gate.n_in_flight,
        n_waiting=gate.n_waiting,
        shedding_level=0 if level is None else level.priority,
    )
