"""Choice of the peers of a node: a few neighbours, whatever the size of the mesh.

Inside a data centre, each node probes its successors on a ring of hashed node IDs, so
that every node is probed by another node. It also probes a few neighbours chosen by
rendezvous hashing, which keep the diameter of the graph small. Between data centres,
only relays probe and push to each other. The relays of a data centre are the first few
of its live nodes in the order of their hashes.
"""

import functools
import random
import threading
import time

from knapweedspring_core import Member
from knapweedspring_node._membership._digest import hash_64
from knapweedspring_node._membership._table import LIVE_STATES, MemberTable

__all__ = ["N_RELAYS", "Topology", "relays_of"]

#: Number of successors on the ring that a node probes.
N_SUCCESSORS = 2
#: Number of neighbours inside the data centre chosen by rendezvous hashing; some may
#: also be successors.
N_EXTRA_NEIGHBOURS = 4
#: Number of relays of one data centre.
N_RELAYS = 3
#: Number of relays of every other data centre that a relay has as neighbours.
N_REMOTE_RELAYS = 2
#: Number of peers asked to probe a member indirectly.
N_INDIRECT_PROBERS = 3
#: Shortest time in seconds between two choices of the neighbours, while the node has
#: more neighbours than :data:`N_SUCCESSORS`.
REFRESH_MIN_S = 2.0

_RELAY_CACHE_SIZE = 16_384


@functools.lru_cache(maxsize=_RELAY_CACHE_SIZE)
def _relay_rank(node_id: str) -> int:
    return hash_64(f"relay {node_id}")


@functools.lru_cache(maxsize=_RELAY_CACHE_SIZE)
def _ring_position(node_id: str) -> int:
    return hash_64(f"ring {node_id}")


def relays_of(members: list[Member]) -> list[Member]:
    """Return the relays among the live members of one data centre."""
    return sorted(members, key=lambda member: _relay_rank(member.node_id))[:N_RELAYS]


