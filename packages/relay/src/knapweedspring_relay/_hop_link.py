"""Calls between nodes: the sender's link to a gate, and the gate's listener."""

import msgspec

from knapweedspring_relay._configuration import CallLimits
from knapweedspring_relay._directory import GateEntry
from knapweedspring_relay._errors import BadAnswer
from knapweedspring_relay._gate import Gate, GateAnswer, GateLink
from knapweedspring_relay._hop import (
    HOP_HEADER,
    REPORT_HEADER,
    GateReport,
    HopCall,
    decode_call,
    decode_report,
)
from knapweedspring_relay._http_client import ConnectionPool
from knapweedspring_relay._http_server import Exchange, RequestHandler
from knapweedspring_relay._messages import Request, request_bytes
from knapweedspring_relay._peer_pages import PeerPages
from knapweedspring_relay._relaying import relay_answer

__all__ = ["GateListenerHandler", "RemoteGate"]

_encoder = msgspec.json.Encoder()
_HOP_HEADERS = frozenset({HOP_HEADER, REPORT_HEADER})
#: Status of an answer between nodes that carries no upstream's answer.
NO_ANSWER_STATUS = 590
#: Time past the deadline in which the gate's outcome is still awaited, in seconds.
LATE_ANSWER_S = 0.1
#: Limits between nodes: those of callers were applied at the entry.
PEER_LIMITS = CallLimits(header_bytes=131_072, header_s=10.0, idle_s=60.0)


class RemoteGate(GateLink):
    """Link to the gate of another node.

    :param entry: the gate.
    :param pool: connections to other nodes.
    """

    def __init__(self, entry: GateEntry, pool: ConnectionPool) -> None:
        self._entry = entry
        self._pool = pool

    async def run(self, call: HopCall, request: Request) -> GateAnswer:
        """Hand over a call over the network."""
        headers = [*request.headers, (HOP_HEADER, _encoder.encode(call))]
        data = request_bytes(request.method, request.target, headers, request.body)
        answer = await self._pool.call(
            self._entry.gate_address,
            data,
            is_head=request.method == b"HEAD",
            limit_s=max(0.0, call.left_s) + LATE_ANSWER_S,
        )
        report = decode_report(answer.header(REPORT_HEADER))
        if report is None:
            answer.abandon()
            raise BadAnswer(f"{self._entry.gate_address} is not a gate")
        passed_on = None if answer.status == NO_ANSWER_STATUS else answer
        return GateAnswer(report, passed_on)


class GateListenerHandler(RequestHandler):
    """Serves calls that other nodes hand over, and what they ask about the node.

    :param gate: the gate of this node.
    :param pages: what other nodes may read.
    """

    def __init__(self, gate: Gate, pages: PeerPages) -> None:
        self._gate = gate
        self._pages = pages

    @property
    def limits(self) -> CallLimits:
        """What other nodes may send."""
        return PEER_LIMITS

    async def handle(self, exchange: Exchange) -> None:
        """Answer another node."""
        request = exchange.request
        value = request.header(HOP_HEADER)
        if value is None:
            self._pages.answer(exchange)
            return
        call = decode_call(value)
        if call is None:
            exchange.answer(400, [], b"the call cannot be read")
            return
        self._pages.note_version(call.version)
        answered = await self._gate.run(call, request.without(_HOP_HEADERS))
        report = self._report_header(answered.report)
        if answered.answer is None:
            exchange.answer(NO_ANSWER_STATUS, [report])
            return
        await relay_answer(exchange, answered.answer, [report], _HOP_HEADERS)

    def _report_header(self, report: GateReport) -> tuple[bytes, bytes]:
        return (REPORT_HEADER, _encoder.encode(report))
