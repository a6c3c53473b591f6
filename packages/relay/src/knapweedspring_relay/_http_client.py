"""HTTP/1.1 client on the event loop: one call at a time on a connection, and pools."""

import asyncio
from dataclasses import dataclass
from typing import cast

import httptools

from knapweedspring_relay._answer import Answer
from knapweedspring_relay._clock import now_s
from knapweedspring_relay._errors import BadAnswer, ConnectFailed, ConnectionBroke
from knapweedspring_relay._requests import Header
from knapweedspring_relay._sockets import set_timeouts

__all__ = ["ConnectionPool", "ConnectionSettings"]

#: Answers up to this size are whole before they are passed on, so that one that
#: breaks off can be asked for again.
WHOLE_ANSWER_BYTES = 65_536
#: Bytes of a streamed body that wait for the reader before the sender is paused.
READ_HIGH_WATER_BYTES = 131_072
#: Head and unread part of an answer in front of which a connection is given up.
MAX_ANSWER_HEAD_BYTES = 65_536
#: Longest wait for an answer unless the caller says less, in seconds.
DEFAULT_LIMIT_S = 60.0
#: An idle connection is used only when this much of its time-out is left, seconds.
IDLE_MARGIN_S = 1.5


@dataclass(frozen=True, slots=True)
class ConnectionSettings:
    """How the connections of a pool behave."""

    #: Time for a connection to be established, in seconds.
    connect_s: float
    #: Time after which an idle connection is not used again, in seconds.
    idle_s: float
    #: Time that sent bytes may stay unacknowledged, in seconds.
    unacknowledged_s: float
    #: Header that names the request which an answer belongs to; empty: none does.
    request_id_header: bytes = b""


