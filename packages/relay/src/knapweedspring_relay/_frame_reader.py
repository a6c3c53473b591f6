"""Splits the bytes that a node receives from another one into frames."""

from abc import ABC, abstractmethod
from collections.abc import Iterator

import msgspec

from knapweedspring_relay._hop_frames import LENGTH_PREFIX_BYTES, Frame, FrameError

__all__ = ["MAX_FRAME_BYTES", "FrameBudget", "FrameReader"]

#: Longest frame in bytes: room for a body of 32 MiB, and for a head. A longer frame
#: ends the connection.
MAX_FRAME_BYTES = 36 * 1_048_576
#: Length of a frame, in bytes, from which memory is held for it while it arrives. The
#: memory of the connection covers shorter ones.
HELD_FRAME_BYTES = 4_096
#: Length of a frame, in bytes, from which it is decoded in place.
UNCOPIED_FRAME_BYTES = 65_536
#: Bytes at the start of a frame that hold the id of its stream.
STREAM_ID_BYTES = 16
#: First bytes of a call's frame: an array of four, and the tag of calls.
CALL_FRAME_START = b"\x94\x01"

_decoder = msgspec.msgpack.Decoder(Frame)
_id_decoder = msgspec.msgpack.Decoder(int)
#: Length of an encoded id by its first byte; ids below 128 take one byte.
_ID_BYTES = {0xCC: 2, 0xCD: 3, 0xCE: 5, 0xCF: 9}


class FrameBudget(ABC):
    """Memory for the frame that is still arriving on a connection."""

    @abstractmethod
    def hold_frame(self, n_bytes: int) -> bool:
        """Hold further bytes of the frame.

        :param n_bytes: bytes to hold.
        :return: whether they are held.
        """

    @abstractmethod
    def release_frame(self) -> None:
        """Release all bytes of the frame."""

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
        self._is_held = False
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

    def discard_frame(self) -> None:
        """Discard the frame that arrives, with what is still to come of it.

        :raises FrameError: when the frame is not that of a call.
        """
        if self._is_held:
            self._discard(self._pending, len(self._pending))

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
            n_bytes = len(self._pending) + len(data)
            is_partial = n_bytes < self._n_needed_bytes
            if is_partial and self._is_held and not self._hold(len(data)):
                self._discard(self._pending, n_bytes)
                return
            self._pending += data
            if is_partial:
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
                self._n_needed_bytes = LENGTH_PREFIX_BYTES + length
                if n_bytes - body_at < STREAM_ID_BYTES and length > STREAM_ID_BYTES:
                    # Memory is held once the id of the stream is known.
                    self._n_needed_bytes = LENGTH_PREFIX_BYTES + STREAM_ID_BYTES
                elif length >= HELD_FRAME_BYTES and not self._hold(n_bytes - begin):
                    self._discard(
                        received[begin : body_at + STREAM_ID_BYTES], n_bytes - begin
                    )
                    return
                break
            begin = body_at + length
            # A long frame is decoded in place, since each copy takes as much memory.
            if length < UNCOPIED_FRAME_BYTES:
                yield _decode_frame(received[body_at:begin])
            else:
                yield _decode_frame(memoryview(received)[body_at:begin])
        if begin < n_bytes:
            self._pending += received[begin:]

    def _hold(self, n_bytes: int) -> bool:
        if self._budget is None:
            return True
        self._is_held = True
        return self._budget.hold_frame(n_bytes)

    def _discard(self, received: bytes | bytearray, n_received: int) -> None:
        """Discard the frame that arrives and refuse its call.

        :param received: beginning of the frame.
        :param n_received: bytes of the frame that were received.
        """
        start = received[LENGTH_PREFIX_BYTES : LENGTH_PREFIX_BYTES + STREAM_ID_BYTES]
        self._n_discarded_bytes = self._n_needed_bytes - n_received
        self._n_needed_bytes = LENGTH_PREFIX_BYTES
        self.close()
        self._refuse_call(bytes(start))

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
        if self._budget is not None and self._is_held:
            self._is_held = False
            self._budget.release_frame()


def _decode_frame(content: bytes | bytearray | memoryview) -> Frame:
    try:
        return _decoder.decode(content)
    except (msgspec.DecodeError, RecursionError) as error:
        raise FrameError(f"malformed frame: {error}") from error
