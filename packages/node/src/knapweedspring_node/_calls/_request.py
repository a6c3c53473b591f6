"""A caller's request: its parsed head, its body and the caller's connection."""

import hashlib
import select
import socket
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Protocol

from result import Err, Ok, Result

from knapweedspring_core import Header
from knapweedspring_node._calls._errors import BadRequest

__all__ = [
    "Body",
    "CallRequest",
    "CallerConnection",
    "DetachedCallerConnection",
    "Readable",
    "parse_head",
]

#: Bodies up to this size are buffered, so that an attempt can be repeated.
BUFFERED_BODY_BYTES = 65_536
CHUNK_BYTES = 65_536
MAX_DEADLINE_MS = 600_000
#: Longest Content-Length that is accepted, in digits: any 64-bit number has fewer, and
#: Python refuses to convert numbers of some thousand digits.
MAX_LENGTH_DIGITS = 20

_HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
_KWS_PREFIX = "kws-"


class Readable(Protocol):
    """File interface that request bodies are read through."""

    def read(self, size: int = -1, /) -> bytes:
        """Read up to ``size`` bytes; empty at the end."""


class CallerConnection:
    """The caller's connection, watched for the caller's disconnection."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self._pollable = True

    @property
    def socket(self) -> socket.socket:
        """The caller's socket."""
        return self._sock

    @property
    def pollable(self) -> bool:
        """Whether a readable socket means that the caller closed it."""
        return self._pollable

    def is_disconnected(self) -> bool:
        """Whether the caller has closed the connection; never blocks."""
        if not self._pollable:
            return False
        try:
            readable, _, _ = select.select([self._sock], [], [], 0)
            return bool(readable) and self.is_closed()
        except (OSError, ValueError):
            return True

    def is_closed(self) -> bool:
        """Return whether the caller closed the connection, once its socket is readable.

        If the socket holds a pipelined request instead, the connection is no longer
        :attr:`pollable`.
        """
        try:
            data = self._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True
        if data:
            # Unread bytes of a next request: polling cannot show a disconnection now.
            self._pollable = False
        return not data


class DetachedCallerConnection(CallerConnection):
    """Connection of a caller whose disconnection does not cancel its call."""

    def __init__(self, caller_connection: CallerConnection) -> None:
        super().__init__(caller_connection.socket)
        self._pollable = False


class Body:
    """A request body: buffered when small, else streamed once.

    :param prefix: bytes read so far.
    :param rest: source of the rest, None when ``prefix`` is the whole body.
    :param length: declared length, None when the body is chunked.
    """

    def __init__(
        self, prefix: bytes, rest: Readable | None = None, length: int | None = None
    ) -> None:
        self._prefix = prefix
        self._rest = rest
        self._length = len(prefix) if rest is None else length

    @property
    def is_buffered(self) -> bool:
        """Whether the whole body is in memory and can be sent again."""
        return self._rest is None

    @property
    def length(self) -> int | None:
        """Length in bytes, None when unknown."""
        return self._length

    @property
    def digest(self) -> bytes:
        """Digest of a buffered body; empty for a streamed one."""
        if self._rest is not None:
            return b""
        return hashlib.blake2b(self._prefix, digest_size=16).digest()

    def content(self) -> bytes:
        """Return a buffered body."""
        return self._prefix

    def chunks(self) -> Iterator[bytes]:
        """Yield the body; a streamed one can be read only once.

        :raises EOFError: when the caller sent less than it declared.
        """
        n_sent = len(self._prefix)
        if self._prefix:
            yield self._prefix
        if self._rest is None:
            return
        while self._length is None or n_sent < self._length:
            chunk = self._rest.read(CHUNK_BYTES)
            if not chunk:
                break
            n_sent += len(chunk)
            yield chunk
        if self._length is not None and n_sent < self._length:
            raise EOFError("the caller's body ended early")


@dataclass(frozen=True, slots=True)
class CallFingerprint:
    """Properties that a call and its repeats have in common."""

    #: HTTP method.
    method: str
    #: Target as sent, service included.
    target: str
    #: Digest of the body; empty for a streamed one.
    body_digest: bytes
    #: Length of the body in bytes; None when it is chunked and streamed.
    n_bytes: int | None = 0


