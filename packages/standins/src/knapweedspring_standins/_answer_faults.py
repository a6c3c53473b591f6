"""Bytes of the answers with which a faulty upstream stand-in breaks the protocol."""

import contextlib
import socket

from knapweedspring_standins._upstream_settings import EndlessPart

__all__ = ["encode_refusal", "send_endless"]

#: Size in bytes of one write of an endless part.
WRITE_BYTES = 65_536
_CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
#: What precedes the endless part, and the line that is repeated in it.
_ENDLESS = {
    EndlessPart.HEAD: (b"HTTP/1.1 200 OK\r\n", b"X-More: " + b"x" * 50 + b"\r\n"),
    EndlessPart.BODY: (_CHUNKED_HEAD, b"32\r\n" + b"x" * 50 + b"\r\n"),
    EndlessPart.TRAILERS: (
        _CHUNKED_HEAD + b"1\r\nx\r\n0\r\n",
        b"X-More: " + b"x" * 50 + b"\r\n",
    ),
}


def encode_refusal(nonce: str, body: bytes) -> bytes:
    """Return the bytes of a 503 as the stand-in sends it.

    :param nonce: nonce of the refused request.
    :param body: body of the refusal.
    """
    head = (
        "HTTP/1.1 503 Service Unavailable\r\n"
        "Content-Type: application/json\r\n"
        f"X-Nonce: {nonce}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode("latin-1") + body


def send_endless(sock: socket.socket, part: EndlessPart) -> None:
    """Send an answer whose part does not end, until the caller closes.

    :param sock: connection of the caller.
    :param part: part that does not end.
    """
    start, line = _ENDLESS[part]
    lines = line * (WRITE_BYTES // len(line))
    # The write fails when the caller closes.
    with contextlib.suppress(OSError):
        sock.sendall(start)
        while True:
            sock.sendall(lines)
