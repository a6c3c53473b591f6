"""Requests as the relay handles them."""

from collections.abc import Sequence

import msgspec

__all__ = ["ForwardedRequest", "Header", "Request"]

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
        for key, value in self.headers:
            if key == name:
                return value
        return None


class ForwardedRequest(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A request on its way to an upstream; its headers are written once."""

    #: Method.
    method: bytes
    #: Path and query, as sent.
    target: bytes
    #: Header lines, each with its line end.
    lines: bytes
    #: The body.
    body: bytes
