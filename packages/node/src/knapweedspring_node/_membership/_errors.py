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
    """Base of the failures of membership and control messages."""

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
    """A peer sent bytes that hold no message of this version."""


@dataclass(frozen=True, slots=True)
class PeerBusy(MembershipError):
    """Too many requests to the peer are waiting already; nothing was sent."""


@dataclass(frozen=True, slots=True)
class PeerUnknown(MembershipError):
    """No member has this name, and it is no address."""


@dataclass(frozen=True, slots=True)
class PeerUnreachable(MembershipError):
    """No reply arrived in time; the request may have been received."""
