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

    @abstractmethod
    def take_report(self, page: StatusPage) -> None:
        """Take in the state of another node, when this one is the reporter."""

    def explain(self, request_id: str) -> Explanation:
        """Return what the node knows of a request.

        :param request_id: id of a request, or a ticket that its events name.
        """
        events = tuple(
            event
            for event in self.events()
            if request_id in (event.fields.get("request"), event.fields.get("ticket"))
        )
        return Explanation(request_id, self.status().node_id, events)
