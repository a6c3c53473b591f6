"""Messages between nodes: many calls share one connection, told apart by a number."""

from collections.abc import Iterator

import msgspec

from knapweedspring_relay._errors import RelayError
from knapweedspring_relay._hop import GateReport, HopCall
from knapweedspring_relay._requests import ForwardedRequest

__all__ = [
    "AnswerFrame",
    "BodyFrame",
    "CallFrame",
    "CancelFrame",
    "CreditFrame",
    "EndFrame",
    "Frame",
    "FrameError",
    "FrameReader",
    "GoAwayFrame",
    "PingFrame",
    "PongFrame",
    "encode_frame",
]

#: Bytes in front of each frame that hold its length.
LENGTH_BYTES = 4
#: Longest frame: the largest body that a node holds, and its head.
MAX_FRAME_BYTES = 36 * 1_048_576


class FrameError(RelayError):
    """The bytes of a peer are not frames."""


class CallFrame(msgspec.Struct, frozen=True, array_like=True, gc=False, tag=1):
    """A call for the upstream beside the receiver."""

    #: Number of the call on this connection.
    stream: int
    #: The call.
    call: HopCall
    #: Its message.
    request: ForwardedRequest


class AnswerFrame(msgspec.Struct, frozen=True, array_like=True, gc=False, tag=2):
    """The outcome of a call, with the upstream's answer if there is one."""

    #: Number of the call.
    stream: int
    #: What became of it.
    report: GateReport
    #: Status of the upstream's answer; 0 when there is no answer to pass on.
    status: int = 0
    #: Header lines of the answer.
    lines: bytes = b""
    #: Length of the body; None when it is unknown.
    length: int | None = None
    #: What is there of the body.
    body: bytes = b""
    #: Whether that is all of it; otherwise body frames and an end frame follow.
    is_whole: bool = True


class BodyFrame(msgspec.Struct, frozen=True, array_like=True, gc=False, tag=3):
    """A piece of an answer's body."""

    #: Number of the call.
    stream: int
    #: The piece.
    piece: bytes


class EndFrame(msgspec.Struct, frozen=True, array_like=True, gc=False, tag=4):
    """The end of a body that came in pieces."""

    #: Number of the call.
    stream: int
    #: Whether the body is whole, or has broken off.
    is_whole: bool


class CreditFrame(msgspec.Struct, frozen=True, array_like=True, gc=False, tag=5):
    """Allows further bytes of a body."""

    #: Number of the call.
    stream: int
    #: Bytes that the receiver has passed on.
    n_bytes: int


class CancelFrame(msgspec.Struct, frozen=True, array_like=True, gc=False, tag=6):
    """The answer to a call is not wanted any more."""

    #: Number of the call.
    stream: int


class PingFrame(msgspec.Struct, frozen=True, array_like=True, gc=False, tag=7):
    """Asks for a sign of life."""


class PongFrame(msgspec.Struct, frozen=True, array_like=True, gc=False, tag=8):
    """The answer to a ping."""


class GoAwayFrame(msgspec.Struct, frozen=True, array_like=True, gc=False, tag=9):
    """The sender takes no further calls on this connection."""


Frame = (
    CallFrame
    | AnswerFrame
    | BodyFrame
    | EndFrame
    | CreditFrame
    | CancelFrame
    | PingFrame
    | PongFrame
    | GoAwayFrame
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Frame)


def encode_frame(frame: Frame) -> bytes:
    """Return a frame's bytes, its length in front."""
    content = _encoder.encode(frame)
    return len(content).to_bytes(LENGTH_BYTES, "big") + content


class FrameReader:
    """Cuts a connection's bytes into frames."""

    def __init__(self) -> None:
        self._pending = bytearray()
        #: Bytes of the pending frame, its length included, as far as they are known.
        self._n_wanted_bytes = LENGTH_BYTES

    @property
    def n_pending_bytes(self) -> int:
        """Bytes of a frame that has not wholly arrived."""
        return len(self._pending)

    def feed(self, data: bytes) -> Iterator[Frame]:
        """Take in bytes and give the frames that are whole by now.

        :raises FrameError: when the bytes are not frames.
        """
        if self._pending:
            self._pending += data
            if len(self._pending) < self._n_wanted_bytes:
                # Copying a long frame for each piece of it would take quadratic time.
                return
            data = bytes(self._pending)
            self._pending.clear()
        begin, n_bytes = 0, len(data)
        self._n_wanted_bytes = LENGTH_BYTES
        while n_bytes - begin >= LENGTH_BYTES:
            body_at = begin + LENGTH_BYTES
            length = int.from_bytes(data[begin:body_at], "big")
            if length > MAX_FRAME_BYTES:
                raise FrameError(f"a frame of {length} bytes")
            if body_at + length > n_bytes:
                self._n_wanted_bytes = LENGTH_BYTES + length
                break
            begin = body_at + length
            yield _decode(data[body_at:begin])
        if begin < n_bytes:
            self._pending += data[begin:]


def _decode(content: bytes) -> Frame:
    try:
        return _decoder.decode(content)
    except msgspec.DecodeError as error:
        raise FrameError(f"not a frame: {error}") from error
