"""What nodes know of each other: member entries and the view of them."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import StrEnum

__all__ = [
    "AnnouncedUpstream",
    "FixedView",
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
    """State of an upstream, as it announced itself or as declared."""

    STARTING = "starting"
    READY = "ready"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class AnnouncedUpstream:
    """What an upstream told the node on its VM."""

    #: Name of the service, the first segment of a call's path.
    service: str
    #: ``ip:port`` of the upstream itself; only the node on its VM connects.
    address: str
    #: Requests that the upstream can work on at once.
    slots: int
    #: Connections that the upstream accepts.
    connections: int
    #: Whether it takes work.
    state: UpstreamState = UpstreamState.READY


@dataclass(frozen=True, slots=True)
class Member:
    """One node, as it describes itself."""

    #: Name of the node, unique in the firm's mesh.
    node_id: str
    #: Grows when the node restarts; tickets name it.
    incarnation: int
    #: Data centre that the node runs in.
    data_centre: str
    #: ``ip:port`` for calls.
    call_address: str
    #: ``ip:port`` for control messages.
    control_address: str
    #: ``ip:port`` for the read-only pages.
    admin_address: str
    #: State that peers hold it in.
    state: MemberState = MemberState.ALIVE
    #: Upstreams on the node's VM.
    upstreams: tuple[AnnouncedUpstream, ...] = ()
    #: Grows within an incarnation, with a change of the node's own entry or
    #: with the refutation of a suspicion.
    revision: int = 0


class MembershipView(ABC):
    """Read side of the membership; safe to call from any thread.

    A view may be stale or wrong. That costs a hop and never a promise: the
    gate beside an upstream decides about that upstream alone.
    """

    @abstractmethod
    def members(self) -> tuple[Member, ...]:
        """Every known node, whatever its state, this one included."""

    @abstractmethod
    def providers(self, service: str) -> tuple[Member, ...]:
        """Nodes that may take new calls for ``service``; an immutable snapshot."""

    def find(self, node_id: str) -> Member | None:
        """Look a node up by name.

        :return: the member, or None when it was never heard of.
        """
        for member in self.members():
            if member.node_id == node_id:
                return member
        return None


class FixedView(MembershipView):
    """A view that never changes, for tests and for a node alone."""

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
