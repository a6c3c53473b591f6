"""Answers read line by line, with the checks that the HTTP libraries lack.

They skip interim answers and trailers of any number, read a trailer of any length, take
an interim answer other than 100 for the final one, and take the end of the connection
for the end of a line, and so of a head.
"""

import http.client
import io
from typing import Any

__all__ = ["StrictResponse"]

#: Most bytes of lines between two parts of a body: heads of interim answers and of the
#: answer, the size line of a chunk, or trailers. Twice what one head may hold.
MAX_LINE_BYTES = 131_072
#: Largest status of an answer.
MAX_STATUS = 599


class _StrictReader(io.BufferedReader):
    """Reader of whole lines that counts their bytes since the last part of a body."""

    _n_line_bytes = 0

    def readline(self, size: int | None = -1, /) -> bytes:
        """Read a line.

        :raises http.client.LineTooLong: the lines exceed ``MAX_LINE_BYTES``.
        :raises http.client.IncompleteRead: the connection ends before the line.
        """
        n_left = MAX_LINE_BYTES - self._n_line_bytes + 1
        is_limited = size is not None and 0 <= size < n_left
        n_bytes_max = size if is_limited and size is not None else n_left
        line = super().readline(n_bytes_max)
        self._n_line_bytes += len(line)
        if self._n_line_bytes > MAX_LINE_BYTES:
            raise http.client.LineTooLong("lines of an answer")
        if len(line) < n_bytes_max and not line.endswith(b"\n"):
            raise http.client.IncompleteRead(line)
        return line

    def read(self, size: int | None = -1, /) -> bytes:
        """Read a part of a body."""
        data = super().read(size)
        if data:
            self._n_line_bytes = 0
        return data


class StrictResponse(http.client.HTTPResponse):
    """Answer whose head, chunk sizes and trailers are whole and of limited length.

    :param sock: connection that the answer arrives on.
    """

    def __init__(self, sock: Any, *args: Any, **kwargs: Any) -> None:
        super().__init__(sock, *args, **kwargs)
        self.fp.close()
        self.fp = _StrictReader(sock.makefile("rb", buffering=0))

    def _read_status(self) -> tuple[str, int, str]:
        """Read the status line of the final answer; the base class skips 100 only."""
        while True:
            version, status, reason = super()._read_status()  # type: ignore[misc]
            if not http.client.CONTINUE <= status <= MAX_STATUS:
                raise http.client.BadStatusLine(f"{status} {reason}")
            if status == http.client.SWITCHING_PROTOCOLS:
                raise http.client.BadStatusLine(f"{status} {reason}")
            if status == http.client.CONTINUE or status >= http.client.OK:
                return version, status, reason
            http.client.parse_headers(self.fp)
