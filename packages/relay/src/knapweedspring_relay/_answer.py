"""Answer to an outgoing call, whose body is read while it arrives."""

import asyncio
from collections import deque
from collections.abc import Callable

from knapweedspring_relay._connection_use import ConnectionUse
from knapweedspring_relay._errors import BadAnswer, ConnectionBroke
from knapweedspring_relay._messages import end_to_end_headers, header_lines
from knapweedspring_relay._numbers import parse_decimal
from knapweedspring_relay._requests import Header

__all__ = ["Answer"]

_NO_NAMES: frozenset[bytes] = frozenset()


def _do_nothing() -> None:
    """Stand for a callback that is not set."""


class Answer:
    """An answer whose head has arrived; its body may still be arriving.

    The connection that receives the answer appends its body; the caller reads it.

    :param status: HTTP status code.
    :param headers: all headers; names in lower case.
    :param loop: event loop that runs the connection and the reader of the body.
    :param encoded_headers: header lines to pass on, when another node has encoded them;
        None to encode them from the headers.
    :param length: length of the body in bytes, when another node has determined it;
        None to read it from the headers.
    """

    def __init__(
        self,
        status: int,
        headers: list[Header],
        loop: asyncio.AbstractEventLoop,
        encoded_headers: bytes | None = None,
        length: int | None = None,
    ) -> None:
        self._status = status
        self._headers = headers
        self._by_name = dict(headers)
        self._encoded_headers = encoded_headers
        self._length = length
        self._pieces: deque[bytes] = deque()
        self._n_unread_bytes = 0
        self._complete = False
        self._is_abandoned = False
        self._use: ConnectionUse | None = None
        self._reader_wait_s = 0.0
        #: Time since which the rest of the body waits for its reader; None when it
        #: does not wait.
        self._reader_awaited_at: float | None = None
        self._error: Exception | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._on_read: Callable[[int], None] = lambda _: None
        self._on_abandon: Callable[[], None] = _do_nothing
        self._on_end: Callable[[], None] = _do_nothing
        self._on_broken: Callable[[], None] = _do_nothing
        self._loop = loop

    @property
    def status(self) -> int:
        """Status code of the answer."""
        return self._status

    @property
    def encoded_headers(self) -> bytes:
        """Encoded header lines to pass on, without the connection headers."""
        if self._encoded_headers is None:
            self._encoded_headers = header_lines(
                end_to_end_headers(self._headers, _NO_NAMES)
            )
        return self._encoded_headers

    @property
    def is_chunked(self) -> bool:
        """Whether the body is sent in chunks."""
        return self.header(b"transfer-encoding") is not None

    @property
    def is_complete(self) -> bool:
        """Whether the whole body has arrived."""
        return self._complete

    @property
    def has_ended(self) -> bool:
        """Whether the body is complete or failed, so nothing more of it will arrive."""
        return self._complete or self._error is not None

    @property
    def is_broken_off(self) -> bool:
        """Whether the body ended early, other than by :meth:`abandon`."""
        return self._error is not None and not self._is_abandoned

    @property
    def n_unread_bytes(self) -> int:
        """Bytes of the body that have arrived and have not been read."""
        return self._n_unread_bytes

    @property
    def declared_length(self) -> int | None:
        """Length of the body in bytes as declared by the sender; None if undeclared."""
        if self._length is not None:
            return self._length
        return parse_decimal(self._by_name.get(b"content-length"))

    @property
    def use(self) -> ConnectionUse | None:
        """Use of the connection that received the answer; None when unknown."""
        return self._use

    def set_use(self, use: ConnectionUse) -> None:
        """Set the use of the connection that receives the answer."""
        self._use = use

    def begin_reader_wait(self, now: float) -> None:
        """Record that the rest of the body is not received until some of it is read.

        :param now: current time on the monotonic clock, in seconds.
        """
        if self._reader_awaited_at is None:
            self._reader_awaited_at = now

    def end_reader_wait(self, now: float) -> None:
        """Record that the body is received again.

        :param now: current time on the monotonic clock, in seconds.
        """
        self._reader_wait_s = self.reader_wait_s(now)
        self._reader_awaited_at = None

    def reader_wait_s(self, now: float) -> float:
        """Return for how long the upstream has waited until the body was read.

        :param now: current time on the monotonic clock, in seconds.
        """
        if self._reader_awaited_at is None:
            return self._reader_wait_s
        return self._reader_wait_s + now - self._reader_awaited_at

    def header(self, name: bytes) -> bytes | None:
        """Return the value of a header; None when it is absent.

        :param name: name in lower case.
        """
        return self._by_name.get(name)

    def complete_body(self) -> bytes:
        """Return the body of a complete answer."""
        assert self._complete
        return b"".join(self._pieces)

    async def read(self) -> bytes:
        """Wait for the next piece of the body; return it, or empty bytes at the end.

        :raises ConnectionBroke: when the body is truncated.
        """
        while not self._pieces:
            if self._error is not None:
                raise self._error
            if self._complete:
                return b""
            self._waiter = self._loop.create_future()
            await self._waiter
        piece = self._pieces.popleft()
        self._n_unread_bytes -= len(piece)
        self._on_read(len(piece))
        return piece

    async def read_all(self, max_bytes: int) -> bytes:
        """Read the rest of the body until its end.

        :param max_bytes: limit on the bytes read; a longer body is abandoned.
        :raises ConnectionBroke: when the body is truncated.
        :raises BadAnswer: when the body exceeds the limit.
        """
        pieces: list[bytes] = []
        n_bytes = 0
        while piece := await self.read():
            n_bytes += len(piece)
            if n_bytes > max_bytes:
                self.abandon()
                raise BadAnswer(f"the body exceeds {max_bytes} bytes")
            pieces.append(piece)
        return b"".join(pieces)

    def on_read(self, callback: Callable[[int], None]) -> None:
        """Set the function that is called with the size of each piece read."""
        self._on_read = callback

    def on_abandon(self, callback: Callable[[], None]) -> None:
        """Set the function that is called when an incomplete body is abandoned."""
        self._on_abandon = callback

    def on_end(self, callback: Callable[[], None]) -> None:
        """Set the function that is called when the body is complete or failed."""
        self._on_end = callback

    def on_broken(self, callback: Callable[[], None]) -> None:
        """Set the function that is called when the body fails or is abandoned.

        Whoever passes the body on may be waiting for its receiver meanwhile.
        """
        self._on_broken = callback

    def abandon(self) -> None:
        """Discard the rest of an incomplete body and stop receiving it."""
        if not self._complete:
            self._is_abandoned = True
            self._on_abandon()
            self.fail(ConnectionBroke("the rest of the answer was discarded"))
            self._pieces.clear()
            self._n_unread_bytes = 0

    def add(self, piece: bytes) -> None:
        """Append a piece of the body."""
        self._pieces.append(piece)
        self._n_unread_bytes += len(piece)
        self._wake()

    def complete(self) -> None:
        """Mark the body as complete."""
        self._complete = True
        self._wake()
        self._end()

    def fail(self, error: Exception) -> None:
        """Mark an incomplete body as failed; reads raise the error."""
        if not self._complete and self._error is None:
            self._error = error
            self._wake()
            self._end()

    def _end(self) -> None:
        # Dropped, since a callback that refers to the answer would keep its memory
        # until the garbage collector runs.
        on_end, self._on_end = self._on_end, _do_nothing
        on_broken, self._on_broken = self._on_broken, _do_nothing
        self._on_abandon = _do_nothing
        on_end()
        if not self._complete:
            on_broken()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
