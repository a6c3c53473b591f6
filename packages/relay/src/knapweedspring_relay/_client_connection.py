"""Connection to an HTTP/1.1 server, with one call at a time."""

import asyncio
from abc import ABC, abstractmethod
from typing import cast

import httptools

from knapweedspring_relay._answer import Answer
from knapweedspring_relay._answer_head import AnswerHead
from knapweedspring_relay._answer_matcher import AnswerMatcher
from knapweedspring_relay._clock import now_s
from knapweedspring_relay._connection_settings import ConnectionSettings
from knapweedspring_relay._connection_use import ConnectionUse
from knapweedspring_relay._errors import BadAnswer, ConnectionBroke
from knapweedspring_relay._framing_limit import FramingLimit
from knapweedspring_relay._keep_alive import idle_timeout_s
from knapweedspring_relay._requests import Body
from knapweedspring_relay._sockets import set_timeouts
from knapweedspring_relay._status_codes import is_final_status, is_status

__all__ = ["ClientConnection", "ClientConnectionOwner"]

#: Bodies of answers up to this size, in bytes, are buffered whole before they are
#: passed on, so that a call with a truncated answer can be repeated.
MAX_BUFFERED_ANSWER_BYTES = 65_536
#: Unread bytes of a streamed body above which the connection stops receiving.
READ_HIGH_WATER_BYTES = 131_072
#: Unread bytes of a streamed body below which a connection receives again.
READ_LOW_WATER_BYTES = 65_536
#: Time before the end of the server's idle timeout from which a connection is not used
#: for further calls, in seconds.
IDLE_MARGIN_S = 1.5


class ClientConnectionOwner(ABC):
    """Pool that a connection belongs to."""

    @property
    @abstractmethod
    def settings(self) -> ConnectionSettings:
        """Settings of the connections."""

    @abstractmethod
    def next_connection_number(self) -> int:
        """Return the number of a connection that is about to be opened."""

    @abstractmethod
    def count_skipped_answer(self) -> None:
        """Count an answer that belongs to another request."""

    @abstractmethod
    def add_idle(self, connection: "ClientConnection") -> None:
        """Add an idle connection for the next call."""

    @abstractmethod
    def remove_idle(self, connection: "ClientConnection") -> None:
        """Remove a connection from the idle connections, so that no call uses it."""


