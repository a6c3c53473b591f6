"""Frames between nodes, which multiplex concurrent calls over one connection."""

import math
import struct
from abc import ABC, abstractmethod

import msgspec

from knapweedspring_relay._errors import RelayError
from knapweedspring_relay._hop import GateReport, HopCall
from knapweedspring_relay._requests import COPIED_BODY_BYTES, Body, ForwardedRequest
from knapweedspring_relay._upstream_process import UpstreamProcess

__all__ = [
    "AnswerFrame",
    "BodyFrame",
    "CallFrame",
    "CancelFrame",
    "CrashFrame",
    "CreditFrame",
    "EndFrame",
    "Frame",
    "FrameError",
    "FrameSender",
    "LENGTH_PREFIX_BYTES",
    "FollowFrame",
    "GoAwayFrame",
    "KnowledgeFrame",
    "LongCallFrame",
    "PingFrame",
    "PongFrame",
    "QuotaGrantFrame",
    "QuotaLeaseAckFrame",
    "QuotaLeaseFrame",
    "QuotaLoan",
    "QuotaLoanFrame",
    "QuotaLoanRequestFrame",
    "QuotaRequestFrame",
    "QuotaReturnFrame",
    "encode_call_frame",
    "encode_frame",
    "require_finite",
]

#: Bytes of the length prefix of each frame.
LENGTH_PREFIX_BYTES = 4


class FrameError(RelayError):
    """The bytes received from a peer are not valid frames."""


class CallFrame(msgspec.Struct, frozen=True, array_like=True, gc=False, tag=1):
    """A call for the upstream beside the receiver."""

    #: Id of the call's stream, unique on its connection.
    stream: int
    #: Metadata of the call.
    call: HopCall
    #: The request to forward.
    request: ForwardedRequest


class AnswerFrame(msgspec.Struct, frozen=True, array_like=True, gc=False, tag=2):
    """The outcome of a call, with the upstream's answer if there is one."""

    #: Id of the call's stream.
    stream: int
    #: Gate report on the call.
    report: GateReport
    #: Status of the upstream's answer; 0 when there is no answer to pass on.
    status: int = 0
    #: Encoded header lines of the answer.
    lines: bytes = b""
    #: Length of the body in bytes; None when it is unknown.
    length: int | None = None
    #: First part of the body, or all of it.
    body: bytes = b""
    #: Whether ``body`` is complete; otherwise body frames and an end frame follow.
    is_whole: bool = True
    #: Whether the gate reads ``CancelFrame.only_waiting``. Older nodes do not send it.
    confirms_withdrawals: bool = False


class BodyFrame(msgspec.Struct, frozen=True, array_like=True, gc=False, tag=3):
    """One piece of a streamed body."""

    #: Id of the call's stream.
    stream: int
    #: The piece.
    piece: bytes


class EndFrame(msgspec.Struct, frozen=True, array_like=True, gc=False, tag=4):
    """The end of a streamed body."""

    #: Id of the call's stream.
    stream: int
    #: Whether the body is complete; False when it is truncated.
    is_whole: bool


class CreditFrame(msgspec.Struct, frozen=True, array_like=True, gc=False, tag=5):
    """Lets the sender of a body send further bytes."""

    #: Id of the call's stream.
    stream: int
    #: Bytes that the receiver has passed on since its last credit.
    n_bytes: int


class CancelFrame(msgspec.Struct, frozen=True, array_like=True, gc=False, tag=6):
    """Cancels a call whose answer is no longer needed, or withdraws a waiting one."""

    #: Id of the call's stream.
    stream: int
    #: Whether the call is only withdrawn if it still waits, and its outcome is awaited.
    #: Older nodes cancel the call whatever its state and send no outcome.
    only_waiting: bool = False


class PingFrame(msgspec.Struct, frozen=True, array_like=True, gc=False, tag=7):
    """Checks that the peer is alive."""


class PongFrame(msgspec.Struct, frozen=True, array_like=True, gc=False, tag=8):
    """Answers a ping."""

    #: Whether the sender reads long calls. Older nodes do not send it.
    takes_long_calls: bool = False


class GoAwayFrame(msgspec.Struct, frozen=True, array_like=True, gc=False, tag=9):
    """Announces that the sender accepts no further calls on this connection."""


class FollowFrame(msgspec.Struct, frozen=True, array_like=True, gc=False, tag=10):
    """Asks the receiver to send its configuration and directory as they change."""

    #: Version of the sender's configuration; 0 when it has none.
    version: int
    #: Era of the store at the sender's directory.
    era: int
    #: Revision of the store at the sender's directory.
    revision: int
    #: Longest time between two frames that the sender expects, in seconds.
    period_s: float
    #: Processes that the sender knows to leave although their entries do not say so.
    #: Older nodes send none.
    leaving: tuple[UpstreamProcess, ...] = ()


class KnowledgeFrame(msgspec.Struct, frozen=True, array_like=True, gc=False, tag=11):
    """What the sender knows beyond what it has sent to this follower before."""

    #: Encoded snapshot of the sender's knowledge.
    content: bytes


class CrashFrame(msgspec.Struct, frozen=True, array_like=True, gc=False, tag=12):
    """An upstream that ended while it was running requests."""

    #: The process that ended.
    process: UpstreamProcess
    #: Fingerprints of the requests that it was running.
    fingerprints: tuple[bytes, ...]


