"""Dispatch of a call to the gate side or the entry side of this node."""

from dataclasses import dataclass

from result import Ok

from knapweedspring_core import Counters, Header
from knapweedspring_node._calls._context import HopContext
from knapweedspring_node._calls._entry_side import EntrySide
from knapweedspring_node._calls._gate_side import GateSide
from knapweedspring_node._calls._mac_codec import MacCodec
from knapweedspring_node._calls._remote import ForwardMark
from knapweedspring_node._calls._reply import RefusedReply, Reply
from knapweedspring_node._calls._request import CallRequest

__all__ = ["CallHandler", "HandledCall"]


@dataclass(frozen=True, slots=True)
class HandledCall:
    """A reply, and whether it goes to the entry side of another node."""

    #: Reply to the call.
    reply: Reply
    #: Whether the call came with a valid hop context; its reply then also carries the
    #: gate load and the unspent retry tokens.
    to_peer: bool


class CallHandler:
    """Passes calls with a valid hop context to the gate side, others to the entry side.

    The entry side of a node authenticates the hop context of each attempt that it
    sends to the gate of another node.

    :param hop_codec: verifies and decodes the context of a hop.
    :param forward_codec: verifies and decodes the mark of a forwarded call.
    """

    def __init__(
        self,
        entry_side: EntrySide,
        gate_side: GateSide,
        hop_codec: MacCodec,
        forward_codec: MacCodec,
        counters: Counters,
    ) -> None:
        self._entry_side = entry_side
        self._gate_side = gate_side
        self._hop_codec = hop_codec
        self._forward_codec = forward_codec
        self._counters = counters

    def handle(self, request: CallRequest) -> HandledCall:
        """Return the reply to a call.

        A hop context that fails authentication is counted, and the call is handled as
        a call without a hop context.
        """
        hop_text = request.kws_header(Header.HOP)
        if hop_text:
            decoded = self._hop_codec.decode_text(hop_text, HopContext)
            if isinstance(decoded, Ok):
                return HandledCall(self._gate_side.run(request, decoded.ok_value), True)
            self._counters.add("forged_context_dropped")
        reply = self._entry_side.handle(request, self._is_forwarded(request))
        if isinstance(reply, RefusedReply):
            self._counters.add("calls_refused", reply.refusal.reason)
        else:
            self._counters.add("calls_answered")
        return HandledCall(reply, False)

    def _is_forwarded(self, request: CallRequest) -> bool:
        text = request.kws_header(Header.FORWARDED)
        return bool(text) and isinstance(
            self._forward_codec.decode_text(text, ForwardMark), Ok
        )
