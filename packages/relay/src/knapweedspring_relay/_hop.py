"""What two nodes tell each other about a call, beside the call's own message."""

import math
from enum import StrEnum

import msgspec

from knapweedspring_relay._configuration import CallKind

__all__ = [
    "HOP_HEADER",
    "REPORT_HEADER",
    "GateReport",
    "HopCall",
    "HopOutcome",
    "decode_call",
    "decode_report",
]

#: Carries a :class:`HopCall` on a request between nodes.
HOP_HEADER = b"kws-hop"
#: Carries a :class:`GateReport` on its answer.
REPORT_HEADER = b"kws-gate"


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


class HopCall(msgspec.Struct, frozen=True, array_like=True):
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
    #: What may be repeated.
    kind: CallKind
    #: Name of the route.
    route: str
    #: Service on whose VM the request began.
    caller: str
    #: Version of the configuration that the sender goes by.
    version: int


class GateReport(msgspec.Struct, frozen=True, array_like=True):
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


_call_decoder = msgspec.json.Decoder(HopCall)
_report_decoder = msgspec.json.Decoder(GateReport)


def decode_call(value: bytes) -> HopCall | None:
    """Return the call in a header; None when it cannot be read."""
    try:
        call = _call_decoder.decode(value)
    except msgspec.DecodeError:
        return None
    return call if math.isfinite(call.left_s) else None


def decode_report(value: bytes | None) -> GateReport | None:
    """Return the report in a header; None when there is none that can be read."""
    if value is None:
        return None
    try:
        return _report_decoder.decode(value)
    except msgspec.DecodeError:
        return None
