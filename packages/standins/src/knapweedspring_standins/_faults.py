"""Faults that the fault proxy puts between two processes."""

from abc import ABC
from dataclasses import dataclass
from enum import Enum
from random import Random

__all__ = [
    "BlackHole",
    "CutAfter",
    "CutOff",
    "Delay",
    "Direction",
    "Fault",
    "HalfOpen",
    "RateLimit",
    "Reorder",
]


class Direction(Enum):
    """Way of the bytes through the proxy."""

    #: From the side that connected.
    TO_TARGET = "to-target"
    #: Towards the side that connected.
    TO_CALLER = "to-caller"


BOTH = frozenset(Direction)


class Fault(ABC):  # noqa: B024
    """A fault; each hook's default behaviour is to do no harm."""

    __slots__ = ()

    def refuses(self) -> bool:
        """Whether connections are reset at once, open ones included."""
        return False

    def holds(self, direction: Direction) -> bool:
        """Whether bytes of a direction are kept back while it is in force."""
        return False

    def delay_s(self, direction: Direction, random: Random) -> float:
        """Seconds by which the next bytes are late."""
        return 0.0

    def limit_bytes(self, direction: Direction) -> int | None:
        """Bytes after which a connection is broken; None for no limit."""
        return None

    def cuts_in_order(self) -> bool:
        """Whether a limit ends connections with a close instead of a reset."""
        return False

    def bytes_per_s(self, direction: Direction) -> float | None:
        """Most bytes a second on one connection; None for no limit."""
        return None

    def hides_close(self, direction: Direction) -> bool:
        """Whether the end of one side is kept from the other."""
        return False


@dataclass(frozen=True, slots=True)
class Delay(Fault):
    """Makes bytes late."""

    #: Seconds, at least.
    seconds: float
    #: Further seconds, drawn uniformly.
    jitter_s: float = 0.0
    #: Directions that are late.
    directions: frozenset[Direction] = BOTH

    def delay_s(self, direction: Direction, random: Random) -> float:
        """Seconds by which the next bytes are late."""
        if direction not in self.directions:
            return 0.0
        return self.seconds + random.uniform(0.0, self.jitter_s)


@dataclass(frozen=True, slots=True)
class BlackHole(Fault):
    """Loses directions silently: nothing arrives, not even a close.

    As with lost packets of a real connection, the bytes arrive late when the
    fault ends before the processes gave up.
    """

    #: Directions that are lost.
    directions: frozenset[Direction] = BOTH

    def holds(self, direction: Direction) -> bool:
        """Whether bytes of a direction are kept back while it is in force."""
        return direction in self.directions

    def hides_close(self, direction: Direction) -> bool:
        """Whether the end of one side is kept from the other."""
        return direction in self.directions


@dataclass(frozen=True, slots=True)
class CutAfter(Fault):
    """Breaks a connection after so many bytes of one direction."""

    #: Bytes that still pass, counted from the start of the fault.
    n_bytes: int
    #: Direction that is counted.
    direction: Direction = Direction.TO_CALLER
    #: Ends with an ordinary close, as a server that gives up mid-answer.
    in_order: bool = False

    def limit_bytes(self, direction: Direction) -> int | None:
        """Bytes after which a connection is broken; None for no limit."""
        return self.n_bytes if direction is self.direction else None

    def cuts_in_order(self) -> bool:
        """Whether a limit ends connections with a close instead of a reset."""
        return self.in_order


@dataclass(frozen=True, slots=True)
class HalfOpen(Fault):
    """Keeps the end of one side from the other."""

    #: Directions in which no end is told.
    directions: frozenset[Direction] = BOTH

    def hides_close(self, direction: Direction) -> bool:
        """Whether the end of one side is kept from the other."""
        return direction in self.directions


@dataclass(frozen=True, slots=True)
class RateLimit(Fault):
    """Bounds the bytes a second of each connection."""

    #: Bytes a second.
    rate: float
    #: Directions that are bounded.
    directions: frozenset[Direction] = BOTH

    def bytes_per_s(self, direction: Direction) -> float | None:
        """Most bytes a second on one connection; None for no limit."""
        return self.rate if direction in self.directions else None


@dataclass(frozen=True, slots=True)
class Reorder(Fault):
    """Holds some chunks back, so that other connections overtake them."""

    #: Part of the chunks that are held, from 0 to 1.
    fraction: float
    #: Seconds for which they are held.
    hold_s: float
    #: Directions that are held.
    directions: frozenset[Direction] = BOTH

    def delay_s(self, direction: Direction, random: Random) -> float:
        """Seconds by which the next bytes are late."""
        if direction not in self.directions or random.random() >= self.fraction:
            return 0.0
        return self.hold_s


@dataclass(frozen=True, slots=True)
class CutOff(Fault):
    """Resets every connection, open and new."""

    def refuses(self) -> bool:
        """Whether connections are reset at once, open ones included."""
        return True
