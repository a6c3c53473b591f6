"""State of the specification of tickets: owner, gates, calls and messages."""

from enum import IntEnum, auto
from typing import NamedTuple

__all__ = [
    "CallPhase",
    "Gate",
    "MessageKind",
    "Message",
    "INITIAL_OWNER",
    "Owner",
    "Phase",
    "TicketState",
]


class Phase(IntEnum):
    """State of the ticket in the owner's process."""

    ISSUED = auto()
    ATTEMPTING = auto()
    REVOKING = auto()
    RAN = auto()
    UNKNOWN = auto()
    #: The entry was discarded after its lifetime.
    EXPIRED = auto()


class CallPhase(IntEnum):
    """State of one call with the ticket at the caller's node."""

    UNSENT = auto()
    SENT = auto()
    NOT_RUN = auto()
    UNKNOWN = auto()
    RAN = auto()


class MessageKind(IntEnum):
    """Kinds of messages between owner and gates."""

    ATTEMPT = auto()
    REVOKE = auto()
    RAN = auto()
    REFUSED = auto()
    REVOKED = auto()
    STARTED = auto()


class Message(NamedTuple):
    """A message about one attempt; it is never removed from the network."""

    kind: MessageKind
    #: Number of the attempt, unique for the ticket.
    attempt: int
    #: Gate that receives or sends the message.
    gate: int
    #: Process of the gate that the message is addressed to, or that answered.
    gate_process: int
    #: Call that caused the attempt; only set in attempts.
    cause: int = 0


class Owner(NamedTuple):
    """The running process of the owner."""

    #: Number of the process, from 1.
    process: int
    phase: Phase
    #: Number of the last attempt.
    attempt: int
    gate: int
    gate_process: int
    #: Calls that wait for the outcome; the first one caused the attempts.
    waiting: tuple[int, ...]


class Gate(NamedTuple):
    """The running process of a gate with its entry for the ticket."""

    #: Number of the process, from 1.
    process: int
    #: Highest attempt that was answered or revoked.
    decided: int
    started: bool
    #: Whether the entry was discarded after its lifetime.
    expired: bool


class TicketState(NamedTuple):
    """State of the owner, the gates, the calls and the network."""

    owner: Owner
    gates: tuple[Gate, ...]
    calls: tuple[CallPhase, ...]
    network: frozenset[Message]
    #: Runs at all upstreams.
    n_runs: int
    #: Attempts sent.
    n_attempts: int
    #: Calls that reached the owner.
    received: frozenset[int]
    #: Calls whose attempt ran at an upstream.
    ran_for: frozenset[int]
    #: Whether a call was answered ``not-run`` after the ticket had run.
    false_not_run: bool


#: The owner's first process, without an attempt.
INITIAL_OWNER = Owner(1, Phase.ISSUED, 0, 0, 0, ())
