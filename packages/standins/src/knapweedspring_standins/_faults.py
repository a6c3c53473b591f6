"""Faults that a fault proxy injects between two processes."""

from abc import ABC
from dataclasses import dataclass
from enum import Enum
from random import Random

__all__ = [
    "BlackHole",
    "Delay",
    "Direction",
    "Fault",
    "HalfOpen",
    "RateLimit",
    "Reorder",
    "ResetConnections",
    "TruncateAfter",
]


class Direction(Enum):
    """Direction of the bytes through the proxy."""

    #: From the caller, which opened the connection, to the target.
    TO_TARGET = "to-target"
    #: From the target to the caller.
    TO_CALLER = "to-caller"


BOTH = frozenset(Direction)


class Fault(ABC):  # noqa: B024
    """Base class of faults; by default, each method leaves the traffic unchanged."""

    __slots__ = ()

    def resets_connections(self) -> bool:
        """Whether all connections are reset, including open ones."""
        return False

    def holds_bytes(self, direction: Direction) -> bool:
        """Whether bytes of a direction are held while the fault is in force."""
        return False

    def delay_s(self, direction: Direction, random: Random) -> float:
        """Delay of the next bytes, in seconds."""
        return 0.0

    def limit_bytes(self, direction: Direction) -> int | None:
        """Number of bytes after which a connection is ended; None for no limit."""
        return None

    def closes_at_limit(self) -> bool:
        """Whether a connection at its byte limit ends with a close, not a reset."""
        return False

    def bytes_per_s(self, direction: Direction) -> float | None:
        """Maximum bytes per second on one connection; None for no limit."""
        return None

    def hides_close(self, direction: Direction) -> bool:
        """Whether the proxy does not forward the sender's close in a direction."""
        return False


@dataclass(frozen=True, slots=True)
class Delay(Fault):
    """Delays all bytes by a minimum delay plus a random part."""

    #: Minimum delay in seconds.
    seconds: float
    #: Maximum additional delay in seconds, drawn uniformly.
    jitter_s: float = 0.0
    #: Directions that are delayed.
    directions: frozenset[Direction] = BOTH

    def delay_s(self, direction: Direction, random: Random) -> float:
        """Delay of the next bytes, in seconds."""
        if direction not in self.directions:
            return 0.0
        return self.seconds + random.uniform(0.0, self.jitter_s)


@dataclass(frozen=True, slots=True)
class BlackHole(Fault):
    """Delivers nothing in some directions, not even a close.

    If the fault ends before the processes close the connection, the bytes arrive
    late, like packets that TCP retransmits.
    """

    #: Directions in which nothing is delivered.
    directions: frozenset[Direction] = BOTH

    def holds_bytes(self, direction: Direction) -> bool:
        """Whether bytes of a direction are held while the fault is in force."""
        return direction in self.directions

    def hides_close(self, direction: Direction) -> bool:
        """Whether the proxy does not forward the sender's close in a direction."""
        return direction in self.directions


@dataclass(frozen=True, slots=True)
class TruncateAfter(Fault):
    """Ends a connection after a number of bytes in one direction."""

    #: Number of bytes that each connection forwards before it ends, counted from the
    #: last change of the proxy's faults.
    n_bytes: int
    #: Direction in which bytes are counted.
    direction: Direction = Direction.TO_CALLER
    #: Whether the connection ends with a close instead of a reset. A server that fails
    #: while it sends an answer also closes its connection.
    closes: bool = False

    def limit_bytes(self, direction: Direction) -> int | None:
        """Number of bytes after which a connection is ended; None for no limit."""
        return self.n_bytes if direction is self.direction else None

    def closes_at_limit(self) -> bool:
        """Whether a connection at its byte limit ends with a close, not a reset."""
        return self.closes


@dataclass(frozen=True, slots=True)
class HalfOpen(Fault):
    """Does not forward the close of one side to the other."""

    #: Directions in which a close is not forwarded.
    directions: frozenset[Direction] = BOTH

    def hides_close(self, direction: Direction) -> bool:
        """Whether the proxy does not forward the sender's close in a direction."""
        return direction in self.directions


@dataclass(frozen=True, slots=True)
class RateLimit(Fault):
    """Limits the throughput of each connection."""

    #: Maximum bytes per second in each limited direction.
    rate: float
    #: Directions that are limited.
    directions: frozenset[Direction] = BOTH

    def bytes_per_s(self, direction: Direction) -> float | None:
        """Maximum bytes per second on one connection; None for no limit."""
        return self.rate if direction in self.directions else None


@dataclass(frozen=True, slots=True)
class Reorder(Fault):
    """Delays some chunks, so that chunks of other connections arrive before them."""

    #: Fraction of the chunks that are delayed, from 0 to 1.
    fraction: float
    #: Delay of these chunks in seconds.
    chunk_delay_s: float
    #: Directions that are delayed.
    directions: frozenset[Direction] = BOTH

    def delay_s(self, direction: Direction, random: Random) -> float:
        """Delay of the next bytes, in seconds."""
        if direction not in self.directions or random.random() >= self.fraction:
            return 0.0
        return self.chunk_delay_s


@dataclass(frozen=True, slots=True)
class ResetConnections(Fault):
    """Resets every connection, open and new."""

    def resets_connections(self) -> bool:
        """Whether all connections are reset, including open ones."""
        return True
