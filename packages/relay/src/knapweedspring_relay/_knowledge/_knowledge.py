"""What this node knows of the deployment, and how it stays up to date."""

import asyncio
import math
import random
from collections.abc import Callable, Iterable

from knapweedspring_core import Counters, MetricsPage
from knapweedspring_relay._clock import now_s
from knapweedspring_relay._crash_records import CrashRecords
from knapweedspring_relay._http_client import ConnectionPool
from knapweedspring_relay._knowledge._configuration_sync import ConfigurationSync
from knapweedspring_relay._knowledge._declared_state import DeclaredState
from knapweedspring_relay._knowledge._directory import Directory, GateEntry
from knapweedspring_relay._knowledge._directory_sync import DirectorySync
from knapweedspring_relay._knowledge._entry_cleaner import EntryCleaner
from knapweedspring_relay._knowledge._followers import Followers
from knapweedspring_relay._knowledge._freshness import KnowledgeFreshness
from knapweedspring_relay._knowledge._object_store import DeploymentStore
from knapweedspring_relay._knowledge._own_entry import OwnEntryPublisher
from knapweedspring_relay._knowledge._peer_pages import PeerPages
from knapweedspring_relay._knowledge._peer_snapshot import (
    PeerSnapshot,
    make_peer_snapshot,
)
from knapweedspring_relay._knowledge._peer_sync import PeerSync
from knapweedspring_relay._knowledge._position import ORIGIN, StorePosition
from knapweedspring_relay._knowledge._skipped_entries import SkippedEntryReporter
from knapweedspring_relay._knowledge._source_sync import LOCAL_PERIOD_S, SourceSync
from knapweedspring_relay._knowledge._store_checks import StoreChecks
from knapweedspring_relay._knowledge._store_confirmation import StoreConfirmation
from knapweedspring_relay._knowledge._store_health import StoreHealth
from knapweedspring_relay._knowledge._store_watch import StoreWatch
from knapweedspring_relay._logs import DecisionLog
from knapweedspring_relay._settings import RelaySettings
from knapweedspring_relay._task_supervisor import TaskSupervisor
from knapweedspring_relay._timers import LoopTimers
from knapweedspring_relay._upstream_process import UpstreamProcess

__all__ = ["Knowledge"]

#: Period in which a node checks its source, in seconds.
SOURCE_CHECK_PERIOD_S = 0.2
#: Period in which followers get a sign of life if one is due, in seconds.
PUBLISH_PERIOD_S = LOCAL_PERIOD_S


