"""Interface between the admin pages and the rest of the node."""

from abc import ABC, abstractmethod

from knapweedspring_core import (
    AnnouncedUpstream,
    Event,
    Explanation,
    Member,
    StatusPage,
)

__all__ = ["AdminBackend"]


class AdminBackend(ABC):
    """State of a node for the admin pages, and receiver of announcements and reports.

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
        """Apply an upstream's announcement.

        :param upstream: service, address, capacity and state that were announced.
        """

    @abstractmethod
    def receive_report(self, page: StatusPage) -> None:
        """Record the state that another node sent because this node is the reporter.

        :param page: status page of the other node.
        """

    def explain(self, request_id: str) -> Explanation:
        """Return the events of a request that are in this node's event ring.

        :param request_id: ID of a request or of a ticket; events with this ID as their
            ``request`` or ``ticket`` are returned.
        """
        events = tuple(
            event
            for event in self.events()
            if request_id in (event.fields.get("request"), event.fields.get("ticket"))
        )
        return Explanation(request_id, self.status().node_id, events)
