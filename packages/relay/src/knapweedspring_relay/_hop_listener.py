"""Server for calls that other nodes send over shared connections."""

import asyncio
import math
from collections.abc import Callable
from typing import cast

from knapweedspring_relay._answer import Answer
from knapweedspring_relay._errors import CallError
from knapweedspring_relay._frame_reader import (
    FrameBudget,
    FrameReader,
)
from knapweedspring_relay._gate_link import LocalGate
from knapweedspring_relay._gate_result import GateResult
from knapweedspring_relay._hop import GateReport, HopCall, HopOutcome
from knapweedspring_relay._hop_frames import (
    AnswerFrame,
    BodyFrame,
    CallFrame,
    CancelFrame,
    CrashFrame,
    CreditFrame,
    EndFrame,
    FollowFrame,
    Frame,
    FrameError,
    FrameSender,
    GoAwayFrame,
    LongCallFrame,
    PingFrame,
    PongFrame,
    QuotaLeaseFrame,
    QuotaLoanRequestFrame,
    QuotaRequestFrame,
    QuotaReturnFrame,
    encode_frame,
)
from knapweedspring_relay._knowledge import FollowHandler
from knapweedspring_relay._long_body import LongBody
from knapweedspring_relay._memory_budget import MemoryAccount, MemoryBudget
from knapweedspring_relay._memory_holder import MemoryHolder
from knapweedspring_relay._quotas import QuotaHandler
from knapweedspring_relay._running_call import CallOwner, RunningCall
from knapweedspring_relay._send_window import SendWindow
from knapweedspring_relay._sockets import BACKLOG, set_timeouts

__all__ = ["HopListener"]

#: Time for which sent bytes may stay unacknowledged before the kernel ends the
#: connection, in seconds.
UNACKNOWLEDGED_S = 1.0
#: Frames that a coordinator of quotas receives.
QUOTA_FRAMES = (
    QuotaLeaseFrame,
    QuotaRequestFrame,
    QuotaReturnFrame,
    QuotaLoanRequestFrame,
)
#: Unsent bytes on a connection above which no further calls are received on it: answers
#: of about fifty streamed bodies.
WRITE_HIGH_WATER_BYTES = 8 * 1_048_576


class HopListener(CallOwner):
    """Accepts connections from other nodes and passes their calls to the local gate.

    :param address: address to listen on, ``ip:port``.
    :param gate: the gate of this node.
    :param follow_handler: receives the connections of nodes that follow this one.
    :param quota_handler: receives the quota frames of other nodes.
    :param on_peer_version: called with the configuration version in force at a peer.
    :param on_crash: called with the crash that another node reports.
    :param on_error: called with a call whose handling failed and the exception.
    :param budget: budget of the process for what peers make it hold; None for one of
        the listener's own.
    """

    def __init__(
        self,
        address: str,
        gate: LocalGate,
        follow_handler: FollowHandler,
        quota_handler: QuotaHandler,
        on_peer_version: Callable[[int], None],
        on_crash: Callable[[CrashFrame], None],
        on_error: Callable[[HopCall, Exception], None],
        budget: MemoryBudget | None = None,
    ) -> None:
        self._address = address
        self._gate = gate
        self._follow_handler = follow_handler
        self._quota_handler = quota_handler
        self._on_peer_version = on_peer_version
        self._on_crash = on_crash
        self._on_error = on_error
        self._budget = budget or MemoryBudget.of_smallest_vm()
        self._on_ended: Callable[[HopCall, str, MemoryAccount], None] | None = None
        self._connections: set[_HopServerConnection] = set()
        self._server: asyncio.Server | None = None
        self._draining = False

    @property
    def address(self) -> str:
        """Address that the listener listens on, ``ip:port``."""
        return self._address

    @property
    def follow_handler(self) -> FollowHandler:
        """Receives the connections of nodes that follow this one."""
        return self._follow_handler

    @property
    def quota_handler(self) -> QuotaHandler:
        """Receives the quota frames of other nodes."""
        return self._quota_handler

    @property
    def n_active(self) -> int:
        """Number of calls whose answers have not been sent completely."""
        return sum(connection.n_active for connection in self._connections)

    async def start(self) -> None:
        """Start to listen.

        :raises OSError: when the address cannot be used.
        """
        host, port = self._address.rsplit(":", 1)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _HopServerConnection(self, loop), host, int(port), backlog=BACKLOG
        )

    def drain(self) -> None:
        """Ask other nodes to send no further calls on the open connections."""
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

    def add_connection(self, connection: "_HopServerConnection") -> None:
        """Add an accepted connection."""
        self._connections.add(connection)
        if self._draining:
            connection.send(GoAwayFrame())

    def remove_connection(self, connection: "_HopServerConnection") -> None:
        """Remove a connection that has ended."""
        self._connections.discard(connection)

    def report_crash(self, frame: CrashFrame) -> None:
        """Pass on a crash that another node reports.

        :param frame: the crash.
        """
        self._on_crash(frame)

    def withdraw_call(self, call: HopCall) -> None:
        """Withdraw a call if it still waits at the gate.

        :param call: description of the call.
        """
        self._gate.withdraw(call)

    @property
    def budget(self) -> MemoryBudget:
        """Budget of the process for what peers make it hold."""
        return self._budget

    def on_ended(self, callback: Callable[[HopCall, str, MemoryAccount], None]) -> None:
        """Set the callback for calls that are ended since memory is short.

        It gets the call, what the node was doing with it, and its account.
        """
        self._on_ended = callback

    def report_ended(self, call: HopCall, phase: str, account: MemoryAccount) -> None:
        """Pass a call that is ended since memory is short to the callback."""
        if self._on_ended is not None:
            self._on_ended(call, phase, account)

    def report_full_memory(self) -> GateReport:
        """Return the report on a call for which there is no memory."""
        reason = "too much is held in memory"
        return self._gate.make_report(HopOutcome.REFUSED, reason)

    async def run_call(self, frame: CallFrame) -> GateResult:
        """Pass a call to the gate.

        :param frame: the call and its request.
        :return: the gate's report, and the upstream's answer if there is one.
        """
        call = frame.call
        self._on_peer_version(call.version)
        try:
            return await self._gate.run(call, frame.request)
        except Exception as error:
            self._on_error(call, error)
            # Reported as lost, since it is unknown whether the upstream ran the call.
            report = self._gate.make_report(HopOutcome.LOST, f"defect: {error!r}")
            return GateResult(report, None)

    def finish_call(self, frame: CallFrame, account: MemoryAccount) -> None:
        """Release the memory of a call once nothing holds its request any more."""
        detached = self._gate.detached_call(frame.request)
        account.close()
        if detached is None:
            account.release(account.n_bytes)
        else:
            detached.add_done_callback(lambda _: account.release(account.n_bytes))


