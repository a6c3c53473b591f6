"""State of the specification of tickets: owner, gates, calls and messages."""

from enum import IntEnum, auto
from typing import NamedTuple

__all__ = [
    "CallPhase",
    "Gate",
    "Kind",
    "Message",
    "NOBODY",
    "Owner",
    "Phase",
    "TicketState",
]


class Phase(IntEnum):
    """What the owner's process knows of the ticket."""

    ISSUED = auto()
    TRYING = auto()
    REVOKING = auto()
    RAN = auto()
    UNKNOWN = auto()
    FORGOTTEN = auto()


class CallPhase(IntEnum):
    """State of one call with the ticket, seen from the caller's node."""

    UNSENT = auto()
    SENT = auto()
    NOT_RUN = auto()
    UNKNOWN = auto()
    RAN = auto()


class Kind(IntEnum):
    """Messages between owner and gates."""

    ATTEMPT = auto()
    REVOKE = auto()
    RAN = auto()
    REFUSED = auto()
    REVOKED = auto()
    STARTED = auto()


class Message(NamedTuple):
    """A message about one attempt; never removed from the network."""

    kind: Kind
    #: Number of the attempt, unique for the ticket.
    attempt: int
    #: Gate that it goes to or comes from.
    gate: int
    #: Process of the gate that was meant, or that answered.
    gate_process: int
    #: Call that caused the attempt; only attempts carry it.
    cause: int = 0


class Owner(NamedTuple):
    """The running process of the owner."""

    process: int
    phase: Phase
    #: Number of the last attempt.
    attempt: int
    gate: int
    gate_process: int
    #: Calls that wait for the outcome; the first is the cause of the attempts.
    waiting: tuple[int, ...]


class Gate(NamedTuple):
    """What the running process of a gate keeps of the ticket."""

    process: int
    #: Highest attempt that was answered or revoked.
    decided: int
    started: bool
    #: The entry was dropped after its lifetime.
    forgotten: bool


class TicketState(NamedTuple):
    """State of the whole."""

    owner: Owner
    gates: tuple[Gate, ...]
    calls: tuple[CallPhase, ...]
    network: frozenset[Message]
    #: Runs at any upstream.
    n_runs: int
    #: Attempts made so far.
    n_attempts: int
    #: Calls that reached the owner.
    received: frozenset[int]
    #: Calls that caused a run.
    ran_for: frozenset[int]
    #: A call was told ``not-run`` after the ticket had run.
    false_not_run: bool


NOBODY = Owner(1, Phase.ISSUED, 0, 0, 0, ())
