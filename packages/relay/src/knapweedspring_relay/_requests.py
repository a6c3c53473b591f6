"""HTTP requests as the relay receives and forwards them."""

from collections.abc import Sequence
from typing import TYPE_CHECKING

import msgspec

__all__ = ["COPIED_BODY_BYTES", "Body", "ForwardedRequest", "Header", "Request"]

if TYPE_CHECKING:
    #: Body of a request; a long one is the buffer that it arrived in. Compiled code
    #: accepts no buffer where bytes are declared.
    Body = bytes | bytearray
else:
    # What a body is decoded to.
    Body = bytes

#: Bodies up to this size, in bytes, are copied where that saves a write or a type; a
#: copy of a longer one would take its memory once more.
COPIED_BODY_BYTES = 16_384

#: Name in lower case and value of one header.
Header = tuple[bytes, bytes]


class Request(msgspec.Struct, frozen=True, gc=False):
    """One complete request, as received from a caller."""

    #: HTTP method.
    method: bytes
    #: Path and query, as sent.
    target: bytes
    #: All headers; names in lower case.
    headers: Sequence[Header]
    #: The body.
    body: Body
    #: Time at which the head of the request was complete, on the monotonic clock, in
    #: seconds.
    arrived_at: float
    #: Whether the request allows the connection to stay open after the answer.
    keep_alive: bool

    def header(self, name: bytes) -> bytes | None:
        """Return the value of a header; None when it is absent.

        :param name: name in lower case.
        """
        for key, value in self.headers:
            if key == name:
                return value
        return None


class ForwardedRequest(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A request to forward to an upstream, with headers that are encoded once."""

    #: HTTP method.
    method: bytes
    #: Path and query, as sent.
    target: bytes
    #: Encoded header lines, each with its line end.
    lines: bytes
    #: The body.
    body: Body
