"""Calls to other nodes: to a gate, or to the owner of a ticket or request id."""

import time
from collections.abc import Iterable
from dataclasses import dataclass

from result import Err

from knapweedspring_core import Header, Member, Outcome, Reason, Refusal
from knapweedspring_node._calls._context import HopContext
from knapweedspring_node._calls._errors import (
    CallerLeft,
    DeadlinePassed,
    NodeStopping,
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
from knapweedspring_node._calls._reply import RefusedReply, RelayedReply, Reply, refuse
from knapweedspring_node._calls._request import MAX_LENGTH_DIGITS, CallRequest

__all__ = ["ForwardMark", "RemoteNodes"]


@dataclass(frozen=True, slots=True)
class ForwardMark:
    """Marks a call that a node forwarded to the owner of its ticket or request id."""

    #: Name of the node that forwarded the call.
    node_id: str


class RemoteNodes:
    """Sends calls to other nodes and reads their replies.

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
        """Send an attempt to the gate of another node.

        :param hop: context of the attempt.
        :param deadline_at: deadline of the root request, on the monotonic clock, in
            seconds.
        """
        hop_header = (Header.HOP.value, self._hop_codec.encode_text(hop))
        call = self._build_call(member, request, (hop_header,), deadline_at)
        exchanged = self._pools.exchange(call)
        if isinstance(exchanged, Err):
            return _refusal_for_error(exchanged.err_value, hop.n_tokens)
        return _read_reply(exchanged.ok_value)

    def forward(
        self, member: Member, request: CallRequest, deadline_at: float
    ) -> Reply:
        """Forward a call to the node that owns its ticket or request id.

        :param deadline_at: deadline of the root request, on the monotonic clock, in
            seconds.
        """
        mark = self._forward_codec.encode_text(ForwardMark(self._node_id))
        time_left_ms = max(int((deadline_at - time.monotonic()) * 1_000), 1)
        forwarded_headers = [
            (header.value, text)
            for header, text in request.kws_headers.items()
            if header in (Header.TICKET, Header.REQUEST_ID, Header.REQUEST_CLASS)
        ]
        forwarded_headers.append((Header.FORWARDED.value, mark))
        forwarded_headers.append((Header.DEADLINE_MS.value, str(time_left_ms)))
        call = self._build_call(member, request, forwarded_headers, deadline_at)
        exchanged = self._pools.exchange(call)
        if isinstance(exchanged, Err):
            # An earlier call with this ticket or id may have run at its owner.
            detail = exchanged.err_value.detail
            return refuse(Outcome.UNKNOWN, Reason.OWNER_UNREACHABLE, detail)
        return _read_reply(exchanged.ok_value)

    def _build_call(
        self,
        member: Member,
        request: CallRequest,
        kws_headers: Iterable[tuple[str, str]],
        deadline_at: float,
    ) -> OutboundCall:
        return OutboundCall(
            address=member.call_address,
            method=request.method,
            target=f"/{request.service}{request.target}",
            headers=(*request.headers, *kws_headers),
            body=request.body,
            deadline_at=deadline_at,
            caller_connection=request.caller_connection,
            allows_reuse=True,
        )


def _refusal_for_error(error: OutboundError, n_tokens: int) -> RefusedReply:
    if isinstance(error, PeerUnreachable):
        refusal = Refusal(Outcome.NOT_RUN, Reason.PEER_UNREACHABLE, 0, error.detail)
        return RefusedReply(refusal, n_tokens_left=n_tokens)
    # The lent tokens count as spent because the peer may have used them.
    if isinstance(error, DeadlinePassed):
        return refuse(Outcome.UNKNOWN, Reason.DEADLINE, error.detail)
    if isinstance(error, CallerLeft):
        return refuse(Outcome.UNKNOWN, Reason.CALLER_LEFT, error.detail)
    if isinstance(error, NodeStopping):
        return refuse(Outcome.UNKNOWN, Reason.DRAINING, error.detail)
    return refuse(Outcome.UNKNOWN, Reason.PEER_BROKE_OFF, error.detail)


def _read_reply(answer: Answer) -> Reply:
    relayed_headers = []
    kws_headers: dict[str, str] = {}
    for name, value in answer.headers:
        lower = name.lower()
        if lower.startswith("kws-"):
            kws_headers[lower] = value
        elif lower not in CONNECTION_HEADERS:
            relayed_headers.append((name, value))
    if Header.OUTCOME.lower() in kws_headers:
        answer.release(answer.body is not None)
        return _read_refusal(kws_headers)
    if not answer.framed:
        answer.release(False)
        return refuse(Outcome.UNKNOWN, Reason.PEER_BROKE_OFF, "answer is not framed")
    if answer.body is not None:
        answer.release(True)
    return RelayedReply(
        status=answer.status,
        phrase=answer.phrase,
        headers=tuple(relayed_headers),
        body=answer.body,
        chunks=answer.chunks,
        length=answer.length,
        close=answer.release,
        request_id=kws_headers.get(Header.REQUEST_ID.lower(), ""),
        n_tokens_left=_int_header(kws_headers, Header.BUDGET_LEFT),
        load=kws_headers.get(Header.LOAD.lower(), ""),
        gate_epoch=_int_header(kws_headers, Header.GATE_EPOCH),
    )


def _read_refusal(kws_headers: dict[str, str]) -> RefusedReply:
    try:
        refusal = Refusal(
            outcome=Outcome(kws_headers[Header.OUTCOME.lower()]),
            reason=Reason(kws_headers.get(Header.REASON.lower(), "")),
            retry_after_ms=_int_header(kws_headers, Header.RETRY_AFTER_MS),
        )
    except ValueError:
        # A node of a newer version may send reasons that this version lacks.
        refusal = Refusal(Outcome.UNKNOWN, Reason.PEER_BROKE_OFF)
    return RefusedReply(
        refusal,
        request_id=kws_headers.get(Header.REQUEST_ID.lower(), ""),
        ticket=kws_headers.get(Header.TICKET.lower(), ""),
        n_tokens_left=_int_header(kws_headers, Header.BUDGET_LEFT),
        load=kws_headers.get(Header.LOAD.lower(), ""),
        gate_epoch=_int_header(kws_headers, Header.GATE_EPOCH),
    )


def _int_header(kws_headers: dict[str, str], header: Header) -> int:
    text = kws_headers.get(header.lower(), "")
    is_number = text.isascii() and text.isdigit() and len(text) <= MAX_LENGTH_DIGITS
    return int(text) if is_number else 0