class QuotaLeaseFrame(msgspec.Struct, frozen=True, array_like=True, gc=False, tag=13):
    """Lends the sender's shares of all quotas to the receiver for a short time."""

    #: Name of the sender.
    node: str
    #: Whether the shares are taken back instead.
    is_release: bool = False
    #: Time for which the sender has held the shares without using them, in seconds.
    idle_s: float = 0.0


class QuotaLeaseAckFrame(
    msgspec.Struct, frozen=True, array_like=True, gc=False, tag=17
):
    """Confirms a lease."""


class QuotaRequestFrame(msgspec.Struct, frozen=True, array_like=True, gc=False, tag=14):
    """Asks for units of a workspace's quota, one for each request to start."""

    #: Id of the question, unique on its connection.
    question: int
    #: Name of the workspace.
    workspace: str
    #: Number of units.
    n_units: int
    #: Longest time that a request may wait for its unit, in seconds.
    max_delay_s: float


class QuotaGrantFrame(msgspec.Struct, frozen=True, array_like=True, gc=False, tag=15):
    """Answers a question for units."""

    #: Id of the question.
    question: int
    #: Time after which each granted unit may be used, in seconds.
    delays_s: tuple[float, ...]
    #: Time after which a further unit would be granted, in seconds.
    retry_after_s: float
    #: Whether the sender knows the workspace and its quota.
    is_known: bool = True


class QuotaReturnFrame(msgspec.Struct, frozen=True, array_like=True, gc=False, tag=16):
    """Returns units of requests that did not run."""

    #: Name of the workspace.
    workspace: str
    #: Number of units.
    n_units: int


class QuotaLoan(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Part of one data centre's quota of a workspace that another one uses."""

    #: Name of the workspace.
    workspace: str
    #: Units per second.
    rate_per_s: float
    #: Greatest number of unused units.
    depth: float


class QuotaLoanRequestFrame(
    msgspec.Struct, frozen=True, array_like=True, gc=False, tag=18
):
    """Asks the coordinator of another data centre for unused parts of quotas."""

    #: The parts that the sender could use.
    wanted: tuple[QuotaLoan, ...]


class QuotaLoanFrame(msgspec.Struct, frozen=True, array_like=True, gc=False, tag=19):
    """Lends unused parts of quotas for a short time, in place of earlier loans."""

    #: All parts that are lent.
    loans: tuple[QuotaLoan, ...]


class LongCallFrame(msgspec.Struct, frozen=True, array_like=True, gc=False, tag=20):
    """A call whose body is longer than a frame; body frames with its parts follow.

    Sent only to nodes that have answered a ping with ``PongFrame.takes_long_calls``.
    """

    #: Id of the call's stream, unique on its connection.
    stream: int
    #: Metadata of the call.
    call: HopCall
    #: The request to forward, without its body.
    request: ForwardedRequest
    #: Length of the body, in bytes.
    n_body_bytes: int


Frame = (
    CallFrame
    | LongCallFrame
    | AnswerFrame
    | BodyFrame
    | EndFrame
    | CreditFrame
    | CancelFrame
    | PingFrame
    | PongFrame
    | GoAwayFrame
    | FollowFrame
    | KnowledgeFrame
    | CrashFrame
    | QuotaLeaseFrame
    | QuotaRequestFrame
    | QuotaGrantFrame
    | QuotaReturnFrame
    | QuotaLeaseAckFrame
    | QuotaLoanRequestFrame
    | QuotaLoanFrame
)


class FrameSender(ABC):
    """An open connection to another node."""

    @abstractmethod
    def send(self, frame: Frame) -> None:
        """Send a frame unless the connection is closed."""


_encoder = msgspec.msgpack.Encoder()
#: MessagePack's encoding of no bytes, and of the length of up to 4 GiB of bytes.
_NO_BYTES = b"\xc4\x00"
_LONG_BYTES, _LONG_BYTES_TAG = struct.Struct(">BI"), 0xC6


def encode_frame(frame: Frame) -> bytes:
    """Encode a frame with its length prefix."""
    content = _encoder.encode(frame)
    return len(content).to_bytes(LENGTH_PREFIX_BYTES, "big") + content


def encode_call_frame(frame: CallFrame) -> list[Body]:
    """Encode a call with its length prefix.

    :param frame: the call.
    :return: the parts to write; a long body is a part of its own, without a copy.
    """
    request, body = frame.request, frame.request.body
    if len(body) <= COPIED_BODY_BYTES:
        return [encode_frame(frame)]
    # The body is the last field of the last field, so its bytes end the frame.
    bodiless = msgspec.structs.replace(request, body=b"")
    content = _encoder.encode(msgspec.structs.replace(frame, request=bodiless))
    head = content[: -len(_NO_BYTES)] + _LONG_BYTES.pack(_LONG_BYTES_TAG, len(body))
    n_bytes = len(head) + len(body)
    return [n_bytes.to_bytes(LENGTH_PREFIX_BYTES, "big") + head, body]


def require_finite(*numbers: float) -> None:
    """Check numbers of a frame.

    :param numbers: numbers that must be finite and not negative.
    :raises FrameError: when one is not.
    """
    if not all(math.isfinite(number) and number >= 0 for number in numbers):
        raise FrameError("a number is not finite or negative")
