"""Records that callers keep of the requests that they sent."""

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["Answer", "SendRecord"]


class Answer(StrEnum):
    """Result of one send, as seen by the caller."""

    #: A complete answer to its own request.
    WHOLE = "whole"
    #: An answer that ends without a transport error but has missing or altered bytes.
    SHORT = "short"
    #: A complete answer to another request.
    CROSSED = "crossed"
    #: An error answer of the upstream.
    FAILED = "failed"
    #: A refusal by the overload control layer; its outcome is in the record.
    REFUSED = "refused"
    #: The connection could not be opened, so nothing was sent.
    UNSENT = "unsent"
    #: The connection closed before the answer was complete.
    BROKEN = "broken"
    #: The caller closed the connection after its timeout.
    GIVEN_UP = "given-up"


@dataclass(frozen=True, slots=True)
class SendRecord:
    """One send of one logical request."""

    #: Identifier of the logical request, the same for all its sends.
    nonce: str
    #: Identifier of the sends that the mesh treats as one root request: a send with
    #: the ticket or request id of an earlier send has the chain of that send; any
    #: other send starts a new chain.
    chain: str
    #: Kind of the request, as named in the plan.
    kind: str
    #: Request class.
    request_class: str
    #: Whether the request may run more than once.
    repeatable: bool
    #: Call address of the entry node.
    entry: str
    #: Arrival of the logical request, in seconds on the monotonic clock.
    arrival_s: float
    #: Time of the send, in seconds on the monotonic clock.
    start_s: float
    #: End of the answer, in seconds on the monotonic clock.
    end_s: float
    #: Result of the send.
    answer: Answer
    #: HTTP status; 0 without an answer.
    status: int = 0
    #: Outcome header of a refusal.
    outcome: str = ""
    #: Reason header of a refusal.
    reason: str = ""
    #: Request id that the answer contains.
    request_id: str = ""
    #: Ticket in the request; empty for none.
    ticket: str = ""
    #: Id of the attempt that produced the answer, from header ``X-Attempt``.
    attempt: str = ""
    #: Explanation of an error.
    detail: str = ""
