"""HTTP requests as the relay receives and forwards them."""

from collections.abc import Sequence

import msgspec

__all__ = ["MAX_BODIES_BYTES", "ForwardedRequest", "Header", "Request"]

#: Bytes of request bodies held by one listener: an eighth of the memory of a small VM.
#: Up to four copies of a body exist while it is sent. Requests are held whole, so that
#: they can be repeated at another server. A request that would exceed this limit is
#: refused.
MAX_BODIES_BYTES = 32 * 1_048_576

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
    body: bytes
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
    body: bytes
