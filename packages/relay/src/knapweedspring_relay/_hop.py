"""What two nodes tell each other about a call, beside the call's own message."""

from enum import StrEnum

import msgspec

from knapweedspring_relay._configuration import CallKind

__all__ = ["GateReport", "HopCall", "HopOutcome"]


class HopOutcome(StrEnum):
    """What became of a call at a gate."""

    #: The upstream answered; its answer is passed on.
    ANSWERED = "answered"
    #: The gate has no room: it did not send it to the upstream, and never will.
    REFUSED = "refused"
    #: The same, since the gate takes no calls for the service at present.
    CLOSED = "closed"
    #: The upstream was asked and said that it did not run it.
    SHED = "shed"
    #: It was sent and no usable answer came back, so it may have run.
    LOST = "lost"
    #: Its deadline passed while the upstream worked on it.
    LATE = "late"


class HopCall(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A call as one node hands it to another."""

    #: Id of the request, unique for each attempt of a caller.
    request_id: str
    #: Service that is to run it.
    service: str
    #: Identity of the upstream that the sender expects beside the gate.
    instance: str
    #: Time left for it, in seconds.
    left_s: float
    #: Rank; 0 is the highest.
    priority: int
    #: Rank of the request at the root of its chain, as far as it is known.
    root_priority: int
    #: What may be repeated.
    kind: CallKind
    #: Name of the route.
    route: str
    #: Service on whose VM the request began.
    caller: str
    #: Version of the configuration that the sender goes by.
    version: int


class GateReport(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """What a gate says of a call and of itself."""

    #: What became of the call.
    outcome: HopOutcome
    #: Why, for logs; empty when the upstream answered.
    reason: str
    #: Calls that the upstream works on.
    n_running: int
    #: Calls that wait at the gate.
    n_waiting: int
    #: Calls that the gate lets the upstream work on at the same time.
    limit: int
    #: Time that the call waited at the gate, in seconds.
    waited_s: float
    #: Share of the calls through the entry on the gate's VM, among them the upstream's
    #: own, that failed lately, 0 to 1.
    entry_failure_ratio: float
    #: Version of the configuration that the gate goes by.
    version: int
    #: Identity of the upstream beside the gate; empty when there is none.
    instance: str
