"""Content of the nodes' read-only pages; status objects reuse some of its parts."""

from dataclasses import dataclass

from knapweedspring_core._events import Event
from knapweedspring_core._members import Member, UpstreamState

__all__ = [
    "BudgetUse",
    "DeclarationStatus",
    "EventsPage",
    "Explanation",
    "GateStatus",
    "MembersPage",
    "PageProblem",
    "StatusPage",
]


@dataclass(frozen=True, slots=True)
class DeclarationStatus:
    """State of one declaration on a node."""

    #: Kind, such as ``RequestClass``.
    kind: str
    #: Name, unique within the kind.
    name: str
    #: Highest version that the node has received.
    version: int
    #: Version in force on the node; 0 when it has no valid one.
    in_force_version: int
    #: Whether the highest version is a deletion.
    deleted: bool = False
    #: Path of the invalid field in the highest version; empty when it is valid.
    invalid_path: str = ""
    #: What the operator should write there instead.
    advice: str = ""


@dataclass(frozen=True, slots=True)
class GateStatus:
    """One upstream and its gate."""

    #: Name of the service.
    service: str
    #: ``ip:port`` of the upstream.
    address: str
    #: State announced by the upstream.
    state: UpstreamState
    #: Slots that the upstream announced.
    slots: int
    #: Concurrency limit in effect.
    limit: int
    #: Calls running at the upstream.
    n_in_flight: int
    #: Calls waiting in the queue.
    n_waiting: int
    #: Lowest priority that is admitted at present; 0 when nothing is shed.
    shedding_level: int = 0


@dataclass(frozen=True, slots=True)
class BudgetUse:
    """Use of the retry budgets at a node, since its start."""

    #: Retry tokens that the node spent on attempts beyond the first.
    n_spent: int = 0
    #: Retries that it denied because a budget or the retry ratio was spent.
    n_denied: int = 0


@dataclass(frozen=True, slots=True)
class StatusPage:
    """State of one node."""

    #: Name of the node.
    node_id: str
    #: Grows with each start of the node.
    incarnation: int
    #: Data centre that the node runs in.
    data_centre: str
    #: Declarations, in the order of their keys.
    declarations: tuple[DeclarationStatus, ...] = ()
    #: Upstreams on the node's VM.
    gates: tuple[GateStatus, ...] = ()
    #: Whether the node refuses new work.
    draining: bool = False
    #: Requests, child calls and live tickets that a drain still waits for.
    n_unfinished: int = 0
    #: Use of the retry budgets.
    budget: BudgetUse = BudgetUse()
    #: Whether this node reads the platform for its data centre.
    watching: bool = False
    #: Whether this node writes its data centre's status object.
    reporting: bool = False
    #: Calls to the platform since the start.
    n_platform_calls: int = 0


@dataclass(frozen=True, slots=True)
class MembersPage:
    """The membership view of one node."""

    #: Node whose view it is.
    node_id: str
    #: Every known node.
    members: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class EventsPage:
    """The event ring of one process."""

    #: Name of the process.
    process: str
    #: Newest events, oldest first.
    events: tuple[Event, ...]


@dataclass(frozen=True, slots=True)
class Explanation:
    """Events of one request that one node recorded."""

    #: Id of the request.
    request_id: str
    #: Node that recorded the events.
    node_id: str
    #: Events of the request, oldest first.
    events: tuple[Event, ...]


@dataclass(frozen=True, slots=True)
class PageProblem:
    """Error answer of a page."""

    #: What the client should do instead.
    problem: str
