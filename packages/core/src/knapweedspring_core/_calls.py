"""Headers, outcomes and refusal reasons that callers, nodes and tools share."""

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["Header", "Outcome", "Reason", "Refusal"]


class Header(StrEnum):
    """Names of the HTTP headers that the overload control layer reads or writes."""

    REQUEST_ID = "Kws-Request-Id"
    REQUEST_CLASS = "Kws-Class"
    DEADLINE_MS = "Kws-Deadline-Ms"
    #: Ticket, which allows at most one run of one request.
    TICKET = "Kws-Ticket"
    CALLER = "Kws-Caller"
    #: Opaque token that an upstream copies into the calls it makes itself.
    CONTEXT = "Kws-Context"
    #: Authenticated context between two nodes; dropped when forged.
    HOP = "Kws-Hop"
    OUTCOME = "Kws-Outcome"
    REASON = "Kws-Reason"
    RETRY_AFTER_MS = "Kws-Retry-After-Ms"
    #: Unspent retry tokens that an answer returns; sent between nodes only.
    BUDGET_LEFT = "Kws-Budget-Left"
    #: Load and admission level of the answering gate, and the levels of the deeper
    #: services that the call reached; sent between nodes only.
    LOAD = "Kws-Load"
    #: Identifies one run of the answering gate's process; sent between nodes only.
    GATE_EPOCH = "Kws-Gate-Epoch"
    #: Marks a call that a node forwarded to the owner of its ticket or request id.
    FORWARDED = "Kws-Forwarded"


class Outcome(StrEnum):
    """Outcome of a request that the overload control layer answers itself."""

    #: No upstream received any byte of it, or it was shed before running.
    NOT_RUN = "not-run"
    #: It may have run, may be running, or may never run.
    UNKNOWN = "unknown"
    #: It ran; its answer is no longer stored.
    RAN = "ran"


class Reason(StrEnum):
    """Machine-readable reason of a refusal."""

    BAD_REQUEST = "bad-request"
    UNKNOWN_SERVICE = "unknown-service"
    UNKNOWN_CLASS = "unknown-class"
    NOT_CONFIGURED = "not-configured"
    NO_UPSTREAM = "no-upstream"
    OVERLOADED = "overloaded"
    #: The queued call would finish too late, or the queue became too long.
    DISPLACED = "displaced"
    DEADLINE = "deadline"
    DRAINING = "draining"
    BUDGET_SPENT = "budget-spent"
    #: The request on whose behalf the call is made has ended.
    PARENT_ENDED = "parent-ended"
    TICKET_REQUIRED = "ticket-required"
    TICKET_INVALID = "ticket-invalid"
    TICKET_EXPIRED = "ticket-expired"
    #: The only permitted run has started, and its answer is not stored.
    TICKET_SPENT = "ticket-spent"
    #: The node that owns the ticket or request id does not answer or has ended.
    OWNER_UNREACHABLE = "owner-unreachable"
    #: The run was revoked before it started.
    REVOKED = "revoked"
    #: The call was addressed to an earlier process of the gate.
    GATE_RESTARTED = "gate-restarted"
    UPSTREAM_UNREACHABLE = "upstream-unreachable"
    UPSTREAM_BROKE_OFF = "upstream-broke-off"
    UPSTREAM_SHED = "upstream-shed"
    #: The upstream's answer has neither a length nor chunked encoding.
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

_DEFAULT_STATUS = 503


@dataclass(frozen=True, slots=True)
class Refusal:
    """An answer of the overload control layer in place of an upstream's answer."""

    #: Outcome of the request.
    outcome: Outcome
    #: Reason of the refusal.
    reason: Reason
    #: Delay before the caller may retry, in ms; 0 when a retry is pointless.
    retry_after_ms: int = 0
    #: Human-readable explanation.
    detail: str = ""

    @property
    def status(self) -> int:
        """HTTP status code for the reason."""
        return _STATUS_BY_REASON.get(self.reason, _DEFAULT_STATUS)
