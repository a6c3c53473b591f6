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
    #: Version in force on the node; 0 when the node has received no valid version.
    in_force_version: int
    #: Whether the highest version is a deletion.
    deleted: bool = False
    #: Path of the invalid field in the highest version; empty when it is valid.
    invalid_path: str = ""
    #: What the operator should write at ``invalid_path`` instead.
    advice: str = ""


@dataclass(frozen=True, slots=True)
class GateStatus:
    """State of one upstream and its gate."""

    #: Name of the service.
    service: str
    #: ``ip:port`` of the upstream.
    address: str
    #: State that the node publishes for the upstream: the state that the upstream
    #: announced, or ``leaving`` if the node drains or an operator declared it.
    state: UpstreamState
    #: Number of slots that the upstream announced.
    slots: int
    #: Number of calls that the gate runs concurrently at most, at present.
    limit: int
    #: Number of calls running at the upstream.
    n_in_flight: int
    #: Number of calls waiting in the gate's queue.
    n_waiting: int
    #: Lowest priority that the gate admits at present; 0 when the gate admits every
    #: priority.
    shedding_level: int = 0


@dataclass(frozen=True, slots=True)
class BudgetUse:
    """Retries since the start of a node, or the sum of such counts of several nodes."""

    #: Number of retry tokens spent on attempts beyond the first.
    n_spent: int = 0
    #: Number of retries denied because the budget or the retry ratio was spent, or
    #: because too little time was left until the deadline.
    n_denied: int = 0


@dataclass(frozen=True, slots=True)
class StatusPage:
    """State of one node."""

    #: Name of the node.
    node_id: str
    #: Number that is higher after each restart of the node.
    incarnation: int
    #: Data centre that the node runs in.
    data_centre: str
    #: State of each declaration, in the order of their keys.
    declarations: tuple[DeclarationStatus, ...] = ()
    #: State of each upstream on the node's VM and of its gate.
    gates: tuple[GateStatus, ...] = ()
    #: Whether the node refuses new work.
    draining: bool = False
    #: Number of unfinished requests, child calls and usable tickets; a drain waits
    #: until this number is 0.
    n_unfinished: int = 0
    #: Use of the retry budgets since the start of the node.
    budget: BudgetUse = BudgetUse()
    #: Whether this node reads the platform for its data centre.
    watching: bool = False
    #: Whether this node writes its data centre's status object.
    reporting: bool = False
    #: Number of requests to the platform since the start of the node.
    n_platform_calls: int = 0


@dataclass(frozen=True, slots=True)
class MembersPage:
    """The membership view of one node."""

    #: Name of the node that holds the view.
    node_id: str
    #: Entry of every node that this node knows.
    members: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class EventsPage:
    """The event ring of one process."""

    #: Name of the process.
    process: str
    #: Events in the ring, oldest first.
    events: tuple[Event, ...]


@dataclass(frozen=True, slots=True)
class Explanation:
    """Events of one request that one node recorded."""

    #: Id of the request.
    request_id: str
    #: Name of the node that recorded the events.
    node_id: str
    #: Events of the request, oldest first.
    events: tuple[Event, ...]


@dataclass(frozen=True, slots=True)
class PageProblem:
    """Body of an error answer of a read-only page."""

    #: What the client should do instead.
    problem: str
