"""HTTP server of the call path, based on cheroot."""

import contextlib
import select
import socket
from dataclasses import dataclass
from typing import Any

from cheroot.server import Gateway, HTTPConnection, HTTPRequest, HTTPServer
from result import Err, Ok, Result

from knapweedspring_core import Counters, Header, Outcome, Reason, Refusal
from knapweedspring_node._calls._call_handler import CallHandler
from knapweedspring_node._calls._errors import AddressInUse
from knapweedspring_node._calls._reply import RefusedReply, RelayedReply, Reply
from knapweedspring_node._calls._request import (
    BUFFERED_BODY_BYTES,
    Body,
    CallerConnection,
    parse_head,
)
from knapweedspring_node._calls._sockets import set_kernel_timeout

__all__ = ["CallServer", "ServerLimits"]

MAX_HEADER_BYTES = 32_768
READ_TIMEOUT_S = 10
LISTEN_BACKLOG = 512
#: How long a worker waits for the next request on its connection while enough other
#: workers are idle.
NEXT_REQUEST_WAIT_S = 0.2
#: Share of the workers that must be idle before a worker waits on its connection, so
#: that other connections do not lack a worker meanwhile.
MIN_IDLE_WORKER_SHARE = 0.25

_REASON_BY_STATUS = {"503": Reason.TOO_MANY_CONNECTIONS, "500": Reason.INTERNAL_ERROR}


class _HttpRequest(HTTPRequest):
    """Adds outcome and reason headers to the answers that the parser makes."""

    def simple_response(self, status: str | int, msg: str = "") -> None:
        """Refuse a request that was not parsed, as ``not-run``.

        :param status: HTTP status code and phrase.
        :param msg: body of the answer.
        """
        self.close_connection = True
        code = str(status)[:3]
        reason = _REASON_BY_STATUS.get(code, Reason.BAD_REQUEST)
        self.server.counters.add("bad_requests", code)
        lines = [
            f"HTTP/1.1 {status}",
            f"Content-Length: {len(msg)}",
            "Content-Type: text/plain",
            "Connection: close",
            f"{Header.OUTCOME}: {Outcome.NOT_RUN}",
            f"{Header.REASON}: {reason}",
            "",
            msg,
        ]
        with contextlib.suppress(OSError):
            self.conn.wfile.write("\r\n".join(lines).encode("latin-1", "replace"))


class _Writer:
    """Writer that can send the head and body of an answer in one system call."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self._buffered: list[bytes] | None = None

    def start_buffering(self) -> None:
        """Buffer the parts of the answer until :meth:`flush`."""
        self._buffered = []

    def flush(self) -> None:
        """Send the buffered parts of the answer and stop buffering."""
        buffered, self._buffered = self._buffered, None
        if buffered:
            self.write(b"".join(buffered))

    def write(self, data: bytes) -> int:
        """Send a part of the answer, or buffer it.

        :return: length of the part, in bytes.
        """
        if self._buffered is not None:
            self._buffered.append(data)
        else:
            self._sock.sendall(data)
        return len(data)

    def close(self) -> None:
        """Do nothing: the connection owns the socket."""


class _CallConnection(HTTPConnection):
    """Connection of a caller; its worker may wait for the caller's next request."""

    RequestHandlerClass = _HttpRequest

    def __init__(self, server: Any, sock: socket.socket, *args: Any) -> None:
        super().__init__(server, sock, *args)
        set_kernel_timeout(sock, READ_TIMEOUT_S)
        self.wfile = _Writer(sock)
        server.open_connections.add(self)

    def communicate(self) -> bool:
        """Serve requests until the connection is idle or ends.

        :return: whether the connection is to be kept open.
        """
        if len(self.server.open_connections) > self.server.limits.n_connections:
            request = self.RequestHandlerClass(self.server, self)
            request.simple_response("503 Service Unavailable", "too many connections")
            return False
        while super().communicate():
            if not self._wait_for_next_request():
                return True
        return False

    def close(self) -> None:
        """Close the connection."""
        self.server.open_connections.discard(self)
        super().close()

    def _wait_for_next_request(self) -> bool:
        """Wait briefly for the next request if enough other workers are idle.

        :return: whether a next request has arrived.
        """
        if self.rfile.has_data():
            return True
        server = self.server
        n_idle_min = server.limits.n_workers * MIN_IDLE_WORKER_SHARE
        if server.draining or server.requests.idle < n_idle_min:
            return False
        with contextlib.suppress(OSError, ValueError):
            poller = select.poll()
            poller.register(self.socket, select.POLLIN)
            return bool(poller.poll(NEXT_REQUEST_WAIT_S * 1_000))
        return False


