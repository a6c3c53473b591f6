"""Client of other nodes' gates: concurrent calls share one connection per gate."""

import asyncio
from dataclasses import dataclass
from typing import cast

import msgspec

from knapweedspring_relay._addresses import split_address
from knapweedspring_relay._answer import Answer
from knapweedspring_relay._clock import now_s
from knapweedspring_relay._errors import (
    CallWithdrawn,
    ConnectFailed,
    ConnectionBroke,
)
from knapweedspring_relay._frame_reader import FrameReader
from knapweedspring_relay._gate_link import GateLink
from knapweedspring_relay._gate_result import GateResult
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
    GoAwayFrame,
    PingFrame,
    PongFrame,
    encode_call_frame,
    encode_frame,
)
from knapweedspring_relay._knowledge import GateEntry
from knapweedspring_relay._long_body import MAX_CALL_BODY_BYTES
from knapweedspring_relay._long_call_sender import LongCallSender
from knapweedspring_relay._requests import Body, ForwardedRequest
from knapweedspring_relay._sockets import set_timeouts
from knapweedspring_relay._status_codes import is_final_status
from knapweedspring_relay._withdrawal import Withdrawal

__all__ = ["HopPool", "HopSettings", "RemoteGate"]

#: Time after the deadline for which the gate's outcome is still awaited, in seconds.
OUTCOME_GRACE_S = 0.1
#: Time without received bytes, while calls are pending, after which a connection is
#: pinged, in seconds.
PING_AFTER_S = 0.15
#: Time without received bytes after a ping, in seconds, after which new calls use
#: another connection. It covers a few round trips between data centres and a pause of
#: a VM that gets no processor time.
PONG_TIMEOUT_S = 0.25
#: Unsent bytes above which new calls use another connection, so that a long body does
#: not delay them.
MAX_UNSENT_BYTES = 65_536
#: Unsent bytes of all connections above which no long body is sent behind them.
MAX_ALL_UNSENT_BYTES = 16 * 1_048_576
#: Number of bytes of a streamed body after whose reading the gate gets credit to send
#: as many more.
CREDIT_STEP_BYTES = 32_768
#: Time for which a connection without calls is kept, in seconds.
IDLE_S = 30.0


@dataclass(frozen=True, slots=True)
class HopSettings:
    """Timeouts of connections between nodes."""

    #: Time limit for establishing a connection, in seconds.
    connect_s: float
    #: Time for which sent bytes may stay unacknowledged, in seconds.
    unacknowledged_s: float


class _Stream:
    """State of one pending call on a connection."""

    __slots__ = ("answer", "n_uncredited_bytes", "result")

    def __init__(self, result: "asyncio.Future[GateResult]") -> None:
        self.result = result
        #: Answer whose body is still arriving, if any.
        self.answer: Answer | None = None
        #: Bytes read since the last credit was sent to the gate.
        self.n_uncredited_bytes = 0


