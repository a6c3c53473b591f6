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
        Calls that are queued for an upstream at another address are refused.

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
        if previous is not None and previous.announced.address != announced.address:
            previous.gate.close()
        return current

    def remove(self, service: str) -> None:
        """Remove an upstream that is not announced, and refuse its queued calls."""
        with self._lock:
            previous = self._by_service.pop(service, None)
        if previous is not None:
            previous.gate.close()

    def serves_at(self, service: str, address: str) -> bool:
        """Return whether a service still has its upstream at an address.

        :param service: name of the service.
        :param address: address of the upstream when a call was checked.
        """
        current = self._by_service.get(service)
        return current is not None and current.announced.address == address

    def find(self, service: str) -> LocalUpstream | None:
        """Return the upstream of a service, None when this VM has none."""
        return self._by_service.get(service)


def _same_upstream(previous: AnnouncedUpstream, announced: AnnouncedUpstream) -> bool:
    return (previous.address, previous.slots, previous.connections) == (
        announced.address,
        announced.slots,
        announced.connections,
    )