class _CallGateway(Gateway):
    """Handles one HTTP request as a call and writes its reply."""

    def respond(self) -> None:
        """Handle the request, which counts as active until its reply is written."""
        active = self.req.server.active_requests
        active.add(self)
        try:
            self._respond()
        finally:
            active.discard(self)

    def _respond(self) -> None:
        request = self.req
        if request.server.draining:
            request.close_connection = True
        caller_connection = CallerConnection(request.conn.socket)
        parsed = parse_head(
            request.method,
            request.uri,
            request.inheaders,
            self._read_body,
            caller_connection,
        )
        handler: CallHandler = request.server.handler
        if isinstance(parsed, Err):
            detail = parsed.err_value.detail
            refusal = Refusal(Outcome.NOT_RUN, Reason.BAD_REQUEST, 0, detail)
            request.close_connection = True
            self._write(RefusedReply(refusal), to_peer=False)
            return
        call = parsed.ok_value
        handled = handler.handle(call)
        if not call.body.is_buffered:
            # An unread rest of the body must not be parsed as the next request.
            request.close_connection = True
        self._write(handled.reply, handled.to_peer)

    def _read_body(self, length: int | None) -> Body:
        rfile = self.req.rfile
        if length == 0:
            return Body(b"")
        if length is None:
            prefix = rfile.read(BUFFERED_BODY_BYTES + 1)
            if len(prefix) <= BUFFERED_BODY_BYTES:
                return Body(prefix)
            return Body(prefix, rfile, None)
        if length <= BUFFERED_BODY_BYTES:
            body = rfile.read(length)
            if len(body) < length:
                raise ConnectionAbortedError("the caller's body ended early")
            return Body(body)
        return Body(b"", rfile, length)

    def _write(self, reply: Reply, to_peer: bool) -> None:
        request = self.req
        headers = _reply_headers(reply, to_peer)
        if isinstance(reply, RefusedReply):
            self._write_refusal(reply, headers)
            return
        request.status = f"{reply.status} {reply.phrase}".encode("latin-1")
        is_head = request.method == b"HEAD"
        for name, value in reply.headers:
            if name.lower() != "content-length" or is_head:
                request.outheaders.append((name.encode(), value.encode("latin-1")))
        request.outheaders.extend(headers)
        complete = False
        try:
            self._write_body(reply, is_head)
            complete = True
        finally:
            # A truncated body ends the connection without its last chunk, so that
            # the caller can distinguish it from a complete one.
            request.close_connection = request.close_connection or not complete
            reply.close(complete)

    def _write_body(self, reply: RelayedReply, is_head: bool) -> None:
        request = self.req
        if is_head or reply.status in (204, 304):
            request.ensure_headers_sent()
            return
        if reply.body is not None:
            self._write_buffered(reply.body)
            return
        if reply.length is not None:
            length = str(reply.length).encode()
            request.outheaders.append((b"Content-Length", length))
        request.ensure_headers_sent()
        for chunk in reply.chunks or ():
            request.write(chunk)

    def _write_buffered(self, body: bytes) -> None:
        request = self.req
        request.outheaders.append((b"Content-Length", str(len(body)).encode()))
        request.conn.wfile.start_buffering()
        request.ensure_headers_sent()
        if body and request.method != b"HEAD":
            request.write(body)
        request.conn.wfile.flush()

    def _write_refusal(
        self, reply: RefusedReply, headers: list[tuple[bytes, bytes]]
    ) -> None:
        request = self.req
        refusal = reply.refusal
        status = 201 if _is_issued_ticket(request, reply) else refusal.status
        body = (refusal.detail or refusal.reason).encode("utf-8", "replace") + b"\n"
        request.status = f"{status} {_reason_phrase(status)}".encode()
        request.outheaders.extend(headers)
        request.outheaders.append((b"Content-Type", b"text/plain; charset=utf-8"))
        self._write_buffered(body)


