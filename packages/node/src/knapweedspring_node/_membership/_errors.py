"""Errors of the membership layer, returned inside ``result.Err``."""

from dataclasses import dataclass

__all__ = [
    "AddressUnusable",
    "KeysInvalid",
    "MembershipError",
    "MessageInvalid",
    "PeerBusy",
    "PeerUnknown",
    "PeerUnreachable",
]


@dataclass(frozen=True, slots=True)
class MembershipError:
    """Base of the errors of membership and control messages."""

    #: Description for logs and operators.
    detail: str

    def __str__(self) -> str:
        return f"{type(self).__name__}: {self.detail}"


@dataclass(frozen=True, slots=True)
class AddressUnusable(MembershipError):
    """The control address cannot be bound or advertised."""


@dataclass(frozen=True, slots=True)
class KeysInvalid(MembershipError):
    """The key pair is missing or malformed."""


@dataclass(frozen=True, slots=True)
class MessageInvalid(MembershipError):
    """A peer sent bytes that are not a valid message of this version."""


@dataclass(frozen=True, slots=True)
class PeerBusy(MembershipError):
    """The queue of requests to the peer is full or closed; nothing was sent."""


@dataclass(frozen=True, slots=True)
class PeerUnknown(MembershipError):
    """The text is neither the node ID of a member nor an address."""


@dataclass(frozen=True, slots=True)
class PeerUnreachable(MembershipError):
    """No reply arrived in time; the request may have been received."""
