"""The bytes of requests and answers."""

from collections.abc import Iterable, Sequence
from http import HTTPStatus

from knapweedspring_relay._requests import ForwardedRequest, Header, Request

__all__ = [
    "CONNECTION_HEADERS",
    "answer_head",
    "forward",
    "forwarded_bytes",
    "header_lines",
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
#: Methods whose requests have no length when they have no body.
_METHODS_WITHOUT_BODY = frozenset({b"GET", b"HEAD", b"DELETE", b"OPTIONS"})
_REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}


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


def header_lines(headers: Iterable[Header]) -> bytes:
    """Return headers as they are written, each line with its end."""
    return b"".join([b"%b: %b\r\n" % header for header in headers])


def request_bytes(
    method: bytes, target: bytes, headers: Iterable[Header], body: bytes
) -> bytes:
    """Return a request's bytes; the body goes with its length."""
    forwarded = ForwardedRequest(method, target, header_lines(headers), body)
    return forwarded_bytes(forwarded)


def forward(request: Request, dropped: frozenset[bytes]) -> ForwardedRequest:
    """Return a request as it is passed on.

    :param request: the request.
    :param dropped: names in lower case that are left out besides those of the
        connection.
    """
    lines = header_lines(without_headers(request.headers, dropped))
    return ForwardedRequest(request.method, request.target, lines, request.body)


def forwarded_bytes(request: ForwardedRequest, added_lines: bytes = b"") -> bytes:
    """Return a request's bytes; the body goes with its length.

    :param request: the request.
    :param added_lines: further header lines, each with its line end.
    """
    length = b""
    if request.body or request.method not in _METHODS_WITHOUT_BODY:
        length = b"content-length: %d\r\n" % len(request.body)
    return b"%b %b HTTP/1.1\r\n%b%b%b\r\n%b" % (
        request.method,
        request.target,
        request.lines,
        added_lines,
        length,
        request.body,
    )


def answer_head(
    status: int, lines: bytes, length: int | None, keep_alive: bool
) -> bytes:
    """Return the head of an answer.

    :param status: status code.
    :param lines: header lines without those of the connection.
    :param length: length of the body; None for a body in chunks.
    :param keep_alive: whether the connection stays open.
    """
    framing = b""
    if status >= 200 and status != 204:
        if length is None:
            framing = b"transfer-encoding: chunked\r\n"
        else:
            framing = b"content-length: %d\r\n" % length
    return b"HTTP/1.1 %d %b\r\n%b%b%b\r\n" % (
        status,
        _REASONS.get(status, b"Unknown"),
        lines,
        framing,
        b"" if keep_alive else b"connection: close\r\n",
    )