@dataclass(frozen=True, slots=True)
class CallRequest:
    """A call as received, with a valid head."""

    #: HTTP method, upper case.
    method: str
    #: Name of the service, the first segment of the path.
    service: str
    #: Target for the upstream: the path below the service, with the query.
    target: str
    #: Headers to relay, without those of the connection and ``Kws-`` headers.
    headers: tuple[tuple[str, str], ...]
    #: ``Kws-`` headers, by name.
    kws_headers: dict[Header, str]
    #: Body of the call.
    body: Body
    #: The caller's connection.
    caller_connection: CallerConnection
    #: Time that the caller allows for the call, in ms; None when it sets no limit.
    deadline_ms: int | None

    @property
    def fingerprint(self) -> CallFingerprint:
        """Fingerprint that a repeat of this call shares with it."""
        target = f"/{self.service}{self.target}"
        return CallFingerprint(self.method, target, self.body.digest, self.body.length)

    def kws_header(self, header: Header) -> str:
        """Return the value of a ``Kws-`` header, empty when absent."""
        return self.kws_headers.get(header, "")


def parse_head(
    method: bytes,
    uri: bytes,
    raw_headers: dict[bytes, bytes],
    read_body: Callable[[int | None], Body],
    caller_connection: CallerConnection,
) -> Result[CallRequest, BadRequest]:
    """Parse and validate the head of a request.

    :param method: HTTP method.
    :param uri: request target in origin form.
    :param raw_headers: headers, repeated ones joined by commas.
    :param read_body: reads the body, given the declared length, or None when the body
        is chunked.
    :param caller_connection: the caller's connection.
    :return: the request, or :class:`BadRequest` when the head is malformed.
    """
    headers, kws_headers = _split_headers(raw_headers)
    length = _body_length(raw_headers)
    if isinstance(length, Err):
        return length
    deadline = _deadline_ms(kws_headers)
    if isinstance(deadline, Err):
        return deadline
    path = uri.decode("latin-1")
    service, slash, rest = path[1:].partition("/")
    if not service or "?" in service or "#" in path:
        return Err(BadRequest("write the target as /<service>/<path>"))
    return Ok(
        CallRequest(
            method=method.decode("latin-1"),
            service=service,
            target=slash + rest or "/",
            headers=headers,
            kws_headers=kws_headers,
            body=read_body(length.ok_value),
            caller_connection=caller_connection,
            deadline_ms=deadline.ok_value,
        )
    )


_KWS_HEADERS = {header.value.lower(): header for header in Header}


def _split_headers(
    raw_headers: dict[bytes, bytes],
) -> tuple[tuple[tuple[str, str], ...], dict[Header, str]]:
    relayed = []
    kws_headers: dict[Header, str] = {}
    connection_value = raw_headers.get(b"Connection", b"").decode("latin-1").lower()
    connection_headers = (
        {name.strip() for name in connection_value.split(",")}
        if connection_value
        else set()
    )
    for raw_name, raw_value in raw_headers.items():
        name = raw_name.decode("latin-1")
        lower = name.lower()
        if lower.startswith(_KWS_PREFIX):
            header = _KWS_HEADERS.get(lower)
            if header is not None:
                kws_headers[header] = raw_value.decode("latin-1")
        elif lower not in _HOP_BY_HOP and lower not in connection_headers:
            relayed.append((name, raw_value.decode("latin-1")))
    return tuple(relayed), kws_headers


def _body_length(raw_headers: dict[bytes, bytes]) -> Result[int | None, BadRequest]:
    declared = raw_headers.get(b"Content-Length")
    chunked = b"Transfer-Encoding" in raw_headers
    if declared is None:
        return Ok(None if chunked else 0)
    if chunked:
        # A body with two framings allows request smuggling.
        return Err(BadRequest("send a length or chunks, not both"))
    if not declared.isdigit() or len(declared) > MAX_LENGTH_DIGITS:
        return Err(BadRequest("write Content-Length as one decimal number"))
    return Ok(int(declared))


def _deadline_ms(
    kws_headers: dict[Header, str],
) -> Result[int | None, BadRequest]:
    text = kws_headers.get(Header.DEADLINE_MS)
    if text is None:
        return Ok(None)
    if not text.isdecimal() or not text.isascii() or len(text) > 9:
        return Err(BadRequest(f"write {Header.DEADLINE_MS} as milliseconds"))
    return Ok(min(int(text), MAX_DEADLINE_MS))
