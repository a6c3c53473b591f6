"""Updates this node's configuration and directory from the store, or from peers."""

import asyncio
import random
from collections.abc import Callable
from enum import StrEnum

from result import Err, Result

from knapweedspring_core import Counters
from knapweedspring_relay._clock import now_s
from knapweedspring_relay._declared_state import DeclaredState
from knapweedspring_relay._directory import Directory, DirectorySnapshot
from knapweedspring_relay._errors import CallError
from knapweedspring_relay._http_client import ConnectionPool
from knapweedspring_relay._logs import DecisionLog
from knapweedspring_relay._messages import encode_request
from knapweedspring_relay._object_store import (
    ConfigurationRead,
    DeploymentStore,
    StoreError,
    StoreHistoryGone,
)
from knapweedspring_relay._peer_pages import PEER_PAGE_PATH, decode_peer_snapshot

__all__ = ["ConfigurationSync", "DirectorySync", "PeerSync", "StoreHealth"]

#: Longest wait of one watch for a change, in seconds. It is long, because each call to
#: the store has a cost.
WATCH_WAIT_S = 25.0
#: Pause between a change of the directory and the next watch, in seconds. The next
#: watch then returns several changes at once; until then peers refuse calls that were
#: routed by an outdated entry.
DIRECTORY_WATCH_PAUSE_S = 1.0
#: Shortest and longest pause after a failed call to the store, in seconds, before
#: jitter.
RETRY_MIN_S = 0.3
RETRY_MAX_S = 1.2
#: Time between two queries to peers by a node that cannot reach the store, in seconds.
PEER_QUERY_PERIOD_S = 0.7
#: Timeout of a query to a peer, in seconds.
PEER_TIMEOUT_S = 1.0
#: Time for which calls to the store must have been failing before peers are queried,
#: in seconds.
STORE_FAILING_S = 1.0


class StoreHealth:
    """Tracks which kinds of calls to the store fail on this node.

    :param log: decision log.
    """

    def __init__(self, log: DecisionLog) -> None:
        self._log = log
        self._failing_since: dict[str, float] = {}

    @property
    def is_failing(self) -> bool:
        """Whether the last call to the store failed for at least one purpose."""
        return bool(self._failing_since)

    def failing_duration_s(self, now: float) -> float:
        """Return for how long calls to the store have been failing, in seconds.

        It is 0 when no call fails, and the longest time when calls for several purposes
        fail.

        :param now: monotonic time, in seconds.
        """
        return now - min(self._failing_since.values(), default=now)

    def record_result(self, purpose: str, error: StoreError | None) -> None:
        """Record the result of a call to the store.

        :param purpose: what the call was for.
        :param error: failure of the call; None when it succeeded.
        """
        if error is None:
            failing_since = self._failing_since.pop(purpose, None)
            if failing_since is not None:
                away_s = round(now_s() - failing_since, 3)
                self._log.write_state("store:regained", purpose=purpose, away_s=away_s)
        elif purpose not in self._failing_since:
            self._failing_since[purpose] = now_s()
            self._log.write_state("store:lost", purpose=purpose, reason=error.detail)