class _ClientConnection(asyncio.Protocol):
    """One connection to a server."""

    def __init__(
        self, pool: "ConnectionPool", address: str, loop: asyncio.AbstractEventLoop
    ) -> None:
        self._pool = pool
        self._address = address
        self._loop = loop
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._result: asyncio.Future[Answer] | None = None
        self._answer: Answer | None = None
        self._expected_id: bytes | None = None
        self._is_head = False
        self._skipping = False
        self._spoiled = False
        self._is_reusable = False
        self._reading_paused = False
        self._idle_s = pool.settings.idle_s
        self._idle_since = 0.0
        self._headers: list[Header] = []
        self._n_head_bytes = 0
        self._in_answer = False

    @property
    def address(self) -> str:
        """Address of the server."""
        return self._address

    @property
    def is_open(self) -> bool:
        """Whether the connection can be used."""
        return self._transport is not None and not self._transport.is_closing()

    def is_fresh(self, now: float, max_idle_s: float) -> bool:
        """Tell whether the server still expects requests on it."""
        return self.is_open and now - self._idle_since < min(self._idle_s, max_idle_s)

    async def call(
        self, data: bytes, request_id: bytes | None, is_head: bool, limit_s: float
    ) -> Answer:
        """Send a request and wait for the head of its answer, or all of it.

        :raises TimeoutError: when neither came in time.
        :raises ConnectionBroke: when the connection ends first.
        :raises BadAnswer: when what comes back is no answer.
        """
        self._expected_id = request_id
        self._is_head = is_head
        self._answer = None
        self._skipping = False
        self._in_answer = False
        result: asyncio.Future[Answer] = self._loop.create_future()
        self._result = result
        if not self.is_open:
            raise ConnectionBroke("the connection was closed while it was idle")
        assert self._transport is not None
        self._transport.write(data)
        # A timer of its own instead of asyncio.timeout, which asks the kernel for
        # the process id several times a call.
        timer = self._loop.call_later(limit_s, _expire, result)
        try:
            return await result
        finally:
            timer.cancel()

    def discard(self) -> None:
        """Break the connection; the server drops the request."""
        if self._transport is not None:
            self._transport.abort()

    # Protocol callbacks.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the time-outs of the kernel."""
        transport = cast(asyncio.Transport, transport)
        self._transport = transport
        set_timeouts(transport, self._pool.settings.unacknowledged_s)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the call at hand."""
        self._pool.forget(self)
        answer = self._answer
        if answer is not None and not answer.is_complete:
            unframed = answer.declared_length is None and not _is_chunked(answer)
            if exc is None and unframed:
                self._spoiled = True
                self._finish_answer(answer)
                return
        self._fail(ConnectionBroke(str(exc) if exc else "closed by the server"))

    def data_received(self, data: bytes) -> None:
        """Parse what arrived."""
        if self._result is None:
            # Bytes that no request asked for.
            self._spoil()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._spoil()
            self._fail(BadAnswer(f"not an answer: {error}"))
            return
        if self._is_reusable:
            self._return_to_pool()
            return
        if self._answer is None and self._in_answer:
            self._n_head_bytes += len(data)
            if self._n_head_bytes > MAX_ANSWER_HEAD_BYTES:
                self._spoil()
                self._fail(BadAnswer("the head of the answer is too long"))

    # Parser callbacks.

    def on_message_begin(self) -> None:
        """Begin an answer."""
        self._headers = []
        self._n_head_bytes = 0
        self._in_answer = True
        if self._result is None or (self._answer and self._answer.is_complete):
            self._spoiled = True
            self._skipping = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Make the answer known unless it belongs to another request."""
        if self._skipping:
            return
        status = self._parser.get_status_code()
        if status < 200:
            return
        answer = Answer(status, self._headers, self._loop)
        if not self._belongs(answer):
            self._skipping = True
            self._spoiled = True
            return
        self._answer = answer
        answer.on_read(self._resume_reading)
        answer.on_abandon(self.discard)
        self._note_idle_time(answer)
        if not self._parser.should_keep_alive():
            self._spoiled = True
        if self._is_head:
            self._spoiled = True
            self._finish_answer(answer)

    def on_body(self, piece: bytes) -> None:
        """Take in a piece of the body."""
        answer = self._answer
        if self._skipping or answer is None or answer.is_complete:
            return
        answer.add(piece)
        if answer.n_waiting_bytes > WHOLE_ANSWER_BYTES:
            self._hand_over(answer)
        if answer.n_waiting_bytes > READ_HIGH_WATER_BYTES:
            self._pause_reading()

    def on_message_complete(self) -> None:
        """End the answer."""
        self._in_answer = False
        if self._skipping:
            self._skipping = False
            return
        if self._answer is not None and not self._answer.is_complete:
            self._finish_answer(self._answer)

    # Ends.

    def _finish_answer(self, answer: Answer) -> None:
        answer.complete()
        self._hand_over(answer)
        assert self._transport is not None
        self._result = None
        if self._spoiled or self._transport.is_closing():
            self._transport.close()
            self._pool.forget(self)
        elif self._transport.get_write_buffer_size() > 0:
            # Answered before the request was wholly sent: the rest of it would be
            # taken for the next request's bytes.
            self._spoil()
        else:
            self._is_reusable = True

    def _return_to_pool(self) -> None:
        """Return to the pool once all that arrived is parsed.

        Bytes after the answer may be in the same segment, and spoil the connection.
        """
        self._is_reusable = False
        if self._spoiled:
            self._spoil()
        elif self.is_open:
            self._idle_since = now_s()
            self._pool.give_back(self)

    def _hand_over(self, answer: Answer) -> None:
        if self._result is not None and not self._result.done():
            self._result.set_result(answer)

    def _fail(self, error: Exception) -> None:
        if self._answer is not None:
            self._answer.fail(error)
        if self._result is not None and not self._result.done():
            self._result.set_exception(error)

    def _spoil(self) -> None:
        self._spoiled = True
        self._pool.forget(self)
        if self._transport is not None:
            self._transport.abort()

    def _belongs(self, answer: Answer) -> bool:
        if self._expected_id is None:
            return True
        found = answer.header(self._pool.settings.request_id_header)
        if found is None:
            # Rejections may lack the id; successes must carry it.
            return answer.status >= 400
        return found == self._expected_id

    def _note_idle_time(self, answer: Answer) -> None:
        value = answer.header(b"keep-alive")
        if value is None:
            return
        for part in value.split(b","):
            key, _, number = part.strip().partition(b"=")
            if key.lower() == b"timeout" and number.isdigit():
                stated_s = float(number) - IDLE_MARGIN_S
                self._idle_s = min(self._pool.settings.idle_s, stated_s)

    def _pause_reading(self) -> None:
        if not self._reading_paused and self.is_open:
            assert self._transport is not None
            self._reading_paused = True
            self._transport.pause_reading()

    def _resume_reading(self, n_read_bytes: int) -> None:
        if self._reading_paused and self.is_open:
            assert self._transport is not None
            self._reading_paused = False
            self._transport.resume_reading()


