"""Keeps configuration and directory as new as the store, or as the peers, allow."""

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
from knapweedspring_relay._messages import request_bytes
from knapweedspring_relay._object_store import (
    ConfigurationRead,
    DeploymentStore,
    StoreError,
    StoreHistoryGone,
)
from knapweedspring_relay._peer_pages import PEER_PAGE_PATH, decode_knowledge

__all__ = ["ConfigurationSync", "DirectorySync", "PeerSync", "StoreHealth"]

#: How long one watch waits for a change; each call has its price.
WATCH_WAIT_S = 25.0
#: Pause between a change of the directory and the next watch, which so collects the
#: changes that come together; peers refuse what is out of date meanwhile.
DIRECTORY_PAUSE_S = 1.0
#: Pause after a failed call to the store, with jitter and growing.
RETRY_MIN_S = 0.3
RETRY_MAX_S = 1.2
#: Period in which a node without the store asks a peer.
PEER_PERIOD_S = 0.7
#: Time for a peer to answer.
PEER_TIMEOUT_S = 1.0
#: Time that a store's watch may be silent before peers are asked as well.
STORE_DOUBT_S = 1.0


class StoreHealth:
    """Whether the store answers this node.

    :param log: decision log.
    """

    def __init__(self, log: DecisionLog) -> None:
        self._log = log
        self._failing_since: dict[str, float] = {}

    @property
    def is_failing(self) -> bool:
        """Whether any kind of call fails at present."""
        return bool(self._failing_since)

    def failing_s(self, now: float) -> float:
        """Return for how long calls have been failing."""
        return now - min(self._failing_since.values(), default=now)

    def note(self, purpose: str, error: StoreError | None) -> None:
        """Take in the outcome of a call.

        :param purpose: what the call was for.
        :param error: None when it succeeded.
        """
        if error is None:
            since = self._failing_since.pop(purpose, None)
            if since is not None:
                away_s = round(now_s() - since, 3)
                self._log.state("store:regained", purpose=purpose, away_s=away_s)
        elif purpose not in self._failing_since:
            self._failing_since[purpose] = now_s()
            self._log.state("store:lost", purpose=purpose, reason=error.detail)


class _Backoff:
    """Growing pauses with jitter."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._pause_s = RETRY_MIN_S

    def reset(self) -> None:
        """Begin with the shortest pause again."""
        self._pause_s = RETRY_MIN_S

    async def wait(self) -> None:
        """Wait for the next pause."""
        await asyncio.sleep(self._pause_s * self._rng.uniform(0.7, 1.3))
        self._pause_s = min(RETRY_MAX_S, 1.6 * self._pause_s)


class _Mode(StrEnum):
    """What a sync does next."""

    READ = "read"
    WATCH = "watch"


class ConfigurationSync:
    """Reads the configuration, then watches it; reads again when told to.

    :param store: the store.
    :param state: takes the configuration in.
    :param health: told whether the store answers.
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
        """Follow the configuration until cancelled."""
        mode = _Mode.READ
        while True:
            mode = await self._step(mode)

    async def _step(self, mode: _Mode) -> _Mode:
        if mode is _Mode.READ:
            read = await self._store.read_configuration()
        else:
            read = await self._watch_or_hear()
        if isinstance(read, Err):
            error = read.err_value
            if isinstance(error, StoreHistoryGone):
                return _Mode.READ
            self._health.note("configuration", error)
            self._counters.add("store_failures", "configuration")
            await self._backoff.wait()
            return _Mode.READ
        self._health.note("configuration", None)
        self._backoff.reset()
        self._take_in(read.ok_value)
        if self._state.newer_exists.is_set():
            # A peer is ahead of what the store told; asking at once would not help.
            await self._backoff.wait()
            return _Mode.READ
        return _Mode.WATCH

    async def _watch_or_hear(self) -> Result[ConfigurationRead, StoreError]:
        """Watch; when a peer goes by a newer version meanwhile, read at once."""
        watch = asyncio.ensure_future(
            self._store.watch_configuration(self._revision, WATCH_WAIT_S)
        )
        heard = asyncio.ensure_future(self._state.newer_exists.wait())
        try:
            await asyncio.wait({watch, heard}, return_when=asyncio.FIRST_COMPLETED)
            if watch.done():
                return watch.result()
        finally:
            watch.cancel()
            heard.cancel()
        return await self._store.read_configuration()

    def _take_in(self, read: ConfigurationRead) -> None:
        self._revision = read.revision
        if read.problem and read.problem != self._last_problem:
            self._log.state("configuration:unusable", reason=read.problem)
        self._last_problem = read.problem
        if read.configuration is not None:
            self._state.offer(read.configuration, "store")