class _Backoff:
    """Exponentially growing pauses with jitter."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._pause_s = RETRY_MIN_S

    def reset(self) -> None:
        """Reset the next pause to the shortest one."""
        self._pause_s = RETRY_MIN_S

    async def wait(self) -> None:
        """Sleep for the next pause and lengthen the one after it."""
        await asyncio.sleep(self._pause_s * self._rng.uniform(0.7, 1.3))
        self._pause_s = min(RETRY_MAX_S, 1.6 * self._pause_s)


class _SyncStep(StrEnum):
    """Next step of :class:`ConfigurationSync` and :class:`DirectorySync`."""

    READ = "read"
    WATCH = "watch"


class ConfigurationSync:
    """Reads the configuration from the store, then watches it for changes.

    Reads it again after a failure and when a peer has a newer version.

    :param store: store to read from.
    :param state: puts the configuration in force.
    :param health: records whether the store answers.
    :param rng: source of the jitter.
    :param log: decision log.
    :param counters: counts failures.
    """

    def __init__(
        self,
        store: DeploymentStore,
        state: DeclaredState,
        health: StoreHealth,
        rng: random.Random,
        log: DecisionLog,
        counters: Counters,
    ) -> None:
        self._store = store
        self._state = state
        self._health = health
        self._backoff = _Backoff(rng)
        self._log = log
        self._counters = counters
        self._revision = 0
        self._last_problem = ""

    async def run(self) -> None:
        """Apply the store's configuration to this node until the task is cancelled."""
        step = _SyncStep.READ
        while True:
            step = await self._run_step(step)

    async def _run_step(self, step: _SyncStep) -> _SyncStep:
        if step is _SyncStep.READ:
            read = await self._store.read_configuration()
        else:
            read = await self._watch_or_reread()
        if isinstance(read, Err):
            error = read.err_value
            if isinstance(error, StoreHistoryGone):
                return _SyncStep.READ
            self._health.record_result("configuration", error)
            self._counters.add("store_failures", "configuration")
            await self._backoff.wait()
            return _SyncStep.READ
        self._health.record_result("configuration", None)
        self._backoff.reset()
        self._apply_read(read.ok_value)
        if self._state.newer_exists.is_set():
            # A peer has a newer version than the store returned; reading the store
            # again at once would return the same version.
            await self._backoff.wait()
            return _SyncStep.READ
        return _SyncStep.WATCH

    async def _watch_or_reread(self) -> Result[ConfigurationRead, StoreError]:
        """Watch the configuration; read it at once when a peer has a newer version."""
        watch = asyncio.ensure_future(
            self._store.watch_configuration(self._revision, WATCH_WAIT_S)
        )
        newer_known = asyncio.ensure_future(self._state.newer_exists.wait())
        try:
            await asyncio.wait(
                {watch, newer_known}, return_when=asyncio.FIRST_COMPLETED
            )
            if watch.done():
                return watch.result()
        finally:
            watch.cancel()
            newer_known.cancel()
        return await self._store.read_configuration()

    def _apply_read(self, read: ConfigurationRead) -> None:
        self._revision = read.revision
        if read.problem and read.problem != self._last_problem:
            self._log.write_state("configuration:unusable", reason=read.problem)
        self._last_problem = read.problem
        if read.configuration is not None:
            self._state.apply(read.configuration, "store")


class DirectorySync:
    """Lists the entries in the store, then watches them; after a failure, relists.

    :param store: store to read from.
    :param directory: directory to which listings and changes are applied.
    :param health: records whether the store answers.
    :param on_change: called after each change of the directory.
    :param rng: source of the jitter.
    :param log: decision log.
    :param counters: counts failures.
    """

    def __init__(
        self,
        store: DeploymentStore,
        directory: Directory,
        health: StoreHealth,
        on_change: Callable[[], None],
        rng: random.Random,
        log: DecisionLog,
        counters: Counters,
    ) -> None:
        self._store = store
        self._directory = directory
        self._health = health
        self._on_change = on_change
        self._backoff = _Backoff(rng)
        self._log = log
        self._counters = counters
        self._has_listed = False

    @property
    def has_listed(self) -> bool:
        """Whether the entries in the store were listed at least once."""
        return self._has_listed

    async def run(self) -> None:
        """Apply the store's entries to the directory until the task is cancelled."""
        step = _SyncStep.READ
        while True:
            error = (
                await self._list_directory()
                if step is _SyncStep.READ
                else await self._watch_directory()
            )
            if error is None:
                self._health.record_result("directory", None)
                self._backoff.reset()
                step = _SyncStep.WATCH
                await asyncio.sleep(DIRECTORY_WATCH_PAUSE_S)
                continue
            step = _SyncStep.READ
            if not isinstance(error, StoreHistoryGone):
                self._health.record_result("directory", error)
                self._counters.add("store_failures", "directory")
                await self._backoff.wait()

    async def _list_directory(self) -> StoreError | None:
        listed = await self._store.read_directory()
        if isinstance(listed, Err):
            return listed.err_value
        self._has_listed = True
        applied = self._directory.apply_listing(listed.ok_value, now_s())
        self._log.write_state(
            "directory:listed",
            revision=listed.ok_value.revision,
            n_entries=len(listed.ok_value.entries),
            taken=applied,
        )
        self._on_change()
        return None

    async def _watch_directory(self) -> StoreError | None:
        watched = await self._store.watch_directory(
            self._directory.revision, WATCH_WAIT_S
        )
        if isinstance(watched, Err):
            return watched.err_value
        changes = watched.ok_value
        self._directory.apply_changes(
            changes.revision, changes.updated, changes.removed, now_s()
        )
        if changes.updated or changes.removed:
            self._log.write_state(
                "directory:changed",
                revision=changes.revision,
                updated=[entry.node for entry in changes.updated],
                removed=changes.removed,
            )
            self._on_change()
        return None


