"""HTTP/1.1 server on the event loop: connections, limits and answers."""

import asyncio
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable, Iterable
from typing import cast

import httptools
from mypy_extensions import mypyc_attr

from knapweedspring_relay._clock import now_s
from knapweedspring_relay._configuration import CallLimits
from knapweedspring_relay._errors import MessageError
from knapweedspring_relay._messages import answer_head, header_lines
from knapweedspring_relay._requests import Header, Request

__all__ = ["Exchange", "HttpListener", "RequestHandler"]

#: Bytes that wait for a slow reader before the sender is paused.
WRITE_HIGH_WATER_BYTES = 65_536
#: Requests that one connection may send ahead of their answers.
MAX_PIPELINED = 8
#: Bodies held by one listener, of which up to four copies exist while one is sent; an
#: eighth of the memory of a small VM. Every request is held whole, so that it can be
#: sent again to another server; beyond this, callers are told to come back.
MAX_BODIES_BYTES = 32 * 1_048_576
#: Time for a body to arrive after its head, in seconds.
BODY_S = 60.0
#: Colon, space and the end of the line.
HEADER_SEPARATOR_BYTES = 4
#: Pending connections that the kernel keeps.
BACKLOG = 1_024


class Exchange:
    """One request on a connection, and the way for its answer.

    :param connection: the connection that it came on.
    :param request: the request.
    """

    def __init__(self, connection: "_ServerConnection", request: Request) -> None:
        self._connection = connection
        self._request = request
        self._head_sent = False
        self._chunked = False

    @property
    def request(self) -> Request:
        """The request."""
        return self._request

    @property
    def head_sent(self) -> bool:
        """Whether the head of the answer has been sent."""
        return self._head_sent

    def answer(self, status: int, headers: Iterable[Header], body: bytes = b"") -> None:
        """Send a whole answer.

        :param status: status code.
        :param headers: headers without those of the connection.
        :param body: the body.
        """
        self.relay(status, header_lines(headers), body)

    def relay(self, status: int, lines: bytes, body: bytes) -> None:
        """Send a whole answer whose header lines are written already.

        :param status: status code.
        :param lines: header lines without those of the connection.
        :param body: the body.
        """
        self._head_sent = True
        keep_alive = self._keep_alive()
        head = answer_head(status, lines, len(body), keep_alive)
        if self._request.method == b"HEAD":
            body = b""
        self._connection.write(head + body)
        if not keep_alive:
            self._connection.close_when_written()

    def start(self, status: int, lines: bytes, length: int | None) -> None:
        """Send the head of an answer whose body follows in pieces.

        :param status: status code.
        :param lines: header lines without those of the connection.
        :param length: length of the body; None when it is unknown.
        """
        self._head_sent = True
        self._chunked = length is None
        head = answer_head(status, lines, length, self._keep_alive())
        self._connection.write(head)

    async def send(self, piece: bytes) -> None:
        """Send a piece of the body, and wait while the reader is slow."""
        if not piece:
            return
        if self._chunked:
            piece = b"%x\r\n%b\r\n" % (len(piece), piece)
        self._connection.write(piece)
        await self._connection.writable()

    def finish(self) -> None:
        """End an answer that was sent in pieces."""
        if self._chunked:
            self._connection.write(b"0\r\n\r\n")
        if not self._keep_alive():
            self._connection.close_when_written()

    def abort(self) -> None:
        """Break the connection, so that the answer does not look complete."""
        self._connection.abort()

    def _keep_alive(self) -> bool:
        return self._request.keep_alive and not self._connection.is_closing_soon


@mypyc_attr(allow_interpreted_subclasses=True)
class RequestHandler(ABC):
    """What a listener does with its requests."""

    @abstractmethod
    async def handle(self, exchange: Exchange) -> None:
        """Answer a request; cancelled when the caller leaves."""

    @property
    def limits(self) -> CallLimits:
        """What callers may send."""
        return CallLimits()


