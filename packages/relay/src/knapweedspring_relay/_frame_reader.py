"""Splits the bytes that a node receives from another one into frames."""

from abc import ABC, abstractmethod
from collections.abc import Iterator

import msgspec

from knapweedspring_relay._hop_frames import LENGTH_PREFIX_BYTES, Frame, FrameError
from knapweedspring_relay._requests import MAX_BODIES_BYTES

__all__ = ["MAX_FRAME_BYTES", "FrameBudget", "FrameReader"]

#: Longest frame in bytes: room for the 32 MiB of bodies that a node holds in memory at
#: most, and for a head. A longer frame ends the connection.
MAX_FRAME_BYTES = 36 * 1_048_576
#: Length of a frame, in bytes, from which memory is reserved for it while it arrives.
#: Shorter ones arrive in a few reads of the socket.
RESERVED_FRAME_BYTES = 65_536
#: Bytes at the start of a frame that hold the id of its stream.
STREAM_ID_BYTES = 16
#: First bytes of a call's frame: an array of four, and the tag of calls.
CALL_FRAME_START = b"\x94\x01"

_decoder = msgspec.msgpack.Decoder(Frame)
_id_decoder = msgspec.msgpack.Decoder(int)
#: Length of an encoded id by its first byte; ids below 128 take one byte.
_ID_BYTES = {0xCC: 2, 0xCD: 3, 0xCE: 5, 0xCF: 9}


class FrameBudget(ABC):
    """Memory for long frames that are still arriving."""

    @abstractmethod
    def reserve_bytes(self, n_bytes: int) -> bool:
        """Reserve memory.

        :param n_bytes: bytes to reserve.
        :return: whether they are reserved.
        """

    @abstractmethod
    def release_bytes(self, n_bytes: int) -> None:
        """Release memory that was reserved.

        :param n_bytes: bytes to release.
        """

    @abstractmethod
    def refuse_call(self, stream: int) -> None:
        """Refuse a call whose frame is discarded for lack of memory.

        :param stream: id of the call's stream.
        """


class FrameReader:
    """Splits the bytes of a connection into frames.

    :param budget: memory for long frames; None receives them without a limit.
    """

    def __init__(self, budget: FrameBudget | None = None) -> None:
        self._budget = budget
        self._pending = bytearray()
        #: Length of the pending frame with its prefix; length of the prefix until the
        #: frame's length is known.
        self._n_needed_bytes = LENGTH_PREFIX_BYTES
        self._n_reserved_bytes = 0
        #: Bytes that are still to be discarded of a frame without memory.
        self._n_discarded_bytes = 0

    @property
    def n_pending_bytes(self) -> int:
        """Number of bytes received of an incomplete frame."""
        return len(self._pending)

    def close(self) -> None:
        """Discard an incomplete frame and release its memory."""
        self._pending = bytearray()
        self._release()

    def feed(self, data: bytes) -> Iterator[Frame]:
        """Add received bytes and yield the frames that are complete.

        :param data: received bytes.
        :raises FrameError: when the bytes are not valid frames.
        """
        if self._n_discarded_bytes:
            n_discarded = min(self._n_discarded_bytes, len(data))
            self._n_discarded_bytes -= n_discarded
            data = data[n_discarded:]
        received: bytes | bytearray = data
        if self._pending:
            self._pending += data
            if len(self._pending) < self._n_needed_bytes:
                # Copying the pending bytes for each piece would take quadratic time.
                return
            received, self._pending = self._pending, bytearray()
            self._release()
        begin, n_bytes = 0, len(received)
        self._n_needed_bytes = LENGTH_PREFIX_BYTES
        while n_bytes - begin >= LENGTH_PREFIX_BYTES:
            body_at = begin + LENGTH_PREFIX_BYTES
            length = int.from_bytes(received[begin:body_at], "big")
            if length > MAX_FRAME_BYTES:
                raise FrameError(f"frame of {length} bytes exceeds the maximum")
            if body_at + length > n_bytes:
                if n_bytes - body_at >= STREAM_ID_BYTES and not self._reserve(length):
                    start = bytes(received[body_at : body_at + STREAM_ID_BYTES])
                    self._n_discarded_bytes = body_at + length - n_bytes
                    self._refuse_call(start)
                    return
                self._n_needed_bytes = LENGTH_PREFIX_BYTES + length
                if n_bytes - body_at < STREAM_ID_BYTES and length > STREAM_ID_BYTES:
                    # Memory is reserved once the id of the stream is known.
                    self._n_needed_bytes = LENGTH_PREFIX_BYTES + STREAM_ID_BYTES
                break
            begin = body_at + length
            # A long frame is decoded in place, since each copy takes as much memory.
            if length < RESERVED_FRAME_BYTES:
                yield _decode_frame(received[body_at:begin])
            else:
                yield _decode_frame(memoryview(received)[body_at:begin])
        if begin < n_bytes:
            self._pending += received[begin:]

    def _reserve(self, n_bytes: int) -> bool:
        if self._budget is None or n_bytes < RESERVED_FRAME_BYTES:
            return True
        # The limit on bodies does not count the head of a call.
        n_reserved_bytes = min(n_bytes, MAX_BODIES_BYTES)
        if not self._budget.reserve_bytes(n_reserved_bytes):
            return False
        self._n_reserved_bytes = n_reserved_bytes
        return True

    def _refuse_call(self, start: bytes) -> None:
        """Refuse a call whose frame has only begun.

        :raises FrameError: when the frame is not that of a call.
        """
        if not start.startswith(CALL_FRAME_START):
            raise FrameError("a long frame is not a call")
        encoded_id = start[len(CALL_FRAME_START) :]
        try:
            stream = _id_decoder.decode(encoded_id[: _ID_BYTES.get(encoded_id[0], 1)])
        except msgspec.DecodeError as error:
            raise FrameError(f"malformed frame: {error}") from error
        if self._budget is not None:
            self._budget.refuse_call(stream)

    def _release(self) -> None:
        if self._budget is not None and self._n_reserved_bytes:
            self._budget.release_bytes(self._n_reserved_bytes)
            self._n_reserved_bytes = 0


def _decode_frame(content: bytes | bytearray | memoryview) -> Frame:
    try:
        return _decoder.decode(content)
    except (msgspec.DecodeError, RecursionError) as error:
        raise FrameError(f"malformed frame: {error}") from error
