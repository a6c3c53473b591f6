"""Child calls of an upstream stand-in, sent through the node on its VM.

The calls run in the thread of the parent request, which also polls the parent's
connection: when the parent's caller disconnects, the child connections are
closed, which cancels the child calls.
"""

import hashlib
import socket
import threading
import time
from collections import deque
from dataclasses import dataclass

import msgspec
import urllib3
from urllib3.connection import HTTPConnection

from knapweedspring_core import Header
from knapweedspring_standins._answer import AnswerBody
from knapweedspring_standins._sockets import wait_first_readable

__all__ = ["ChildCaller", "ChildRequest", "ChildResult"]

READ_TIMEOUT_S = 60.0


@dataclass(frozen=True, slots=True)
class ChildRequest:
    """One child call to send."""

    #: Service that is called.
    service: str
    #: Path below the service.
    path: str
    #: Context token of the parent request, copied unchanged.
    context: str
    #: Nonce of the child call.
    nonce: str
    #: Identifier of the caller's sends that the mesh treats as one root request, from
    #: which this child call descends; see :attr:`SendRecord.chain`.
    chain: str
    #: Id of the parent's attempt that makes the call.
    parent_attempt: str


@dataclass(frozen=True, slots=True)
class ChildResult:
    """Outcome of one child call."""

    #: HTTP status of the answer; 0 without a complete answer.
    status: int
    #: Outcome header of a refusal by the overload control layer.
    outcome: str = ""
    #: Reason header of such a refusal, or ``deadline`` when the wait for the
    #: answer timed out.
    reason: str = ""
    #: Whether the answer belongs to a request other than this child call.
    crossed: bool = False
    #: Whether the parent's caller disconnected before the answer arrived.
    parent_disconnected: bool = False

    @property
    def ok(self) -> bool:
        """Whether the child call succeeded."""
        return self.status == 200 and not self.crossed


class ChildCaller:
    """Makes child calls over pooled keep-alive connections.

    :param address: call address of the node on the VM.
    """

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._host = host
        self._port = int(port)
        self._idle: deque[HTTPConnection] = deque()
        self._lock = threading.Lock()

    def call_all(
        self, requests: list[ChildRequest], peer: socket.socket, deadline_at: float
    ) -> list[ChildResult]:
        """Make child calls concurrently and wait for their answers.

        The wait also ends when the parent's caller disconnects.

        :param requests: child calls to make.
        :param peer: connection of the parent's caller.
        :param deadline_at: monotonic time in seconds at which the wait ends; the wait
            for the next answer also ends after ``READ_TIMEOUT_S``.
        :return: results in the order of the requests.
        """
        results: dict[int, ChildResult] = {}
        running: dict[int, HTTPConnection] = {}
        for index, request in enumerate(requests):
            connection = self._send(request)
            if connection is None:
                results[index] = ChildResult(0)
            else:
                running[index] = connection
        while running:
            index, result = self._next_result(requests, running, peer, deadline_at)
            if result.parent_disconnected or index < 0:
                for unanswered in running:
                    results[unanswered] = result
                break
            results[index] = result
            del running[index]
        for connection in running.values():
            connection.close()
        return [results[index] for index in range(len(requests))]

    def _next_result(
        self,
        requests: list[ChildRequest],
        running: dict[int, HTTPConnection],
        peer: socket.socket,
        deadline_at: float,
    ) -> tuple[int, ChildResult]:
        by_socket = {c.sock: i for i, c in running.items() if c.sock is not None}
        remaining_s = deadline_at - time.monotonic()
        sock = wait_first_readable(
            list(by_socket), peer, min(remaining_s, READ_TIMEOUT_S)
        )
        if sock is None:
            return -1, ChildResult(0, reason="deadline")
        if sock is peer:
            return -1, ChildResult(0, parent_disconnected=True)
        index = by_socket[sock]
        return index, self._receive(running[index], requests[index])

    def _send(self, request: ChildRequest) -> HTTPConnection | None:
        connection = self._acquire_connection()
        headers = {
            Header.CONTEXT.value: request.context,
            "X-Nonce": request.nonce,
            "X-Chain": request.chain,
            "X-Parent-Attempt": request.parent_attempt,
        }
        if not request.context:
            del headers[Header.CONTEXT.value]
        try:
            connection.request(
                "GET",
                f"/{request.service}{request.path}",
                headers=headers,
                preload_content=False,
            )
        except (OSError, urllib3.exceptions.HTTPError):
            connection.close()
            return None
        return connection

    def _receive(
        self, connection: HTTPConnection, request: ChildRequest
    ) -> ChildResult:
        try:
            response = connection.getresponse()
            body = response.read()
        except (OSError, urllib3.exceptions.HTTPError):
            connection.close()
            return ChildResult(0)
        headers = response.headers
        keep_alive = headers.get("Connection", "").lower() != "close"
        if keep_alive and connection.sock is not None:
            self._release_connection(connection)
        else:
            connection.close()
        outcome = headers.get(Header.OUTCOME.value, "")
        answered_nonce = headers.get("X-Nonce", request.nonce)
        succeeded = response.status == 200 and not outcome
        crossed = answered_nonce != request.nonce or (
            succeeded and not _answers_request(body, request)
        )
        return ChildResult(
            status=response.status,
            outcome=outcome,
            reason=headers.get(Header.REASON.value, ""),
            crossed=crossed,
        )

    def _acquire_connection(self) -> HTTPConnection:
        with self._lock:
            while self._idle:
                connection = self._idle.pop()
                if connection.is_connected:
                    return connection
                connection.close()
        connection = HTTPConnection(self._host, self._port, timeout=READ_TIMEOUT_S)
        connection.socket_options = [(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)]
        return connection

    def _release_connection(self, connection: HTTPConnection) -> None:
        with self._lock:
            self._idle.append(connection)


def _answers_request(body: bytes, request: ChildRequest) -> bool:
    try:
        answer = msgspec.json.decode(body, type=AnswerBody)
    except msgspec.DecodeError:
        return False
    empty = hashlib.sha256(b"").hexdigest()
    return answer.nonce == request.nonce and answer.body_sha256 == empty
