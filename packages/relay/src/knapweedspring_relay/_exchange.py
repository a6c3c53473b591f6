"""One request of a caller, and the means to answer it."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Iterable
from typing import Any

from mypy_extensions import mypyc_attr

from knapweedspring_relay._configuration import CallLimits
from knapweedspring_relay._messages import encode_answer_head, header_lines
from knapweedspring_relay._requests import Header, Request

__all__ = ["AnswerConnection", "Exchange", "RequestHandler"]

#: Limits on the requests of pages, such as readiness, metrics and heartbeats.
PAGE_LIMITS = CallLimits(body_bytes=1_048_576)


class AnswerConnection(ABC):
    """Connection of a caller to which answers are written."""

    @property
    @abstractmethod
    def closes_after_answer(self) -> bool:
        """Whether the next answer ends the connection: no further request was read."""

    @abstractmethod
    def write(self, data: bytes) -> None:
        """Write bytes unless the connection is closed."""

    @abstractmethod
    def hold_stream(self) -> None:
        """Hold memory for an answer that is passed on while it arrives.

        The connection is aborted when memory is short.
        """

    @abstractmethod
    async def wait_writable(self) -> None:
        """Wait until the write buffer has room or the connection closes."""

    @abstractmethod
    def close_when_written(self) -> None:
        """Close the connection once no request is being answered on it."""

    @abstractmethod
    def abort(self) -> None:
        """Abort the connection."""

    @abstractmethod
    def abort_if_unread(self) -> None:
        """Abort the connection if the caller does not read what was written."""


class Exchange:
    """One request and the means to send its answer.

    :param connection: the connection that received the request.
    :param request: the request.
    """

    def __init__(self, connection: AnswerConnection, request: Request) -> None:
        self._connection = connection
        self._request = request
        self._head_sent = False
        self._chunked = False
        self._body_holder: asyncio.Future[Any] | None = None

    @property
    def request(self) -> Request:
        """The request."""
        return self._request

    @property
    def head_sent(self) -> bool:
        """Whether the head of the answer has been sent."""
        return self._head_sent

    @property
    def body_holder(self) -> "asyncio.Future[Any] | None":
        """What still holds the body after the exchange; None when nothing does."""
        return self._body_holder

    def hold_body_until(self, holder: "asyncio.Future[Any]") -> None:
        """Count the body as held until a call that goes on without its caller ends.

        :param holder: the call.
        """
        self._body_holder = holder

    def send_answer(
        self, status: int, headers: Iterable[Header], body: bytes = b""
    ) -> None:
        """Send a complete answer.

        :param status: status code.
        :param headers: headers without the connection headers.
        :param body: the body.
        """
        self.send_encoded_answer(status, header_lines(headers), body)

    def send_encoded_answer(self, status: int, lines: bytes, body: bytes) -> None:
        """Send a complete answer whose header lines are encoded already.

        :param status: status code.
        :param lines: encoded header lines without the connection headers.
        :param body: the body.
        """
        self._head_sent = True
        keep_alive = self._keep_alive()
        head = encode_answer_head(status, lines, len(body), keep_alive)
        if self._request.method == b"HEAD":
            body = b""
        self._connection.write(head + body)
        if not keep_alive:
            self._connection.close_when_written()

    def start_streamed_answer(
        self, status: int, lines: bytes, length: int | None
    ) -> None:
        """Send the head of an answer whose body is streamed.

        :param status: status code.
        :param lines: encoded header lines without the connection headers.
        :param length: length of the body in bytes; None sends it in chunks.
        """
        self._head_sent = True
        self._chunked = length is None
        self._connection.hold_stream()
        head = encode_answer_head(status, lines, length, self._keep_alive())
        self._connection.write(head)

    async def send_body_piece(self, piece: bytes) -> None:
        """Send a piece of the body, and wait while the write buffer is full."""
        if not piece:
            return
        if self._chunked:
            piece = b"%x\r\n%b\r\n" % (len(piece), piece)
        self._connection.write(piece)
        await self._connection.wait_writable()

    def finish_streamed_answer(self) -> None:
        """End a streamed answer."""
        if self._chunked:
            self._connection.write(b"0\r\n\r\n")
        if not self._keep_alive():
            self._connection.close_when_written()

    def abort(self) -> None:
        """Abort the connection, so that the answer does not look complete."""
        self._connection.abort()

    def abort_if_unread(self) -> None:
        """Abort the connection if the caller keeps the answer from being sent."""
        self._connection.abort_if_unread()

    def _keep_alive(self) -> bool:
        return self._request.keep_alive and not self._connection.closes_after_answer


@mypyc_attr(allow_interpreted_subclasses=True)
class RequestHandler(ABC):
    """Handles the requests that a listener receives."""

    @abstractmethod
    async def handle(self, exchange: Exchange) -> None:
        """Answer a request; cancelled when the caller closes the connection.

        :param exchange: the request and the means to answer it.
        """

    @property
    def limits(self) -> CallLimits:
        """Limits on requests; the default is for pages, which take short bodies."""
        return PAGE_LIMITS
