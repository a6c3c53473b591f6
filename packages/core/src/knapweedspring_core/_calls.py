"""Headers, outcomes and refusal reasons that callers, nodes and tools share."""

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["Header", "Outcome", "Reason", "Refusal"]


class Header(StrEnum):
    """Names of the HTTP headers that the overload control layer reads or writes."""

    REQUEST_ID = "Kws-Request-Id"
    REQUEST_CLASS = "Kws-Class"
    DEADLINE_MS = "Kws-Deadline-Ms"
    #: Text of a ticket, which allows at most one run of one request.
    TICKET = "Kws-Ticket"
    CALLER = "Kws-Caller"
    #: Opaque token of a call, which the upstream copies into its child calls.
    CONTEXT = "Kws-Context"
    #: Authenticated context of a call that one node sends to another; a context that
    #: fails the authentication is ignored.
    HOP = "Kws-Hop"
    OUTCOME = "Kws-Outcome"
    REASON = "Kws-Reason"
    RETRY_AFTER_MS = "Kws-Retry-After-Ms"
    #: Number of retry tokens that the answering node did not spend and gives back to
    #: the calling node; sent between nodes only.
    BUDGET_LEFT = "Kws-Budget-Left"
    #: Load and admission level of the answering gate, and the admission levels of the
    #: services further down the call chain; sent between nodes only.
    LOAD = "Kws-Load"
    #: Identifies one run of the answering gate's process; sent between nodes only.
    GATE_EPOCH = "Kws-Gate-Epoch"
    #: Marks a call that a node forwarded to the owner of its ticket or request id.
    FORWARDED = "Kws-Forwarded"


class Outcome(StrEnum):
    """Outcome of a request that the overload control layer answers itself."""

    #: No upstream received a byte of the request, or an upstream shed the request
    #: before running it.
    NOT_RUN = "not-run"
    #: The request may have run, may be running, or may never run.
    UNKNOWN = "unknown"
    #: The request ran, but its answer cannot be delivered, for example because the
    #: answer is not stored.
    RAN = "ran"


class Reason(StrEnum):
    """Machine-readable reason of a refusal."""

    BAD_REQUEST = "bad-request"
    UNKNOWN_SERVICE = "unknown-service"
    UNKNOWN_CLASS = "unknown-class"
    NOT_CONFIGURED = "not-configured"
    NO_UPSTREAM = "no-upstream"
    OVERLOADED = "overloaded"
    #: The gate removed the call from its queue, because the call would finish too late
    #: or because the queue became too long.
    DISPLACED = "displaced"
    DEADLINE = "deadline"
    DRAINING = "draining"
    BUDGET_SPENT = "budget-spent"
    #: The request on whose behalf the call is made has ended.
    PARENT_ENDED = "parent-ended"
    TICKET_REQUIRED = "ticket-required"
    TICKET_INVALID = "ticket-invalid"
    TICKET_EXPIRED = "ticket-expired"
    #: The only run that the ticket permits has started, and its answer is not
    #: available.
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