class _HopConnection(asyncio.Protocol):
    """One connection to a gate, shared by concurrent calls."""

    def __init__(
        self, pool: "HopPool", address: str, loop: asyncio.AbstractEventLoop
    ) -> None:
        self._pool = pool
        self._address = address
        self._loop = loop
        self._transport: asyncio.Transport | None = None
        self._frames = FrameReader()
        self._streams: dict[int, _Stream] = {}
        self._last_stream_id = 0
        self._received_go_away = False
        self._confirms_withdrawals = False
        self._received_at = now_s()
        self._pinged_at: float | None = None
        self._long_calls = LongCallSender(self._send_frame, loop)

    @property
    def address(self) -> str:
        """Address of the gate, ``ip:port``."""
        return self._address

    @property
    def is_open(self) -> bool:
        """Whether the connection can still send bytes."""
        return self._transport is not None and not self._transport.is_closing()

    @property
    def is_unused(self) -> bool:
        """Whether no call is pending on the connection."""
        return not self._streams

    @property
    def n_unsent_bytes(self) -> int:
        """Bytes that wait in the write buffer."""
        return self._transport.get_write_buffer_size() if self._transport else 0

    @property
    def accepts_calls(self) -> bool:
        """Whether new calls may use the connection."""
        transport = self._transport
        if transport is None or transport.is_closing() or self._received_go_away:
            return False
        pinged_at = self._pinged_at
        if pinged_at is not None and now_s() - pinged_at > PONG_TIMEOUT_S:
            return False
        return transport.get_write_buffer_size() <= MAX_UNSENT_BYTES

    async def call(
        self,
        call: HopCall,
        request: ForwardedRequest,
        timeout_s: float,
        withdrawal: Withdrawal | None = None,
    ) -> GateResult:
        """Send a call and wait for its outcome.

        :param call: description of the call.
        :param request: the request to forward.
        :param timeout_s: longest wait for the outcome, in seconds.
        :param withdrawal: withdraws the call; None when it is never withdrawn.
        :return: the gate's report, and the upstream's answer if there is one.
        :raises TimeoutError: when no outcome arrives in time.
        :raises CallWithdrawn: when the call was withdrawn before it was sent.
        :raises ConnectionBroke: when the connection ends before the outcome arrives.
        """
        self._last_stream_id = stream_id = self._last_stream_id + 1
        is_long = len(request.body) > MAX_CALL_BODY_BYTES
        if is_long and not await self._long_calls.are_taken(timeout_s):
            raise CallWithdrawn("the gate takes no body of this length")
        if withdrawal is not None:
            withdrawal.begin_call(lambda: self._withdraw_stream(stream_id))
        result: asyncio.Future[GateResult] = self._loop.create_future()
        if not self._streams:
            # An idle connection receives nothing; measure from its first pending call.
            self._received_at = now_s()
        self._streams[stream_id] = _Stream(result)
        timer = self._loop.call_later(timeout_s, _fail_with_timeout, result)
        try:
            if is_long:
                await self._long_calls.send(stream_id, call, request, result)
            else:
                for part in encode_call_frame(CallFrame(stream_id, call, request)):
                    self._write(part)
            return await result
        except BaseException:
            self._cancel_stream(stream_id)
            raise
        finally:
            timer.cancel()

    def notify(self, frame: Frame) -> None:
        """Send a frame that has no answer.

        :param frame: the frame.
        """
        if not self._streams:
            # The idle time is measured from the last use.
            self._received_at = now_s()
        self._send_frame(frame)

    def check(self, now: float) -> None:
        """Ping the connection when it stalls, or close it when it is idle.

        :param now: current time on the monotonic clock, in seconds.
        """
        since_received_s = now - self._received_at
        if not self._streams:
            self._pinged_at = None
            if since_received_s > IDLE_S or self._received_go_away:
                self.close()
        elif self._pinged_at is None and since_received_s > PING_AFTER_S:
            self._pinged_at = now
            self._send_frame(PingFrame())

    def close(self) -> None:
        """Close the connection; its pending calls fail."""
        if self._transport is not None:
            self._transport.close()

    # Protocol callbacks.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the kernel's timeouts."""
        self._transport = cast(asyncio.Transport, transport)
        set_timeouts(self._transport, self._pool.settings.unacknowledged_s)

    def pause_writing(self) -> None:
        """Wait with the bodies of long calls."""
        self._long_calls.pause()

    def resume_writing(self) -> None:
        """Go on with the bodies of long calls."""
        self._long_calls.resume()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the pending calls."""
        self._pool.remove_connection(self)
        self._long_calls.resume()
        streams, self._streams = self._streams, {}
        detail = str(exc) if exc else "closed by the other node"
        for stream in streams.values():
            if stream.answer is not None:
                stream.answer.fail(ConnectionBroke(detail))
            elif not stream.result.done():
                stream.result.set_exception(ConnectionBroke(detail))

    def data_received(self, data: bytes) -> None:
        """Decode the received bytes and handle their frames."""
        self._received_at = now_s()
        self._pinged_at = None
        try:
            for frame in self._frames.feed(data):
                self._handle_frame(frame)
        except FrameError:
            # Frame boundaries are lost, so all pending calls fail.
            self._pool.count_bad_frame(self._address)
            if self._transport is not None:
                self._transport.abort()

    def _handle_frame(self, frame: Frame) -> None:
        if isinstance(frame, AnswerFrame):
            self._handle_answer(frame)
        elif isinstance(frame, BodyFrame):
            stream = self._streams.get(frame.stream)
            if stream is not None and stream.answer is not None:
                stream.answer.add(frame.piece)
        elif isinstance(frame, EndFrame):
            self._handle_end(frame)
        elif isinstance(frame, GoAwayFrame):
            self._received_go_away = True
        elif isinstance(frame, PingFrame):
            self._send_frame(PongFrame())
        elif isinstance(frame, PongFrame):
            self._long_calls.set_taken(frame.takes_long_calls)

    def _handle_answer(self, frame: AnswerFrame) -> None:
        stream = self._streams.get(frame.stream)
        self._confirms_withdrawals = frame.confirms_withdrawals
        if stream is None:
            return
        if stream.result.done():
            self._cancel_stream(frame.stream)
            return
        answer: Answer | None = None
        if frame.status and not is_final_status(frame.status):
            # A gate of an earlier version passes it on. The request may have run.
            self._cancel_stream(frame.stream)
            report = msgspec.structs.replace(
                frame.report,
                outcome=HopOutcome.LOST,
                reason=f"{frame.status} is no status",
            )
            stream.result.set_result(GateResult(report, None))
            return
        if frame.status:
            answer = Answer(frame.status, [], self._loop, frame.lines, frame.length)
            if frame.body:
                answer.add(frame.body)
        if frame.is_whole or answer is None:
            del self._streams[frame.stream]
            if answer is not None:
                answer.complete()
        else:
            self._stream_body(frame.stream, stream, answer)
        stream.result.set_result(GateResult(frame.report, answer))

    def _stream_body(self, stream_id: int, stream: _Stream, answer: Answer) -> None:
        """Receive the rest of a body, and grant the gate credit for bytes read."""

        def grant_credit(n_bytes: int) -> None:
            stream.n_uncredited_bytes += n_bytes
            if stream.n_uncredited_bytes >= CREDIT_STEP_BYTES:
                self._send_frame(CreditFrame(stream_id, stream.n_uncredited_bytes))
                stream.n_uncredited_bytes = 0

        stream.answer = answer
        answer.on_read(grant_credit)
        answer.on_abandon(lambda: self._cancel_stream(stream_id))

    def _handle_end(self, frame: EndFrame) -> None:
        stream = self._streams.pop(frame.stream, None)
        if stream is None or stream.answer is None:
            return
        if frame.is_whole:
            stream.answer.complete()
        else:
            stream.answer.fail(ConnectionBroke("the upstream broke off"))

    def _withdraw_stream(self, stream_id: int) -> None:
        """Ask the gate to refuse a call that still waits there.

        A gate that is not known to confirm withdrawals would cancel the call even while
        the upstream runs it.
        """
        stream = self._streams.get(stream_id)
        if stream is None or stream.result.done() or not self._confirms_withdrawals:
            return
        self._send_frame(CancelFrame(stream_id, only_waiting=True))

    def _cancel_stream(self, stream_id: int) -> None:
        if self._streams.pop(stream_id, None) is not None:
            self._send_frame(CancelFrame(stream_id))

    def _send_frame(self, frame: Frame) -> None:
        self._write(encode_frame(frame))

    def _write(self, data: Body) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)


class HopPool:
    """Connections to other nodes' gates: one per gate, more while one stalls.

    :param settings: timeouts of the connections.
    """

    def __init__(self, settings: HopSettings) -> None:
        self._settings = settings
        self._connections: dict[str, list[_HopConnection]] = {}
        self._opening: dict[str, asyncio.Task[_HopConnection]] = {}
        self._n_bad_frames = 0

    @property
    def settings(self) -> HopSettings:
        """Timeouts of the connections."""
        return self._settings

    @property
    def n_connections(self) -> int:
        """Number of open connections."""
        return sum(len(connections) for connections in self._connections.values())

    @property
    def _n_unsent_bytes(self) -> int:
        """Bytes that wait in the write buffers, also of calls that were cancelled."""
        return sum(
            connection.n_unsent_bytes
            for connections in self._connections.values()
            for connection in connections
        )

    @property
    def n_bad_frames(self) -> int:
        """Number of connections aborted because of malformed frames."""
        return self._n_bad_frames

    async def call(
        self,
        address: str,
        call: HopCall,
        request: ForwardedRequest,
        withdrawal: Withdrawal | None = None,
    ) -> GateResult:
        """Send a call to a gate and wait for its outcome.

        :param address: ``ip:port`` of the gate.
        :param call: description of the call.
        :param request: the request to forward.
        :param withdrawal: withdraws the call; None when it is never withdrawn.
        :return: the gate's report, and the upstream's answer if there is one.
        :raises TimeoutError: when no outcome arrives in time.
        :raises ConnectFailed: when nothing was sent.
        :raises CallWithdrawn: when the call was withdrawn before it was sent.
        :raises ConnectionBroke: when the connection ends before the outcome arrives.
        """
        n_bytes, n_unsent_bytes = len(request.body), self._n_unsent_bytes
        is_behind = min(n_bytes, n_unsent_bytes) > MAX_UNSENT_BYTES
        if is_behind and n_unsent_bytes + n_bytes > MAX_ALL_UNSENT_BYTES:
            raise ConnectFailed(f"{address}: too many bytes are still to be sent")
        connection = self._usable_connection(address)
        if connection is None:
            connection = await self._open_connection(address)
        timeout_s = max(0.0, call.left_s) + OUTCOME_GRACE_S
        return await connection.call(call, request, timeout_s, withdrawal)

    async def notify(self, address: str, frame: Frame) -> None:
        """Send a frame that has no answer to a node.

        :param address: ``ip:port`` of the node's gate.
        :param frame: the frame.
        :raises ConnectFailed: when the node cannot be reached.
        """
        connection = self._usable_connection(address)
        connection = connection or await self._open_connection(address)
        connection.notify(frame)

    def check_connections(self) -> None:
        """Ping stalled connections and close idle ones; called periodically."""
        now = now_s()
        for connections in tuple(self._connections.values()):
            for connection in tuple(connections):
                connection.check(now)

    def close(self) -> None:
        """Close all connections."""
        for connections in tuple(self._connections.values()):
            for connection in tuple(connections):
                connection.close()

    def remove_connection(self, connection: _HopConnection) -> None:
        """Remove a connection that has ended."""
        connections = self._connections.get(connection.address, [])
        if connection in connections:
            connections.remove(connection)
        if not connections:
            self._connections.pop(connection.address, None)

    def count_bad_frame(self, address: str) -> None:
        """Count a connection aborted because of a malformed frame."""
        self._n_bad_frames += 1

    def _usable_connection(self, address: str) -> _HopConnection | None:
        for connection in self._connections.get(address, ()):
            if connection.accepts_calls:
                return connection
        return None

    async def _open_connection(self, address: str) -> _HopConnection:
        """Open a connection; concurrent calls wait for the same attempt to connect."""
        opening = self._opening.get(address)
        if opening is None:
            opening = asyncio.ensure_future(self._connect(address))
            self._opening[address] = opening
            opening.add_done_callback(lambda _: self._opening.pop(address, None))
        try:
            # Shielded, so that a cancelled caller does not cancel the others' attempt.
            return await asyncio.shield(opening)
        except (OSError, TimeoutError, ValueError) as error:
            raise ConnectFailed(f"{address}: {error or 'timed out'}") from error

    async def _connect(self, address: str) -> _HopConnection:
        host, port = split_address(address)
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(self._settings.connect_s):
            _, connection = await loop.create_connection(
                lambda: _HopConnection(self, address, loop), host, port
            )
        self._connections.setdefault(address, []).append(connection)
        return connection


class RemoteGate(GateLink):
    """Link to the gate of another node, for one call.

    :param entry: directory entry of the gate.
    :param pool: connections to other nodes.
    """

    def __init__(self, entry: GateEntry, pool: HopPool) -> None:
        self._entry = entry
        self._pool = pool
        self._withdrawal = Withdrawal()

    async def run(self, call: HopCall, request: ForwardedRequest) -> GateResult:
        """Send the call to the gate over the network."""
        return await self._pool.call(
            self._entry.gate_address, call, request, self._withdrawal
        )

    def withdraw(self, call: HopCall) -> None:
        """Do not send the call, or ask the gate to refuse it if it still waits."""
        self._withdrawal.request()


def _fail_with_timeout(result: "asyncio.Future[GateResult]") -> None:
    if not result.done():
        result.set_exception(TimeoutError())
