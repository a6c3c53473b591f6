"""Requests and answers as the relay handles them, and their bytes."""

from collections.abc import Iterable, Sequence
from http import HTTPStatus

import msgspec

__all__ = [
    "CONNECTION_HEADERS",
    "Header",
    "Request",
    "answer_head",
    "header_value",
    "request_bytes",
    "without_headers",
]

#: Headers that concern one connection only and are not passed on.
CONNECTION_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
    }
)
#: Values of ``Connection`` that name no header.
_COMMON_TOKENS = frozenset({b"keep-alive", b"close"})
_REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}

#: Name in lower case and value of one header.
Header = tuple[bytes, bytes]


class Request(msgspec.Struct, frozen=True, gc=False):
    """One whole request."""

    #: Method.
    method: bytes
    #: Path and query, as sent.
    target: bytes
    #: All headers; names in lower case.
    headers: Sequence[Header]
    #: The body.
    body: bytes
    #: When its head was read, on the monotonic clock, in seconds.
    arrived_at: float
    #: Whether the connection stays open after the answer.
    keep_alive: bool

    def header(self, name: bytes) -> bytes | None:
        """Return the value of a header; None when it is absent.

        :param name: name in lower case.
        """
        return header_value(self.headers, name)

    def without(self, dropped: frozenset[bytes]) -> "Request":
        """Return the request as it is passed on.

        :param dropped: names in lower case that are left out besides those of the
            connection.
        """
        kept = without_headers(self.headers, dropped)
        return msgspec.structs.replace(self, headers=kept)


def header_value(headers: Iterable[Header], name: bytes) -> bytes | None:
    """Return the first value of a header, None when it is absent."""
    for key, value in headers:
        if key == name:
            return value
    return None


def without_headers(
    headers: Sequence[Header], dropped: frozenset[bytes]
) -> list[Header]:
    """Return the headers that are passed on.

    Headers that ``Connection`` names concern the connection too.

    :param headers: all headers of a message.
    :param dropped: names in lower case that are left out besides.
    """
    unwanted = dropped | CONNECTION_HEADERS
    kept = []
    for header in headers:
        if header[0] not in unwanted:
            kept.append(header)
        elif header[0] == b"connection" and header[1].lower() not in _COMMON_TOKENS:
            listed = frozenset(token.strip().lower() for token in header[1].split(b","))
            return [
                other
                for other in headers
                if other[0] not in unwanted and other[0] not in listed
            ]
    return kept


def request_bytes(
    method: bytes, target: bytes, headers: Iterable[Header], body: bytes
) -> bytes:
    """Return a request's bytes; the body goes with its length."""
    parts = [method, b" ", target, b" HTTP/1.1\r\n"]
    for key, value in headers:
        parts += (key, b": ", value, b"\r\n")
    if body or method not in (b"GET", b"HEAD", b"DELETE", b"OPTIONS"):
        parts += (b"content-length: ", str(len(body)).encode(), b"\r\n")
    parts += (b"\r\n", body)
    return b"".join(parts)


def answer_head(
    status: int, headers: Iterable[Header], length: int | None, keep_alive: bool
) -> bytes:
    """Return the head of an answer.

    :param status: status code.
    :param headers: headers without those of the connection.
    :param length: length of the body; None for a body in chunks.
    :param keep_alive: whether the connection stays open.
    """
    reason = _REASONS.get(status, b"Unknown")
    parts = [b"HTTP/1.1 ", str(status).encode(), b" ", reason, b"\r\n"]
    for key, value in headers:
        parts += (key, b": ", value, b"\r\n")
    if status >= 200 and status != 204:
        if length is None:
            parts.append(b"transfer-encoding: chunked\r\n")
        else:
            parts += (b"content-length: ", str(length).encode(), b"\r\n")
    if not keep_alive:
        parts.append(b"connection: close\r\n")
    parts.append(b"\r\n")
    return b"".join(parts)
