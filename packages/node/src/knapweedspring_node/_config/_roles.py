"""Roles of nodes towards the platform: watcher and reporter.

Each node ranks the live nodes of its data centre by rendezvous hashing. The
first ``N_WATCHERS`` nodes watch the platform; the node that ranks first also reports
status. The number of platform calls thus grows with the number of data centres and
not with the number of nodes. While membership views differ, more nodes than intended
may have a role; every role tolerates that.
"""

import functools
import hashlib
import time
from collections.abc import Callable

from knapweedspring_core import Member, MembershipView, MemberState

__all__ = ["N_WATCHERS", "Roles"]

#: Number of watchers in each data centre.
N_WATCHERS = 2

#: Seconds after its start during which a node without peers takes no role. Without it,
#: all nodes of a fleet that starts at once would watch the platform.
ALONE_GRACE_S = 1.0

#: Number of node IDs whose rendezvous weight is cached.
WEIGHT_CACHE_SIZE = 16_384


class Roles:
    """Roles of this node, computed from its current membership view.

    :param view: lists the members that the roles are computed from.
    :param node_id: node ID of this node.
    :param data_centre: data centre of this node.
    :param now: monotonic clock in seconds.
    """

    def __init__(
        self,
        view: MembershipView,
        node_id: str,
        data_centre: str,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self._view = view
        self._node_id = node_id
        self._data_centre = data_centre
        self._now = now
        self._started_at = now()
        self._ranked_from: tuple[Member, ...] | None = None
        self._ranked: tuple[str, ...] = (node_id,)

    @property
    def node_id(self) -> str:
        """Node id of this node."""
        return self._node_id

    @property
    def data_centre(self) -> str:
        """Data centre of this node."""
        return self._data_centre

    @property
    def rank(self) -> int | None:
        """Rank of this node in its data centre, 0 for the first.

        None for a node without peers until ``ALONE_GRACE_S`` after its start.
        """
        ranked = self.ranked_ids()
        alone = ranked == (self._node_id,)
        if alone and self._now() - self._started_at < ALONE_GRACE_S:
            return None
        return ranked.index(self._node_id)

    @property
    def is_watcher(self) -> bool:
        """Whether this node reads the platform for its data centre."""
        rank = self.rank
        return rank is not None and rank < N_WATCHERS

    @property
    def is_reporter(self) -> bool:
        """Whether this node writes the status object of its data centre."""
        return self.rank == 0

    def members(self) -> tuple[Member, ...]:
        """Return every known member; the same tuple until the view changes."""
        return self._view.members()

    def ranked_ids(self) -> tuple[str, ...]:
        """Return the node IDs of the data centre's live nodes, ordered by rank.

        This node is always included.
        """
        members = self._view.members()
        # A view returns the same tuple until it changes.
        if members is not self._ranked_from:
            ids = {member.node_id for member in self.live_members()}
            ranked = sorted(ids | {self._node_id}, key=_weight, reverse=True)
            self._ranked = tuple(ranked)
            self._ranked_from = members
        return self._ranked

    def live_members(self) -> tuple[Member, ...]:
        """Return the alive and suspect members of the data centre."""
        return tuple(
            member
            for member in self._view.members()
            if member.data_centre == self._data_centre
            and member.state in (MemberState.ALIVE, MemberState.SUSPECT)
        )

    def unreachable_members(self) -> tuple[Member, ...]:
        """Return the suspect and dead members of the data centre."""
        return tuple(
            member
            for member in self._view.members()
            if member.data_centre == self._data_centre
            and member.state in (MemberState.SUSPECT, MemberState.DEAD)
        )

    def reporter(self) -> Member | None:
        """Return the member that reports status; None when it is this node."""
        first = self.ranked_ids()[0]
        return None if first == self._node_id else self._view.find_member(first)

    def find_member(self, node_id: str) -> Member | None:
        """Look up a node in the membership view, whatever its data centre.

        :param node_id: node ID of the member.
        :return: the member, or None when the view does not contain it.
        """
        return self._view.find_member(node_id)


@functools.lru_cache(maxsize=WEIGHT_CACHE_SIZE)
def _weight(node_id: str) -> bytes:
    return hashlib.blake2b(node_id.encode(), digest_size=8).digest()
