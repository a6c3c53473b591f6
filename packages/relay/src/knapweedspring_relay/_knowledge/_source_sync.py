"""Keeps this node's knowledge up to date from its source: the store or another node."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Iterator

from knapweedspring_relay._clock import now_s
from knapweedspring_relay._crash_records import CrashRecords
from knapweedspring_relay._hop_frames import FollowFrame
from knapweedspring_relay._knowledge._declared_state import DeclaredState
from knapweedspring_relay._knowledge._directory import Directory, GateEntry
from knapweedspring_relay._knowledge._own_reads import OwnReads
from knapweedspring_relay._knowledge._peer_snapshot import (
    PeerSnapshot,
    apply_peer_snapshot,
)
from knapweedspring_relay._knowledge._peer_sync import PeerSync
from knapweedspring_relay._knowledge._skipped_entries import SkippedEntryReporter
from knapweedspring_relay._knowledge._source_link import SourceLink
from knapweedspring_relay._knowledge._source_selector import SourceSelector
from knapweedspring_relay._knowledge._store_checks import (
    MAX_CONFIRMED_AGE_S,
    StoreChecks,
)
from knapweedspring_relay._knowledge._store_confirmation import StoreConfirmation
from knapweedspring_relay._knowledge._store_health import StoreHealth
from knapweedspring_relay._knowledge._store_watch import StoreWatch
from knapweedspring_relay._logs import DecisionLog

__all__ = ["LOCAL_PERIOD_S", "SourceSync"]

#: Periods in which a source sends a sign of life, in seconds: within a data centre, and
#: to the watcher of another one, where each byte has a cost.
LOCAL_PERIOD_S = 0.3
REMOTE_PERIOD_S = 1.5
#: Number of periods without a frame of the source after which it counts as failed.
MAX_SILENT_PERIODS = 2.7
#: Time for which a source may not watch the store, in seconds. A node that becomes the
#: first of the ranking notices it up to this time later than its followers.
MAX_NOT_WATCHING_S = 0.6
#: Time for which a node that starts waits for a seed that knows the directory before it
#: reads the store itself, in seconds. When the whole deployment starts for the first
#: time, the seeds start as well and no caller waits; a node that restarts refuses
#: callers meanwhile, and its seeds may have left.
FIRST_START_SEED_WAIT_S = 2.0
RESTART_SEED_WAIT_S = 0.7
#: Time between two queries to seeds, in seconds.
SEED_QUERY_PERIOD_S = 0.25


class SourceSync:
    """Follows the watcher of the data centre, or watches the store.

    A watcher also follows the watcher of another data centre, so a configuration that
    reached one data centre reaches all of them even while the store leaves the watcher
    of one without answers.

    :param node: name of this node.
    :param data_centre: this node's data centre.
    :param state: the configuration in force.
    :param directory: directory of the gates.
    :param crashes: refused requests.
    :param skipped: reports entries that cannot be used.
    :param health: state of the store.
    :param store_watch: watches the store.
    :param store_checks: checks the watches of the store.
    :param confirmation: when the store last confirmed the knowledge of this node.
    :param peers: reads pages of peers.
    :param read_configuration: reads the configuration from the store.
    :param seed_addresses: heartbeat addresses of a few other nodes.
    :param is_first_start: whether the whole deployment starts for the first time.
    :param on_change: called after each change of the directory.
    :param on_confirmed: called after a source passed on a confirmation of the store.
    :param rng: chooses the seed.
    :param log: decision log.
    """

    def __init__(
        self,
        node: str,
        data_centre: str,
        state: DeclaredState,
        directory: Directory,
        crashes: CrashRecords,
        skipped: SkippedEntryReporter,
        health: StoreHealth,
        store_watch: StoreWatch,
        store_checks: StoreChecks,
        confirmation: StoreConfirmation,
        peers: PeerSync,
        read_configuration: Callable[[], Awaitable[bool]],
        seed_addresses: tuple[str, ...],
        is_first_start: bool,
        on_change: Callable[[], None],
        on_confirmed: Callable[[], None],
        rng: random.Random,
        log: DecisionLog,
    ) -> None:
        self._node = node
        self._data_centre = data_centre
        self._state = state
        self._directory = directory
        self._crashes = crashes
        self._skipped = skipped
        self._health = health
        self._store_watch = store_watch
        self._store_checks = store_checks
        self._confirmation = confirmation
        self._peers = peers
        self._own_reads = OwnReads(read_configuration)
        self._seed_addresses = seed_addresses
        self._seed_wait_s = (
            FIRST_START_SEED_WAIT_S if is_first_start else RESTART_SEED_WAIT_S
        )
        self._on_change = on_change
        self._on_confirmed = on_confirmed
        self._rng = rng
        self._log = log
        self._selectors = {data_centre: SourceSelector(node, data_centre)}
        self._source: SourceLink | None = None
        #: A link that replaces the source once its node is known to watch the store.
        self._candidate: SourceLink | None = None
        #: A watcher's link to the watcher of another data centre.
        self._remote: SourceLink | None = None
        self._seed_heard_at = now_s()
        self._seed_queried_at = float("-inf")
        self._seed_query: asyncio.Task[None] | None = None

    @property
    def is_watching(self) -> bool:
        """Whether this node watches the store, and the store answers."""
        return self._store_watch.is_running and not self._store_watch.is_failing

    @property
    def source_node(self) -> str:
        """Name of the node that is followed; empty when none is."""
        return self._source.node if self._source is not None else ""

    def age_s(self, now: float) -> float:
        """Return how long ago the knowledge was last confirmed, in seconds.

        :param now: monotonic time, in seconds.
        """
        # Between two confirmations, changes arrive at once, so only one that is overdue
        # makes the knowledge older.
        overdue_s = max(0.0, self._confirmation.age_s(now) - MAX_CONFIRMED_AGE_S)
        if self.is_watching:
            return overdue_s
        if self._source is not None and self._source.is_watching:
            if not self._source.passes_confirmations_on:
                return self._source.silent_s(now)
            return max(overdue_s, self._source.silent_s(now))
        return self._health.failing_duration_s(now)

    def update_entries(self) -> None:
        """Update the rankings after a change of the directory."""
        entries = self._directory.listed_entries()
        names = {entry.data_centre for entry in entries} | {self._data_centre}
        for data_centre in self._selectors.keys() - names:
            del self._selectors[data_centre]
        for data_centre in names - self._selectors.keys():
            self._selectors[data_centre] = SourceSelector(self._node, data_centre)
        for selector in self._selectors.values():
            selector.set_entries(entries)

    def pass_on_leavings(self) -> None:
        """Tell the sources at once which processes leave."""
        for link in (self._source, self._candidate, self._remote):
            if link is not None:
                link.renew_request()

    def check(self) -> None:
        """Replace failed sources, and start or stop to watch the store."""
        now = now_s()
        for link in (self._source, self._candidate, self._remote):
            if link is not None:
                self._check_link(link, now)
        selector = self._selectors[self._data_centre]
        choice = selector.choose(self._store_watch.is_failing, now)
        # A watcher that is relieved watches until its successor is known to.
        is_relieved = choice.source is None or _leads_to(self._source, choice.source)
        watches = choice.watches or (self._store_watch.is_running and not is_relieved)
        if not selector.has_nodes and self._awaits_seed(now):
            watches = False
            self._query_seed(now)
        if watches != self._store_watch.is_running:
            self._log.write_state(
                "store:watching" if watches else "store:not-watching",
                era=self._directory.position.era,
                revision=self._directory.position.revision,
            )
            self._store_watch.set_running(watches)
        if watches:
            index = sorted(self._selectors).index(self._data_centre)
            self._store_checks.start_if_due(index, now)
        self._follow(choice.source)
        has_source = self._source is not None and self._source.is_watching
        self._own_reads.check(watches or has_source, now)
        self._follow_remote(self._remote_choice(now) if watches else None)

    def stop(self) -> None:
        """Close all links and stop to watch the store."""
        for link in (self._source, self._candidate, self._remote):
            if link is not None:
                link.close()
        self._source = self._candidate = self._remote = None
        if self._seed_query is not None:
            self._seed_query.cancel()
        self._store_checks.stop()
        self._own_reads.stop()
        self._store_watch.set_running(False)

    def _awaits_seed(self, now: float) -> bool:
        waited_s = now - self._seed_heard_at
        return bool(self._seed_addresses) and waited_s < self._seed_wait_s

    def _query_seed(self, now: float) -> None:
        is_running = self._seed_query is not None and not self._seed_query.done()
        if is_running or now - self._seed_queried_at < SEED_QUERY_PERIOD_S:
            return
        self._seed_queried_at = now
        address = self._rng.choice(self._seed_addresses)
        self._seed_query = asyncio.ensure_future(self._run_seed_query(address))

    async def _run_seed_query(self, address: str) -> None:
        if await self._peers.query(address):
            self._seed_heard_at = now_s()
            self.check()

    def _check_link(self, link: SourceLink, now: float) -> None:
        if link.silent_s(now) > MAX_SILENT_PERIODS * link.period_s:
            self._fail(link, "silent")
        elif link.not_watching_s(now) > MAX_NOT_WATCHING_S:
            self._fail(link, "does not watch the store")

    def _fail(self, link: SourceLink, reason: str) -> None:
        link.close()
        self._handle_end(link, reason)

    def _handle_end(self, link: SourceLink, reason: str) -> None:
        self._log.write_state("source:failed", source=link.node, reason=reason)
        selector = self._selector_of(link.node)
        if selector is not None:
            selector.record_failure(link.node, now_s())
        self._forget(link)

    def _selector_of(self, node: str) -> SourceSelector | None:
        entry = self._directory.entries.get(node)
        return self._selectors.get(entry.data_centre) if entry is not None else None

    def _forget(self, link: SourceLink) -> None:
        if link is self._source:
            self._source = None
        elif link is self._candidate:
            self._candidate = None
        elif link is self._remote:
            self._remote = None

    def _follow(self, entry: GateEntry | None) -> None:
        """Follow a node; the present source is kept until the new one works."""
        if entry is None:
            for link in (self._source, self._candidate):
                if link is not None:
                    link.close()
            self._source = self._candidate = None
            return
        if _leads_to(self._source, entry):
            if self._candidate is not None:
                self._candidate.close()
                self._candidate = None
        elif not _leads_to(self._candidate, entry):
            if self._candidate is not None:
                self._candidate.close()
            self._candidate = self._open_link(entry, LOCAL_PERIOD_S)

    def _follow_remote(self, entry: GateEntry | None) -> None:
        if self._remote is not None and (
            entry is None or not _leads_to(self._remote, entry)
        ):
            self._remote.close()
            self._remote = None
        if entry is not None and self._remote is None:
            self._remote = self._open_link(entry, REMOTE_PERIOD_S)

    def _remote_choice(self, now: float) -> GateEntry | None:
        """Return the watcher of the next data centre that has a usable one."""
        for data_centre in self._other_data_centres():
            choice = self._selectors[data_centre].choose(False, now)
            if choice.source is not None:
                return choice.source
        return None

    def _other_data_centres(self) -> Iterator[str]:
        names = sorted(self._selectors)
        begin = names.index(self._data_centre) + 1
        return iter((*names[begin:], *names[: begin - 1]))

    def _open_link(self, entry: GateEntry, period_s: float) -> SourceLink:
        return SourceLink(
            entry.node,
            entry.gate_address,
            period_s,
            self._make_request,
            self._apply_snapshot,
            self._handle_end,
        )

    def _make_request(self, period_s: float) -> FollowFrame:
        era, revision = self._directory.position
        leaving = self._directory.leavings_to_pass_on(now_s())
        return FollowFrame(self._state.version, era, revision, period_s, leaving)

    def _apply_snapshot(self, link: SourceLink, snapshot: PeerSnapshot) -> None:
        if link.is_watching:
            selector = self._selector_of(link.node)
            if selector is not None:
                selector.record_success(link.node)
            if link is self._candidate:
                if self._source is not None:
                    self._source.close()
                self._source, self._candidate = link, None
                self._log.write_state("source:followed", source=link.node)
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
                "directory:from-source",
                source=link.node,
                era=snapshot.position.era,
                revision=snapshot.position.revision,
                n_updated=len(snapshot.entries or ()),
                n_removed=len(snapshot.removed),
                is_listing=snapshot.is_listing,
            )
            self._on_change()
        self._record_confirmation(snapshot)
        if not snapshot.is_watching:
            self._own_reads.record_answer(now_s())

    def _record_confirmation(self, snapshot: PeerSnapshot) -> None:
        """Record that the store confirmed what the source knows, and so this node."""
        age_s = snapshot.confirmed_age_s
        if age_s is None or not age_s >= 0.0 or snapshot.version > self._state.version:
            return
        if self._confirmation.record(now_s() - age_s):
            self._on_confirmed()


def _leads_to(link: SourceLink | None, entry: GateEntry) -> bool:
    return (
        link is not None
        and link.node == entry.node
        and link.address == entry.gate_address
    )
