"""State of one request at an entry, from its arrival to its final answer."""

from dataclasses import dataclass

from knapweedspring_relay._configuration import Route, Workspace
from knapweedspring_relay._gate_link import GateLink
from knapweedspring_relay._hop import ChainOrigin, HopCall
from knapweedspring_relay._numbers import parse_decimal

__all__ = ["Offer", "RequestState", "stated_deadline_s"]

#: Time until the deadline of a request that states none, in seconds.
DEFAULT_DEADLINE_S = 30.0


@dataclass(frozen=True, slots=True)
class Offer:
    """A call that a gate was offered."""

    #: Link to the gate.
    link: GateLink
    #: Description of the call.
    call: HopCall


@dataclass(slots=True)
class RequestState:
    """State of one request at an entry."""

    #: Route of the request.
    route: Route
    #: Service that the splitter chose for the request.
    service: str
    #: Id of the request.
    request_id: str
    #: Fingerprint of the request, equal for attempts with different ids.
    fingerprint: bytes
    #: Root of the chain, which is this request itself unless a running request is known
    #: to have made it.
    origin: ChainOrigin
    #: Whether a running request is known to have made this request.
    is_chain_call: bool
    #: Workspace whose key the request carries; None when there is none.
    workspace: Workspace | None
    #: Digest of the key; empty when the request carries none.
    key_digest: bytes
    #: Deadline, on the monotonic clock, in seconds.
    deadline_at: float
    #: Version of the configuration in force when the request arrived.
    version: int
    #: Nodes whose gates the request was offered to.
    excluded: frozenset[str] = frozenset()
    #: Nodes whose upstreams the request was sent to.
    sent_to: frozenset[str] = frozenset()
    #: Number of offers to gates.
    n_offers: int = 0
    #: Number of times that the request was sent to an upstream.
    n_sent: int = 0
    #: Whether the request holds a unit of its workspace's quota.
    holds_unit: bool = False
    #: Whether the key was taken away while the request waited.
    is_key_withdrawn: bool = False
    #: Whether the node stops and offers the request to no further gate.
    is_withdrawn: bool = False
    #: Offer whose outcome is not known yet; None when there is none.
    offer: Offer | None = None
    #: Whether an upstream may have run the request.
    may_have_run: bool = False
    #: Whether the request is refused because upstreams ended while they ran it.
    is_refused_for_crashes: bool = False
    #: Reason of the last attempt's outcome, for logs.
    last_reason: str = "no upstream of the service is known"
    #: Node of the gate that the request was offered to last.
    last_node: str = ""


def stated_deadline_s(value: bytes | None) -> float:
    """Return the caller's time limit, in seconds.

    It is ``DEFAULT_DEADLINE_S`` when the header is missing or not a number of
    milliseconds.
    """
    stated_ms = parse_decimal(value.strip()) if value is not None else None
    return DEFAULT_DEADLINE_S if stated_ms is None else stated_ms / 1_000
