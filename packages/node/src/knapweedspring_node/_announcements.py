"""Upstreams of this VM: their announcements, and what follows from them."""

import threading
import time

from knapweedspring_core import (
    AnnouncedUpstream,
    DeclarationStore,
    EventLog,
    Intent,
    UpstreamState,
)
from knapweedspring_node._calls import CallStack
from knapweedspring_node._membership import MembershipService

__all__ = ["Announcements"]

#: An upstream that is silent for so long gets no new work.
SILENCE_S = 5.0


class Announcements:
    """Opens and closes gates by what upstreams announce and operators declare.

    An upstream is published as ready only when it says so itself, no declaration
    wants it to leave, and the node does not stop.

    :param node_id: name under which an ``UpstreamIntent`` is declared.
    """

    def __init__(
        self,
        node_id: str,
        calls: CallStack,
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
        self._heard_at: dict[str, float] = {}
        self._published: dict[str, AnnouncedUpstream] = {}
        self._said: dict[str, AnnouncedUpstream] = {}
        self._node_leaves = False

    @property
    def is_leaving(self) -> bool:
        """Whether the whole node is to take no new work."""
        return self._node_leaves or self._is_declared_leaving()

    def announce(self, upstream: AnnouncedUpstream) -> None:
        """Take in an upstream's announcement or heartbeat."""
        with self._lock:
            self._heard_at[upstream.service] = time.monotonic()
            self._said[upstream.service] = upstream
            self._publish(upstream)

    def leave(self) -> None:
        """Close every gate, because the node stops."""
        with self._lock:
            self._node_leaves = True
            self._publish_all()

    def review(self) -> None:
        """Apply declared intents and notice upstreams that fell silent."""
        silent_since = time.monotonic() - SILENCE_S
        with self._lock:
            for service, heard_at in list(self._heard_at.items()):
                if heard_at < silent_since:
                    self._forget(service)
            self._publish_all()

    def _is_declared_leaving(self) -> bool:
        intent = self._store.upstream_intent(self._node_id)
        return intent is not None and intent.intent is Intent.LEAVING

    def _publish_all(self) -> None:
        for upstream in tuple(self._said.values()):
            self._publish(upstream)

    def _publish(self, said: AnnouncedUpstream) -> None:
        state = UpstreamState.LEAVING if self.is_leaving else said.state
        wanted = AnnouncedUpstream(
            said.service, said.address, said.slots, said.connections, state
        )
        if self._published.get(said.service) == wanted:
            return
        gate = self._calls.upstreams.announce(wanted).gate
        # The gate closes before peers are told, so that no call slips through
        # between the two.
        if state is UpstreamState.READY and gate.closed:
            gate.reopen()
        elif state is not UpstreamState.READY and not gate.closed:
            gate.close()
        self._published[said.service] = wanted
        self._events.record("upstream:state", service=said.service, state=state)
        self._membership.announce(wanted)

    def _forget(self, service: str) -> None:
        self._events.record("upstream:silent", service=service)
        del self._heard_at[service]
        self._said.pop(service, None)
        if self._published.pop(service, None) is not None:
            self._calls.upstreams.withdraw(service)
            self._membership.withdraw(service)
