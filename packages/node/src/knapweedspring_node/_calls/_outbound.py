"""HTTP exchanges with upstreams and other nodes over pooled connections."""

import contextlib
import select
import threading
import time
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

import urllib3
from result import Err, Ok, Result
from urllib3.connection import HTTPConnection
from urllib3.response import HTTPResponse
from urllib3.util import SKIP_HEADER

from knapweedspring_node._calls._errors import (
    CallerLeft,
    DeadlinePassed,
    NodeStopping,
    OutboundError,
    PeerBrokeOff,
    PeerUnreachable,
)
from knapweedspring_node._calls._request import CHUNK_BYTES, Body, CallerConnection
from knapweedspring_node._calls._sockets import set_kernel_timeout
from knapweedspring_node._calls._stop_signal import StopSignal
from knapweedspring_node._calls._strict_response import StrictResponse

__all__ = ["CONNECTION_HEADERS", "Answer", "ConnectionPools", "OutboundCall"]

CONNECT_TIMEOUT_S = 1.0
#: Answers up to this size are read whole before their head is relayed; larger ones
#: are streamed.
MAX_BUFFERED_ANSWER_BYTES = 65_536
MAX_IDLE_PER_PEER = 256
#: Time to read an answer that was sent before the request was fully received.
EARLY_ANSWER_TIMEOUT_S = 0.2

#: Headers of an answer that apply to its connection only and are not relayed.
CONNECTION_HEADERS = frozenset(
    {"connection", "keep-alive", "transfer-encoding", "trailer", "upgrade"}
)
_BODILESS_STATUSES = frozenset({204, 304})
_TRANSPORT_ERRORS = (urllib3.exceptions.HTTPError, OSError, EOFError, ValueError)


@dataclass(frozen=True, slots=True)
class OutboundCall:
    """A request to send to one peer."""

    #: ``ip:port`` of the peer.
    address: str
    #: HTTP method.
    method: str
    #: Request target.
    target: str
    #: Headers as sent.
    headers: tuple[tuple[str, str], ...]
    #: Body of the request.
    body: Body
    #: Deadline, on the monotonic clock, in seconds.
    deadline_at: float
    #: Connection of the caller that waits for the answer; closing it cancels the
    #: exchange.
    caller_connection: CallerConnection
    #: Whether the connection may carry a further call after this one. Only for peers
    #: that send no answer twice: answers carry no id by which a late copy of one could
    #: be told from the answer to the next call.
    allows_reuse: bool = False
    #: Called once there is a connection; the call is sent only if it returns True.
    may_send: Callable[[], bool] = lambda: True


@dataclass(frozen=True, slots=True)
class Answer:
    """A peer's answer: its head, and its body buffered when small, else streamed."""

    #: HTTP status.
    status: int
    #: Reason phrase.
    phrase: str
    #: Headers as received.
    headers: tuple[tuple[str, str], ...]
    #: The whole body, None when it is streamed.
    body: bytes | None
    #: Yields a streamed body; raises when the connection fails or ends it early.
    chunks: Iterator[bytes] | None
    #: Length of a streamed body, None when it is chunked.
    length: int | None
    #: Whether the end of the body can be distinguished from a closed connection.
    framed: bool
    #: Releases the connection; its argument is whether the body was read to its end.
    release: "ConnectionRelease"


class ConnectionRelease:
    """Returns a connection to its pool or closes it, on the first call of the object.

    Calling the object again does nothing.

    :param allows_reuse: whether the connection may carry a further call.
    """

    def __init__(
        self, pool: "_PeerPool", connection: "_Connection", allows_reuse: bool
    ) -> None:
        self._pool = pool
        self._connection: _Connection | None = connection
        self._allows_reuse = allows_reuse

    def __call__(self, is_complete: bool) -> None:
        """Release the connection.

        :param is_complete: whether the exchange is complete; if not, the connection is
            closed.
        """
        connection = self._connection
        self._connection = None
        if connection is None:
            return
        if is_complete and self._allows_reuse:
            self._pool.put_idle(connection)
        else:
            # Closing the connection cancels an exchange that is not complete.
            connection.close()


class _Connection(HTTPConnection):
    """Connection that can send the head and body of a request in one system call."""

    response_class = StrictResponse

    _buffered: list[bytes] | None = None

    def start_buffering(self) -> None:
        """Buffer the parts of the request until :meth:`flush`."""
        self._buffered = []

    def flush(self) -> None:
        """Send the buffered parts of the request and stop buffering."""
        buffered, self._buffered = self._buffered, None
        if buffered:
            self.send(b"".join(buffered))

    def send(self, data: Any) -> None:
        """Send a part of the request, or buffer it."""
        if self._buffered is not None:
            self._buffered.append(data)
            return
        super().send(data)


