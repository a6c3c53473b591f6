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
    #: The owner discarded its entry for the ticket after the entry's lifetime.
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
    #: Number of the attempt, from 1; unique for the ticket.
    attempt: int
    #: Index of the gate that receives or sends the message.
    gate: int
    #: Ordinal of the gate's process that the owner addressed the attempt to.
    gate_process: int
    #: Index of the call that caused the attempt; 0 in messages of other kinds.
    cause: int = 0


class Owner(NamedTuple):
    """The running process of the owner."""

    #: Ordinal of the owner's process: 1 for the process that issued the ticket.
    process: int
    phase: Phase
    #: Number of the attempt in progress; 0 for none.
    attempt: int
    gate: int
    gate_process: int
    #: Indexes of the calls that wait for the outcome; the first of these calls caused
    #: the attempts.
    waiting: tuple[int, ...]


class Gate(NamedTuple):
    """The running process of a gate with its entry for the ticket."""

    #: Ordinal of the gate's process: 1 for the first, 2 for its successor.
    process: int
    #: Highest number of an attempt that the gate started, refused or revoked; 0 for
    #: none.
    decided: int
    started: bool
    #: Whether the gate discarded its entry for the ticket after the entry's lifetime.
    expired: bool


class TicketState(NamedTuple):
    """State of the owner, the gates, the calls and the network."""

    owner: Owner
    gates: tuple[Gate, ...]
    calls: tuple[CallPhase, ...]
    network: frozenset[Message]
    #: Number of times that the request ran, over all upstreams.
    n_runs: int
    #: Number of attempts sent, over all processes of the owner.
    n_attempts: int
    #: Indexes of the calls that reached the owner.
    received: frozenset[int]
    #: Indexes of the calls that caused an attempt which ran at an upstream.
    ran_for: frozenset[int]
    #: Whether a call was answered ``not-run`` after the ticket had run.
    false_not_run: bool


#: State of the owner's first process before it sends an attempt.
INITIAL_OWNER = Owner(1, Phase.ISSUED, 0, 0, 0, ())
