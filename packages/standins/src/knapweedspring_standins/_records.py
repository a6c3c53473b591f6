"""What callers note of each request that they sent."""

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["Answer", "SendRecord"]


class Answer(StrEnum):
    """What a caller got for one send."""

    #: A whole answer to its own request.
    WHOLE = "whole"
    #: An answer that claims to be whole and lacks or alters bytes.
    SHORT = "short"
    #: A whole answer to another request.
    CROSSED = "crossed"
    #: An error answer of the upstream.
    FAILED = "failed"
    #: An answer of the layer itself; the outcome says what became of it.
    REFUSED = "refused"
    #: The connection could not be opened, so nothing was sent.
    UNSENT = "unsent"
    #: The connection broke before the answer was whole.
    BROKEN = "broken"
    #: The caller gave up waiting and closed the connection.
    GIVEN_UP = "given-up"


@dataclass(frozen=True, slots=True)
class SendRecord:
    """One send of one logical request."""

    #: Name of the logical request, the same for all its sends.
    nonce: str
    #: Name of the root request as the mesh counts it; a send with the request
    #: id of an earlier one shares its chain.
    chain: str
    #: Kind of the request, as the plan names it.
    kind: str
    #: Request class.
    request_class: str
    #: Whether the request may run more than once.
    repeatable: bool
    #: Call address of the entry node.
    entry: str
    #: Monotonic seconds of the logical request's arrival.
    arrival_s: float
    #: Monotonic seconds of the send.
    start_s: float
    #: Monotonic seconds of the end of its answer.
    end_s: float
    #: What the caller got.
    answer: Answer
    #: HTTP status; 0 without an answer.
    status: int = 0
    #: Outcome header of the layer's own answers.
    outcome: str = ""
    #: Reason header of the layer's own answers.
    reason: str = ""
    #: Request id of the answer.
    request_id: str = ""
    #: Ticket that was sent.
    ticket: str = ""
    #: Attempt that the answer names.
    attempt: str = ""
    #: Explanation of an error.
    detail: str = ""
