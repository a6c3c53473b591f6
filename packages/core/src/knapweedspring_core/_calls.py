"""Terms of a call that callers, nodes and tools share: headers and outcomes."""

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["Header", "Outcome", "Reason", "Refusal"]


class Header(StrEnum):
    """Names of the HTTP headers that the layer reads or writes."""

    REQUEST_ID = "Kws-Request-Id"
    REQUEST_CLASS = "Kws-Class"
    DEADLINE_MS = "Kws-Deadline-Ms"
    TICKET = "Kws-Ticket"
    CALLER = "Kws-Caller"
    #: Opaque token that an upstream copies into the calls it makes itself.
    CONTEXT = "Kws-Context"
    #: Authenticated context between two nodes; dropped when forged.
    HOP = "Kws-Hop"
    OUTCOME = "Kws-Outcome"
    REASON = "Kws-Reason"
    RETRY_AFTER_MS = "Kws-Retry-After-Ms"
    #: Retry tokens that come back unspent, between nodes.
    BUDGET_LEFT = "Kws-Budget-Left"
    #: Load and admission level of the answering gate, between nodes.
    LOAD = "Kws-Load"
    #: Start of the answering gate's process, between nodes.
    GATE_EPOCH = "Kws-Gate-Epoch"
    #: Mark of a call that a node passed on to the owner of its ticket or id.
    FORWARDED = "Kws-Forwarded"


class Outcome(StrEnum):
    """What became of a request that the layer answers itself."""

    #: No upstream anywhere got any byte of it, or it was shed before running.
    NOT_RUN = "not-run"
    #: It may have run, may be running, or may never run.
    UNKNOWN = "unknown"
    #: It ran; its answer is no longer held.
    RAN = "ran"


class Reason(StrEnum):
    """Machine-readable reason of a refusal."""

    BAD_REQUEST = "bad-request"
    UNKNOWN_SERVICE = "unknown-service"
    UNKNOWN_CLASS = "unknown-class"
    NOT_CONFIGURED = "not-configured"
    NO_UPSTREAM = "no-upstream"
    OVERLOADED = "overloaded"
    DISPLACED = "displaced"
    DEADLINE = "deadline"
    DRAINING = "draining"
    BUDGET_SPENT = "budget-spent"
    PARENT_ENDED = "parent-ended"
    TICKET_REQUIRED = "ticket-required"
    TICKET_INVALID = "ticket-invalid"
    TICKET_EXPIRED = "ticket-expired"
    TICKET_SPENT = "ticket-spent"
    OWNER_UNREACHABLE = "owner-unreachable"
    REVOKED = "revoked"
    GATE_RESTARTED = "gate-restarted"
    UPSTREAM_UNREACHABLE = "upstream-unreachable"
    UPSTREAM_BROKE_OFF = "upstream-broke-off"
    UPSTREAM_SHED = "upstream-shed"
    ANSWER_UNFRAMED = "answer-unframed"
    ANSWER_TRUNCATED = "answer-truncated"
    PEER_UNREACHABLE = "peer-unreachable"
    PEER_BROKE_OFF = "peer-broke-off"
    TOO_MANY_CONNECTIONS = "too-many-connections"
    CALLER_LEFT = "caller-left"
    INTERNAL_ERROR = "internal-error"


_STATUS_BY_REASON = {
    Reason.BAD_REQUEST: 400,
    Reason.UNKNOWN_SERVICE: 404,
    Reason.UNKNOWN_CLASS: 400,
    Reason.TICKET_REQUIRED: 428,
    Reason.TICKET_INVALID: 400,
    Reason.TICKET_EXPIRED: 410,
    Reason.TICKET_SPENT: 409,
    Reason.BUDGET_SPENT: 429,
    Reason.DEADLINE: 504,
    Reason.UPSTREAM_BROKE_OFF: 502,
    Reason.PEER_BROKE_OFF: 502,
    Reason.ANSWER_UNFRAMED: 502,
    Reason.ANSWER_TRUNCATED: 502,
    Reason.CALLER_LEFT: 499,
    Reason.INTERNAL_ERROR: 500,
}

_STATUS_DEFAULT = 503


@dataclass(frozen=True, slots=True)
class Refusal:
    """An answer that the layer makes itself instead of an upstream."""

    #: What became of the request.
    outcome: Outcome
    #: Why.
    reason: Reason
    #: When the caller may come back, in ms; 0 when coming back is pointless.
    retry_after_ms: int = 0
    #: Explanation for people.
    detail: str = ""

    @property
    def status(self) -> int:
        """HTTP status that goes with the reason."""
        return _STATUS_BY_REASON.get(self.reason, _STATUS_DEFAULT)