class Topology:
    """Chooses peers from the live members.

    :param table: holds the members to choose from.
    :param node_id: node ID of this node.
    :param data_centre: data centre of this node.
    :param seed: seed of the random choices.
    """

    def __init__(
        self, table: MemberTable, node_id: str, data_centre: str, seed: int
    ) -> None:
        self._table = table
        self._node_id = node_id
        self._data_centre = data_centre
        self._random = random.Random(seed)
        self._lock = threading.Lock()
        self._live_version = -1
        self._refreshed_at = 0.0
        self._live_by_data_centre: dict[str, list[Member]] = {}
        self._neighbour_ids: tuple[str, ...] = ()

    @property
    def is_relay(self) -> bool:
        """Whether this node exchanges messages with other data centres."""
        relays = relays_of(self._live_members(self._data_centre))
        return any(relay.node_id == self._node_id for relay in relays)

    @property
    def data_centres(self) -> tuple[str, ...]:
        """Data centres that have live members."""
        self._refresh_if_due()
        return tuple(self._live_by_data_centre)

    def n_live(self, data_centre: str) -> int:
        """Return the number of live members of a data centre."""
        return len(self._live_members(data_centre))

    def neighbours(self) -> list[Member]:
        """Return the peers that this node probes and pushes updates to."""
        self._refresh_if_due()
        found = (self._table.find(node_id) for node_id in self._neighbour_ids)
        return [
            member
            for member in found
            if member is not None and member.state in LIVE_STATES
        ]

    def random_peer(self) -> Member | None:
        """Return a random live peer, or None without peers.

        The peer is of this node's data centre. A relay with neighbours in other data
        centres gets one of these half of the time, and always when it has no peers
        in its own data centre.
        """
        self._refresh_if_due()
        with self._lock:
            peers = self._peers(self._data_centre)
            remote = [
                member
                for member in self._cached_neighbours()
                if member.data_centre != self._data_centre
            ]
            if remote and (not peers or self._random.random() < 0.5):
                return self._random.choice(remote)
            return self._random.choice(peers) if peers else None

    def indirect_probers(self, target: Member) -> list[Member]:
        """Return the peers that probe a member on behalf of this node.

        For a target in this node's data centre, the peers are of this data centre too.
        For any other target, they come from as many data centres as possible except
        this node's, so that a broken link between two data centres does not look
        like a failure of the target.

        :param target: the member to probe.
        """
        self._refresh_if_due()
        with self._lock:
            groups = [
                [peer for peer in self._peers(name) if peer.node_id != target.node_id]
                for name in self._live_by_data_centre
                if name != self._data_centre or name == target.data_centre
            ]
            if target.data_centre == self._data_centre:
                groups = [
                    [peer for peer in group if peer.data_centre == self._data_centre]
                    for group in groups
                ]
            return self._sample_evenly(groups)

    def choose_address(self, candidates: list[str]) -> str:
        """Return a random one of several addresses."""
        with self._lock:
            return self._random.choice(candidates)

    def shuffled(self, members: list[Member]) -> list[Member]:
        """Return the members in random order."""
        with self._lock:
            return self._random.sample(members, len(members))

    def reselect_neighbours(self) -> None:
        """Choose the neighbours again, regardless of :data:`REFRESH_MIN_S`."""
        with self._lock:
            self._rebuild_peers(self._table.live_version, time.monotonic())

    def _sample_evenly(self, groups: list[list[Member]]) -> list[Member]:
        """Return up to ``N_INDIRECT_PROBERS`` random members, taking groups in turn."""
        groups = [self._random.sample(group, len(group)) for group in groups if group]
        chosen: list[Member] = []
        while groups and len(chosen) < N_INDIRECT_PROBERS:
            for group in groups:
                chosen.append(group.pop())
            groups = [group for group in groups if group]
        return chosen[:N_INDIRECT_PROBERS]

    def _live_members(self, data_centre: str) -> list[Member]:
        self._refresh_if_due()
        return self._live_by_data_centre.get(data_centre, [])

    def _peers(self, data_centre: str) -> list[Member]:
        members = self._live_by_data_centre.get(data_centre, [])
        return [member for member in members if member.node_id != self._node_id]

    def _cached_neighbours(self) -> list[Member]:
        """Return the neighbours as of the last refresh; the caller holds the lock."""
        wanted = frozenset(self._neighbour_ids)
        return [
            member
            for members in self._live_by_data_centre.values()
            for member in members
            if member.node_id in wanted
        ]

    def _refresh_if_due(self) -> None:
        with self._lock:
            version = self._table.live_version
            now_s = time.monotonic()
            if version == self._live_version or (
                len(self._neighbour_ids) > N_SUCCESSORS
                and now_s - self._refreshed_at < REFRESH_MIN_S
            ):
                return
            self._rebuild_peers(version, now_s)

    def _rebuild_peers(self, version: int, now_s: float) -> None:
        """Group the live members by data centre and choose the neighbours."""
        self._live_version = version
        self._refreshed_at = now_s
        groups: dict[str, list[Member]] = {}
        for member in self._table.members:
            if member.state in LIVE_STATES:
                groups.setdefault(member.data_centre, []).append(member)
        self._live_by_data_centre = groups
        self._neighbour_ids = tuple(dict.fromkeys(self._choose_neighbours()))

    def _choose_neighbours(self) -> list[str]:
        local_members = self._live_by_data_centre.get(self._data_centre, [])
        return (
            self._successors(local_members)
            + self._extra_neighbours(local_members)
            + self._remote_relays(local_members)
        )

    def _successors(self, local_members: list[Member]) -> list[str]:
        node_ids = sorted(
            (member.node_id for member in local_members), key=_ring_position
        )
        if self._node_id not in node_ids:
            return []
        position = node_ids.index(self._node_id)
        ring = node_ids[position + 1 :] + node_ids[:position]
        return ring[:N_SUCCESSORS]

    def _extra_neighbours(self, local_members: list[Member]) -> list[str]:
        def rank(node_id: str) -> int:
            return hash_64(f"{self._node_id} {node_id}")

        node_ids = [
            member.node_id
            for member in local_members
            if member.node_id != self._node_id
        ]
        return sorted(node_ids, key=rank)[:N_EXTRA_NEIGHBOURS]

    def _remote_relays(self, local_members: list[Member]) -> list[str]:
        relay_ids = [relay.node_id for relay in relays_of(local_members)]
        if self._node_id not in relay_ids:
            return []
        position = relay_ids.index(self._node_id)
        chosen = []
        for name, members in self._live_by_data_centre.items():
            if name == self._data_centre:
                continue
            remote = relays_of(members)
            for offset in range(min(N_REMOTE_RELAYS, len(remote))):
                chosen.append(remote[(position + offset) % len(remote)].node_id)
        return chosen
