"""Updates this node's directory from the store."""

import asyncio
import random
from collections.abc import Callable

from result import Err, Result

from knapweedspring_core import Counters
from knapweedspring_relay._clock import now_s
from knapweedspring_relay._knowledge._backoff import Backoff
from knapweedspring_relay._knowledge._directory import Directory
from knapweedspring_relay._knowledge._object_store import (
    DeploymentStore,
    DirectoryChanges,
    StoreError,
    StoreHistoryGone,
)
from knapweedspring_relay._knowledge._position import ORIGIN
from knapweedspring_relay._knowledge._skipped_entries import SkippedEntryReporter
from knapweedspring_relay._knowledge._store_health import StoreHealth
from knapweedspring_relay._knowledge._sync_step import WATCH_WAIT_S, SyncStep
from knapweedspring_relay._logs import DecisionLog

__all__ = ["DirectorySync"]

#: Pause between a change of the directory and the next watch, in seconds. The next
#: watch then returns several changes at once; until then peers refuse calls that were
#: routed by an outdated entry.
DIRECTORY_WATCH_PAUSE_S = 1.0


class DirectorySync:
    """Lists the entries in the store, then watches them; after a failure, relists.

    A directory that was received from a peer is not listed again, but watched from its
    position.

    :param store: store to read from.
    :param directory: directory to which listings and changes are applied.
    :param health: records whether the store answers.
    :param on_change: called after each change of the directory.
    :param skipped: reports entries that cannot be used.
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
        skipped: SkippedEntryReporter,
        rng: random.Random,
        log: DecisionLog,
        counters: Counters,
    ) -> None:
        self._store = store
        self._directory = directory
        self._health = health
        self._on_change = on_change
        self._skipped = skipped
        self._backoff = Backoff(rng)
        self._log = log
        self._counters = counters
        #: Set to end the pending watch and to begin another one on a new connection.
        self._watch_again = asyncio.Event()

    async def run(self) -> None:
        """Apply the store's entries to the directory until the task is cancelled."""
        is_known = self._directory.position != ORIGIN
        step = SyncStep.WATCH if is_known else SyncStep.READ
        self._watch_again.clear()
        while True:
            error = (
                await self._list_directory()
                if step is SyncStep.READ
                else await self._watch_directory()
            )
            if error is None:
                self._health.record_result("directory", None)
                self._backoff.reset()
                step = SyncStep.WATCH
                await asyncio.sleep(DIRECTORY_WATCH_PAUSE_S)
                continue
            step = SyncStep.READ
            if not isinstance(error, StoreHistoryGone):
                self._health.record_result("directory", error)
                self._counters.add("store_failures", "directory")
                await self._backoff.wait()

    async def _list_directory(self) -> StoreError | None:
        listed = await self._store.read_directory()
        if isinstance(listed, Err):
            return listed.err_value
        self._health.observe_era(listed.ok_value.position.era)
        self._skipped.forget(listed.ok_value.entries)
        self._skipped.report(listed.ok_value.skipped, "store")
        applied = self._directory.apply_listing(listed.ok_value, now_s())
        self._log.write_state(
            "directory:listed",
            era=listed.ok_value.position.era,
            revision=listed.ok_value.position.revision,
            n_entries=len(listed.ok_value.entries),
            taken=applied,
        )
        self._on_change()
        return None

    async def check_watch(self) -> None:
        """Ask the store whether the pending watch misses changes, and apply them.

        A watch that missed some is replaced.
        """
        checked = await self._store.check_directory(self._directory.position)
        if isinstance(checked, Err):
            self._counters.add("store_failures", "check")
            return
        self._apply(checked.ok_value)
        if checked.ok_value.updated or checked.ok_value.removed:
            self._counters.add("store_watches_replaced")
            self._watch_again.set()

    async def _watch_directory(self) -> StoreError | None:
        watch = asyncio.ensure_future(
            self._store.watch_directory(self._directory.position, WATCH_WAIT_S)
        )
        watch_again = asyncio.ensure_future(self._watch_again.wait())
        try:
            await asyncio.wait(
                {watch, watch_again}, return_when=asyncio.FIRST_COMPLETED
            )
            if not watch.done():
                self._watch_again.clear()
                return None
            watched: Result[DirectoryChanges, StoreError] = watch.result()
        finally:
            watch.cancel()
            watch_again.cancel()
        if isinstance(watched, Err):
            return watched.err_value
        self._apply(watched.ok_value)
        return None

    def _apply(self, changes: DirectoryChanges) -> None:
        self._health.observe_era(changes.position.era)
        self._skipped.forget(entry.node for entry in changes.updated)
        self._skipped.report(changes.skipped, "store")
        # Other names are those of other writers, and may be of any length.
        removed = [n for n in changes.removed if n in self._directory.entries]
        self._directory.apply_changes(
            changes.position, changes.updated, changes.removed, now_s()
        )
        if changes.updated or changes.removed:
            self._log.write_state(
                "directory:changed",
                revision=changes.position.revision,
                updated=[entry.node for entry in changes.updated],
                removed=removed,
            )
            self._on_change()