class ClientConnection(asyncio.Protocol):
    """One connection to a server, which carries one call at a time.

    :param pool: the pool that the connection belongs to.
    :param address: address of the server, as ``ip:port``.
    :param loop: event loop that runs the connection.
    """

    def __init__(
        self, pool: ClientConnectionOwner, address: str, loop: asyncio.AbstractEventLoop
    ) -> None:
        self._pool = pool
        self._address = address
        self._loop = loop
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._result: asyncio.Future[Answer] | None = None
        self._answer: Answer | None = None
        self._matcher = AnswerMatcher()
        self._is_head_request = False
        self._skipping = False
        self._must_close = False
        self._is_aborted = False
        self._is_reusable = False
        self._reading_paused = False
        self._idle_s = pool.settings.idle_s
        self._last_used_at = 0.0
        self._head = AnswerHead(pool.settings.request_id_header)
        self._body_pieces: list[bytes] = []
        self._framing = FramingLimit()
        self._number = pool.next_connection_number()
        self._n_calls = 0

    @property
    def address(self) -> str:
        """Address of the server, ``ip:port``."""
        return self._address

    @property
    def is_open(self) -> bool:
        """Whether the connection can still send bytes."""
        return self._transport is not None and not self._transport.is_closing()

    def is_fresh(self, now: float, max_idle_s: float) -> bool:
        """Return whether the connection is open and was not idle for too long.

        :param now: current time on the monotonic clock, in seconds.
        :param max_idle_s: longest idle time, in seconds.
        """
        return self.is_open and now - self._last_used_at < min(self._idle_s, max_idle_s)

    def mark_used(self, now: float) -> None:
        """Record that the connection was opened or that its last call has ended.

        :param now: monotonic time, in seconds.
        """
        self._last_used_at = now

    def allows_request(self, request_id: bytes | None) -> bool:
        """Return whether the answer to a request could be told from earlier answers.

        :param request_id: id that the answer must carry; None accepts any answer.
        """
        return self._matcher.allows_request(request_id)

    async def call(
        self,
        parts: list[Body],
        request_id: bytes | None,
        is_head_request: bool,
        timeout_s: float,
    ) -> Answer:
        """Send a request and wait for its answer; a long body may still be arriving.

        :param parts: encoded request, in parts.
        :param request_id: id that the answer must carry; None accepts any answer.
        :param is_head_request: whether the method is HEAD, so the answer has no body.
        :param timeout_s: longest wait, in seconds.
        :return: the answer.
        :raises TimeoutError: when the answer does not arrive in time.
        :raises ConnectionBroke: when the connection ends before the answer arrives.
        :raises BadAnswer: when the received bytes are not a valid answer.
        """
        self._matcher.begin_request(request_id, now_s())
        self._is_head_request = is_head_request
        self._answer = None
        self._skipping = False
        self._framing.reset()
        self._n_calls += 1
        result: asyncio.Future[Answer] = self._loop.create_future()
        self._result = result
        if not self.is_open:
            raise ConnectionBroke("the connection was closed while it was idle")
        assert self._transport is not None
        for part in parts:
            self._transport.write(part)
        # Not asyncio.timeout, which makes several system calls for the process id
        # in each call.
        timer = self._loop.call_later(timeout_s, _fail_with_timeout, result)
        try:
            return await result
        finally:
            timer.cancel()

    def abort_connection(self) -> None:
        """Abort the connection, so that the server drops the request."""
        self._is_aborted = True
        if self._transport is not None:
            self._transport.abort()

    # Protocol callbacks.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the kernel's timeouts."""
        transport = cast(asyncio.Transport, transport)
        self._transport = transport
        set_timeouts(transport, self._pool.settings.unacknowledged_s)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the current call, unless the server ends a body of undeclared length."""
        self._pool.remove_idle(self)
        answer = self._answer
        if answer is not None and not answer.is_complete:
            unframed = answer.declared_length is None and not answer.is_chunked
            if exc is None and unframed and not self._is_aborted:
                self._must_close = True
                self._finish_answer(answer)
                return
        self._fail(ConnectionBroke(str(exc) if exc else "closed by the server"))

    def data_received(self, data: bytes) -> None:
        """Parse the received bytes."""
        if self._result is None:
            # No request waits for these bytes.
            self._abort_and_remove()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._abort_and_remove()
            self._fail(BadAnswer(f"not an answer: {error}"))
            return
        if self._is_reusable:
            self._return_to_pool()
            return
        if self._body_pieces:
            self._framing.reset()
            self._receive_body()
            return
        if self._result is None:
            # The answer is complete and the connection is closing.
            return
        # Interim answers and answers to other requests count, too.
        if not self._framing.allows(len(data)):
            self._abort_and_remove()
            self._fail(BadAnswer("the answer is too long besides its body"))

    # Parser callbacks.

    def on_message_begin(self) -> None:
        """Begin an answer; one that no request waits for is skipped."""
        self._head.reset()
        if self._result is None or (self._answer and self._answer.is_complete):
            self._must_close = True
            self._skipping = True

    def on_status(self, phrase: bytes) -> None:
        """Collect the reason phrase."""
        self._head.add_phrase(phrase)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; the fields of a trailer are discarded."""
        if self._answer is None or self._skipping:
            self._head.add_header(name, value)

    def on_headers_complete(self) -> None:
        """Create the answer, or skip one that belongs to another request."""
        if self._skipping:
            return
        status = self._parser.get_status_code()
        if not is_status(status):
            raise BadAnswer(f"{status} is no status")
        if not is_final_status(status):
            return
        if self._head.is_merged:
            raise BadAnswer("the head holds the beginning of another answer")
        answer = Answer(status, self._head.headers, self._loop)
        found_id = answer.header(self._pool.settings.request_id_header)
        if not self._matcher.accepts(status, found_id):
            self._skipping = True
            self._must_close = True
            self._pool.count_skipped_answer()
            return
        self._answer = answer
        answer.set_use(ConnectionUse(self._number, self._n_calls))
        answer.on_read(self._resume_reading)
        answer.on_abandon(self.abort_connection)
        stated_s = idle_timeout_s(answer.header(b"keep-alive"))
        if stated_s is not None:
            advertised_s = stated_s - IDLE_MARGIN_S
            self._idle_s = min(self._pool.settings.idle_s, advertised_s)
        if not self._parser.should_keep_alive() or not self._matcher.allows_reuse:
            self._must_close = True
        if self._is_head_request:
            self._must_close = True
            self._finish_answer(answer)

    def on_body(self, piece: bytes) -> None:
        """Collect a piece of the body."""
        answer = self._answer
        if self._skipping or answer is None or answer.is_complete:
            return
        self._body_pieces.append(piece)

    def on_message_complete(self) -> None:
        """Complete the answer."""
        if self._skipping:
            self._skipping = False
            return
        if self._answer is not None and not self._answer.is_complete:
            self._finish_answer(self._answer)

    # Body of an answer.

    def _receive_body(self) -> None:
        """Append the received pieces; deliver the answer once the body is long."""
        answer = self._answer
        assert answer is not None
        self._append_pieces(answer)
        if answer.n_unread_bytes > MAX_BUFFERED_ANSWER_BYTES:
            self._deliver_answer(answer)
        if answer.n_unread_bytes > READ_HIGH_WATER_BYTES:
            self._pause_reading()

    def _append_pieces(self, answer: Answer) -> None:
        # Joined, so that a body in chunks of one byte causes no task switch and no
        # write for each of them.
        if self._body_pieces:
            pieces, self._body_pieces = self._body_pieces, []
            answer.add(pieces[0] if len(pieces) == 1 else b"".join(pieces))

    # End of an answer or of the connection.

    def _finish_answer(self, answer: Answer) -> None:
        self._append_pieces(answer)
        # The connection may carry the next call while the body is still being read.
        answer.on_read(_ignore_read)
        answer.complete()
        self._deliver_answer(answer)
        assert self._transport is not None
        self._result = None
        if self._must_close or self._transport.is_closing():
            self._transport.close()
            self._pool.remove_idle(self)
        elif self._transport.get_write_buffer_size() > 0:
            # The server answered before the whole request was sent, and would parse the
            # rest of the request as the next one.
            self._abort_and_remove()
        else:
            self._is_reusable = True

    def _return_to_pool(self) -> None:
        """Return to the pool once all received bytes are parsed.

        Unsolicited bytes after the answer, which make the connection unusable, may
        arrive in the same segment.
        """
        self._is_reusable = False
        if self._must_close:
            self._abort_and_remove()
        elif self.is_open:
            # Kept no longer than its reader needs it.
            self._answer = None
            self.mark_used(now_s())
            # The body of a complete answer may be taken without any call of on_read.
            self._resume_reading(0)
            self._pool.add_idle(self)

    def _deliver_answer(self, answer: Answer) -> None:
        if self._result is not None and not self._result.done():
            self._result.set_result(answer)

    def _fail(self, error: Exception) -> None:
        if self._answer is not None:
            self._answer.fail(error)
        if self._result is not None and not self._result.done():
            self._result.set_exception(error)

    def _abort_and_remove(self) -> None:
        self._must_close = True
        self._pool.remove_idle(self)
        self.abort_connection()

    def _pause_reading(self) -> None:
        if not self._reading_paused and self.is_open:
            assert self._transport is not None
            self._reading_paused = True
            if self._answer is not None:
                self._answer.begin_reader_wait(now_s())
            self._transport.pause_reading()

    def _resume_reading(self, n_read_bytes: int) -> None:
        answer = self._answer
        if answer is not None and answer.n_unread_bytes > READ_LOW_WATER_BYTES:
            return
        if self._reading_paused and self.is_open:
            assert self._transport is not None
            self._reading_paused = False
            if answer is not None:
                answer.end_reader_wait(now_s())
            self._transport.resume_reading()


def _fail_with_timeout(result: "asyncio.Future[Answer]") -> None:
    if not result.done():
        result.set_exception(TimeoutError())


def _ignore_read(n_read_bytes: int) -> None:
    """Ignore that a piece of a complete body was read."""
