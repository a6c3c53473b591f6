"""One connection of an HTTP/1.1 server: its requests, limits and answers."""

import asyncio
from collections import deque
from typing import cast

import httptools

from knapweedspring_relay._clock import now_s
from knapweedspring_relay._connection_owner import ConnectionOwner
from knapweedspring_relay._errors import MessageError
from knapweedspring_relay._exchange import AnswerConnection, Exchange
from knapweedspring_relay._framing_limit import FramingLimit
from knapweedspring_relay._head_end import HeadEnd
from knapweedspring_relay._held_memory import HeldMemory
from knapweedspring_relay._memory_budget import HEADER_BYTES, WAITING_REQUEST_BYTES
from knapweedspring_relay._messages import encode_error_answer, header_lines
from knapweedspring_relay._owned_connection import OwnedConnection
from knapweedspring_relay._requests import COPIED_BODY_BYTES, Header, Request

__all__ = ["ServerConnection"]

#: Unsent bytes on a connection above which the sender of an answer waits.
WRITE_HIGH_WATER_BYTES = 65_536
#: Number of queued requests at which a connection stops receiving more.
MAX_PIPELINED = 8
#: Time within which a body must arrive after its head, in seconds; otherwise the
#: request gets status 408.
BODY_TIMEOUT_S = 60.0
#: Least bytes of a header line besides name and value: colon and line end. A space
#: after the colon is optional, so counting it would refuse heads inside the limit.
HEADER_SEPARATOR_BYTES = 3
#: Written pieces of an answer from this size on, in bytes, are checked for whether the
#: caller reads them.
CHECKED_PIECE_BYTES = 4_096
FULL_REASON = "too much is held in memory"


