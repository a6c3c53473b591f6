"""Handles the announcements of this VM's upstreams: publishing and gate states."""

import threading
import time

from knapweedspring_core import (
    AnnouncedUpstream,
    DeclarationStore,
    EventLog,
    Intent,
    UpstreamState,
)
from knapweedspring_node._calls import CallPath
from knapweedspring_node._membership import MembershipService

__all__ = ["Announcements"]

#: Seconds without an announcement after which an upstream is withdrawn.
ANNOUNCEMENT_EXPIRY_S = 5.0


class Announcements:
    """Publishes the announced upstreams to peers, and opens and closes their gates.

    An upstream is published as ready only while it announces itself as ready, no
    ``UpstreamIntent`` declares it as leaving, and the node is not stopping.

    :param node_id: node ID of this node, which is also the name of its
        ``UpstreamIntent``.
    :param calls: holds the upstreams and their gates.
    :param membership: publishes the upstreams to peers.
    :param store: returns the declared intent.
    :param events: records state changes of upstreams.
    """

    def __init__(
        self,
        node_id: str,
        calls: CallPath,
        membership: MembershipService,
        store: DeclarationStore,
        events: EventLog,
    ) -> None:
        self._node_id = node_id
        self._calls = calls
        self._membership = membership
        self._store = store
        self._events = events
        self._lock = threading.Lock()
        self._announced_at: dict[str, float] = {}
        self._published: dict[str, AnnouncedUpstream] = {}
        self._announced: dict[str, AnnouncedUpstream] = {}
        self._is_stopping = False

    @property
    def is_leaving(self) -> bool:
        """Whether the whole node is leaving: it is stopping or declared as leaving."""
        return self._is_stopping or self._is_declared_leaving()

    def announce(self, upstream: AnnouncedUpstream) -> None:
        """Apply an upstream's announcement or heartbeat.

        :param upstream: service, address, capacity and state that were announced.
        """
        with self._lock:
            for other in tuple(self._announced.values()):
                is_replaced = other.address == upstream.address
                if is_replaced and other.service != upstream.service:
                    self._withdraw(other.service, "upstream:replaced")
            self._announced_at[upstream.service] = time.monotonic()
            self._announced[upstream.service] = upstream
            self._publish_upstream(upstream)

    def close_gates(self) -> None:
        """Close every gate permanently, because the node is stopping."""
        with self._lock:
            self._is_stopping = True
            self._publish_all_upstreams()

    def update_gates(self) -> None:
        """Withdraw upstreams with expired announcements, and apply the intent."""
        cutoff_at = time.monotonic() - ANNOUNCEMENT_EXPIRY_S
        with self._lock:
            for service, announced_at in list(self._announced_at.items()):
                if announced_at < cutoff_at:
                    self._withdraw(service, "upstream:silent")
            self._publish_all_upstreams()

    def _is_declared_leaving(self) -> bool:
        intent = self._store.upstream_intent(self._node_id)
        return intent is not None and intent.intent is Intent.LEAVING

    def _publish_all_upstreams(self) -> None:
        for upstream in tuple(self._announced.values()):
            self._publish_upstream(upstream)

    def _publish_upstream(self, announced: AnnouncedUpstream) -> None:
        state = UpstreamState.LEAVING if self.is_leaving else announced.state
        wanted = AnnouncedUpstream(
            announced.service,
            announced.address,
            announced.slots,
            announced.connections,
            state,
        )
        if self._published.get(announced.service) == wanted:
            return
        gate = self._calls.upstreams.apply_announcement(wanted).gate
        # The gate closes before the state is published, so that no call is
        # admitted in between.
        if state is UpstreamState.READY and gate.closed:
            gate.reopen()
        elif state is not UpstreamState.READY and not gate.closed:
            gate.close()
        self._published[announced.service] = wanted
        self._events.record("upstream:state", service=announced.service, state=state)
        self._membership.announce(wanted)

    def _withdraw(self, service: str, event: str) -> None:
        self._events.record(event, service=service)
        del self._announced_at[service]
        self._announced.pop(service, None)
        if self._published.pop(service, None) is not None:
            self._calls.upstreams.remove(service)
            self._membership.withdraw(service)
