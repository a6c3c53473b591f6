"""Control messages between nodes and their framing.

A request has four frames: kind, firm, control address of the sender, payload.
A reply has two frames: kind and payload. A request gets at most one reply, on the
connection on which the request arrived. Requests of other firms and requests with
malformed frames get none.
"""

import zlib
from dataclasses import dataclass
from enum import IntEnum
from typing import TypeVar

from result import Err, Ok, Result

from knapweedspring_core import Member, ObjectRecord, Stamp, decode, encode
from knapweedspring_node._membership._errors import MembershipError, MessageInvalid

__all__ = [
    "Digests",
    "Entries",
    "Gossip",
    "Kind",
    "ProbeReport",
    "ProbeRequest",
    "Request",
    "pack",
    "unpack",
]

T = TypeVar("T")

#: Payloads below this size are sent uncompressed.
COMPRESSION_MIN_BYTES = 512
#: Largest payload of a decompressed message and largest frame that the control server
#: accepts, which bounds the memory a faulty peer can use. A longer payload is cut off
#: and fails to decode.
PAYLOAD_MAX_BYTES = 64 * 1024 * 1024

_PLAIN = b"\x00"
_DEFLATED = b"\x01"


class Kind(IntEnum):
    """Kind of a message, its first frame."""

    #: A :class:`Gossip` sent as a liveness probe; answered by a :class:`Gossip`.
    PING = 1
    #: A :class:`Gossip` with updates; answered by :attr:`DONE`.
    PUSH = 2
    #: A :class:`ProbeRequest`; answered by a :class:`ProbeReport`.
    PROBE = 3
    #: :class:`Digests`; answered by :class:`Entries`.
    DIGESTS = 4
    #: :class:`Entries`; answered by :attr:`DONE`.
    ENTRIES = 5
    #: Opaque bytes of another layer; answered by opaque bytes.
    ASK = 6
    #: Empty reply.
    DONE = 7
    #: Reply to a request that the receiver rejects; the payload is the reason as text.
    REFUSED = 8


@dataclass(frozen=True, slots=True)
class Gossip:
    """A probe, the reply to a probe, or a push of updates."""

    #: Node ID of the sender.
    sender: str
    #: Node ID of the intended receiver; empty when the sender does not name one.
    target: str
    #: Time of sending.
    stamp: Stamp
    #: Digest of the sender's live members.
    members_digest: int
    #: Digest of the sender's declarations.
    records_digest: int
    #: Entries for the receiver to merge.
    members: tuple[Member, ...] = ()
    #: Declarations for the receiver to merge.
    records: tuple[ObjectRecord, ...] = ()


@dataclass(frozen=True, slots=True)
class ProbeRequest:
    """Asks a peer to probe a third node."""

    #: Node ID of the node to probe.
    target: str
    #: Control address of the node to probe.
    target_address: str


@dataclass(frozen=True, slots=True)
class ProbeReport:
    """Result of an indirect probe."""

    #: Whether the probed node replied.
    reached: bool


@dataclass(frozen=True, slots=True)
class Digests:
    """Digest of each bucket of members and declarations."""

    #: Concatenated digests of the member buckets; empty when the two nodes have equal
    #: digests of all live members.
    members: bytes
    #: Concatenated digests of the declaration buckets; empty when the two nodes have
    #: equal digests of all declarations.
    records: bytes


@dataclass(frozen=True, slots=True)
class Entries:
    """Entries of the buckets that differ between two nodes."""

    #: Numbers of the member buckets that differ.
    member_buckets: tuple[int, ...]
    #: Numbers of the declaration buckets that differ.
    record_buckets: tuple[int, ...]
    #: Members in ``member_buckets``.
    members: tuple[Member, ...]
    #: Declarations in ``record_buckets``.
    records: tuple[ObjectRecord, ...]


@dataclass(frozen=True, slots=True)
class Request:
    """A received request."""

    #: ZeroMQ routing frame that identifies the connection to the sender.
    route: bytes
    #: Message kind.
    kind: Kind
    #: Name of the firm, as the sender states it.
    firm: str
    #: Control address of the sender.
    sender_address: str
    #: Packed payload.
    payload: bytes


def pack(message: object) -> bytes:
    """Encode a message and compress it when it is large."""
    data = encode(message)
    if len(data) < COMPRESSION_MIN_BYTES:
        return _PLAIN + data
    return _DEFLATED + zlib.compress(data, 1)


def unpack(payload: bytes, message_type: type[T]) -> Result[T, MembershipError]:
    """Decode and validate a payload made by :func:`pack`.

    :param payload: bytes from a peer.
    :param message_type: the expected data class.
    :return: the message, or :class:`MessageInvalid`.
    """
    marker, data = payload[:1], payload[1:]
    if marker == _DEFLATED:
        decompressor = zlib.decompressobj()
        try:
            data = decompressor.decompress(data, PAYLOAD_MAX_BYTES)
        except zlib.error as error:
            return Err(MessageInvalid(str(error)))
    decoded = decode(data, message_type)
    if isinstance(decoded, Err):
        return Err(MessageInvalid(decoded.err_value.detail))
    return Ok(decoded.ok_value)