class _ArrivingFrame(MemoryHolder):
    """The frame that arrives on a connection."""

    def __init__(self, connection: "_HopServerConnection") -> None:
        self._connection = connection

    def end_for_memory(self) -> None:
        """Discard the frame and refuse its call."""
        self._connection.discard_frame()


class _HopServerConnection(asyncio.Protocol, FrameSender, FrameBudget, MemoryHolder):
    """One connection from another node."""

    def __init__(self, listener: HopListener, loop: asyncio.AbstractEventLoop) -> None:
        self._listener = listener
        self._loop = loop
        self._transport: asyncio.Transport | None = None
        self._frames = FrameReader(self)
        self._calls: dict[int, RunningCall] = {}
        #: Bodies of long calls that are arriving, by stream.
        self._long_bodies: dict[int, LongBody] = {}
        self._account = listener.budget.open_account(self, is_connection=True)
        self._frame_account: MemoryAccount | None = None
        self._windows: dict[int, SendWindow] = {}

    @property
    def n_active(self) -> int:
        """Number of calls whose answers have not been sent completely."""
        n_unsent = self._transport.get_write_buffer_size() if self._transport else 0
        return max(len(self._calls), int(n_unsent > 0))

    def send(self, frame: Frame) -> None:
        """Send a frame unless the connection is closed."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(encode_frame(frame))

    def close(self) -> None:
        """Close the connection once buffered bytes are sent."""
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the kernel's timeouts and register with the listener."""
        self._transport = cast(asyncio.Transport, transport)
        set_timeouts(self._transport, UNACKNOWLEDGED_S)
        self._transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)
        self._listener.add_connection(self)
        if self._account.is_ended:
            self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the calls, whose outcomes can no longer be sent."""
        self._listener.remove_connection(self)
        self._frames.close()
        self._account.close()
        for body in self._long_bodies.values():
            body.release()
        self._listener.follow_handler.remove(self)
        self._listener.quota_handler.remove(self)
        for running in tuple(self._calls.values()):
            if running.task is not None:
                running.task.cancel()

    def pause_writing(self) -> None:
        """Receive no further calls while the other node does not read the answers."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.pause_reading()

    def resume_writing(self) -> None:
        """Receive calls again."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        """Decode the received bytes and handle their frames."""
        try:
            for frame in self._frames.feed(data):
                # The peer is a node, whose connection is kept.
                self._account.keep_connection()
                self._handle_frame(frame)
        except FrameError:
            # Frame boundaries are lost. The peer counts the calls that fail.
            self._abort()

    def hold_frame(self, n_bytes: int) -> bool:
        """Hold further bytes of the frame that arrives."""
        if self._frame_account is None:
            holder = _ArrivingFrame(self)
            self._frame_account = self._listener.budget.open_account(holder)
        return self._frame_account.hold(n_bytes)

    def release_frame(self) -> None:
        """Release the memory of the frame that arrives."""
        account, self._frame_account = self._frame_account, None
        if account is not None:
            account.release(account.n_bytes)
            account.close()

    def discard_frame(self) -> None:
        """Discard the frame that arrives, and refuse its call."""
        try:
            self._frames.discard_frame()
        except FrameError:
            # It is no call of a node.
            self._abort()

    def end_for_memory(self) -> None:
        """End the connection of a peer that has sent no frame."""
        self._abort()

    def _abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def refuse_call(self, stream: int) -> None:
        """Refuse a call for which there is no memory."""
        self.send(AnswerFrame(stream, self._listener.report_full_memory()))

    def _handle_frame(self, frame: Frame) -> None:
        if isinstance(frame, CallFrame):
            self._begin_call(frame)
        elif isinstance(frame, LongCallFrame):
            self._long_bodies[frame.stream] = LongBody(self._listener.budget, frame)
        elif isinstance(frame, BodyFrame):
            self._add_to_body(frame)
        elif isinstance(frame, CancelFrame):
            self._cancel_call(frame)
        elif isinstance(frame, CreditFrame):
            window = self._windows.get(frame.stream)
            if window is not None:
                window.add_credit(frame.n_bytes)
        elif isinstance(frame, PingFrame):
            self.send(PongFrame(takes_long_calls=True))
        elif isinstance(frame, CrashFrame):
            self._listener.report_crash(frame)
        elif isinstance(frame, FollowFrame):
            self._listener.follow_handler.add(self, frame)
        elif isinstance(frame, QUOTA_FRAMES):
            self._listener.quota_handler.receive(self, frame)

    def _begin_call(self, frame: CallFrame) -> None:
        numbers = (frame.call.left_s, frame.call.rate_limit or 0.0)
        if not all(math.isfinite(number) for number in numbers):
            raise FrameError("a number of the call is not finite")
        running = RunningCall(self._listener, frame)
        if not running.hold():
            self.refuse_call(frame.stream)
            return
        running.task = self._loop.create_task(self._serve_call(frame, running))
        self._calls[frame.stream] = running
        running.task.add_done_callback(
            lambda _: self._finish_call(frame.stream, running)
        )

    def _add_to_body(self, frame: BodyFrame) -> None:
        """Add a part of a long call's body, and begin the call once it is whole."""
        body = self._long_bodies.get(frame.stream)
        if body is None:
            return
        body.add(frame.piece)
        if not (body.is_ended or body.is_whole):
            return
        del self._long_bodies[frame.stream]
        if body.is_ended:
            self.refuse_call(frame.stream)
        else:
            self._begin_call(body.to_call())

    def _cancel_call(self, frame: CancelFrame) -> None:
        body = self._long_bodies.pop(frame.stream, None)
        if body is not None:
            body.release()
            if frame.only_waiting:
                self.refuse_call(frame.stream)
            return
        running = self._calls.get(frame.stream)
        if running is None or running.task is None:
            return
        if frame.only_waiting:
            # Later, since the call is offered to the gate when its task starts.
            self._loop.call_soon(self._listener.withdraw_call, running.call)
        else:
            running.task.cancel()

    async def _serve_call(self, frame: CallFrame, running: RunningCall) -> None:
        stream_id = frame.stream
        gate_result = await self._listener.run_call(frame)
        answer = gate_result.answer
        if answer is None:
            self.send(
                AnswerFrame(stream_id, gate_result.report, confirms_withdrawals=True)
            )
        elif answer.is_complete:
            self._send_complete(stream_id, gate_result, answer)
        else:
            await self._send_streamed(stream_id, gate_result, answer, running)

    def _finish_call(self, stream: int, running: RunningCall) -> None:
        """Forget a call; its task may have been cancelled before it began."""
        if self._calls.get(stream) is running:
            del self._calls[stream]
        running.finish()

    def _send_complete(
        self, stream_id: int, gate_result: GateResult, answer: Answer
    ) -> None:
        body = answer.complete_body()
        self.send(
            AnswerFrame(
                stream_id,
                gate_result.report,
                answer.status,
                answer.encoded_headers,
                len(body),
                body,
                confirms_withdrawals=True,
            )
        )

    async def _send_streamed(
        self,
        stream_id: int,
        gate_result: GateResult,
        answer: Answer,
        running: RunningCall,
    ) -> None:
        """Send a body while it arrives, no faster than the other node reads it."""
        window = self._windows[stream_id] = SendWindow()
        answer.on_broken(window.close)
        length = answer.declared_length
        head = AnswerFrame(
            stream_id,
            gate_result.report,
            answer.status,
            answer.encoded_headers,
            length,
            b"",
            False,
            True,
        )
        self.send(head)
        if not running.hold_stream(answer):
            answer.abandon()
        try:
            while piece := await answer.read():
                await window.consume_credit(len(piece), self._loop)
                self.send(BodyFrame(stream_id, piece))
            self.send(EndFrame(stream_id, True))
        except CallError:
            self.send(EndFrame(stream_id, False))
        finally:
            answer.abandon()
            del self._windows[stream_id]
