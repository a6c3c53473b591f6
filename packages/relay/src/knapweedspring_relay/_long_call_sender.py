"""Sends calls whose bodies are longer than a frame to the gate of another node."""

import asyncio
from collections.abc import Callable

import msgspec

from knapweedspring_relay._gate_result import GateResult
from knapweedspring_relay._hop import HopCall
from knapweedspring_relay._hop_frames import (
    BodyFrame,
    Frame,
    LongCallFrame,
    PingFrame,
)
from knapweedspring_relay._requests import ForwardedRequest

__all__ = ["LongCallSender"]

#: Bytes of a long call's body in one frame.
BODY_PIECE_BYTES = 65_536
#: Longest wait for the answer of a gate that is asked whether it takes long calls, in
#: seconds.
MAX_ANSWER_WAIT_S = 1.0


class LongCallSender:
    """Sends long calls on one connection, no faster than the gate reads them.

    :param send: sends a frame unless the connection is closed.
    :param loop: event loop that runs the connection.
    """

    def __init__(
        self, send: Callable[[Frame], None], loop: asyncio.AbstractEventLoop
    ) -> None:
        self._send = send
        self._loop = loop
        #: Whether the gate takes long calls, once it was asked.
        self._taken: asyncio.Future[bool] | None = None
        #: Done when the connection has room again; None while it has.
        self._writable: asyncio.Future[None] | None = None

    async def are_taken(self, timeout_s: float) -> bool:
        """Ask the gate whether it takes long calls, once for the connection.

        :param timeout_s: longest wait for its answer, in seconds.
        :return: False also when the gate does not answer in time.
        """
        if self._taken is None:
            self._taken = self._loop.create_future()
            self._send(PingFrame())
        try:
            async with asyncio.timeout(min(timeout_s, MAX_ANSWER_WAIT_S)):
                return await asyncio.shield(self._taken)
        except TimeoutError:
            return False

    def set_taken(self, are_taken: bool) -> None:
        """Apply what the gate has answered to a ping."""
        if self._taken is not None and not self._taken.done():
            self._taken.set_result(are_taken)

    async def send(
        self,
        stream_id: int,
        call: HopCall,
        request: ForwardedRequest,
        result: "asyncio.Future[GateResult]",
    ) -> None:
        """Send a call and its body, until its result is known.

        :param stream_id: id of the call's stream.
        :param call: description of the call.
        :param request: the request to forward.
        :param result: the result of the call.
        """
        body = memoryview(request.body)
        head = msgspec.structs.replace(request, body=b"")
        self._send(LongCallFrame(stream_id, call, head, len(body)))
        for begin in range(0, len(body), BODY_PIECE_BYTES):
            if self._writable is not None:
                await asyncio.wait(
                    (result, self._writable), return_when=asyncio.FIRST_COMPLETED
                )
            if result.done():
                return
            piece = bytes(body[begin : begin + BODY_PIECE_BYTES])
            self._send(BodyFrame(stream_id, piece))

    def pause(self) -> None:
        """Wait until the connection has room again."""
        if self._writable is None:
            self._writable = self._loop.create_future()

    def resume(self) -> None:
        """Go on, since the connection has room, or has ended."""
        writable, self._writable = self._writable, None
        if writable is not None and not writable.done():
            writable.set_result(None)
