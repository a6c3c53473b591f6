"""Serves the calls that other nodes hand over on shared connections."""

import asyncio
import math
from collections.abc import Callable
from typing import cast

from knapweedspring_relay._answer import Answer
from knapweedspring_relay._errors import CallError
from knapweedspring_relay._gate import LocalGate
from knapweedspring_relay._gate_answer import GateAnswer
from knapweedspring_relay._hop import HopCall, HopOutcome
from knapweedspring_relay._hop_frames import (
    AnswerFrame,
    BodyFrame,
    CallFrame,
    CancelFrame,
    CreditFrame,
    EndFrame,
    Frame,
    FrameError,
    FrameReader,
    GoAwayFrame,
    PingFrame,
    PongFrame,
    encode_frame,
)
from knapweedspring_relay._sockets import set_timeouts

__all__ = ["HopListener"]

#: Pending connections that the kernel keeps.
BACKLOG = 1_024
#: Time that sent bytes may stay unacknowledged before a node counts as gone, seconds.
UNACKNOWLEDGED_S = 1.0
#: Bytes of a streamed body that are sent ahead of what the receiver has passed on.
WINDOW_BYTES = 131_072
#: Bodies of requests held at once; an eighth of the memory of a small VM. Calls beyond
#: it are refused.
MAX_BODIES_BYTES = 32 * 1_048_576


class HopListener:
    """Accepts connections of other nodes.

    :param address: ``ip:port``.
    :param gate: the gate of this node.
    :param on_version: told of the configuration version that a peer goes by.
    :param on_error: told of a call whose handling failed, and why.
    """

    def __init__(
        self,
        address: str,
        gate: LocalGate,
        on_version: Callable[[int], None],
        on_error: Callable[[HopCall, Exception], None],
    ) -> None:
        self._address = address
        self._gate = gate
        self._on_version = on_version
        self._on_error = on_error
        self._connections: set[_HopServerConnection] = set()
        self._server: asyncio.Server | None = None
        self._draining = False
        self._n_body_bytes = 0

    @property
    def address(self) -> str:
        """Where it listens."""
        return self._address

    @property
    def n_active(self) -> int:
        """Calls without an outcome."""
        return sum(connection.n_active for connection in self._connections)

    async def start(self) -> None:
        """Listen.

        :raises OSError: when the address cannot be used.
        """
        host, port = self._address.rsplit(":", 1)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _HopServerConnection(self, loop), host, int(port), backlog=BACKLOG
        )

    def drain(self) -> None:
        """Have other nodes send no further calls on the connections."""
        if self._draining:
            return
        self._draining = True
        for connection in self._connections:
            connection.send(GoAwayFrame())

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for connection in tuple(self._connections):
            connection.close()

    def join(self, connection: "_HopServerConnection") -> None:
        """Register a connection."""
        self._connections.add(connection)
        if self._draining:
            connection.send(GoAwayFrame())

    def leave(self, connection: "_HopServerConnection") -> None:
        """Forget a connection."""
        self._connections.discard(connection)

    async def run(self, frame: CallFrame) -> GateAnswer:
        """Hand a call to the gate."""
        call, n_bytes = frame.call, len(frame.request.body)
        self._on_version(call.version)
        if self._n_body_bytes + n_bytes > MAX_BODIES_BYTES:
            reason = "too many bodies are held in memory"
            return GateAnswer(self._gate.report(HopOutcome.REFUSED, reason), None)
        self._n_body_bytes += n_bytes
        try:
            return await self._gate.run(call, frame.request)
        except Exception as error:
            self._on_error(call, error)
            # Whether the upstream ran it is unknown.
            report = self._gate.report(HopOutcome.LOST, f"defect: {error!r}")
            return GateAnswer(report, None)
        finally:
            self._n_body_bytes -= n_bytes


class _Window:
    """Bytes of one body that may still be sent."""

    def __init__(self) -> None:
        self._n_bytes = WINDOW_BYTES
        self._waiter: asyncio.Future[None] | None = None

    def add(self, n_bytes: int) -> None:
        """Take in what the receiver has passed on."""
        self._n_bytes += n_bytes
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def take(self, n_bytes: int, loop: asyncio.AbstractEventLoop) -> None:
        """Wait until bytes may be sent, and count them."""
        while self._n_bytes <= 0:
            self._waiter = loop.create_future()
            await self._waiter
        self._n_bytes -= n_bytes


class _HopServerConnection(asyncio.Protocol):
    """One connection of another node."""

    def __init__(self, listener: HopListener, loop: asyncio.AbstractEventLoop) -> None:
        self._listener = listener
        self._loop = loop
        self._transport: asyncio.Transport | None = None
        self._frames = FrameReader()
        self._tasks: dict[int, asyncio.Task[None]] = {}
        self._windows: dict[int, _Window] = {}

    @property
    def n_active(self) -> int:
        """Calls without an outcome."""
        return len(self._tasks)

    def send(self, frame: Frame) -> None:
        """Send a frame unless the connection is gone."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(encode_frame(frame))

    def close(self) -> None:
        """Close the connection once what was sent has left."""
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register with the listener."""
        self._transport = cast(asyncio.Transport, transport)
        set_timeouts(self._transport, UNACKNOWLEDGED_S)
        self._listener.join(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the calls: nobody waits for them."""
        self._listener.leave(self)
        for task in self._tasks.values():
            task.cancel()

    def data_received(self, data: bytes) -> None:
        """Take in what arrived."""
        try:
            for frame in self._frames.feed(data):
                self._take(frame)
        except FrameError:
            # The other node sees the connection break, and counts it.
            if self._transport is not None:
                self._transport.abort()

    def _take(self, frame: Frame) -> None:
        if isinstance(frame, CallFrame):
            if not math.isfinite(frame.call.left_s):
                raise FrameError("the time left is not a number")
            task = self._loop.create_task(self._serve(frame))
            self._tasks[frame.stream] = task
        elif isinstance(frame, CancelFrame):
            cancelled = self._tasks.get(frame.stream)
            if cancelled is not None:
                cancelled.cancel()
        elif isinstance(frame, CreditFrame):
            window = self._windows.get(frame.stream)
            if window is not None:
                window.add(frame.n_bytes)
        elif isinstance(frame, PingFrame):
            self.send(PongFrame())

    async def _serve(self, frame: CallFrame) -> None:
        number = frame.stream
        try:
            answered = await self._listener.run(frame)
            answer = answered.answer
            if answer is None:
                self.send(AnswerFrame(number, answered.report))
            elif answer.is_complete:
                self._send_whole(number, answered, answer)
            else:
                await self._stream(number, answered, answer)
        finally:
            self._tasks.pop(number, None)

    def _send_whole(self, number: int, answered: GateAnswer, answer: Answer) -> None:
        body = answer.whole_body()
        self.send(
            AnswerFrame(
                number, answered.report, answer.status, answer.lines, len(body), body
            )
        )

    async def _stream(self, number: int, answered: GateAnswer, answer: Answer) -> None:
        """Pass a body on as it arrives, no faster than the other node reads."""
        window = self._windows[number] = _Window()
        length = answer.declared_length
        head = AnswerFrame(
            number, answered.report, answer.status, answer.lines, length, b"", False
        )
        self.send(head)
        try:
            while piece := await answer.read():
                await window.take(len(piece), self._loop)
                self.send(BodyFrame(number, piece))
            self.send(EndFrame(number, True))
        except CallError:
            self.send(EndFrame(number, False))
        finally:
            answer.abandon()
            del self._windows[number]
