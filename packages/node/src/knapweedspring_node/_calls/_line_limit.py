"""Limit for the lines of an answer, which the HTTP libraries read without one.

They skip interim answers and trailers of any number, and read a trailer of any length.
"""

import http.client
import io
from typing import Any

__all__ = ["LineLimitedResponse"]

#: Most bytes of lines between two parts of a body: heads of interim answers and of the
#: answer, the size line of a chunk, or trailers. Twice what one head may hold.
MAX_LINE_BYTES = 131_072


class _LineLimitedReader(io.BufferedReader):
    """Reader that counts the bytes of lines since the last part of a body."""

    _n_line_bytes = 0

    def readline(self, size: int | None = -1, /) -> bytes:
        """Read a line.

        :raises http.client.LineTooLong: the lines exceed ``MAX_LINE_BYTES``.
        """
        n_left = MAX_LINE_BYTES - self._n_line_bytes + 1
        is_limited = size is not None and 0 <= size < n_left
        line = super().readline(size if is_limited else n_left)
        self._n_line_bytes += len(line)
        if self._n_line_bytes > MAX_LINE_BYTES:
            raise http.client.LineTooLong("lines of an answer")
        return line

    def read(self, size: int | None = -1, /) -> bytes:
        """Read a part of a body."""
        data = super().read(size)
        if data:
            self._n_line_bytes = 0
        return data


class LineLimitedResponse(http.client.HTTPResponse):
    """Answer whose lines are limited.

    :param sock: connection that the answer arrives on.
    """

    def __init__(self, sock: Any, *args: Any, **kwargs: Any) -> None:
        super().__init__(sock, *args, **kwargs)
        self.fp.close()
        self.fp = _LineLimitedReader(sock.makefile("rb", buffering=0))
