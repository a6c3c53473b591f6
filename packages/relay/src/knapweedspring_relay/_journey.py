"""One request on its way from its caller to a final answer."""

from dataclasses import dataclass

from knapweedspring_relay._configuration import Route

__all__ = ["Journey"]


@dataclass(slots=True)
class Journey:
    """One request on its way."""

    #: The route that it takes.
    route: Route
    #: The service that it was distributed to.
    service: str
    #: Id of the request.
    request_id: str
    #: Rank of the request at the root of its chain; None when it begins one.
    chain_priority: int | None
    #: Its end, on the monotonic clock.
    deadline_at: float
    #: Version of the configuration that it goes by.
    version: int
    #: Nodes whose gates were tried.
    excluded: frozenset[str] = frozenset()
    #: Nodes whose servers it was sent to.
    sent_to: frozenset[str] = frozenset()
    #: Gates that it was offered to.
    n_offers: int = 0
    #: Times that it was sent to a server.
    n_sent: int = 0
    #: Whether a server may have run it.
    may_have_run: bool = False
    #: What was said last of it.
    last_reason: str = "no upstream of the service is known"
    #: Node of the gate that was tried last.
    last_node: str = ""

    @property
    def root_priority(self) -> int:
        """Rank of the request at the root of its chain."""
        if self.chain_priority is None:
            return self.route.priority
        return self.chain_priority