class HttpListener:
    """Accepts connections at one address.

    :param address: ``ip:port``.
    :param handler: answers the requests.
    """

    def __init__(self, address: str, handler: RequestHandler) -> None:
        self._address = address
        self._handler = handler
        self._connections: set[_ServerConnection] = set()
        self._server: asyncio.Server | None = None
        self._body_bytes = 0
        self._draining = False
        self._loop: asyncio.AbstractEventLoop | None = None
        self._on_error: Callable[[Request, Exception], None] | None = None

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """The event loop that it listens on."""
        assert self._loop is not None
        return self._loop

    @property
    def address(self) -> str:
        """Where it listens."""
        return self._address

    @property
    def handler(self) -> RequestHandler:
        """What answers the requests."""
        return self._handler

    @property
    def n_active(self) -> int:
        """Requests without an answer."""
        return sum(connection.n_pending for connection in self._connections)

    @property
    def is_draining(self) -> bool:
        """Whether connections are closed after their next answer."""
        return self._draining

    async def start(self) -> None:
        """Listen.

        :raises OSError: when the address cannot be used.
        """
        host, port = self._address.rsplit(":", 1)
        self._loop = loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _ServerConnection(self), host, int(port), backlog=BACKLOG
        )
        if int(port) == 0:
            bound = self._server.sockets[0].getsockname()[1]
            self._address = f"{host}:{bound}"

    def drain(self) -> None:
        """Close each connection after its next answer."""
        self._draining = True

    def close(self) -> None:
        """Stop listening and close connections that have no request."""
        if self._server is not None:
            self._server.close()
        for connection in tuple(self._connections):
            connection.close_when_written()

    def sweep(self) -> None:
        """Close connections that are idle or too slow; called periodically."""
        now = now_s()
        for connection in tuple(self._connections):
            connection.check_age(now)

    def on_error(self, callback: Callable[[Request, Exception], None]) -> None:
        """Have a callback told of the exceptions that the handler raises."""
        self._on_error = callback

    def note_error(self, request: Request, error: Exception) -> None:
        """Pass on an exception of the handler."""
        if self._on_error is not None:
            self._on_error(request, error)

    def join(self, connection: "_ServerConnection") -> None:
        """Register a connection."""
        self._connections.add(connection)

    def leave(self, connection: "_ServerConnection") -> None:
        """Forget a connection."""
        self._connections.discard(connection)

    def reserve_body(self, n_bytes: int) -> bool:
        """Count bytes of a body; False when the process holds too many."""
        if self._body_bytes + n_bytes > MAX_BODIES_BYTES:
            return False
        self._body_bytes += n_bytes
        return True

    def release_body(self, n_bytes: int) -> None:
        """Give back bytes that were counted."""
        self._body_bytes -= n_bytes


