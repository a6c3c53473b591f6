"""What the pages ask the rest of the node."""

from abc import ABC, abstractmethod

from knapweedspring_core import (
    AnnouncedUpstream,
    Event,
    Explanation,
    Member,
    StatusPage,
)

__all__ = ["NodeFacts"]


class NodeFacts(ABC):
    """Read side of a node, and the entrance for announcements.

    The methods are called from the threads of the page server.
    """

    @abstractmethod
    def status(self) -> StatusPage:
        """Return the node's state."""

    @abstractmethod
    def members(self) -> tuple[Member, ...]:
        """Return the membership view."""

    @abstractmethod
    def events(self) -> tuple[Event, ...]:
        """Return the event ring, oldest first."""

    @abstractmethod
    def announce(self, upstream: AnnouncedUpstream) -> None:
        """Take in what an upstream tells about itself."""

    def explain(self, request_id: str) -> Explanation:
        """Return what the node knows of a request.

        By default the events that name the request.
        """
        events = tuple(
            event
            for event in self.events()
            if event.fields.get("request", "") == request_id
        )
        return Explanation(request_id, self.status().node_id, events)
