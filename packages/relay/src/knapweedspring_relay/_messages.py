"""Encoding of HTTP/1.1 requests and answers."""

from collections.abc import Iterable, Sequence
from http import HTTPStatus

from knapweedspring_relay._errors import MessageError
from knapweedspring_relay._requests import (
    COPIED_BODY_BYTES,
    Body,
    ForwardedRequest,
    Header,
    Request,
)

__all__ = [
    "CONNECTION_HEADERS",
    "encode_answer_head",
    "encode_error_answer",
    "encode_forwarded_request",
    "encode_request",
    "end_to_end_headers",
    "header_lines",
    "to_forwarded_request",
]

#: Headers that apply to a single connection and are not passed on.
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
#: Values of ``Connection`` that do not name a further header to drop.
_OPTIONS_WITHOUT_HEADER = frozenset({b"keep-alive", b"close"})
#: Methods whose requests carry no ``Content-Length`` when the body is empty.
_METHODS_WITHOUT_BODY = frozenset({b"GET", b"HEAD", b"DELETE", b"OPTIONS"})
_REASON_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}


def end_to_end_headers(
    headers: Sequence[Header], dropped: frozenset[bytes]
) -> list[Header]:
    """Return the headers to pass on, without those that apply to the connection.

    Headers that ``Connection`` lists apply to the connection too.

    :param headers: all headers of a message.
    :param dropped: further names to leave out, in lower case.
    """
    excluded = dropped | CONNECTION_HEADERS
    kept = []
    for header in headers:
        if header[0] not in excluded:
            kept.append(header)
        elif (
            header[0] == b"connection"
            and header[1].lower() not in _OPTIONS_WITHOUT_HEADER
        ):
            listed = frozenset(
                option.strip().lower() for option in header[1].split(b",")
            )
            return [
                other
                for other in headers
                if other[0] not in excluded and other[0] not in listed
            ]
    return kept


def header_lines(headers: Iterable[Header]) -> bytes:
    """Encode headers as lines, each with its line end."""
    return b"".join([b"%b: %b\r\n" % header for header in headers])


def encode_request(
    method: bytes, target: bytes, headers: Iterable[Header], body: bytes
) -> bytes:
    """Encode a request, with ``Content-Length`` for its body.

    :param method: HTTP method.
    :param target: path and query.
    :param headers: headers without the connection headers.
    :param body: the body.
    """
    forwarded = ForwardedRequest(method, target, header_lines(headers), body)
    return b"".join(encode_forwarded_request(forwarded))


def to_forwarded_request(
    request: Request, dropped: frozenset[bytes]
) -> ForwardedRequest:
    """Convert a received request to the form in which it is passed on.

    :param request: the request.
    :param dropped: names of headers to leave out besides the connection headers, in
        lower case.
    """
    lines = header_lines(end_to_end_headers(request.headers, dropped))
    return ForwardedRequest(request.method, request.target, lines, request.body)


def encode_forwarded_request(
    request: ForwardedRequest, added_lines: bytes = b""
) -> list[Body]:
    """Encode a request, with ``Content-Length`` for its body.

    :param request: the request.
    :param added_lines: further encoded header lines, each with its line end.
    :return: the parts to write; a long body is a part of its own, without a copy.
    """
    body = request.body
    length = b""
    if body or request.method not in _METHODS_WITHOUT_BODY:
        length = b"content-length: %d\r\n" % len(body)
    head = b"%b %b HTTP/1.1\r\n%b%b%b\r\n" % (
        request.method,
        request.target,
        request.lines,
        added_lines,
        length,
    )
    if len(body) <= COPIED_BODY_BYTES:
        return [head + bytes(body)]
    return [head, body]


def encode_answer_head(
    status: int, lines: bytes, length: int | None, keep_alive: bool
) -> bytes:
    """Encode the head of an answer.

    :param status: HTTP status code.
    :param lines: encoded header lines without the connection headers.
    :param length: length of the body in bytes; None for a chunked body.
    :param keep_alive: whether the connection stays open after the answer.
    """
    framing = b""
    if status >= 200 and status != 204:
        if length is None:
            framing = b"transfer-encoding: chunked\r\n"
        else:
            framing = b"content-length: %d\r\n" % length
    return b"HTTP/1.1 %d %b\r\n%b%b%b\r\n" % (
        status,
        _REASON_PHRASES.get(status, b"Unknown"),
        lines,
        framing,
        b"" if keep_alive else b"connection: close\r\n",
    )


def encode_error_answer(error: MessageError) -> bytes:
    """Encode the answer to a message that is refused, after which the server closes.

    :param error: why it is refused.
    """
    lines = b"retry-after: 1\r\n" if error.status == 503 else b""
    body = str(error).encode()
    return encode_answer_head(error.status, lines, len(body), False) + body
