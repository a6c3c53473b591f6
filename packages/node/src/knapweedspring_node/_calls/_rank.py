"""Rank of a request and the admission level that it is compared with."""

from dataclasses import dataclass

__all__ = ["DRAW_BITS", "Level", "Rank"]

#: Width of the draw, the hash of a request id.
DRAW_BITS = 32


@dataclass(frozen=True, slots=True, order=True)
class Rank:
    """Precedence of a call; the greater rank is admitted first.

    >>> Rank(2, False, 0) > Rank(1, True, 9)
    True
    """

    #: Declared priority of the request's class.
    priority: int
    #: Whether an upstream has already started to run the root request.
    started: bool
    #: Hash of the request id, the same at each hop.
    draw: int


@dataclass(frozen=True, slots=True, order=True)
class Level:
    """The lowest rank that a gate admits at present."""

    #: Calls of a lower priority are refused.
    priority: int
    #: When true, calls of equal priority are refused if their root request has not
    #: started.
    started: bool
    #: Calls of equal ``priority`` and ``started`` that have a lower draw are refused.
    draw: int

    def admits(self, rank: Rank) -> bool:
        """Return whether a call of this rank would be admitted."""
        return (rank.priority, rank.started, rank.draw) >= (
            self.priority,
            self.started,
            self.draw,
        )
