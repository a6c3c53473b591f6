"""Finds the end of a request's head, which may arrive in several pieces."""

__all__ = ["HeadEnd"]

_HEAD_END = b"\r\n\r\n"
#: Most bytes of the end of a head that may have arrived before its last one.
N_TAIL_BYTES = len(_HEAD_END) - 1
#: Bytes with which a header continues on a further line, which is not allowed.
_FOLDS = (b"\r\n ", b"\r\n\t")


class HeadEnd:
    """Searches the pieces of one head for its end and for folded headers."""

    def __init__(self) -> None:
        self._tail = b""
        self._is_folded = False

    @property
    def is_folded(self) -> bool:
        """Whether a header continues on a further line, in the pieces so far."""
        return self._is_folded

    def reset(self) -> None:
        """Begin the next head."""
        self._tail = b""
        self._is_folded = False

    def continue_after(self, data: bytes) -> None:
        """Take up a head that has begun behind the body of an earlier request.

        :param data: bytes that end with the first piece of the head.
        """
        self._tail = data[-N_TAIL_BYTES:]

    def find(self, data: bytes) -> int:
        """Return the number of bytes that belong to the head.

        :param data: bytes received after the pieces so far.
        :return: length of all the bytes when the head goes on.
        """
        # A line end may be split between two pieces.
        n_earlier = len(self._tail)
        window = self._tail + data if n_earlier else data
        found = window.find(_HEAD_END)
        n_head_bytes = len(window) if found < 0 else found + len(_HEAD_END)
        for fold in _FOLDS:
            if window.find(fold, 0, n_head_bytes) >= 0:
                self._is_folded = True
        self._tail = window[-N_TAIL_BYTES:] if found < 0 else b""
        return n_head_bytes - n_earlier
