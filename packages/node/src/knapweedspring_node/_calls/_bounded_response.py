"""Answer of a peer whose bytes besides the body are limited."""

import http.client
from typing import Any

__all__ = ["BoundedResponse"]

#: Limit on the bytes of lines read in a row without a byte of the body: interim
#: answers, head, sizes and extensions of chunks, trailer fields. The standard library
#: limits the length of a line, not how many interim answers or trailer fields follow.
MAX_FRAMING_BYTES = 131_072


class _BoundedReader:
    """Reads from a connection, and fails when too many lines follow in a row.

    :param file: buffered file of the connection.
    """

    def __init__(self, file: Any) -> None:
        self._file = file
        self._n_line_bytes = 0

    def readline(self, limit: int = -1) -> bytes:
        """Read a line.

        :param limit: longest part of the line to read, in bytes; -1 for no limit.
        :raises HTTPException: when the lines exceed the limit.
        """
        line: bytes = self._file.readline(limit)
        self._n_line_bytes += len(line)
        if self._n_line_bytes > MAX_FRAMING_BYTES:
            raise http.client.HTTPException("the answer is too long besides its body")
        return line

    def read(self, size: int = -1) -> bytes:
        """Read bytes of the body.

        :param size: number of bytes to read; -1 for all.
        """
        data: bytes = self._file.read(size)
        if data:
            self._n_line_bytes = 0
        return data

    def __getattr__(self, name: str) -> Any:
        return getattr(self._file, name)


class BoundedResponse(http.client.HTTPResponse):
    """Answer whose lines in a row are limited."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.fp = _BoundedReader(self.fp)  # type: ignore[assignment]
