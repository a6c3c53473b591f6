"""Replies of the call path: an upstream's answer or the layer's own refusal."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace

from knapweedspring_core import Outcome, Reason, Refusal

__all__ = ["Closer", "Refused", "Relayed", "Reply", "refused"]

#: Called once when a reply is over; True when it went out whole.
Closer = Callable[[bool], None]


def _ignore(_: bool) -> None:
    """Do nothing; the closer of a reply that holds nothing."""


@dataclass(frozen=True, slots=True)
class Refused:
    """A refusal, with what the peers and the caller learn besides."""

    #: The refusal.
    refusal: Refusal
    #: Identity of the whole request; empty when none was issued.
    request_id: str = ""
    #: A fresh ticket, for a caller that needs one; empty otherwise.
    ticket: str = ""
    #: Retry tokens that were lent and come back.
    n_tokens_left: int = 0
    #: Load of the gate that refused; empty when no gate did.
    load: str = ""
    #: Process of the gate; 0 when no gate answered.
    gate_epoch: int = 0

    @property
    def outcome(self) -> Outcome:
        """What became of the request."""
        return self.refusal.outcome

    def with_outcome(self, outcome: Outcome) -> "Refused":
        """Return the same refusal with another outcome."""
        return replace(self, refusal=replace(self.refusal, outcome=outcome))


@dataclass(frozen=True, slots=True)
class Relayed:
    """An upstream's answer on its way to the caller."""

    #: HTTP status.
    status: int
    #: Reason phrase.
    phrase: str
    #: Headers, without those of the connection and of the layer.
    headers: tuple[tuple[str, str], ...]
    #: The whole body when it is held, else None.
    body: bytes | None
    #: Yields a body that is streamed; raises when it breaks off.
    chunks: Iterator[bytes] | None = None
    #: Length of a streamed body, None when unknown.
    length: int | None = None
    #: Releases what the answer holds.
    close: Closer = _ignore
    #: Identity of the whole request.
    request_id: str = ""
    #: Retry tokens that were lent and come back.
    n_tokens_left: int = 0
    #: Load of the gate that answered.
    load: str = ""
    #: Process of the gate.
    gate_epoch: int = 0

    @property
    def outcome(self) -> Outcome:
        """What became of the request: an upstream answered it."""
        return Outcome.RAN


Reply = Refused | Relayed


def refused(
    outcome: Outcome, reason: Reason, detail: str = "", retry_after_ms: int = 0
) -> Refused:
    """Build a refusal.

    :param retry_after_ms: when to come back; 0 when that is pointless.
    """
    return Refused(Refusal(outcome, reason, retry_after_ms, detail))
