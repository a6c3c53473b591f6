"""Decides which node watches the store and which node another one follows."""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass

from knapweedspring_relay._knowledge._directory import GateEntry

__all__ = ["SourceChoice", "SourceSelector", "rank_watchers"]

#: Shortest and longest time for which a node that failed as a source is not chosen, in
#: seconds. Each further failure doubles the time. Three nodes that stand still take two
#: seconds to fail one after another; the first of them must not be chosen again before
#: the fourth.
UNUSABLE_MIN_S = 2.5
UNUSABLE_MAX_S = 8.0


def rank_watchers(
    entries: Iterable[GateEntry], data_centre: str, role: bytes = b""
) -> tuple[GateEntry, ...]:
    """Return the nodes of a data centre in the order in which they take over a role.

    The order depends on the nodes' names only, so all nodes agree on it without
    messages, and a node that joins or leaves does not change the order of the others.

    :param entries: entries of the directory.
    :param data_centre: the data centre.
    :param role: name of the role, so that different nodes take over different roles;
        empty for the watch of the store.
    """

    def rank(entry: GateEntry) -> bytes:
        name = entry.node.encode()
        return hashlib.blake2b(name, digest_size=8, person=role).digest()

    return tuple(sorted((e for e in entries if e.data_centre == data_centre), key=rank))


@dataclass(frozen=True, slots=True)
class SourceChoice:
    """Where a node gets its knowledge."""

    #: The node to follow; None when there is none.
    source: GateEntry | None
    #: Whether this node watches the store itself.
    watches: bool


@dataclass(slots=True)
class _Failures:
    """Failures of one node as a source."""

    #: Time until which the node is not chosen, on the monotonic clock, in seconds.
    unusable_until: float
    #: Length of the next time for which the node is not chosen, in seconds.
    next_s: float


class SourceSelector:
    """Chooses the source of one node from the ranked nodes of its data centre.

    The first usable node in the ranking watches the store and the others follow it.
    When it fails, each follower moves to the next one, which finds out in the same way
    that it is now the first. Nodes that disagree for a moment only cause a second
    watcher.

    :param node: name of this node.
    :param data_centre: this node's data centre.
    :param role: name of the role; see :func:`rank_watchers`.
    """

    def __init__(self, node: str, data_centre: str, role: bytes = b"") -> None:
        self._node = node
        self._role = role
        self._data_centre = data_centre
        self._failures: dict[str, _Failures] = {}
        self._ranked: tuple[GateEntry, ...] = ()

    @property
    def has_nodes(self) -> bool:
        """Whether a node of the data centre is known."""
        return bool(self._ranked)

    def set_entries(self, entries: tuple[GateEntry, ...]) -> None:
        """Replace the known nodes.

        :param entries: entries of the directory.
        """
        self._ranked = rank_watchers(entries, self._data_centre, self._role)
        known = {entry.node for entry in self._ranked}
        for node in self._failures.keys() - known:
            del self._failures[node]

    def choose(self, is_store_failing: bool, now: float) -> SourceChoice:
        """Return the source of this node.

        A node that is first but cannot reach the store keeps trying, and follows the
        next usable node meanwhile.

        :param is_store_failing: whether this node's calls to the store fail.
        :param now: monotonic time, in seconds.
        """
        watches = False
        for entry in self._ranked:
            if entry.node == self._node:
                if not is_store_failing:
                    return SourceChoice(None, True)
                watches = True
            elif self._is_usable(entry.node, now):
                return SourceChoice(entry, watches)
        return SourceChoice(None, True)

    def record_failure(self, node: str, now: float) -> None:
        """Record that a node was unreachable, silent, or does not watch the store.

        :param node: name of the node.
        :param now: monotonic time, in seconds.
        """
        failures = self._failures.get(node)
        length_s = failures.next_s if failures is not None else UNUSABLE_MIN_S
        next_s = min(UNUSABLE_MAX_S, 2.0 * length_s)
        self._failures[node] = _Failures(now + length_s, next_s)

    def record_success(self, node: str) -> None:
        """Record that a node is a working source.

        :param node: name of the node.
        """
        self._failures.pop(node, None)

    def _is_usable(self, node: str, now: float) -> bool:
        failures = self._failures.get(node)
        return failures is None or failures.unusable_until <= now
