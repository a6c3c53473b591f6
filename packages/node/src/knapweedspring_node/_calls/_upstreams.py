"""Upstreams on this VM and their gates."""

import threading
from collections.abc import Callable
from dataclasses import dataclass

from knapweedspring_core import AnnouncedUpstream
from knapweedspring_node._calls._admission import Gate

__all__ = ["LocalUpstream", "LocalUpstreams"]


@dataclass(frozen=True, slots=True)
class LocalUpstream:
    """An upstream that is announced to this node, and its gate."""

    #: Last announcement of the upstream.
    announced: AnnouncedUpstream
    #: Admission control of the upstream.
    gate: Gate


class LocalUpstreams:
    """Upstreams on this VM by service name.

    :param make_gate: builds the gate of a new upstream.
    """

    def __init__(self, make_gate: Callable[[AnnouncedUpstream], Gate]) -> None:
        self._make_gate = make_gate
        self._lock = threading.Lock()
        self._by_service: dict[str, LocalUpstream] = {}

    @property
    def local_upstreams(self) -> tuple[LocalUpstream, ...]:
        """Every upstream on this VM."""
        return tuple(self._by_service.values())

    def apply_announcement(self, announced: AnnouncedUpstream) -> LocalUpstream:
        """Apply the first announcement of an upstream or a later heartbeat.

        An upstream that is announced with another address, other slots or other
        connections counts as new and gets a new gate, which begins with a slow start.

        :param announced: announcement of an upstream on this VM.
        :return: the upstream and its gate.
        """
        with self._lock:
            previous = self._by_service.get(announced.service)
            if previous is not None and _same_upstream(previous.announced, announced):
                gate = previous.gate
            else:
                gate = self._make_gate(announced)
            current = LocalUpstream(announced, gate)
            self._by_service[announced.service] = current
            return current

    def remove(self, service: str) -> None:
        """Remove an upstream that is no longer announced."""
        with self._lock:
            self._by_service.pop(service, None)

    def find(self, service: str) -> LocalUpstream | None:
        """Return the upstream of a service, None when this VM has none."""
        return self._by_service.get(service)


def _same_upstream(previous: AnnouncedUpstream, announced: AnnouncedUpstream) -> bool:
    return (previous.address, previous.slots, previous.connections) == (
        announced.address,
        announced.slots,
        announced.connections,
    )
