"""Revocation: asking a gate whether a run started, and forbidding it if not."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import StrEnum

from result import Err

from knapweedspring_core import EventLog, Member, decode, encode
from knapweedspring_node._calls._context import RunKey
from knapweedspring_node._calls._run_ledger import RunLedger, RunState
from knapweedspring_node._membership import MembershipService

__all__ = [
    "PeerRevoker",
    "RevokeAnswer",
    "RevokeHandler",
    "RevokeRequest",
    "RevokeResult",
    "Revoker",
]

ASK_TIMEOUT_S = 0.5


@dataclass(frozen=True, slots=True)
class RevokeRequest:
    """Asks a gate to forbid a run that it has not started."""

    #: The run.
    key: RunKey
    #: Process of the gate that the call was sent to.
    gate_epoch: int


class RevokeResult(StrEnum):
    """What a gate says of a run."""

    #: It never started here, and now never will.
    NEVER_STARTED = "never-started"
    #: It started, or this process cannot know.
    MAY_HAVE_STARTED = "may-have-started"


@dataclass(frozen=True, slots=True)
class RevokeAnswer:
    """The gate's answer."""

    #: What it says.
    result: RevokeResult


class Revoker(ABC):
    """The owner's side."""

    @abstractmethod
    def revoke(self, gate: Member, key: RunKey, gate_epoch: int) -> RevokeResult:
        """Ask a gate about a run whose call got no answer.

        A gate that does not answer leaves :attr:`RevokeResult.MAY_HAVE_STARTED`.
        """


class PeerRevoker(Revoker):
    """Asks over the control messages between nodes.

    :param membership: carries the question.
    """

    def __init__(self, membership: MembershipService) -> None:
        self._membership = membership

    def revoke(self, gate: Member, key: RunKey, gate_epoch: int) -> RevokeResult:
        """Ask the gate, waiting at most :data:`ASK_TIMEOUT_S` seconds."""
        payload = encode(RevokeRequest(key, gate_epoch))
        answer = self._membership.ask(gate.node_id, payload, ASK_TIMEOUT_S)
        if isinstance(answer, Err):
            return RevokeResult.MAY_HAVE_STARTED
        decoded = decode(answer.ok_value, RevokeAnswer)
        if isinstance(decoded, Err):
            return RevokeResult.MAY_HAVE_STARTED
        return decoded.ok_value.result


class RevokeHandler:
    """The gate's side.

    :param epoch: start of this process; a request meant for an earlier process
        cannot be answered with certainty.
    """

    def __init__(self, ledger: RunLedger, events: EventLog, epoch: int) -> None:
        self._ledger = ledger
        self._events = events
        self._epoch = epoch

    def handle(self, payload: bytes) -> bytes:
        """Answer an encoded :class:`RevokeRequest`."""
        decoded = decode(payload, RevokeRequest)
        if isinstance(decoded, Err):
            return encode(RevokeAnswer(RevokeResult.MAY_HAVE_STARTED))
        return encode(RevokeAnswer(self._decide(decoded.ok_value)))

    def _decide(self, request: RevokeRequest) -> RevokeResult:
        if request.gate_epoch != self._epoch:
            return RevokeResult.MAY_HAVE_STARTED
        earlier = self._ledger.revoke(request.key)
        if earlier is RunState.STARTED:
            return RevokeResult.MAY_HAVE_STARTED
        if earlier is None:
            self._events.trace("gate:revoked", ticket=str(request.key))
        return RevokeResult.NEVER_STARTED
