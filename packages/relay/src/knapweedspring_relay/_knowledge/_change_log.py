"""Log of the directory's recent changes, from which followers are updated."""

from collections import deque

from knapweedspring_relay._knowledge._position import ORIGIN, StorePosition

__all__ = ["ChangeLog"]

#: Number of changes kept. A reader that is further behind gets the whole directory.
MAX_CHANGES = 512


class ChangeLog:
    """Names of the nodes whose entries changed, by position of the store.

    :param max_changes: number of changes kept.
    """

    def __init__(self, max_changes: int = MAX_CHANGES) -> None:
        self._max_changes = max_changes
        #: Position from which on the log is complete.
        self._begins_at = ORIGIN
        self._changes: deque[tuple[StorePosition, frozenset[str]]] = deque()

    def restart(self, position: StorePosition) -> None:
        """Forget all changes; the log is complete from a position on.

        :param position: position of a complete listing.
        """
        self._begins_at = position
        self._changes.clear()

    def add(self, position: StorePosition, nodes: frozenset[str]) -> None:
        """Add a change.

        :param position: position of the store after the change.
        :param nodes: nodes whose entries changed.
        """
        if not nodes:
            return
        self._changes.append((position, nodes))
        if len(self._changes) > self._max_changes:
            self._begins_at, _ = self._changes.popleft()

    def nodes_changed_since(self, position: StorePosition) -> frozenset[str] | None:
        """Return the nodes whose entries changed after a position.

        :param position: position of the reader.
        :return: the nodes; None when the log does not reach back to the position.
        """
        if position.era != self._begins_at.era or position < self._begins_at:
            return None
        changed: set[str] = set()
        for changed_at, nodes in reversed(self._changes):
            if changed_at <= position:
                break
            changed |= nodes
        return frozenset(changed)
