"""Errors of the call path, returned inside ``result.Err``."""

from dataclasses import dataclass

__all__ = [
    "AddressInUse",
    "BadRequest",
    "CallerLeft",
    "DeadlinePassed",
    "NodeStopping",
    "OutboundError",
    "PeerBrokeOff",
    "PeerUnreachable",
    "MacError",
]


@dataclass(frozen=True, slots=True)
class MacError:
    """A text that is malformed or fails authentication."""

    #: Why it was rejected.
    detail: str


@dataclass(frozen=True, slots=True)
class BadRequest:
    """A malformed request of a caller."""

    #: What the caller should change.
    detail: str


@dataclass(frozen=True, slots=True)
class OutboundError:
    """Base class of failures of an exchange with an upstream or another node."""

    #: Description for logs.
    detail: str


@dataclass(frozen=True, slots=True)
class PeerUnreachable(OutboundError):
    """No connection was made; the peer received no byte of the request."""


@dataclass(frozen=True, slots=True)
class PeerBrokeOff(OutboundError):
    """The exchange failed after the peer may have received a byte of the request."""


@dataclass(frozen=True, slots=True)
class DeadlinePassed(OutboundError):
    """No answer arrived before the deadline; the peer may still run the request."""


@dataclass(frozen=True, slots=True)
class CallerLeft(OutboundError):
    """The exchange was cancelled because the caller closed its connection."""


@dataclass(frozen=True, slots=True)
class NodeStopping(OutboundError):
    """No answer arrived before this process ends; the peer may run the request."""


@dataclass(frozen=True, slots=True)
class AddressInUse:
    """The call address cannot be bound."""

    #: The address and the error of the operating system.
    detail: str

    def __str__(self) -> str:
        return self.detail
