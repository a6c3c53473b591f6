"""Position in the history of the store."""

from typing import NamedTuple

__all__ = ["ORIGIN", "StorePosition"]


class StorePosition(NamedTuple):
    """A revision of the store together with the era in which the store assigned it.

    A store that is restored from an older copy begins a new era and assigns revisions
    again that it had assigned before, so revisions of different eras are unrelated. A
    position compares as newer by its era first, then by its revision.
    """

    #: Number of the era; 0 when the store reports none.
    era: int
    #: Revision within the era; 0 before the first one.
    revision: int


#: Position before any answer of the store.
ORIGIN = StorePosition(0, 0)
