"""Calls to the gates of other nodes over shared connections."""

import asyncio
from dataclasses import dataclass
from typing import cast

from knapweedspring_relay._answer import Answer
from knapweedspring_relay._clock import now_s
from knapweedspring_relay._directory import GateEntry
from knapweedspring_relay._errors import ConnectFailed, ConnectionBroke
from knapweedspring_relay._gate import GateLink
from knapweedspring_relay._gate_answer import GateAnswer
from knapweedspring_relay._hop import HopCall
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
from knapweedspring_relay._requests import ForwardedRequest
from knapweedspring_relay._sockets import set_timeouts

__all__ = ["HopPool", "HopSettings", "RemoteGate"]

#: Time past the deadline in which the gate's outcome is still awaited, in seconds.
LATE_ANSWER_S = 0.1
#: Silence of a connection on which calls wait, after which it is asked for a sign of
#: life, in seconds.
PING_AFTER_S = 0.15
#: Time without an answer to that after which new calls take another connection: a few
#: round trips between data centres and a pause of a VM without processor time.
SUSPECT_AFTER_S = 0.25
#: Unsent bytes from which on new calls take another connection, so that a long body
#: does not delay them.
MAX_UNSENT_BYTES = 65_536
#: Bytes of a streamed body that are read before the gate is told.
CREDIT_STEP_BYTES = 32_768
#: Time that a connection without calls is kept, in seconds.
IDLE_S = 30.0


@dataclass(frozen=True, slots=True)
class HopSettings:
    """How connections between nodes behave."""

    #: Time for a connection to be established, in seconds.
    connect_s: float
    #: Time that sent bytes may stay unacknowledged, in seconds.
    unacknowledged_s: float


class _Stream:
    """One call on a connection."""

    __slots__ = ("answer", "n_read_bytes", "result")

    def __init__(self, result: "asyncio.Future[GateAnswer]") -> None:
        self.result = result
        #: The answer whose body is still arriving.
        self.answer: Answer | None = None
        #: Bytes read since the gate was last told.
        self.n_read_bytes = 0