class ConnectionPool:
    """Connections to many servers; the one used last is used next.

    :param settings: how the connections behave.
    """

    def __init__(self, settings: ConnectionSettings) -> None:
        self._settings = settings
        self._idle: dict[str, list[_ClientConnection]] = {}
        self._n_opened = 0

    @property
    def settings(self) -> ConnectionSettings:
        """How the connections behave."""
        return self._settings

    @property
    def n_opened(self) -> int:
        """Connections established so far."""
        return self._n_opened

    async def call(
        self,
        address: str,
        data: bytes,
        request_id: bytes | None = None,
        is_head: bool = False,
        max_idle_s: float = float("inf"),
        limit_s: float = DEFAULT_LIMIT_S,
    ) -> Answer:
        """Send a request and wait for its answer.

        Cancellation breaks the connection, so that the server drops the request.

        :param address: ``ip:port`` of the server.
        :param data: bytes of the request.
        :param request_id: id that the answer must carry.
        :param is_head: whether the answer has no body, as to a HEAD request.
        :param max_idle_s: use only connections idle for less than this, in seconds.
        :param limit_s: longest wait for the answer, in seconds.
        :raises TimeoutError: when it did not come in time.
        :raises ConnectFailed: when nothing was sent.
        :raises ConnectionBroke: when the connection ended before the answer's end.
        :raises BadAnswer: when what came back is no answer.
        """
        connection = self._take_idle(address, max_idle_s)
        if connection is None:
            connection = await self._open(address)
        try:
            return await connection.call(data, request_id, is_head, limit_s)
        except BaseException:
            connection.discard()
            raise

    def give_back(self, connection: _ClientConnection) -> None:
        """Keep a connection for the next call."""
        self._idle.setdefault(connection.address, []).append(connection)

    def forget(self, connection: _ClientConnection) -> None:
        """Take a connection out of use."""
        idle = self._idle.get(connection.address)
        if idle is not None and connection in idle:
            idle.remove(connection)

    def close_idle(self, address: str) -> None:
        """Close the idle connections to a server."""
        for connection in self._idle.pop(address, ()):
            connection.discard()

    def sweep(self) -> None:
        """Close connections that have been idle too long; called periodically."""
        now = now_s()
        for address, idle in tuple(self._idle.items()):
            stale = [c for c in idle if not c.is_fresh(now, self._settings.idle_s)]
            for connection in stale:
                idle.remove(connection)
                connection.discard()
            if not idle:
                del self._idle[address]

    def _take_idle(self, address: str, max_idle_s: float) -> _ClientConnection | None:
        idle = self._idle.get(address)
        now = now_s()
        while idle:
            connection = idle.pop()
            if connection.is_fresh(now, max_idle_s):
                return connection
            connection.discard()
        return None

    async def _open(self, address: str) -> _ClientConnection:
        host, port = address.rsplit(":", 1)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self._settings.connect_s):
                _, connection = await loop.create_connection(
                    lambda: _ClientConnection(self, address, loop), host, int(port)
                )
        except (OSError, TimeoutError, ValueError) as error:
            raise ConnectFailed(f"{address}: {error or 'timed out'}") from error
        self._n_opened += 1
        connection._idle_since = now_s()
        return connection


def _expire(result: "asyncio.Future[Answer]") -> None:
    if not result.done():
        result.set_exception(TimeoutError())


def _is_chunked(answer: Answer) -> bool:
    return answer.header(b"transfer-encoding") is not None
