"""Limit on what a peer sends besides the body of a message."""

__all__ = ["FramingLimit"]

#: Limit on the bytes received in a row without a byte of a message's body: its head,
#: sizes and extensions of chunks, trailer fields. A head of this size is far longer
#: than any in use.
MAX_FRAMING_BYTES = 65_536


class FramingLimit:
    """Counts the bytes received since the last byte of a body."""

    def __init__(self) -> None:
        self._n_bytes = 0

    def reset(self) -> None:
        """Start to count anew."""
        self._n_bytes = 0

    def allows(self, n_bytes: int) -> bool:
        """Count received bytes that hold none of a body.

        :param n_bytes: number of bytes.
        :return: False when the message has more of them in a row than allowed.
        """
        self._n_bytes += n_bytes
        return self._n_bytes <= MAX_FRAMING_BYTES