class _PeerPool:
    """Idle connections to one peer; the most recently used is reused first."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._host = host
        self._port = int(port)
        self._idle: deque[_Connection] = deque()

    def get_idle(self) -> _Connection | None:
        """Remove and return an idle connection on which nothing has arrived.

        :return: None when there is no such connection.
        """
        while self._idle:
            try:
                connection = self._idle.pop()
            except IndexError:
                return None
            # Bytes that arrived while it was idle, such as a second copy of the last
            # answer, would be read as the answer to the next request.
            if connection.is_connected:
                return connection
            connection.close()
        return None

    def connect(self, timeout_s: float) -> Result[_Connection, PeerUnreachable]:
        """Open a connection.

        :param timeout_s: longest time to wait for the connection, in seconds.
        """
        connection = _Connection(self._host, self._port, timeout=timeout_s)
        try:
            connection.connect()
        except (urllib3.exceptions.HTTPError, OSError) as error:
            connection.close()
            return Err(PeerUnreachable(str(error)))
        return Ok(connection)

    def put_idle(self, connection: _Connection) -> None:
        """Keep a connection whose exchange is complete for reuse."""
        if connection.sock is None or len(self._idle) >= MAX_IDLE_PER_PEER:
            connection.close()
            return
        self._idle.append(connection)

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            with contextlib.suppress(IndexError):
                self._idle.pop().close()


class ConnectionPools:
    """Connection pools of all peers, by address."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._pools: dict[str, _PeerPool] = {}
        self._stop_signal = StopSignal()

    @property
    def is_stopping(self) -> bool:
        """Whether no call is sent any more, since the process is about to end."""
        return self._stop_signal.is_set

    def end_waits(self) -> None:
        """End all waits for answers, since the process is about to end."""
        self._stop_signal.set()

    def exchange(self, call: OutboundCall) -> Result[Answer, OutboundError]:
        """Send a request and wait for the head of the answer.

        A connection carries one exchange at a time and returns to the pool only if
        the call allows it and its answer was read to the end, so that a late answer is
        never read as that of the next request.

        :return: the answer, or an error; :class:`PeerUnreachable` only when the peer
            received no byte of the request.
        """
        if self.is_stopping:
            return Err(PeerUnreachable("this node is stopping"))
        pool = self._pool_for(call.address)
        connection = pool.get_idle() if call.allows_reuse else None
        if connection is None:
            timeout_s = min(CONNECT_TIMEOUT_S, call.deadline_at - time.monotonic())
            if timeout_s <= 0:
                return Err(PeerUnreachable("no time left to connect"))
            opened = pool.connect(timeout_s)
            if isinstance(opened, Err):
                return opened
            connection = opened.ok_value
        if not call.may_send():
            connection.close()
            return Err(PeerUnreachable("the peer was replaced while connecting"))
        exchanged = _exchange(connection, call, self._stop_signal)
        if isinstance(exchanged, Err):
            connection.close()
            return exchanged
        release = ConnectionRelease(pool, connection, call.allows_reuse)
        return _build_answer(exchanged.ok_value, release)

    def close(self) -> None:
        """Close all idle connections."""
        with self._lock:
            pools = list(self._pools.values())
            self._pools.clear()
        for pool in pools:
            pool.close()

    def _pool_for(self, address: str) -> _PeerPool:
        pool = self._pools.get(address)
        if pool is None:
            with self._lock:
                pool = self._pools.setdefault(address, _PeerPool(address))
        return pool


def _exchange(
    connection: _Connection, call: OutboundCall, stop_signal: StopSignal
) -> Result[HTTPResponse, OutboundError]:
    sock = connection.sock
    if sock is None:
        return Err(PeerUnreachable("connection closed"))
    set_kernel_timeout(sock, call.deadline_at - time.monotonic())
    try:
        _send_request(connection, call)
    except (TimeoutError, BlockingIOError) as error:
        return Err(DeadlinePassed(str(error)))
    except _TRANSPORT_ERRORS as error:
        return _read_early_answer(connection, error)
    waited = _wait_for_answer(connection, call, stop_signal)
    if isinstance(waited, Err):
        return waited
    return _read_answer_head(connection)