class _ServerConnection(asyncio.Protocol):
    """One connection of a caller; requests are answered one after another."""

    def __init__(self, listener: HttpListener) -> None:
        self._listener = listener
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._requests: deque[Request] = deque()
        self._task: asyncio.Task[None] | None = None
        self._writable: asyncio.Future[None] | None = None
        self._paused = False
        self._closing = False
        self._failed: MessageError | None = None
        self._changed_at = now_s()
        self._reset_message()

    @property
    def n_pending(self) -> int:
        """Requests without an answer."""
        return len(self._requests) + (self._task is not None)

    @property
    def is_closing_soon(self) -> bool:
        """Whether the next answer is the last one."""
        return self._listener.is_draining

    def _reset_message(self) -> None:
        self._target = b""
        self._headers: list[Header] = []
        self._body: list[bytes] = []
        self._n_body_bytes = 0
        self._n_head_bytes = 0
        self._in_message = False
        self._in_body = False
        #: Whether the head did not arrive in one piece; its time counts from then on.
        self._head_is_late = False
        self._arrived_at = 0.0

    # Protocol callbacks.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register with the listener."""
        transport = cast(asyncio.Transport, transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)
        self._listener.join(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request: its caller has left."""
        self._listener.leave(self)
        self._listener.release_body(self._n_body_bytes)
        self._n_body_bytes = 0
        self._release_requests()
        if self._task is not None:
            self._task.cancel()
        self._wake_writer()

    def data_received(self, data: bytes) -> None:
        """Parse what arrived."""
        if self._closing or self._failed is not None:
            return
        if not self._in_body:
            self._n_head_bytes += len(data)
            if _has_folded_header(data):
                self._fail(MessageError(400, "a header is folded over lines"))
                return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fail(MessageError(400, "upgrades are not supported"))
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            if not isinstance(cause, MessageError):
                raise
            self._fail(cause)
        except httptools.HttpParserError as error:
            self._fail(MessageError(400, f"not a request: {error}"))
        else:
            if not self._in_body and self._in_message:
                if not self._head_is_late:
                    self._head_is_late = True
                    self._changed_at = now_s()
                self._check_head_size()

    def pause_writing(self) -> None:
        """Make the sender wait: the caller reads slowly."""
        self._paused = True

    def resume_writing(self) -> None:
        """Let the sender go on."""
        self._paused = False
        self._wake_writer()

    # Parser callbacks.

    def on_message_begin(self) -> None:
        """Begin a request."""
        self._in_message = True

    def on_url(self, url: bytes) -> None:
        """Collect the target; it may arrive in fragments."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Check the head."""
        limits = self._listener.handler.limits
        self._arrived_at = self._changed_at = now_s()
        self._in_body = True
        head_bytes = len(self._target)
        for key, value in self._headers:
            head_bytes += len(key) + len(value) + HEADER_SEPARATOR_BYTES
            if key == b"content-length":
                if int(value) > limits.body_bytes:
                    raise MessageError(413, f"the body has {value.decode()} bytes")
            elif key == b"expect" and value.lower() == b"100-continue":
                self.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        if head_bytes > limits.header_bytes:
            raise MessageError(431, f"the head has {head_bytes} bytes")
        if not self._target.startswith(b"/"):
            raise MessageError(400, "the target is not a path")

    def on_body(self, piece: bytes) -> None:
        """Collect a piece of the body."""
        limits = self._listener.handler.limits
        if self._n_body_bytes + len(piece) > limits.body_bytes:
            raise MessageError(413, "the body is too long")
        if not self._listener.reserve_body(len(piece)):
            raise MessageError(503, "too many bodies are held in memory")
        self._n_body_bytes += len(piece)
        self._body.append(piece)

    def on_message_complete(self) -> None:
        """Queue the request for its answer."""
        request = Request(
            method=self._parser.get_method(),
            target=self._target,
            headers=self._headers,
            body=b"".join(self._body),
            arrived_at=self._arrived_at,
            keep_alive=self._parser.should_keep_alive(),
        )
        self._reset_message()
        self._requests.append(request)
        if len(self._requests) >= MAX_PIPELINED and self._transport is not None:
            self._transport.pause_reading()
        self._answer_next()

    # Answers.

    def write(self, data: bytes) -> None:
        """Write bytes unless the connection is gone."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    async def writable(self) -> None:
        """Wait until the caller has read enough."""
        while self._paused and not self._transport_closing():
            self._writable = self._listener.loop.create_future()
            await self._writable

    def abort(self) -> None:
        """Break the connection."""
        if self._transport is not None:
            self._transport.abort()

    def close_when_written(self) -> None:
        """Close after the request at hand; at once when there is none."""
        self._closing = True
        if self._task is None and self._transport is not None:
            self._transport.close()

    def check_age(self, now: float) -> None:
        """Close the connection when it is idle or its request arrives too slowly."""
        if self._task is not None or self._requests:
            return
        limits = self._listener.handler.limits
        age_s = now - self._changed_at
        if self._in_message:
            if age_s > (BODY_S if self._in_body else limits.header_s):
                self._fail(MessageError(408, "the request did not arrive in time"))
        elif age_s > limits.idle_s:
            self.close_when_written()

    def _answer_next(self) -> None:
        if self._task is not None or not self._requests or self._closing:
            return
        request = self._requests.popleft()
        self._task = self._listener.loop.create_task(self._answer(request))

    async def _answer(self, request: Request) -> None:
        exchange = Exchange(self, request)
        try:
            await self._listener.handler.handle(exchange)
        except Exception as error:
            self._listener.note_error(request, error)
            if exchange.head_sent:
                self.abort()
            else:
                # Whether a server ran it is unknown, so no status that denies it.
                exchange.answer(502, [])
        finally:
            self._listener.release_body(len(request.body))
            self._task = None
            self._changed_at = now_s()
            self._go_on()

    def _go_on(self) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        if self._closing:
            self._transport.close()
        elif self._requests:
            self._transport.resume_reading()
            self._answer_next()
        elif self._failed is not None:
            self._answer_failure(self._failed)

    def _check_head_size(self) -> None:
        if self._n_head_bytes > self._listener.handler.limits.header_bytes:
            self._fail(MessageError(431, "the head is too long"))

    def _fail(self, error: MessageError) -> None:
        self._failed = error
        if self._task is None and not self._requests:
            self._answer_failure(error)

    def _answer_failure(self, error: MessageError) -> None:
        lines = b"retry-after: 1\r\n" if error.status == 503 else b""
        body = str(error).encode()
        self.write(answer_head(error.status, lines, len(body), False) + body)
        self._closing = True
        if self._transport is not None:
            self._transport.close()

    def _release_requests(self) -> None:
        for request in self._requests:
            self._listener.release_body(len(request.body))
        self._requests.clear()

    def _transport_closing(self) -> bool:
        return self._transport is None or self._transport.is_closing()

    def _wake_writer(self) -> None:
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)


def _has_folded_header(data: bytes) -> bool:
    if b"\r\n " not in data and b"\r\n\t" not in data:
        return False
    # The body may hold such bytes.
    head = data.partition(b"\r\n\r\n")[0]
    return b"\r\n " in head or b"\r\n\t" in head
