"""Revocation: makes sure that a run whose reply was lost never starts later."""

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

REVOKE_TIMEOUT_S = 0.5


@dataclass(frozen=True, slots=True)
class RevokeRequest:
    """Request to a gate to revoke a run that it has not started."""

    #: Key of the run.
    key: RunKey
    #: Epoch of the gate process that the call was sent to.
    gate_epoch: int


class RevokeResult(StrEnum):
    """Result of a revocation at a gate."""

    #: The run never started at this gate, which refuses it from now on.
    NEVER_STARTED = "never-started"
    #: The run started, or this process cannot tell whether it started.
    MAY_HAVE_STARTED = "may-have-started"


@dataclass(frozen=True, slots=True)
class RevokeAnswer:
    """Answer of a gate to a :class:`RevokeRequest`."""

    #: Whether the gate is sure that the run never started.
    result: RevokeResult


class Revoker(ABC):
    """Revokes runs at gates; used by the node that owns the run key."""

    @abstractmethod
    def revoke(self, gate: Member, key: RunKey, gate_epoch: int) -> RevokeResult:
        """Revoke a run whose call got no reply.

        :param gate: node of the gate that the call was sent to.
        :param key: key of the run.
        :param gate_epoch: epoch of the gate process that the call was sent to.
        :return: :attr:`RevokeResult.MAY_HAVE_STARTED` also when the gate does not
            answer.
        """


class PeerRevoker(Revoker):
    """Sends revocations as control messages between nodes.

    :param membership: carries the request and the answer.
    """

    def __init__(self, membership: MembershipService) -> None:
        self._membership = membership

    def revoke(self, gate: Member, key: RunKey, gate_epoch: int) -> RevokeResult:
        """Revoke a run, waiting at most :data:`REVOKE_TIMEOUT_S` seconds."""
        payload = encode(RevokeRequest(key, gate_epoch))
        answer = self._membership.send_ask(gate.node_id, payload, REVOKE_TIMEOUT_S)
        if isinstance(answer, Err):
            return RevokeResult.MAY_HAVE_STARTED
        decoded = decode(answer.ok_value, RevokeAnswer)
        if isinstance(decoded, Err):
            return RevokeResult.MAY_HAVE_STARTED
        return decoded.ok_value.result


class RevokeHandler:
    """Handles the revocations that reach a gate.

    :param ledger: runs that the gate has started or revoked.
    :param epoch: random number that identifies this process, which cannot tell whether
        an earlier process started a run.
    """

    def __init__(self, ledger: RunLedger, events: EventLog, epoch: int) -> None:
        self._ledger = ledger
        self._events = events
        self._epoch = epoch

    def handle(self, payload: bytes) -> bytes:
        """Return the encoded :class:`RevokeAnswer` to a :class:`RevokeRequest`.

        :param payload: the encoded request.
        """
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