class _HopConnection(asyncio.Protocol):
    """One connection to a gate, shared by many calls."""

    def __init__(
        self, pool: "HopPool", address: str, loop: asyncio.AbstractEventLoop
    ) -> None:
        self._pool = pool
        self._address = address
        self._loop = loop
        self._transport: asyncio.Transport | None = None
        self._frames = FrameReader()
        self._streams: dict[int, _Stream] = {}
        self._next_stream = 0
        self._is_leaving = False
        self._received_at = now_s()
        self._pinged_at: float | None = None

    @property
    def address(self) -> str:
        """Address of the gate."""
        return self._address

    @property
    def is_open(self) -> bool:
        """Whether bytes can be sent on it."""
        return self._transport is not None and not self._transport.is_closing()

    @property
    def is_unused(self) -> bool:
        """Whether no call waits on it."""
        return not self._streams

    @property
    def takes_calls(self) -> bool:
        """Whether a new call should go on it."""
        transport = self._transport
        if transport is None or transport.is_closing() or self._is_leaving:
            return False
        pinged_at = self._pinged_at
        if pinged_at is not None and now_s() - pinged_at > SUSPECT_AFTER_S:
            return False
        return transport.get_write_buffer_size() <= MAX_UNSENT_BYTES

    async def call(
        self, call: HopCall, request: ForwardedRequest, limit_s: float
    ) -> GateAnswer:
        """Hand over a call and wait for its outcome.

        :raises TimeoutError: when it did not come in time.
        :raises ConnectionBroke: when the connection ends first.
        """
        self._next_stream = number = self._next_stream + 1
        result: asyncio.Future[GateAnswer] = self._loop.create_future()
        if not self._streams:
            # Silence counts from the first call that waits.
            self._received_at = now_s()
        self._streams[number] = _Stream(result)
        self._send(CallFrame(number, call, request))
        timer = self._loop.call_later(limit_s, _expire, result)
        try:
            return await result
        except BaseException:
            self._cancel(number)
            raise
        finally:
            timer.cancel()

    def check(self, now: float) -> None:
        """Ask for a sign of life while calls wait in silence; close when unused."""
        silent_s = now - self._received_at
        if not self._streams:
            self._pinged_at = None
            if silent_s > IDLE_S or self._is_leaving:
                self.close()
        elif self._pinged_at is None and silent_s > PING_AFTER_S:
            self._pinged_at = now
            self._send(PingFrame())

    def close(self) -> None:
        """Close the connection; calls that wait on it fail."""
        if self._transport is not None:
            self._transport.close()

    # Protocol callbacks.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the time-outs of the kernel."""
        self._transport = cast(asyncio.Transport, transport)
        set_timeouts(self._transport, self._pool.settings.unacknowledged_s)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the calls that wait."""
        self._pool.forget(self)
        streams, self._streams = self._streams, {}
        detail = str(exc) if exc else "closed by the other node"
        for stream in streams.values():
            if stream.answer is not None:
                stream.answer.fail(ConnectionBroke(detail))
            elif not stream.result.done():
                stream.result.set_exception(ConnectionBroke(detail))

    def data_received(self, data: bytes) -> None:
        """Take in what arrived."""
        self._received_at = now_s()
        self._pinged_at = None
        try:
            for frame in self._frames.feed(data):
                self._take(frame)
        except FrameError:
            # What follows cannot be told apart any more; the calls fail as lost.
            self._pool.note_bad_frame(self._address)
            if self._transport is not None:
                self._transport.abort()

    def _take(self, frame: Frame) -> None:
        if isinstance(frame, AnswerFrame):
            self._take_answer(frame)
        elif isinstance(frame, BodyFrame):
            stream = self._streams.get(frame.stream)
            if stream is not None and stream.answer is not None:
                stream.answer.add(frame.piece)
        elif isinstance(frame, EndFrame):
            self._end(frame)
        elif isinstance(frame, GoAwayFrame):
            self._is_leaving = True
        elif isinstance(frame, PingFrame):
            self._send(PongFrame())

    def _take_answer(self, frame: AnswerFrame) -> None:
        stream = self._streams.get(frame.stream)
        if stream is None:
            return
        if stream.result.done():
            self._cancel(frame.stream)
            return
        answer: Answer | None = None
        if frame.status:
            answer = Answer(frame.status, [], self._loop, frame.lines, frame.length)
            if frame.body:
                answer.add(frame.body)
        if frame.is_whole or answer is None:
            del self._streams[frame.stream]
            if answer is not None:
                answer.complete()
        else:
            self._follow(frame.stream, stream, answer)
        stream.result.set_result(GateAnswer(frame.report, answer))

    def _follow(self, number: int, stream: _Stream, answer: Answer) -> None:
        """Have the rest of a body arrive as fast as it is read."""

        def count(n_bytes: int) -> None:
            stream.n_read_bytes += n_bytes
            if stream.n_read_bytes >= CREDIT_STEP_BYTES:
                self._send(CreditFrame(number, stream.n_read_bytes))
                stream.n_read_bytes = 0

        stream.answer = answer
        answer.on_read(count)
        answer.on_abandon(lambda: self._cancel(number))

    def _end(self, frame: EndFrame) -> None:
        stream = self._streams.pop(frame.stream, None)
        if stream is None or stream.answer is None:
            return
        if frame.is_whole:
            stream.answer.complete()
        else:
            stream.answer.fail(ConnectionBroke("the upstream broke off"))

    def _cancel(self, number: int) -> None:
        if self._streams.pop(number, None) is not None:
            self._send(CancelFrame(number))

    def _send(self, frame: Frame) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(encode_frame(frame))


class HopPool:
    """Connections to the gates of other nodes: one to each, more when one stalls.

    :param settings: how the connections behave.
    """

    def __init__(self, settings: HopSettings) -> None:
        self._settings = settings
        self._connections: dict[str, list[_HopConnection]] = {}
        self._opening: dict[str, asyncio.Task[_HopConnection]] = {}
        self._n_bad_frames = 0

    @property
    def settings(self) -> HopSettings:
        """How the connections behave."""
        return self._settings

    @property
    def n_connections(self) -> int:
        """Open connections."""
        return sum(len(found) for found in self._connections.values())

    @property
    def n_bad_frames(self) -> int:
        """Connections that were broken since their bytes were no frames."""
        return self._n_bad_frames

    async def call(
        self, address: str, call: HopCall, request: ForwardedRequest
    ) -> GateAnswer:
        """Hand over a call and wait for its outcome.

        :param address: ``ip:port`` of the gate.
        :param call: the call.
        :param request: its message.
        :raises TimeoutError: when no outcome came in time.
        :raises ConnectFailed: when nothing was sent.
        :raises ConnectionBroke: when the connection ended before the outcome.
        """
        connection = self._usable(address)
        if connection is None:
            connection = await self._open(address)
        limit_s = max(0.0, call.left_s) + LATE_ANSWER_S
        return await connection.call(call, request, limit_s)

    def check(self) -> None:
        """Look for silent and unused connections; called periodically."""
        now = now_s()
        for connections in tuple(self._connections.values()):
            for connection in tuple(connections):
                connection.check(now)

    def close(self) -> None:
        """Close all connections."""
        for connections in tuple(self._connections.values()):
            for connection in tuple(connections):
                connection.close()

    def forget(self, connection: _HopConnection) -> None:
        """Take a connection out of use."""
        connections = self._connections.get(connection.address, [])
        if connection in connections:
            connections.remove(connection)
        if not connections:
            self._connections.pop(connection.address, None)

    def note_bad_frame(self, address: str) -> None:
        """Count a connection whose bytes could not be read."""
        self._n_bad_frames += 1

    def _usable(self, address: str) -> _HopConnection | None:
        for connection in self._connections.get(address, ()):
            if connection.takes_calls:
                return connection
        return None

    async def _open(self, address: str) -> _HopConnection:
        """Open a connection; calls that come meanwhile wait for the same one."""
        opening = self._opening.get(address)
        if opening is None:
            opening = asyncio.ensure_future(self._connect(address))
            self._opening[address] = opening
            opening.add_done_callback(lambda _: self._opening.pop(address, None))
        try:
            # Shielded: a caller that leaves does not end it for the others.
            return await asyncio.shield(opening)
        except (OSError, TimeoutError, ValueError) as error:
            raise ConnectFailed(f"{address}: {error or 'timed out'}") from error

    async def _connect(self, address: str) -> _HopConnection:
        host, port = address.rsplit(":", 1)
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(self._settings.connect_s):
            _, connection = await loop.create_connection(
                lambda: _HopConnection(self, address, loop), host, int(port)
            )
        self._connections.setdefault(address, []).append(connection)
        return connection


class RemoteGate(GateLink):
    """Link to the gate of another node.

    :param entry: the gate.
    :param pool: connections to other nodes.
    """

    def __init__(self, entry: GateEntry, pool: HopPool) -> None:
        self._entry = entry
        self._pool = pool

    async def run(self, call: HopCall, request: ForwardedRequest) -> GateAnswer:
        """Hand over a call over the network."""
        return await self._pool.call(self._entry.gate_address, call, request)


def _expire(result: "asyncio.Future[GateAnswer]") -> None:
    if not result.done():
        result.set_exception(TimeoutError())
