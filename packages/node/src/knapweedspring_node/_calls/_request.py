"""A caller's request: its head, checked, and its body, buffered or streamed."""

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
    "CallerLink",
    "DetachedLink",
    "Readable",
    "parse_head",
]

#: Bodies up to this size are held, so that they can be sent again.
BUFFERED_BODY_BYTES = 65_536
CHUNK_BYTES = 65_536
MAX_DEADLINE_MS = 600_000

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
_LAYER_PREFIX = "kws-"


class Readable(Protocol):
    """The part of a file that bodies are read through."""

    def read(self, size: int = -1, /) -> bytes:
        """Read up to ``size`` bytes; empty at the end."""


class CallerLink:
    """The caller's connection, to notice that the caller has left."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self._pollable = True

    @property
    def socket(self) -> socket.socket:
        """The caller's socket."""
        return self._sock

    @property
    def pollable(self) -> bool:
        """Whether readability of the socket can only mean that it closed."""
        return self._pollable

    def has_left(self) -> bool:
        """Whether the caller closed its side; never blocks."""
        if not self._pollable:
            return False
        try:
            readable, _, _ = select.select([self._sock], [], [], 0)
            return bool(readable) and self.is_closed()
        except (OSError, ValueError):
            return True

    def is_closed(self) -> bool:
        """Tell a closed socket from one with a pipelined request in it."""
        try:
            data = self._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True
        if data:
            # Bytes of a next request: nothing can be learnt from polling now.
            self._pollable = False
        return not data


class DetachedLink(CallerLink):
    """Stands in for the connection of a caller whose leaving cancels nothing."""

    def __init__(self, link: CallerLink) -> None:
        super().__init__(link.socket)
        self._pollable = False


class Body:
    """A request body: whole in memory when small, else read once.

    :param prefix: bytes read so far.
    :param rest: where the rest comes from, None when ``prefix`` is all.
    :param length: declared length, None when the body came chunked.
    """

    def __init__(
        self, prefix: bytes, rest: Readable | None = None, length: int | None = None
    ) -> None:
        self._prefix = prefix
        self._rest = rest
        self._length = len(prefix) if rest is None else length

    @property
    def is_whole(self) -> bool:
        """Whether the body is held and can be sent again."""
        return self._rest is None

    @property
    def length(self) -> int | None:
        """Length in bytes, None when unknown."""
        return self._length

    @property
    def digest(self) -> bytes:
        """Digest of a body that is held; empty for a streamed one."""
        if self._rest is not None:
            return b""
        return hashlib.blake2b(self._prefix, digest_size=16).digest()

    def whole(self) -> bytes:
        """Return the body that is held."""
        return self._prefix

    def chunks(self) -> Iterator[bytes]:
        """Yield a streamed body; only once.

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
class CallSignature:
    """What makes two calls the same one."""

    #: HTTP method.
    method: str
    #: Target as sent, service included.
    target: str
    #: Digest of the body; empty for a body that is streamed.
    body_digest: bytes
    #: Length of the body, None when it came in chunks and is streamed.
    n_bytes: int | None = 0


@dataclass(frozen=True, slots=True)
class CallRequest:
    """A call as it arrived, its head checked."""

    #: HTTP method, upper case.
    method: str
    #: Name of the service, the first segment of the path.
    service: str
    #: Target for the upstream: the path below the service, with the query.
    target: str
    #: Headers to pass on, without those of the connection and of the layer.
    headers: tuple[tuple[str, str], ...]
    #: The layer's own headers, by name.
    layer_headers: dict[Header, str]
    #: The body.
    body: Body
    #: The caller's connection.
    link: CallerLink
    #: Time that the caller allows, in ms; None when it names none.
    deadline_ms: int | None

    @property
    def signature(self) -> CallSignature:
        """What a repeat of this call has in common with it."""
        target = f"/{self.service}{self.target}"
        return CallSignature(self.method, target, self.body.digest, self.body.length)

    def layer(self, header: Header) -> str:
        """Return one of the layer's headers, empty when absent."""
        return self.layer_headers.get(header, "")


def parse_head(
    method: bytes,
    uri: bytes,
    raw_headers: dict[bytes, bytes],
    body_of: Callable[[int | None], Body],
    link: CallerLink,
) -> Result[CallRequest, BadRequest]:
    """Check the head of a request.

    :param method: HTTP method.
    :param uri: request target in origin form.
    :param raw_headers: headers, repeated ones joined by commas.
    :param body_of: reads the body, given the declared length or None.
    :param link: the caller's connection.
    """
    headers, layer_headers = _split_headers(raw_headers)
    length = _body_length(raw_headers)
    if isinstance(length, Err):
        return length
    deadline = _deadline_ms(layer_headers)
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
            layer_headers=layer_headers,
            body=body_of(length.ok_value),
            link=link,
            deadline_ms=deadline.ok_value,
        )
    )


_LAYER_HEADERS = {header.value.lower(): header for header in Header}


def _split_headers(
    raw_headers: dict[bytes, bytes],
) -> tuple[tuple[tuple[str, str], ...], dict[Header, str]]:
    passed = []
    layer: dict[Header, str] = {}
    named = raw_headers.get(b"Connection", b"").decode("latin-1").lower()
    dropped = {name.strip() for name in named.split(",")} if named else set()
    for raw_name, raw_value in raw_headers.items():
        name = raw_name.decode("latin-1")
        lower = name.lower()
        if lower.startswith(_LAYER_PREFIX):
            header = _LAYER_HEADERS.get(lower)
            if header is not None:
                layer[header] = raw_value.decode("latin-1")
        elif lower not in _HOP_BY_HOP and lower not in dropped:
            passed.append((name, raw_value.decode("latin-1")))
    return tuple(passed), layer


def _body_length(raw_headers: dict[bytes, bytes]) -> Result[int | None, BadRequest]:
    declared = raw_headers.get(b"Content-Length")
    chunked = b"Transfer-Encoding" in raw_headers
    if declared is None:
        return Ok(None if chunked else 0)
    if chunked:
        # Two framings of one body are how requests are smuggled past proxies.
        return Err(BadRequest("send a length or chunks, not both"))
    if not declared.isdigit():
        return Err(BadRequest("write Content-Length as one decimal number"))
    return Ok(int(declared))


def _deadline_ms(
    layer_headers: dict[Header, str],
) -> Result[int | None, BadRequest]:
    text = layer_headers.get(Header.DEADLINE_MS)
    if text is None:
        return Ok(None)
    if not text.isdecimal() or not text.isascii() or len(text) > 9:
        return Err(BadRequest(f"write {Header.DEADLINE_MS} as milliseconds"))
    return Ok(min(int(text), MAX_DEADLINE_MS))
