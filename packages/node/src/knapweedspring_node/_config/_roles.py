"""Who in a data centre talks with the platform.

Each node ranks the live nodes of its data centre by rendezvous hashing. The
first few watch the platform, the very first also reports status. Views may
differ for a while, so that more nodes than wanted have a role; every role is
harmless when held twice. The number of platform calls thus follows the number
of data centres and not that of nodes.
"""

import functools
import hashlib
import time
from collections.abc import Callable

from knapweedspring_core import Member, MembershipView, MemberState

__all__ = ["N_WATCHERS", "Roles"]

#: Watchers in each data centre.
N_WATCHERS = 2

#: Seconds after the start in which a node without peers waits for them instead
#: of taking a role: a fleet that starts at once would else all watch.
ALONE_GRACE_S = 1.0

#: Names whose weight is remembered.
WEIGHT_CACHE_SIZE = 16_384


class Roles:
    """Tells whether this node has a role, by its present view.

    :param view: the membership view.
    :param node_id: this node.
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
        """This node."""
        return self._node_id

    @property
    def data_centre(self) -> str:
        """Data centre of this node."""
        return self._data_centre

    @property
    def rank(self) -> int | None:
        """Rank of this node in its data centre, 0 for the first.

        None while the node has no role whatever its rank, just after its start.
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
        """Every known member; the same tuple until the view changes."""
        return self._view.members()

    def ranked_ids(self) -> tuple[str, ...]:
        """Live nodes of the data centre, this one included, by rank."""
        members = self._view.members()
        # A view returns the same tuple until it changes.
        if members is not self._ranked_from:
            ids = {member.node_id for member in self.live_members()}
            ranked = sorted(ids | {self._node_id}, key=_weight, reverse=True)
            self._ranked = tuple(ranked)
            self._ranked_from = members
        return self._ranked

    def live_members(self) -> tuple[Member, ...]:
        """Live members of the data centre, as the view has them."""
        return tuple(
            member
            for member in self._view.members()
            if member.data_centre == self._data_centre
            and member.state in (MemberState.ALIVE, MemberState.SUSPECT)
        )

    def lost_members(self) -> tuple[Member, ...]:
        """Members of the data centre that are suspected or held dead."""
        return tuple(
            member
            for member in self._view.members()
            if member.data_centre == self._data_centre
            and member.state in (MemberState.SUSPECT, MemberState.DEAD)
        )

    def reporter(self) -> Member | None:
        """The member that reports status; None when it is this node."""
        first = self.ranked_ids()[0]
        return None if first == self._node_id else self._view.find(first)

    def find(self, node_id: str) -> Member | None:
        """Look a node up in the view, whatever its data centre."""
        return self._view.find(node_id)


@functools.lru_cache(maxsize=WEIGHT_CACHE_SIZE)
def _weight(node_id: str) -> bytes:
    return hashlib.blake2b(node_id.encode(), digest_size=8).digest()