def _is_issued_ticket(request: Any, reply: RefusedReply) -> bool:
    return bool(reply.ticket) and request.uri.startswith(b"/tickets/")


def _reason_phrase(status: int) -> str:
    return _REASON_PHRASES.get(status, "Refused")


_REASON_PHRASES = {
    201: "Created",
    400: "Bad Request",
    404: "Not Found",
    409: "Conflict",
    410: "Gone",
    428: "Precondition Required",
    429: "Too Many Requests",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


def _reply_headers(reply: Reply, to_peer: bool) -> list[tuple[bytes, bytes]]:
    pairs: list[tuple[Header, str]] = []
    if isinstance(reply, RefusedReply):
        refusal = reply.refusal
        pairs.append((Header.OUTCOME, refusal.outcome.value))
        pairs.append((Header.REASON, refusal.reason.value))
        if refusal.retry_after_ms:
            pairs.append((Header.RETRY_AFTER_MS, str(refusal.retry_after_ms)))
        if reply.ticket:
            pairs.append((Header.TICKET, reply.ticket))
    if reply.request_id:
        pairs.append((Header.REQUEST_ID, reply.request_id))
    if to_peer:
        pairs.append((Header.BUDGET_LEFT, str(reply.n_tokens_left)))
        pairs.append((Header.GATE_EPOCH, str(reply.gate_epoch)))
        if reply.load:
            pairs.append((Header.LOAD, reply.load))
    encoded = [(name.value.encode(), text.encode("latin-1")) for name, text in pairs]
    if isinstance(reply, RefusedReply) and reply.refusal.retry_after_ms:
        seconds = -(-reply.refusal.retry_after_ms // 1_000)
        encoded.append((b"Retry-After", str(seconds).encode()))
    return encoded


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """Bounds of the call server."""

    #: Worker threads; each call occupies one until its reply is written.
    n_workers: int
    #: Number of connections that may be open at the same time; the server refuses
    #: requests on further ones with status 503.
    n_connections: int


class CallServer(HTTPServer):
    """HTTP server for calls.

    Call :meth:`listen`, then :meth:`set_handler`, then ``serve``.

    :param bind_address: ``ip:port``; port 0 selects a free port.
    :param limits: worker threads and open connections.
    """

    ConnectionClass = _CallConnection
    max_request_header_size = MAX_HEADER_BYTES
    timeout = READ_TIMEOUT_S
    request_queue_size = LISTEN_BACKLOG

    def __init__(
        self, bind_address: str, counters: Counters, limits: ServerLimits
    ) -> None:
        host, _, port = bind_address.rpartition(":")
        n_workers = limits.n_workers
        super().__init__(
            (host, int(port)), _CallGateway, minthreads=n_workers, maxthreads=n_workers
        )
        self.counters = counters
        self.limits = limits
        self.keep_alive_conn_limit = limits.n_connections
        self.server_name = "knapweedspring"
        self.open_connections: set[_CallConnection] = set()
        self.active_requests: set[_CallGateway] = set()
        self._handler: CallHandler | None = None
        self._draining = False

    @property
    def handler(self) -> CallHandler | None:
        """Handler of the calls, None before :meth:`set_handler`."""
        return self._handler

    @property
    def draining(self) -> bool:
        """Whether each connection is closed after its next answer."""
        return self._draining

    @property
    def n_busy(self) -> int:
        """Number of requests whose answer is not complete."""
        return len(self.active_requests)

    def listen(self) -> Result[str, AddressInUse]:
        """Bind the address; requests wait until ``serve`` is called.

        :return: the bound ``ip:port``.
        """
        try:
            self.prepare()
        except OSError as error:
            return Err(AddressInUse(f"{self.bind_addr}: {error}"))
        # cheroot does not set this for port 0. Without it, recently closed
        # connections prevent a replacement of this node from binding the address.
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        host, port = self.bind_addr[:2]
        return Ok(f"{host}:{port}")

    def set_handler(self, handler: CallHandler) -> None:
        """Set the handler of the calls."""
        self._handler = handler

    def begin_drain(self) -> None:
        """Close each connection after its next answer."""
        self._draining = True
