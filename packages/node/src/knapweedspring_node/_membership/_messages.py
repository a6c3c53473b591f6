"""Control messages between nodes and their framing.

A request is four frames: kind, firm, control address of the sender, payload.
A reply is two: kind and payload. Each request gets exactly one reply on the
connection that it came by.
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

#: Payloads below this size are sent as they are.
COMPRESSION_MIN_BYTES = 512
#: Bound of a decompressed payload, against a faulty peer.
PAYLOAD_MAX_BYTES = 64 * 1024 * 1024

_PLAIN = b"\x00"
_DEFLATED = b"\x01"


class Kind(IntEnum):
    """First frame of a message."""

    #: A :class:`Gossip` that asks whether the peer lives; answered by another.
    PING = 1
    #: A :class:`Gossip` with news; answered by :attr:`DONE`.
    PUSH = 2
    #: A :class:`ProbeRequest`; answered by a :class:`ProbeReport`.
    PROBE = 3
    #: :class:`Digests`; answered by :class:`Entries`.
    DIGESTS = 4
    #: :class:`Entries`; answered by :attr:`DONE`.
    ENTRIES = 5
    #: Bytes of another layer, answered by bytes.
    ASK = 6
    #: Empty reply.
    DONE = 7
    #: Reply to a message that the peer does not take.
    REFUSED = 8


@dataclass(frozen=True, slots=True)
class Gossip:
    """Probe, reply to a probe, or news."""

    #: Name of the sender.
    sender: str
    #: Name of the node that the sender means to reach; empty for any.
    target: str
    #: Time of sending.
    stamp: Stamp
    #: Digest of the sender's live members.
    members_digest: int
    #: Digest of the sender's declarations.
    records_digest: int
    #: Entries that changed.
    members: tuple[Member, ...] = ()
    #: Declarations that changed.
    records: tuple[ObjectRecord, ...] = ()


@dataclass(frozen=True, slots=True)
class ProbeRequest:
    """Asks a peer to probe a third node."""

    #: Name of the node to probe.
    target: str
    #: Its control address.
    target_address: str


@dataclass(frozen=True, slots=True)
class ProbeReport:
    """Result of an indirect probe."""

    #: Whether the third node replied to the peer.
    reached: bool


@dataclass(frozen=True, slots=True)
class Digests:
    """Digest of each bucket of members and declarations."""

    #: Concatenated digests of the member buckets.
    members: bytes
    #: Concatenated digests of the declaration buckets.
    records: bytes


@dataclass(frozen=True, slots=True)
class Entries:
    """Content of the buckets that differ between two nodes."""

    #: Numbers of the member buckets that differ.
    member_buckets: tuple[int, ...]
    #: Numbers of the declaration buckets that differ.
    record_buckets: tuple[int, ...]
    #: Members of these buckets.
    members: tuple[Member, ...]
    #: Declarations of these buckets.
    records: tuple[ObjectRecord, ...]


@dataclass(frozen=True, slots=True)
class Request:
    """One request as it arrived."""

    #: Routing frame that leads back to the sender.
    route: bytes
    #: What it is.
    kind: Kind
    #: Firm that the sender says it belongs to.
    firm: str
    #: Control address of the sender.
    sender_address: str
    #: Packed payload.
    payload: bytes


def pack(message: object) -> bytes:
    """Encode a message, compressed when it is large."""
    data = encode(message)
    if len(data) < COMPRESSION_MIN_BYTES:
        return _PLAIN + data
    return _DEFLATED + zlib.compress(data, 1)


def unpack(payload: bytes, message_type: type[T]) -> Result[T, MembershipError]:
    """Decode and validate what :func:`pack` made.

    :param payload: bytes from a peer.
    :param message_type: the data class that they must hold.
    """
    marker, data = payload[:1], payload[1:]
    if marker == _DEFLATED:
        inflater = zlib.decompressobj()
        try:
            data = inflater.decompress(data, PAYLOAD_MAX_BYTES)
        except zlib.error as error:
            return Err(MessageInvalid(str(error)))
    decoded = decode(data, message_type)
    if isinstance(decoded, Err):
        return Err(MessageInvalid(decoded.err_value.detail))
    return Ok(decoded.ok_value)
