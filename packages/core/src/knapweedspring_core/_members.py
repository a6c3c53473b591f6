"""Membership: the entry of each node and the read-only view of all entries."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import StrEnum

__all__ = [
    "AnnouncedUpstream",
    "StaticMembershipView",
    "Member",
    "MemberState",
    "MembershipView",
    "UpstreamState",
]


class MemberState(StrEnum):
    """State of a node in the membership view."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


class UpstreamState(StrEnum):
    """State of an upstream, as announced by itself or declared by an operator."""

    STARTING = "starting"
    READY = "ready"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class AnnouncedUpstream:
    """An upstream, as it announced itself to the node on its VM."""

    #: Name of the service, the first segment of a call's path.
    service: str
    #: ``ip:port`` of the upstream; only the node on its VM connects to it.
    address: str
    #: Number of requests that the upstream can process concurrently.
    slots: int
    #: Number of concurrent connections that the upstream accepts.
    connections: int
    #: State of the upstream.
    state: UpstreamState = UpstreamState.READY


@dataclass(frozen=True, slots=True)
class Member:
    """The membership entry of one node."""

    #: Name of the node, unique in the firm's mesh.
    node_id: str
    #: Grows when the node restarts, and when the node receives an entry of its own
    #: name with a higher incarnation. Of two entries of a node, the one with the
    #: higher incarnation wins.
    incarnation: int
    #: Data centre that the node runs in.
    data_centre: str
    #: ``ip:port`` at which the node accepts calls.
    call_address: str
    #: ``ip:port`` at which the node accepts control messages.
    control_address: str
    #: ``ip:port`` of the node's read-only pages.
    admin_address: str
    #: State of the node in the membership view.
    state: MemberState = MemberState.ALIVE
    #: Upstreams on the node's VM.
    upstreams: tuple[AnnouncedUpstream, ...] = ()
    #: Grows within an incarnation when the node changes its own entry or refutes
    #: a suspicion.
    revision: int = 0


class MembershipView(ABC):
    """Read side of the membership; safe to call from any thread.

    A view may be stale or wrong. A call may then need an additional hop, but no
    guarantee is broken, because only the gate on an upstream's VM admits calls to
    the upstream.
    """

    @abstractmethod
    def members(self) -> tuple[Member, ...]:
        """Return every known node in any state, including the local node."""

    @abstractmethod
    def providers(self, service: str) -> tuple[Member, ...]:
        """Return a snapshot of the nodes that may accept new calls for ``service``."""

    def find_member(self, node_id: str) -> Member | None:
        """Look a node up by name.

        :param node_id: name of the node.
        :return: the member, or None when the view does not contain it.
        """
        for member in self.members():
            if member.node_id == node_id:
                return member
        return None


class StaticMembershipView(MembershipView):
    """A view that never changes, for tests and for a mesh of one node."""

    def __init__(self, members: tuple[Member, ...]) -> None:
        self._members = members

    def members(self) -> tuple[Member, ...]:
        """Return the members given at construction."""
        return self._members

    def providers(self, service: str) -> tuple[Member, ...]:
        """Return the members with an upstream of the service."""
        return tuple(
            member
            for member in self._members
            if any(upstream.service == service for upstream in member.upstreams)
        )