def _send_request(connection: _Connection, call: OutboundCall) -> None:
    headers = urllib3.HTTPHeaderDict(call.headers)
    headers.setdefault("User-Agent", SKIP_HEADER)
    headers.setdefault("Accept-Encoding", SKIP_HEADER)
    body: bytes | Iterator[bytes] | None
    if call.body.is_buffered:
        connection.start_buffering()
        body = call.body.content() or None
        if body is None and call.method in ("POST", "PUT", "PATCH"):
            headers["Content-Length"] = "0"
        chunked = False
    else:
        body = call.body.chunks()
        chunked = call.body.length is None
        if not chunked:
            headers["Content-Length"] = str(call.body.length)
    connection.request(
        call.method,
        call.target,
        body=body,
        headers=headers,
        chunked=chunked,
        preload_content=False,
        decode_content=False,
        enforce_content_length=True,
    )
    connection.flush()


def _read_early_answer(
    connection: _Connection, error: BaseException
) -> Result[HTTPResponse, OutboundError]:
    """Read an answer that the peer sent before the request was fully sent."""
    sock = connection.sock
    if sock is None or isinstance(error, EOFError):
        return Err(PeerBrokeOff(str(error)))
    try:
        set_kernel_timeout(sock, EARLY_ANSWER_TIMEOUT_S)
        response = connection.getresponse()
    except _TRANSPORT_ERRORS:
        return Err(PeerBrokeOff(str(error)))
    return Ok(response)


def _wait_for_answer(
    connection: _Connection, call: OutboundCall, stop_signal: StopSignal
) -> Result[None, OutboundError]:
    """Wait until the answer begins, the caller disconnects or the time is over."""
    sock = connection.sock
    if sock is None:
        return Err(PeerBrokeOff("connection closed"))
    poller = select.poll()
    poller.register(sock, select.POLLIN)
    poller.register(stop_signal, select.POLLIN)
    caller_socket = call.caller_connection.socket
    if call.caller_connection.pollable:
        poller.register(caller_socket, select.POLLIN)
    while True:
        time_left_s = call.deadline_at - time.monotonic()
        if time_left_s <= 0:
            return Err(DeadlinePassed("no answer before the deadline"))
        ready = {fd for fd, _ in poller.poll(time_left_s * 1_000)}
        if sock.fileno() in ready:
            return Ok(None)
        if stop_signal.is_set:
            return Err(NodeStopping("this node is stopping"))
        if ready:
            if call.caller_connection.is_closed():
                return Err(CallerLeft("the caller closed its connection"))
            poller.unregister(caller_socket)


def _read_answer_head(connection: _Connection) -> Result[HTTPResponse, OutboundError]:
    try:
        return Ok(connection.getresponse())
    except (TimeoutError, BlockingIOError) as error:
        return Err(DeadlinePassed(str(error)))
    except Exception as error:  # noqa: BLE001
        # The standard library raises many exception types for a malformed head.
        return Err(PeerBrokeOff(f"{type(error).__name__}: {error}"))


def _build_answer(
    response: HTTPResponse, release: ConnectionRelease
) -> Result[Answer, OutboundError]:
    length = response.length_remaining
    chunked = bool(response.chunked)
    bodiless = response.status in _BODILESS_STATUSES or length == 0
    framed = chunked or bodiless or length is not None
    body: bytes | None = None
    chunks: Iterator[bytes] | None = None
    if bodiless:
        body = b""
    elif (
        framed
        and not chunked
        and length is not None
        and length <= MAX_BUFFERED_ANSWER_BYTES
    ):
        try:
            body = response.read(length)
        except _TRANSPORT_ERRORS as error:
            release(False)
            return Err(PeerBrokeOff(f"answer ended early: {error}"))
        if len(body) != length:
            release(False)
            return Err(PeerBrokeOff("answer ended early"))
    else:
        chunks = _stream_body(response, length)
    return Ok(
        Answer(
            status=response.status,
            phrase=response.reason or "",
            headers=tuple(response.headers.iteritems()),
            body=body,
            chunks=chunks,
            length=length,
            framed=framed,
            release=release,
        )
    )


def _stream_body(response: HTTPResponse, length: int | None) -> Iterator[bytes]:
    n_read = 0
    for chunk in response.stream(CHUNK_BYTES, decode_content=False):
        n_read += len(chunk)
        yield chunk
    if length is not None and n_read != length:
        raise EOFError("answer ended early")
