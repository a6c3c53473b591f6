"""Handling of one service request by an upstream stand-in."""

import contextlib
import time
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any

import msgspec

from knapweedspring_core import Header
from knapweedspring_standins._answer import AnswerBody
from knapweedspring_standins._answer_faults import encode_refusal, send_endless
from knapweedspring_standins._child_calls import ChildRequest, ChildResult
from knapweedspring_standins._content import bundle_chunks, bundle_digest
from knapweedspring_standins._journal import EntryKind, JournalEntry
from knapweedspring_standins._sockets import is_disconnected, wait_while_connected
from knapweedspring_standins._upstream_settings import CallRule, EndlessPart

if TYPE_CHECKING:
    from knapweedspring_standins._upstream import Upstream

__all__ = ["WorkRequest", "handle_request"]

#: Seconds left for a request without a deadline header.
DEFAULT_DEADLINE_S = 3_600.0


@dataclass(frozen=True, slots=True)
class WorkRequest:
    """Service request whose body was read."""

    #: Request object of the HTTP server.
    http: Any
    #: Path as received.
    path: str
    #: SHA-256 of the body, in hexadecimal.
    body_sha256: str

    def header(self, name: str) -> str:
        """Return the value of a header; empty when it is absent."""
        value = self.http.inheaders.get(name.encode(), b"")
        return value.decode("latin-1")

    @property
    def time_left_s(self) -> float:
        """Time until the request's deadline when it was received, in seconds."""
        value = self.header(Header.DEADLINE_MS.value)
        return float(value) / 1_000 if value else DEFAULT_DEADLINE_S


def handle_request(upstream: "Upstream", request: WorkRequest) -> None:
    """Queue, run and answer one request, and write its events to the journal.

    :param upstream: upstream that received the request.
    :param request: request whose body was read.
    """
    _RequestHandler(upstream, request).run()


