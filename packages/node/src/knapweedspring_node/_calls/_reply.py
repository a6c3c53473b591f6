"""Replies to calls: the answer of an upstream, or a refusal by a node."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace

from knapweedspring_core import Outcome, Reason, Refusal

__all__ = ["RefusedReply", "RelayedReply", "Reply", "ReplyCloser", "refuse"]

#: Called exactly once, when a reply was written or abandoned; its argument is whether
#: the whole reply was written.
ReplyCloser = Callable[[bool], None]


def _close_nothing(_: bool) -> None:
    """Do nothing; the closer of a reply that has no resource to release."""


@dataclass(frozen=True, slots=True)
class RefusedReply:
    """A refusal, with the further fields that go to a peer or the caller."""

    #: The refusal.
    refusal: Refusal
    #: Id of the root request; empty when none was issued.
    request_id: str = ""
    #: A new ticket, for a caller that needs one; empty otherwise.
    ticket: str = ""
    #: Lent retry tokens that are returned unspent.
    n_tokens_left: int = 0
    #: Load of the gate that refused, as header text; empty when no gate refused.
    load: str = ""
    #: Epoch of the process of the gate that refused; 0 when no gate refused.
    gate_epoch: int = 0

    @property
    def outcome(self) -> Outcome:
        """Outcome of the request."""
        return self.refusal.outcome

    def with_outcome(self, outcome: Outcome) -> "RefusedReply":
        """Return the same refusal with another outcome."""
        return replace(self, refusal=replace(self.refusal, outcome=outcome))


@dataclass(frozen=True, slots=True)
class RelayedReply:
    """An upstream's answer that is relayed to the caller."""

    #: HTTP status.
    status: int
    #: Reason phrase.
    phrase: str
    #: Headers, without those of the connection and ``Kws-`` headers.
    headers: tuple[tuple[str, str], ...]
    #: The whole body; None when it is streamed.
    body: bytes | None
    #: Yields a streamed body; raises when the upstream's answer ends early.
    chunks: Iterator[bytes] | None = None
    #: Length of a streamed body, None when unknown.
    length: int | None = None
    #: Releases the upstream's connection and the call's slot at the gate.
    close: ReplyCloser = _close_nothing
    #: Id of the root request.
    request_id: str = ""
    #: Lent retry tokens that are returned unspent.
    n_tokens_left: int = 0
    #: Load of the gate that answered, as header text.
    load: str = ""
    #: Epoch of the process of the gate that answered.
    gate_epoch: int = 0

    @property
    def outcome(self) -> Outcome:
        """Outcome of the request, always ``ran`` since an upstream answered it."""
        return Outcome.RAN


Reply = RefusedReply | RelayedReply


def refuse(
    outcome: Outcome, reason: Reason, detail: str = "", retry_after_ms: int = 0
) -> RefusedReply:
    """Build a refusal.

    :param detail: text for the caller.
    :param retry_after_ms: delay before a retry, in ms; 0 when no retry is advised.
    """
    return RefusedReply(Refusal(outcome, reason, retry_after_ms, detail))
