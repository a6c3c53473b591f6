"""Head of an answer that is being received."""

import re

from knapweedspring_relay._requests import Header

__all__ = ["AnswerHead"]

#: Begin of an answer. No field of a head holds one.
_STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5][0-9][0-9]")


class AnswerHead:
    """Reason phrase and headers of an answer.

    :param request_id_header: header that holds the id of the answer's request, in lower
        case; empty when there is none.
    """

    def __init__(self, request_id_header: bytes) -> None:
        self._request_id_header = request_id_header
        self._phrase = b""
        self._headers: list[Header] = []

    @property
    def headers(self) -> list[Header]:
        """Headers received so far; names in lower case."""
        return self._headers

    @property
    def is_merged(self) -> bool:
        """Whether the head begins with a part of another answer's head.

        A server may send the beginning of an earlier answer and go on with the head of
        the next one. The part that was cut off then ends in a value or in the reason
        phrase, and the status may be that of either answer.
        """
        n_ids = 0
        for name, value in self._headers:
            if b"HTTP/" in value and _STATUS_LINE.search(value):
                return True
            n_ids += name == self._request_id_header
        return n_ids > 1 or _STATUS_LINE.search(self._phrase) is not None

    def reset(self) -> None:
        """Begin the head of the next answer."""
        self._phrase = b""
        self._headers = []

    def add_phrase(self, piece: bytes) -> None:
        """Append a piece of the reason phrase."""
        self._phrase += piece

    def add_header(self, name: bytes, value: bytes) -> None:
        """Append a header."""
        self._headers.append((name.lower(), value))