class Knowledge:
    """Configuration and directory of this node, and this node's entry in the store.

    :param settings: settings of the node.
    :param crashes: refused requests, which are passed on with the rest.
    :param store: the deployment's store.
    :param pool: connections to the pages of other nodes.
    :param desired_entry: returns the entry that the store should have of this node.
    :param on_previous_entry: called with the entry that the previous process of this
        node wrote, when the store returns it.
    :param on_directory_change: called after each change of the directory.
    :param unreachable_duration_s: returns for how long a node has been unreachable at a
        time, in seconds.
    :param rng: source of the jitter.
    :param log: decision log.
    :param counters: counters of the process.
    """

    def __init__(
        self,
        settings: RelaySettings,
        crashes: CrashRecords,
        store: DeploymentStore,
        pool: ConnectionPool,
        desired_entry: Callable[[], GateEntry | None],
        on_previous_entry: Callable[[GateEntry], None],
        on_directory_change: Callable[[], None],
        unreachable_duration_s: Callable[[str, float], float],
        rng: random.Random,
        log: DecisionLog,
        counters: Counters,
    ) -> None:
        self._settings = settings
        self._on_directory_change = on_directory_change
        self._log = log
        self._is_leaving = False
        self._state = DeclaredState(log, counters)
        self._directory = Directory()
        self._crashes = crashes
        self._health = StoreHealth(log, counters)
        self._followers = Followers(
            self._snapshot_newer_than,
            crashes,
            self._directory.leavings,
            self._learn_leavings,
        )
        self._pages = PeerPages(self._snapshot_newer_than, self._learn_leavings)
        self._own_entry = OwnEntryPublisher(
            store,
            settings.node,
            desired_entry,
            on_previous_entry,
            self._health,
            rng,
            log,
            counters,
        )
        self._confirmation = StoreConfirmation()
        configuration_sync = ConfigurationSync(
            store, self._state, self._health, self._confirmation, rng, log, counters
        )
        skipped = SkippedEntryReporter(log, counters)
        directory_sync = DirectorySync(
            store,
            self._directory,
            self._health,
            self._handle_directory_change,
            skipped,
            rng,
            log,
            counters,
        )
        self._peers = PeerSync(
            self._state,
            self._directory,
            crashes,
            skipped,
            pool,
            self._health,
            settings.node,
            self._handle_directory_change,
            configuration_sync.read_once,
            rng,
            log,
        )
        self._cleaner = EntryCleaner(
            store,
            self._directory,
            unreachable_duration_s,
            self._peers.query,
            self._health,
            rng,
            log,
        )
        store_watch = StoreWatch(
            {
                "configuration": configuration_sync.run,
                "directory": directory_sync.run,
            },
            self._health,
            log,
            counters,
        )
        store_checks = StoreChecks(
            configuration_sync,
            directory_sync,
            self._directory,
            self._confirmation,
            self._followers.publish_confirmation,
        )
        self._sources = SourceSync(
            settings.node,
            settings.data_centre,
            self._state,
            self._directory,
            crashes,
            skipped,
            self._health,
            store_watch,
            store_checks,
            self._confirmation,
            self._peers,
            configuration_sync.read_once,
            _other_seeds(settings),
            bool(settings.is_first_start),
            self._handle_directory_change,
            self._followers.publish_confirmation,
            rng,
            log,
        )
        self._freshness = KnowledgeFreshness(
            self._sources, self._directory, self._peers, configuration_sync.read_once
        )
        self._state.subscribe(self._declare_services)
        self._state.subscribe(self._followers.publish)

    @property
    def state(self) -> DeclaredState:
        """The configuration in force."""
        return self._state

    @property
    def directory(self) -> Directory:
        """Directory of the gates."""
        return self._directory

    @property
    def is_known(self) -> bool:
        """Whether a configuration and the directory are known."""
        return self._state.table is not None and self._directory.position != ORIGIN

    @property
    def own_entry(self) -> OwnEntryPublisher:
        """Publishes this node's entry."""
        return self._own_entry

    @property
    def cleaner(self) -> EntryCleaner:
        """Deletes the entries of nodes that ended without deleting them."""
        return self._cleaner

    @property
    def pages(self) -> PeerPages:
        """Answers other nodes that read this node's page."""
        return self._pages

    @property
    def followers(self) -> Followers:
        """Nodes that follow this one."""
        return self._followers

    @property
    def freshness(self) -> KnowledgeFreshness:
        """How current the configuration is."""
        return self._freshness

    @property
    def sources(self) -> SourceSync:
        """Where this node's knowledge comes from."""
        return self._sources

    def register_gauges(self, page: MetricsPage) -> None:
        """Add gauges for the state of this node's knowledge.

        :param page: the metrics page.
        """
        state, directory, sources = self._state, self._directory, self._sources
        page.add_gauge("configuration_version", lambda: float(state.version))
        page.add_gauge("store_era", lambda: float(directory.position.era))
        page.add_gauge("directory_revision", lambda: float(directory.position.revision))
        page.add_gauge("directory_nodes", lambda: float(len(directory.entries)))
        page.add_gauge("store_watching", lambda: float(sources.is_watching))
        page.add_gauge("store_failing", lambda: float(self._health.is_failing))
        page.add_gauge("knowledge_age_s", lambda: sources.age_s(now_s()))
        page.add_gauge("followers", lambda: float(self._followers.n_followers))

    def start(self, supervisor: TaskSupervisor, timers: LoopTimers) -> None:
        """Start the tasks and timers.

        :param supervisor: runs the tasks.
        :param timers: calls the periodic checks.
        """
        supervisor.start("peers", self._peers.run)
        supervisor.start("cleaner", self._cleaner.run)
        timers.call_every(SOURCE_CHECK_PERIOD_S, self._sources.check)
        timers.call_every(PUBLISH_PERIOD_S, self._followers.publish)
        self._sources.check()

    def announce_leaving(self, process: UpstreamProcess) -> None:
        """Tell other nodes that the upstream beside this node leaves.

        The store may be away, or may lose it, and this process may end.

        :param process: the process that leaves.
        """
        if self._directory.record_leaving(process):
            self._followers.publish()
            self._sources.pass_on_leavings()

    async def tell_leaving(self, process: UpstreamProcess) -> int:
        """Tell peers of a leaving that the store did not confirm; see ``PeerSync``."""
        return await self._peers.tell_leaving(process)

    def leave(self) -> None:
        """Let the followers find another source, since this node stops soon."""
        self._is_leaving = True
        self._followers.publish()

    def stop(self) -> None:
        """Stop to follow other nodes and to watch the store."""
        self._sources.stop()

    def expire_missing(self, now: float) -> tuple[str, ...]:
        """Remove entries from the directory that have been missing for long enough.

        :param now: monotonic time, in seconds.
        :return: the nodes whose entries were removed.
        """
        return self._directory.expire_missing(now)

    def _snapshot_newer_than(
        self, version: int, position: StorePosition
    ) -> PeerSnapshot:
        age_s = self._confirmation.age_s(now_s())
        return make_peer_snapshot(
            self._state,
            self._directory,
            self._crashes.refused_records(now_s()),
            version,
            position,
            self._sources.is_watching and not self._is_leaving,
            self._settings.gate_address,
            age_s if math.isfinite(age_s) else None,
        )

    def _learn_leavings(self, processes: Iterable[UpstreamProcess]) -> None:
        learnt = [p for p in processes if self._directory.record_leaving(p)]
        if learnt:
            self._log.write_state(
                "directory:leaving", nodes=[process.node for process in learnt]
            )
            self._handle_directory_change()

    def _declare_services(self) -> None:
        if self._state.table is not None:
            services = self._state.table.configuration.services
            self._directory.declare_services(service.name for service in services)

    def _handle_directory_change(self) -> None:
        self._sources.update_entries()
        self._own_entry.compare_stored(
            self._directory.listed_entry(self._settings.node), self._directory.position
        )
        self._on_directory_change()
        self._followers.publish()
        # Called later, since a source that is being replaced may be the caller.
        asyncio.get_running_loop().call_soon(self._sources.check)


def _other_seeds(settings: RelaySettings) -> tuple[str, ...]:
    """Return the seeds to ask; none when this node is a seed itself."""
    seeds = settings.seed_addresses or ()
    return () if settings.heartbeat_address in seeds else seeds
