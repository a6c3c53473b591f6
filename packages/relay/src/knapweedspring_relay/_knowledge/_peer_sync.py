"""Reads configuration and directory from peers while the store does not answer."""

import asyncio
import random
from collections.abc import Awaitable, Callable

from knapweedspring_relay._clock import now_s
from knapweedspring_relay._crash_records import CrashRecords
from knapweedspring_relay._errors import CallError
from knapweedspring_relay._http_client import ConnectionPool
from knapweedspring_relay._knowledge._declared_state import DeclaredState
from knapweedspring_relay._knowledge._directory import Directory
from knapweedspring_relay._knowledge._peer_pages import (
    decode_peer_snapshot,
    peer_page_target,
)
from knapweedspring_relay._knowledge._peer_snapshot import apply_peer_snapshot
from knapweedspring_relay._knowledge._position import ORIGIN
from knapweedspring_relay._knowledge._skipped_entries import SkippedEntryReporter
from knapweedspring_relay._knowledge._store_health import StoreHealth
from knapweedspring_relay._logs import DecisionLog
from knapweedspring_relay._messages import encode_request
from knapweedspring_relay._upstream_process import UpstreamProcess

__all__ = ["PeerSync"]

#: Time between two queries to peers by a node that cannot reach the store, in seconds.
PEER_QUERY_PERIOD_S = 0.7
#: Timeout of a query to a peer, in seconds.
PEER_TIMEOUT_S = 1.0
#: Time for which calls to the store must have been failing before peers are queried,
#: in seconds.
STORE_FAILING_S = 1.0
#: Time after which a node reads a configuration from the store that is known to exist
#: and that no peer has supplied, in seconds.
OVERDUE_S = 0.6
#: Number of peers that are told of a leaving which the store did not confirm. Each node
#: asks a peer in about each 0.7 s while the store is away, and so learns of it.
N_TOLD_PEERS = 3
#: Limit on the size of a peer's page, in bytes: a directory of tens of thousands of
#: nodes and the largest object of a store.
MAX_PAGE_BYTES = 16 * 1_048_576


class PeerSync:
    """Reads configuration and directory from peers.

    :param state: the configuration in force.
    :param directory: directory of the gates, whose nodes are queried.
    :param crashes: refused requests.
    :param skipped: reports entries that cannot be used.
    :param pool: connections to other nodes.
    :param health: state of the store.
    :param node: name of this node.
    :param on_change: called after each change of the directory.
    :param read_configuration: reads the configuration from the store.
    :param rng: chooses the peer and the jitter.
    :param log: decision log.
    """

    def __init__(
        self,
        state: DeclaredState,
        directory: Directory,
        crashes: CrashRecords,
        skipped: SkippedEntryReporter,
        pool: ConnectionPool,
        health: StoreHealth,
        node: str,
        on_change: Callable[[], None],
        read_configuration: Callable[[], Awaitable[bool]],
        rng: random.Random,
        log: DecisionLog,
    ) -> None:
        self._state = state
        self._directory = directory
        self._crashes = crashes
        self._skipped = skipped
        self._pool = pool
        self._health = health
        self._node = node
        self._on_change = on_change
        self._read_configuration = read_configuration
        self._newer_since: float | None = None
        self._rng = rng
        self._log = log

    async def run(self) -> None:
        """Query peers while the store fails or a peer has a newer configuration."""
        while True:
            await asyncio.sleep(PEER_QUERY_PERIOD_S * self._rng.uniform(0.7, 1.3))
            is_store_failing = (
                self._health.failing_duration_s(now_s()) > STORE_FAILING_S
            )
            if is_store_failing or self._state.newer_exists.is_set():
                peers = self._directory.entries.values()
                addresses = [p.knowledge_address for p in peers if p.node != self._node]
                if addresses:
                    await self.query(self._rng.choice(addresses))
            await self._read_overdue_configuration()

    async def _read_overdue_configuration(self) -> None:
        """Read the store when no peer has supplied a newer configuration in time."""
        if not self._state.newer_exists.is_set():
            self._newer_since = None
            return
        now = now_s()
        if self._newer_since is None:
            self._newer_since = now
        elif now - self._newer_since > OVERDUE_S:
            self._newer_since = now
            await self._read_configuration()

    async def tell_leaving(self, process: UpstreamProcess) -> int:
        """Tell some peers that the upstream beside this node leaves.

        :param process: the process that leaves.
        :return: number of peers that answered.
        """
        peers = self._directory.entries.values()
        addresses = [p.knowledge_address for p in peers if p.node != self._node]
        chosen = self._rng.sample(addresses, min(N_TOLD_PEERS, len(addresses)))
        answered = await asyncio.gather(*(self.query(a, process) for a in chosen))
        return sum(answered)

    async def query(self, address: str, leaving: UpstreamProcess | None = None) -> bool:
        """Read the page of a peer and apply it.

        :param address: knowledge or heartbeat address of the peer, as ``ip:port``.
        :param leaving: a process beside this node that leaves, for the peer to know;
            None when there is none.
        :return: whether the peer answered and knows a directory.
        """
        version, position = self._state.version, self._directory.position
        path = peer_page_target(version, position, leaving)
        data = encode_request(b"GET", path, [(b"host", address.encode())], b"")
        try:
            async with asyncio.timeout(PEER_TIMEOUT_S):
                answer = await self._pool.call(address, data)
                body = await answer.read_all(MAX_PAGE_BYTES)
        except (CallError, TimeoutError):
            # The peer may have ended; the next period chooses a peer again.
            return False
        snapshot = decode_peer_snapshot(body)
        if snapshot is None:
            self._log.write_state("peer:malformed", peer=address)
            return False
        self._health.observe_era(snapshot.position.era)
        if apply_peer_snapshot(
            snapshot,
            self._state,
            self._directory,
            self._crashes,
            self._skipped,
            now_s(),
        ):
            self._log.write_state(
                "directory:from-peer",
                era=snapshot.position.era,
                revision=snapshot.position.revision,
                n_entries=len(snapshot.entries or ()),
                peer=address,
            )
            self._on_change()
        return snapshot.position != ORIGIN
