"""Rank of a request and the admission level that it is compared with."""

import hashlib
from dataclasses import dataclass

__all__ = ["DRAW_BITS", "Level", "Rank", "draw_of"]

DRAW_BITS = 16


def draw_of(request_id: str) -> int:
    """Hash a request id into the draw that decides within a class.

    Every hop computes the same draw, so that an overloaded chain admits the same
    requests at each of its services.

    :param request_id: identifier of the whole request.
    :return: a number from 0 to ``2 ** DRAW_BITS - 1``; a higher one goes first.
    """
    digest = hashlib.blake2b(request_id.encode(), digest_size=2).digest()
    return int.from_bytes(digest, "big")


@dataclass(frozen=True, slots=True, order=True)
class Rank:
    """Precedence of a call; the greater rank is admitted first.

    >>> Rank(2, False, 0) > Rank(1, True, 9)
    True
    """

    #: Declared priority of the request's class.
    priority: int
    #: Whether an earlier hop of the same request has run already.
    started: bool
    #: Hash of the request id; see :func:`draw_of`.
    draw: int


@dataclass(frozen=True, slots=True, order=True)
class Level:
    """The lowest rank that a gate admits at present."""

    #: Calls of a lower priority are refused.
    priority: int
    #: Calls of equal priority with a lower draw are refused.
    draw: int

    def admits(self, rank: Rank) -> bool:
        """Tell whether a call of this rank would be admitted."""
        return (rank.priority, rank.draw) >= (self.priority, self.draw)