class PeerSync:
    """Reads configuration and directory from peers while the store does not answer.

    :param state: the configuration in force.
    :param directory: directory of the gates, whose nodes are queried.
    :param pool: connections to other nodes.
    :param health: state of the store.
    :param node: name of this node.
    :param on_change: called after each change of the directory.
    :param rng: chooses the peer and the jitter.
    :param log: decision log.
    :param seed_addresses: nodes to query while the directory has no other node.
    """

    def __init__(
        self,
        state: DeclaredState,
        directory: Directory,
        pool: ConnectionPool,
        health: StoreHealth,
        node: str,
        on_change: Callable[[], None],
        rng: random.Random,
        log: DecisionLog,
        seed_addresses: tuple[str, ...] = (),
    ) -> None:
        self._state = state
        self._directory = directory
        self._pool = pool
        self._health = health
        self._node = node
        self._on_change = on_change
        self._rng = rng
        self._log = log
        self._seed_addresses = seed_addresses

    async def run(self) -> None:
        """Query peers while the store fails or a peer has a newer configuration."""
        while True:
            await asyncio.sleep(PEER_QUERY_PERIOD_S * self._rng.uniform(0.7, 1.3))
            is_store_failing = (
                self._health.failing_duration_s(now_s()) > STORE_FAILING_S
            )
            if is_store_failing or self._state.newer_exists.is_set():
                await self._query_peer()

    async def _query_peer(self) -> None:
        peers = self._directory.entries.values()
        addresses = [p.knowledge_address for p in peers if p.node != self._node]
        if not addresses:
            addresses = list(self._seed_addresses)
        if not addresses:
            return
        address = self._rng.choice(addresses)
        path = b"%b?%d&%d" % (
            PEER_PAGE_PATH,
            self._state.version,
            self._directory.revision,
        )
        data = encode_request(b"GET", path, [(b"host", address.encode())], b"")
        try:
            async with asyncio.timeout(PEER_TIMEOUT_S):
                answer = await self._pool.call(address, data)
                body = await answer.read_all()
        except (CallError, TimeoutError):
            # The peer may have ended; the next period chooses a peer again.
            return
        peer_snapshot = decode_peer_snapshot(body)
        if peer_snapshot is None:
            return
        if peer_snapshot.configuration is not None:
            self._state.apply(peer_snapshot.configuration, "peer")
        if peer_snapshot.entries is not None:
            entries = {entry.node: entry for entry in peer_snapshot.entries}
            snapshot = DirectorySnapshot(peer_snapshot.revision, entries)
            if self._directory.apply_listing(snapshot, now_s()):
                self._log.write_state(
                    "directory:from-peer",
                    revision=peer_snapshot.revision,
                    n_entries=len(entries),
                    peer=address,
                )
                self._on_change()