class _RequestHandler:
    """One attempt at a service request."""

    def __init__(self, upstream: "Upstream", request: WorkRequest) -> None:
        self._upstream = upstream
        self._request = request
        self._received_at = time.monotonic()
        self._deadline_at = self._received_at + request.time_left_s
        self._started_at = 0.0
        self._results: list[ChildResult] = []
        nonce = request.header("X-Nonce")
        self._entry = JournalEntry(
            kind=EntryKind.RECEIVED,
            time_s=self._received_at,
            service=upstream.settings.service,
            upstream=upstream.address,
            attempt=upstream.next_attempt_id(),
            method=request.http.method.decode("latin-1"),
            path=request.path,
            request_id=request.header(Header.REQUEST_ID.value),
            ticket=request.header(Header.TICKET.value),
            context=request.header(Header.CONTEXT.value),
            nonce=nonce,
            chain=request.header("X-Chain") or nonce,
            parent_attempt=request.header("X-Parent-Attempt"),
        )

    def run(self) -> None:
        """Handle the request from its receipt until it is answered or abandoned."""
        upstream = self._upstream
        upstream.journal.append(self._entry)
        upstream.wait_while_frozen()
        self._send_late_copy()
        if upstream.is_shed():
            self._shed()
            return
        if not upstream.slots.acquire(self._is_abandoned):
            self._abandon()
            return
        try:
            self._started_at = time.monotonic()
            self._record(EntryKind.STARTED)
            completed = self._occupy_slot() and self._make_child_calls()
        finally:
            upstream.slots.release()
        if completed:
            self._finish()
        else:
            self._abandon()

    def _send_late_copy(self) -> None:
        connection = self._request.http.conn
        copy, connection.late_copy = connection.late_copy, b""
        if copy:
            # The caller may have closed the connection; the handler notices it later.
            with contextlib.suppress(OSError):
                self._socket.sendall(copy)

    def _shed(self) -> None:
        body = b'{"error": "shed"}'
        if self._upstream.faults.copies_refusals:
            self._request.http.conn.late_copy = encode_refusal(self._entry.nonce, body)
        self._record(EntryKind.ABANDONED, status=503, detail="shed")
        self._answer(b"503 Service Unavailable", body)

    def _is_abandoned(self) -> bool:
        return time.monotonic() >= self._deadline_at or is_disconnected(self._socket)

    @property
    def _socket(self) -> Any:
        return self._request.http.conn.socket

    def _occupy_slot(self) -> bool:
        """Sleep for the service time; return False if cancelled or out of time."""
        service_s = self._upstream.service_time_s()
        remaining_s = self._deadline_at - time.monotonic()
        connected = wait_while_connected(self._socket, min(service_s, remaining_s))
        return connected and service_s <= remaining_s

    def _make_child_calls(self) -> bool:
        """Make the child calls; return False if cancelled or out of time."""
        upstream = self._upstream
        path = self._own_path()
        rules = [
            rule
            for rule in upstream.settings.calls
            if path.startswith(rule.path_prefix)
        ]
        if not rules or upstream.children is None:
            return True
        indexed = list(enumerate(rules))
        groups = [indexed] if upstream.settings.concurrent else [[r] for r in indexed]
        for group in groups:
            results = self._call_group(group)
            if any(result.parent_disconnected for result in results):
                return False
            self._results += results
            if time.monotonic() >= self._deadline_at:
                return False
            if not all(result.ok for result in results):
                # The answer is an error, so the remaining calls are not made.
                return True
        return True

    def _call_group(self, group: list[tuple[int, CallRule]]) -> list[ChildResult]:
        children = self._upstream.children
        assert children is not None
        requests = [self._child_request(index, rule) for index, rule in group]
        results = children.call_all(requests, self._socket, self._deadline_at)
        for _ in range(self._upstream.settings.n_child_repeats):
            failed = [i for i, result in enumerate(results) if not result.ok]
            if not failed or any(result.parent_disconnected for result in results):
                break
            repeated = children.call_all(
                [requests[i] for i in failed], self._socket, self._deadline_at
            )
            for i, result in zip(failed, repeated, strict=True):
                results[i] = result
        return results

    def _child_request(self, index: int, rule: CallRule) -> ChildRequest:
        return ChildRequest(
            service=rule.service,
            path=rule.path,
            context=self._entry.context,
            nonce=f"{self._entry.nonce}/{index}",
            chain=self._entry.chain,
            parent_attempt=self._entry.attempt,
        )

    def _own_path(self) -> str:
        """Path below the service's name, which the received path may omit."""
        service = self._upstream.settings.service
        return self._request.path.removeprefix(f"/{service}") or "/"

    def _abandon(self) -> None:
        self._request.http.close_connection = True
        if is_disconnected(self._socket):
            # The caller disconnected; the flag keeps the server from sending headers.
            self._request.http.sent_headers = True
            self._record(EntryKind.ABANDONED, detail="cancelled")
            return
        self._record(EntryKind.ABANDONED, status=504, detail="deadline")
        self._answer(b"504 Gateway Timeout", b'{"error": "deadline"}')

    def _finish(self) -> None:
        failed = tuple(
            f"{result.status} {result.outcome} {result.reason}"
            for result in self._results
            if not result.ok
        )
        n_crossed = sum(result.crossed for result in self._results)
        if failed:
            detail = f"child call failed: {failed[0]}"
            if n_crossed:
                detail = f"crossed child answer; {detail}"
            self._record(EntryKind.FINISHED, status=502, detail=detail)
            body = self._body(failed, n_crossed)
            self._answer(b"502 Bad Gateway", body)
            return
        endless = self._upstream.faults.endless
        n_bytes = self._request.header("X-Echo-Bytes")
        if endless is not None:
            self._send_endless(endless)
        elif n_bytes:
            self._answer_bundle(int(n_bytes))
        else:
            self._answer(b"200 OK", self._body(failed, n_crossed))
        # The journal entry follows the last byte, so that a truncated answer
        # never counts as finished.
        self._record(EntryKind.FINISHED, status=200)

    def _body(self, failed: tuple[str, ...], n_crossed: int) -> bytes:
        entry = self._entry
        answer = AnswerBody(
            service=entry.service,
            attempt=entry.attempt,
            nonce=entry.nonce,
            request_id=entry.request_id,
            body_sha256=self._request.body_sha256,
            failed_calls=failed,
            n_crossed=n_crossed,
        )
        return msgspec.json.encode(answer)

    def _answer(self, status: bytes, body: bytes) -> None:
        headers = [(b"Content-Type", b"application/json")]
        self._send(status, headers, len(body), iter([body]))

    def _answer_bundle(self, n_bytes: int) -> None:
        nonce = self._entry.nonce
        digest = bundle_digest(nonce, n_bytes)
        headers = [
            (b"Content-Type", b"application/octet-stream"),
            (b"X-Content-Sha256", digest.encode()),
        ]
        self._send(b"200 OK", headers, n_bytes, bundle_chunks(nonce, n_bytes))

    def _send(
        self,
        status: bytes,
        headers: list[tuple[bytes, bytes]],
        n_bytes: int,
        chunks: Any,
    ) -> None:
        http = self._request.http
        faults = self._upstream.faults
        headers = [
            *headers,
            (b"X-Nonce", self._entry.nonce.encode("latin-1")),
            (b"X-Attempt", self._entry.attempt.encode()),
        ]
        http.status = status
        if faults.unframed:
            # The server adds chunked encoding of its own unless the answer is HTTP/1.0
            # with Connection: close.
            http.response_protocol = "HTTP/1.0"
            http.close_connection = True
        else:
            headers.append((b"Content-Length", str(n_bytes).encode()))
        if faults.truncate_after is not None:
            http.close_connection = True
        http.outheaders = headers
        http.ensure_headers_sent()
        self._send_chunks(http, chunks, faults.truncate_after)

    def _send_endless(self, part: EndlessPart) -> None:
        http = self._request.http
        # The flags keep the server from sending a head and from reading on.
        http.sent_headers = http.close_connection = True
        send_endless(self._socket, part)

    def _send_chunks(self, http: Any, chunks: Any, limit: int | None) -> None:
        for chunk in chunks:
            if limit is not None and len(chunk) >= limit:
                http.write(chunk[:limit])
                return
            http.write(chunk)
            if limit is not None:
                limit -= len(chunk)

    def _record(self, kind: EntryKind, status: int = 0, detail: str = "") -> None:
        now = time.monotonic()
        work_s = now - self._started_at if self._started_at else 0.0
        self._upstream.journal.append(
            replace(
                self._entry,
                kind=kind,
                time_s=now,
                status=status,
                work_s=work_s,
                detail=detail,
            )
        )
