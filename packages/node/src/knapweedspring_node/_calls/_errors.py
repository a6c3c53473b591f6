"""Errors of the call path, returned inside ``result.Err``."""

from dataclasses import dataclass

__all__ = [
    "AddressInUse",
    "BadRequest",
    "CallerLeft",
    "DeadlinePassed",
    "OutboundError",
    "PeerBrokeOff",
    "PeerUnreachable",
    "MacError",
]


@dataclass(frozen=True, slots=True)
class MacError:
    """A text that this mesh did not make."""

    #: Why it was refused.
    detail: str


@dataclass(frozen=True, slots=True)
class BadRequest:
    """A caller's request that cannot be understood."""

    #: What the caller should change.
    detail: str


@dataclass(frozen=True, slots=True)
class OutboundError:
    """Base of the failures of an exchange with an upstream or another node."""

    #: Description for logs.
    detail: str


@dataclass(frozen=True, slots=True)
class PeerUnreachable(OutboundError):
    """No connection was made; the peer got no byte of the request."""


@dataclass(frozen=True, slots=True)
class PeerBrokeOff(OutboundError):
    """The exchange broke after a byte of the request may have left."""


@dataclass(frozen=True, slots=True)
class DeadlinePassed(OutboundError):
    """The deadline passed before the answer; the peer may be working on it."""


@dataclass(frozen=True, slots=True)
class CallerLeft(OutboundError):
    """The caller closed its connection; the exchange was cancelled."""


@dataclass(frozen=True, slots=True)
class AddressInUse:
    """The call address cannot be bound."""

    #: The address and the system's reason.
    detail: str

    def __str__(self) -> str:
        return self.detail
