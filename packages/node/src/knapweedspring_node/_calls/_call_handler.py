"""Dispatch of a call to the gate side or the entry side of this node."""

from dataclasses import dataclass

from result import Ok

from knapweedspring_core import Counters, Header
from knapweedspring_node._calls._context import HopContext
from knapweedspring_node._calls._entry_side import EntrySide
from knapweedspring_node._calls._gate_side import GateSide
from knapweedspring_node._calls._mac_codec import MacCodec
from knapweedspring_node._calls._remote import ForwardMark
from knapweedspring_node._calls._reply import Refused, Reply
from knapweedspring_node._calls._request import CallRequest

__all__ = ["CallHandler", "Handled"]


@dataclass(frozen=True, slots=True)
class Handled:
    """A reply and to whom it goes."""

    #: The reply.
    reply: Reply
    #: Whether it goes to another node, which also gets load and tokens.
    peer: bool


class CallHandler:
    """Tells calls of nodes from those of callers by their sealed context.

    :param hop_codec: opens the context of a hop.
    :param forward_codec: opens the mark of a forwarded call.
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

    def handle(self, request: CallRequest) -> Handled:
        """Handle a call; a forged context is dropped and counted."""
        hop_text = request.layer(Header.HOP)
        if hop_text:
            opened = self._hop_codec.decode(hop_text, HopContext)
            if isinstance(opened, Ok):
                return Handled(self._gate_side.run(request, opened.ok_value), True)
            self._counters.add("forged_context_dropped")
        reply = self._entry_side.handle(request, self._is_forwarded(request))
        if isinstance(reply, Refused):
            self._counters.add("calls_refused", reply.refusal.reason)
        else:
            self._counters.add("calls_answered")
        return Handled(reply, False)

    def _is_forwarded(self, request: CallRequest) -> bool:
        text = request.layer(Header.FORWARDED)
        return bool(text) and isinstance(
            self._forward_codec.decode(text, ForwardMark), Ok
        )
