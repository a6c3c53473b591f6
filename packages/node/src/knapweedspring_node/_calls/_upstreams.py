"""Upstreams on this VM, each behind its gate."""

import threading
from collections.abc import Callable
from dataclasses import dataclass

from knapweedspring_core import AnnouncedUpstream
from knapweedspring_node._calls._admission import Gate

__all__ = ["LocalUpstream", "LocalUpstreams"]


@dataclass(frozen=True, slots=True)
class LocalUpstream:
    """An upstream that announced itself to this node, and its gate."""

    #: What the upstream announced last.
    announced: AnnouncedUpstream
    #: Decides what may start at the upstream.
    gate: Gate


class LocalUpstreams:
    """Upstreams by service name.

    :param make_gate: builds the gate of an upstream that is new here.
    """

    def __init__(self, make_gate: Callable[[AnnouncedUpstream], Gate]) -> None:
        self._make_gate = make_gate
        self._lock = threading.Lock()
        self._by_service: dict[str, LocalUpstream] = {}

    @property
    def all(self) -> tuple[LocalUpstream, ...]:
        """Every upstream on this VM."""
        return tuple(self._by_service.values())

    def announce(self, announced: AnnouncedUpstream) -> LocalUpstream:
        """Take in an announcement, the first one or a heartbeat.

        An upstream that comes back at another address or with other slots is a
        new one and gets a new gate, which starts slowly again.
        """
        with self._lock:
            held = self._by_service.get(announced.service)
            if held is not None and _same_upstream(held.announced, announced):
                gate = held.gate
            else:
                gate = self._make_gate(announced)
            current = LocalUpstream(announced, gate)
            self._by_service[announced.service] = current
            return current

    def withdraw(self, service: str) -> None:
        """Forget an upstream that stopped announcing itself."""
        with self._lock:
            self._by_service.pop(service, None)

    def find(self, service: str) -> LocalUpstream | None:
        """Return the upstream of a service, None when there is none here."""
        return self._by_service.get(service)


def _same_upstream(held: AnnouncedUpstream, announced: AnnouncedUpstream) -> bool:
    return (held.address, held.slots, held.connections) == (
        announced.address,
        announced.slots,
        announced.connections,
    )