class DirectorySync:
    """Lists the directory, then watches it.

    :param store: the store.
    :param directory: takes the entries in.
    :param health: told whether the store answers.
    :param on_change: told after each change.
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
        self._listed = False

    @property
    def has_listed(self) -> bool:
        """Whether the directory was read at least once."""
        return self._listed

    async def run(self) -> None:
        """Follow the directory until cancelled."""
        mode = _Mode.READ
        while True:
            error = await self._list() if mode is _Mode.READ else await self._watch()
            if error is None:
                self._health.note("directory", None)
                self._backoff.reset()
                mode = _Mode.WATCH
                await asyncio.sleep(DIRECTORY_PAUSE_S)
                continue
            mode = _Mode.READ
            if not isinstance(error, StoreHistoryGone):
                self._health.note("directory", error)
                self._counters.add("store_failures", "directory")
                await self._backoff.wait()

    async def _list(self) -> StoreError | None:
        listed = await self._store.read_directory()
        if isinstance(listed, Err):
            return listed.err_value
        self._listed = True
        taken = self._directory.replace_all(listed.ok_value, now_s())
        self._log.state(
            "directory:listed",
            revision=listed.ok_value.revision,
            n_entries=len(listed.ok_value.entries),
            taken=taken,
        )
        self._on_change()
        return None

    async def _watch(self) -> StoreError | None:
        watched = await self._store.watch_directory(
            self._directory.revision, WATCH_WAIT_S
        )
        if isinstance(watched, Err):
            return watched.err_value
        changes = watched.ok_value
        self._directory.change(
            changes.revision, changes.updated, changes.removed, now_s()
        )
        if changes.updated or changes.removed:
            self._log.state(
                "directory:changed",
                revision=changes.revision,
                updated=[entry.node for entry in changes.updated],
                removed=changes.removed,
            )
            self._on_change()
        return None


class PeerSync:
    """Asks other nodes for what the store does not tell this one.

    :param state: the configuration in force.
    :param directory: the gates; its nodes are asked.
    :param pool: connections to other nodes.
    :param health: whether the store answers.
    :param node: name of this node.
    :param on_change: told after a change of the directory.
    :param rng: chooses the peer.
    :param log: decision log.
    :param seed_addresses: nodes to ask while the directory names none.
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
        """Ask peers while the store does not answer, until cancelled."""
        while True:
            await asyncio.sleep(PEER_PERIOD_S * self._rng.uniform(0.7, 1.3))
            in_doubt = self._health.failing_s(now_s()) > STORE_DOUBT_S
            if in_doubt or self._state.newer_exists.is_set():
                await self._ask()

    async def _ask(self) -> None:
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
        data = request_bytes(b"GET", path, [(b"host", address.encode())], b"")
        try:
            async with asyncio.timeout(PEER_TIMEOUT_S):
                answer = await self._pool.call(address, data)
                body = await answer.read_all()
        except (CallError, TimeoutError):
            # Peers come and go; the next period asks another one.
            return
        knowledge = decode_knowledge(body)
        if knowledge is None:
            return
        if knowledge.configuration is not None:
            self._state.offer(knowledge.configuration, "peer")
        if knowledge.entries is not None:
            entries = {entry.node: entry for entry in knowledge.entries}
            snapshot = DirectorySnapshot(knowledge.revision, entries)
            if self._directory.replace_all(snapshot, now_s()):
                self._log.state(
                    "directory:from-peer",
                    revision=knowledge.revision,
                    n_entries=len(entries),
                    peer=address,
                )
                self._on_change()
