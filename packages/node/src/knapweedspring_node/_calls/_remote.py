"""The entry side of one hop: sending a call to the gate of another node."""

import time
from collections.abc import Iterable
from dataclasses import dataclass

from result import Err

from knapweedspring_core import Header, Member, Outcome, Reason, Refusal
from knapweedspring_node._calls._context import HopContext
from knapweedspring_node._calls._errors import (
    CallerLeft,
    DeadlinePassed,
    OutboundError,
    PeerUnreachable,
)
from knapweedspring_node._calls._mac_codec import MacCodec
from knapweedspring_node._calls._outbound import (
    CONNECTION_HEADERS,
    Answer,
    ConnectionPools,
    OutboundCall,
)
from knapweedspring_node._calls._reply import Refused, Relayed, Reply, refuse
from knapweedspring_node._calls._request import CallRequest

__all__ = ["ForwardMark", "RemoteGates"]


@dataclass(frozen=True, slots=True)
class ForwardMark:
    """Says that a node passed a call on to the owner of its ticket or id."""

    #: The node that passed it on.
    node_id: str


class RemoteGates:
    """Sends calls to other nodes and reads what they answer.

    :param hop_codec: authenticates the context of a hop.
    :param forward_codec: authenticates the mark of a forwarded call.
    """

    def __init__(
        self,
        node_id: str,
        pools: ConnectionPools,
        hop_codec: MacCodec,
        forward_codec: MacCodec,
    ) -> None:
        self._node_id = node_id
        self._pools = pools
        self._hop_codec = hop_codec
        self._forward_codec = forward_codec

    def run(
        self, member: Member, request: CallRequest, hop: HopContext, deadline_at: float
    ) -> Reply:
        """Have a call run at the gate of another node."""
        sealed = (Header.HOP.value, self._hop_codec.encode(hop))
        call = self._call(member, request, (sealed,), deadline_at)
        exchanged = self._pools.exchange(call)
        if isinstance(exchanged, Err):
            return _failed(exchanged.err_value, hop.n_tokens)
        return _read_reply(exchanged.ok_value)

    def forward(
        self, member: Member, request: CallRequest, deadline_at: float
    ) -> Reply:
        """Pass a call on to the node that owns its ticket or identity."""
        mark = self._forward_codec.encode(ForwardMark(self._node_id))
        left_ms = max(int((deadline_at - time.monotonic()) * 1_000), 1)
        passed = [
            (header.value, text)
            for header, text in request.kws_headers.items()
            if header in (Header.TICKET, Header.REQUEST_ID, Header.REQUEST_CLASS)
        ]
        passed.append((Header.FORWARDED.value, mark))
        passed.append((Header.DEADLINE_MS.value, str(left_ms)))
        call = self._call(member, request, passed, deadline_at)
        exchanged = self._pools.exchange(call)
        if isinstance(exchanged, Err):
            # An earlier call with this ticket or id may have run at its owner.
            detail = exchanged.err_value.detail
            return refuse(Outcome.UNKNOWN, Reason.OWNER_UNREACHABLE, detail)
        return _read_reply(exchanged.ok_value)

    def _call(
        self,
        member: Member,
        request: CallRequest,
        layer: Iterable[tuple[str, str]],
        deadline_at: float,
    ) -> OutboundCall:
        return OutboundCall(
            address=member.call_address,
            method=request.method,
            target=f"/{request.service}{request.target}",
            headers=(*request.headers, *layer),
            body=request.body,
            deadline_at=deadline_at,
            link=request.link,
        )


def _failed(error: OutboundError, n_tokens: int) -> Refused:
    if isinstance(error, PeerUnreachable):
        refusal = Refusal(Outcome.NOT_RUN, Reason.PEER_UNREACHABLE, 0, error.detail)
        return Refused(refusal, n_tokens_left=n_tokens)
    # The tokens that were lent may have been used: they count as spent.
    if isinstance(error, DeadlinePassed):
        return refuse(Outcome.UNKNOWN, Reason.DEADLINE, error.detail)
    if isinstance(error, CallerLeft):
        return refuse(Outcome.UNKNOWN, Reason.CALLER_LEFT, error.detail)
    return refuse(Outcome.UNKNOWN, Reason.PEER_BROKE_OFF, error.detail)


def _read_reply(answer: Answer) -> Reply:
    passed = []
    layer: dict[str, str] = {}
    for name, value in answer.headers:
        lower = name.lower()
        if lower.startswith("kws-"):
            layer[lower] = value
        elif lower not in CONNECTION_HEADERS:
            passed.append((name, value))
    if Header.OUTCOME.lower() in layer:
        answer.release(answer.body is not None)
        return _read_refusal(layer)
    if not answer.framed:
        answer.release(False)
        return refuse(Outcome.UNKNOWN, Reason.PEER_BROKE_OFF, "answer is not framed")
    if answer.body is not None:
        answer.release(True)
    return Relayed(
        status=answer.status,
        phrase=answer.phrase,
        headers=tuple(passed),
        body=answer.body,
        chunks=answer.chunks,
        length=answer.length,
        close=answer.release,
        request_id=layer.get(Header.REQUEST_ID.lower(), ""),
        n_tokens_left=_number(layer, Header.BUDGET_LEFT),
        load=layer.get(Header.LOAD.lower(), ""),
        gate_epoch=_number(layer, Header.GATE_EPOCH),
    )


def _read_refusal(layer: dict[str, str]) -> Refused:
    try:
        refusal = Refusal(
            outcome=Outcome(layer[Header.OUTCOME.lower()]),
            reason=Reason(layer.get(Header.REASON.lower(), "")),
            retry_after_ms=_number(layer, Header.RETRY_AFTER_MS),
        )
    except ValueError:
        # A node of a newer version may know reasons that this one does not.
        refusal = Refusal(Outcome.UNKNOWN, Reason.PEER_BROKE_OFF)
    return Refused(
        refusal,
        request_id=layer.get(Header.REQUEST_ID.lower(), ""),
        ticket=layer.get(Header.TICKET.lower(), ""),
        n_tokens_left=_number(layer, Header.BUDGET_LEFT),
        load=layer.get(Header.LOAD.lower(), ""),
        gate_epoch=_number(layer, Header.GATE_EPOCH),
    )


def _number(layer: dict[str, str], header: Header) -> int:
    text = layer.get(header.lower(), "")
    return int(text) if text.isascii() and text.isdigit() else 0