class ServerConnection(asyncio.Protocol, AnswerConnection, OwnedConnection):
    """One connection of a caller; its requests are answered one after another.

    :param listener: the listener that accepted the connection.
    """

    def __init__(self, listener: ConnectionOwner) -> None:
        self._listener = listener
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._memory = HeldMemory(listener.open_account(self))
        #: Requests that wait, and the bytes that each of them holds.
        self._requests: deque[tuple[Request, int]] = deque()
        #: Request that is being answered, if any.
        self._current: Request | None = None
        self._task: asyncio.Task[None] | None = None
        self._writable_waiter: asyncio.Future[None] | None = None
        self._is_writing_paused = False
        self._is_reading_paused = False
        self._closing = False
        self._request_error: MessageError | None = None
        self._refused: MessageError | None = None
        self._state_changed_at = now_s()
        self._framing = FramingLimit()
        self._head_end = HeadEnd()
        self._reset_message()

    @property
    def n_pending(self) -> int:
        """Number of requests whose answers have not been sent completely."""
        n_unsent = self._transport.get_write_buffer_size() if self._transport else 0
        return len(self._requests) + (self._task is not None or n_unsent > 0)

    @property
    def closes_after_answer(self) -> bool:
        """Whether the next answer ends the connection: no further request was read."""
        return self._listener.is_draining and not self._requests

    def _reset_message(self) -> None:
        self._target = b""
        self._headers: list[Header] = []
        self._body = bytearray()
        self._n_head_bytes = 0
        self._framing.reset()
        self._head_end.reset()
        self._in_message = False
        self._in_body = False
        #: Whether the caller waits for an interim answer before it sends its body.
        self._owes_continue = False
        #: Whether the head arrives in parts; its time limit runs from the first part.
        self._is_head_partial = False
        self._arrived_at = 0.0

    # Protocol callbacks.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Limit the write buffer and register with the listener."""
        transport = cast(asyncio.Transport, transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)
        self._listener.add_connection(self)
        if self._memory.account.is_ended:
            transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the current request and release what the others hold."""
        self._listener.remove_connection(self)
        self._requests.clear()
        self._memory.close()
        if self._task is not None:
            self._task.cancel()
        self._wake_writer()

    def data_received(self, data: bytes) -> None:
        """Parse the received bytes, each head by itself."""
        while data and not self._closing and self._request_error is None:
            if self._in_body:
                data = self._parse_body(data)
            else:
                end = self._head_end.find(data)
                data = self._parse_head(data[:end]) + data[end:]

    def _parse_head(self, data: bytes) -> bytes:
        """Parse bytes of a head; none of a body follow.

        :return: bytes that are still to be parsed.
        """
        self._n_head_bytes += len(data)
        if self._head_end.is_folded:
            self._reject(MessageError(400, "a header is folded over lines"))
            return b""
        rest = self._parse(data)
        if self._request_error is not None:
            return b""
        if not self._in_body and self._in_message:
            if not self._is_head_partial:
                self._is_head_partial = True
                self._state_changed_at = now_s()
            self._check_partial_head_size()
            self._check_memory()
        return rest

    def _parse_body(self, data: bytes) -> bytes:
        """Parse bytes of a body, and of requests that follow it.

        :return: bytes that are still to be parsed.
        """
        n_body_bytes = len(self._body)
        rest = self._parse(data)
        if self._in_body and self._request_error is None:
            has_body_bytes = len(self._body) != n_body_bytes
            if has_body_bytes and self._is_body_too_long():
                self._reject(MessageError(413, "the body is too long"))
                return b""
            self._check_framing_size(len(data), has_body_bytes)
            self._check_memory()
        elif self._in_message and not rest:
            self._head_end.continue_after(data)
        return rest

    def _parse(self, data: bytes) -> bytes:
        """Pass bytes to the parser, and reject what is no request.

        :return: bytes that are still to be parsed.
        """
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as upgrade:
            return self._decline_upgrade() + data[upgrade.args[0] :]
        except httptools.HttpParserCallbackError:
            if self._refused is None:
                raise
            self._reject(self._refused)
        except httptools.HttpParserError as error:
            self._reject(MessageError(400, f"not a request: {error}"))
        return b""

    def _refusal(self, status: int, reason: str) -> MessageError:
        """Keep an error: compiled code may replace it as the parser's context."""
        self._refused = error = MessageError(status, reason)
        return error

    def _decline_upgrade(self) -> bytes:
        """Begin the request anew without its offer, since its body was not parsed.

        :return: head of the request without the offer to upgrade the protocol.
        """
        parser = self._parser
        if parser.get_method() == b"CONNECT":
            self._reject(MessageError(400, "CONNECT is not supported"))
            return b""
        headers = [header for header in self._headers if header[0] != b"upgrade"]
        version = parser.get_http_version().encode()
        line = b"%b %b HTTP/%b\r\n" % (parser.get_method(), self._target, version)
        self._parser = httptools.HttpRequestParser(self)
        self._reset_message()
        return line + header_lines(headers) + b"\r\n"

    def pause_writing(self) -> None:
        """Wait with answers and further requests while the write buffer is full."""
        self._is_writing_paused = True
        self._update_reading()

    def resume_writing(self) -> None:
        """Continue with the current answer or the next request."""
        self._is_writing_paused = False
        self._wake_writer()
        self._update_reading()
        if self._task is None and (self._requests or self._request_error is not None):
            self._continue_after_answer()

    # Parser callbacks.

    def on_message_begin(self) -> None:
        """Begin a request."""
        self._in_message = True

    def on_url(self, url: bytes) -> None:
        """Collect the target; it may arrive in fragments."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; the fields of a trailer are discarded."""
        if not self._in_body:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Check the head against the limits."""
        if self._parser.should_upgrade():
            # It is parsed once more, without its offer.
            return
        limits = self._listener.handler.limits
        self._arrived_at = self._state_changed_at = now_s()
        self._in_body = True
        n_head_bytes = len(self._target)
        for key, value in self._headers:
            n_head_bytes += len(key) + len(value) + HEADER_SEPARATOR_BYTES
            if key == b"content-length":
                if int(value) > limits.body_bytes:
                    raise self._refusal(413, f"the body has {value.decode()} bytes")
            elif key == b"expect" and value.lower() == b"100-continue":
                self._owes_continue = True
        self._n_head_bytes = max(self._n_head_bytes, n_head_bytes)
        if n_head_bytes > limits.header_bytes:
            raise self._refusal(431, f"the head has {n_head_bytes} bytes")
        if not self._target.startswith(b"/"):
            raise self._refusal(400, "the target is not a path")
        self._send_owed_continue()

    def on_body(self, piece: bytes) -> None:
        """Collect a piece of the body; its limits are checked once for all pieces."""
        self._body += piece

    def on_message_complete(self) -> None:
        """Queue the complete request until earlier requests are answered."""
        if self._parser.should_upgrade():
            return
        if self._is_body_too_long():
            raise self._refusal(413, "the body is too long")
        if not self._hold_message(WAITING_REQUEST_BYTES):
            raise self._refusal(503, FULL_REASON)
        # A copy of a long body would take its memory once more.
        is_copied = len(self._body) <= COPIED_BODY_BYTES
        request = Request(
            method=self._parser.get_method(),
            target=self._target,
            headers=self._headers,
            body=bytes(self._body) if is_copied else self._body,
            arrived_at=self._arrived_at,
            keep_alive=self._parser.should_keep_alive(),
        )
        self._reset_message()
        self._requests.append((request, self._memory.queue_message()))
        self._answer_next_request()
        self._update_reading()

    # Memory.

    def end_for_memory(self) -> None:
        """End the connection, since its caller makes the process hold too much.

        A request that has not arrived whole gets status 503; otherwise the connection
        is aborted, which promises nothing.
        """
        phase = self._phase
        self._listener.report_ended(self._current, phase, self._memory.account)
        if phase == "arriving" and self._request_error is None:
            self._reject(MessageError(503, FULL_REASON))
        else:
            self._closing = True
            self.abort()
        self._release_waiting()

    def hold_stream(self) -> None:
        """Hold what an answer takes that is passed on while it arrives."""
        if not self._memory.hold_stream():
            self._end_if_chosen()
            self.abort()

    @property
    def _phase(self) -> str:
        """What the connection is doing."""
        if self._task is not None:
            return "answering"
        if self._requests or self._memory.n_unsent_bytes:
            return "unread"
        return "arriving" if self._in_message else "idle"

    def _is_body_too_long(self) -> bool:
        return len(self._body) > self._listener.handler.limits.body_bytes

    def _hold_message(self, n_more_bytes: int = 0) -> bool:
        """Hold what the message that arrives takes in memory so far.

        :param n_more_bytes: bytes that it takes besides head and body.
        :return: whether they are held.
        """
        n_head_bytes = HEADER_BYTES * len(self._headers) + 2 * self._n_head_bytes
        if self._memory.hold_message(n_head_bytes + len(self._body) + n_more_bytes):
            return True
        self._end_if_chosen()
        return False

    def _check_memory(self) -> None:
        """Refuse the message that arrives when memory is short because of it."""
        if self._request_error is None and not self._hold_message():
            self._reject(MessageError(503, FULL_REASON))
            self._release_waiting()

    def _hold_unsent(self) -> None:
        """Hold what the caller has not read of the answers."""
        if self._transport is None or self._transport.is_closing():
            return
        n_bytes = self._transport.get_write_buffer_size()
        if n_bytes < CHECKED_PIECE_BYTES:
            n_bytes = 0
        if not self._memory.hold_unsent(n_bytes):
            self._end_if_chosen()
            self.abort()

    def _end_if_chosen(self) -> None:
        """Report that it is the turn of this connection to release memory."""
        if self._memory.account.is_ended:
            self._listener.report_ended(
                self._current, self._phase, self._memory.account
            )

    def _release_waiting(self) -> None:
        """Release what is held besides the request that is being answered."""
        self._requests.clear()
        self._headers = []
        self._body = bytearray()
        self._memory.release_waiting()

    # Answers.

    def write(self, data: bytes) -> None:
        """Write bytes unless the connection is closed."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)
            if len(data) >= CHECKED_PIECE_BYTES:
                # Later, since the event loop writes at the end of its turn.
                self._listener.loop.call_soon(self._hold_unsent)

    async def wait_writable(self) -> None:
        """Wait until the write buffer has room or the connection closes."""
        while self._is_writing_paused and not self._is_transport_closing():
            self._writable_waiter = self._listener.loop.create_future()
            await self._writable_waiter

    def abort(self) -> None:
        """Abort the connection."""
        if self._transport is not None:
            self._transport.abort()

    def abort_if_unread(self) -> None:
        """Abort the connection if the caller does not read what was written."""
        if self._is_writing_paused:
            self.abort()

    def close_when_written(self) -> None:
        """Close the connection once no request is being answered on it."""
        self._closing = True
        if self._task is None and self._transport is not None:
            self._transport.close()

    def check_timeouts(self, now: float) -> None:
        """Close the connection when it is idle or its request arrives too slowly.

        :param now: current time on the monotonic clock, in seconds.
        """
        self._hold_unsent()
        if self._task is not None or self._requests:
            return
        limits = self._listener.handler.limits
        age_s = now - self._state_changed_at
        if self._closing:
            if age_s > limits.idle_s:
                # The rest of an answer that nobody reads would keep it open.
                self.abort()
        elif self._in_message:
            if age_s > (BODY_TIMEOUT_S if self._in_body else limits.header_s):
                self._reject(MessageError(408, "the request did not arrive in time"))
        elif age_s > limits.idle_s:
            self.close_when_written()

    def _answer_next_request(self) -> None:
        if self._task is not None or not self._requests or self._closing:
            return
        if self._is_writing_paused:
            # Answers to a caller that does not read must not pile up.
            return
        request, n_held_bytes = self._requests.popleft()
        self._current = request
        if not self._memory.begin_request(n_held_bytes):
            # It has not begun to run, so status 503 is true.
            self._memory.end_request(len(request.body), None)
            self._current = None
            self._release_waiting()
            self._answer_error(MessageError(503, FULL_REASON))
            return
        self._task = self._listener.loop.create_task(self._answer_request(request))

    async def _answer_request(self, request: Request) -> None:
        exchange = Exchange(self, request)
        try:
            await self._listener.handler.handle(exchange)
        except Exception as error:
            self._listener.report_error(request, error)
            if exchange.head_sent:
                self.abort()
            else:
                # A server may have run the request; 503 would mean that no server did.
                exchange.send_answer(502, [])
        finally:
            self._memory.end_request(len(request.body), exchange.body_holder)
            self._task = self._current = None
            self._state_changed_at = now_s()
            self._continue_after_answer()

    def _continue_after_answer(self) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        if self._closing:
            self._transport.close()
        elif self._requests:
            self._answer_next_request()
            self._update_reading()
        elif self._request_error is not None:
            self._answer_error(self._request_error)
        else:
            self._send_owed_continue()

    def _send_owed_continue(self) -> None:
        """Ask for a body, unless an earlier answer is still being sent."""
        if self._owes_continue and self._task is None and not self._requests:
            self._owes_continue = False
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _update_reading(self) -> None:
        """Receive only while few requests are queued and answers are read."""
        if self._transport is None or self._transport.is_closing():
            return
        is_paused = self._is_writing_paused or len(self._requests) >= MAX_PIPELINED
        if is_paused == self._is_reading_paused:
            return
        self._is_reading_paused = is_paused
        if is_paused:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _check_partial_head_size(self) -> None:
        if self._n_head_bytes > self._listener.handler.limits.header_bytes:
            self._reject(MessageError(431, "the head is too long"))

    def _check_framing_size(self, n_bytes: int, has_body_bytes: bool) -> None:
        if has_body_bytes:
            self._framing.reset()
        elif not self._framing.allows(n_bytes):
            self._reject(MessageError(431, "a chunk's head or the trailer is too long"))

    def _reject(self, error: MessageError) -> None:
        self._request_error = error
        # The connection may stay open until earlier requests are answered.
        self._headers = []
        self._body = bytearray()
        if self._task is None and not self._requests:
            self._answer_error(error)

    def _answer_error(self, error: MessageError) -> None:
        self.write(encode_error_answer(error))
        self._closing = True
        if self._transport is not None:
            self._transport.close()

    def _is_transport_closing(self) -> bool:
        return self._transport is None or self._transport.is_closing()

    def _wake_writer(self) -> None:
        if self._writable_waiter is not None and not self._writable_waiter.done():
            self._writable_waiter.set_result(None)
