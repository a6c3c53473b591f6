"""Publishes this node's directory entry and keeps it equal to the local state."""

import asyncio
import random
from collections.abc import Callable

from result import Err

from knapweedspring_core import Counters
from knapweedspring_relay._knowledge._directory import GateEntry
from knapweedspring_relay._knowledge._object_store import (
    DeploymentStore,
    EntryRecord,
    StoreConflict,
)
from knapweedspring_relay._knowledge._position import StorePosition
from knapweedspring_relay._knowledge._store_health import StoreHealth
from knapweedspring_relay._logs import DecisionLog

__all__ = ["OwnEntryPublisher"]

#: Pause after a failed call to the store, in seconds, before jitter. An entry that
#: disappeared during an outage of the store must be written again within about two
#: seconds of the outage's end.
RETRY_S = 0.8


class OwnEntryPublisher:
    """Writes or deletes this node's entry when the stored one is not the desired one.

    Each write names the position that it replaces, so a delayed write cannot overwrite
    a newer entry.

    :param store: store that holds the entry.
    :param node: name of this node.
    :param desired: returns the desired entry; None when the store should have no entry
        of this node.
    :param on_previous: called with the entry of the previous process when the store
        returns it for the first time, before anything is written.
    :param health: records whether the store answers.
    :param rng: source of the jitter.
    :param log: decision log.
    :param counters: counts failures.
    """

    def __init__(
        self,
        store: DeploymentStore,
        node: str,
        desired: Callable[[], GateEntry | None],
        on_previous: Callable[[GateEntry], None],
        health: StoreHealth,
        rng: random.Random,
        log: DecisionLog,
        counters: Counters,
    ) -> None:
        self._store = store
        self._node = node
        self._desired = desired
        self._on_previous = on_previous
        self._health = health
        self._rng = rng
        self._log = log
        self._counters = counters
        self._stored: EntryRecord | None = None
        self._has_read = False
        self._check_needed = asyncio.Event()
        self._recorded = asyncio.Event()

    @property
    def stored_entry(self) -> GateEntry | None:
        """The entry that the store is known to have; None when it is not known."""
        return self._stored.entry if self._stored is not None else None

    def request_check(self) -> None:
        """Request a check of the stored entry, as the desired one may have changed."""
        self._check_needed.set()

    def compare_stored(self, entry: GateEntry | None, position: StorePosition) -> None:
        """Request a new read of the stored entry if a listing has a different entry.

        :param entry: this node's entry in the listing; None when it has none.
        :param position: position of the listing; one before this node's last write
            shows nothing.
        """
        stored = self._stored
        if stored is None or position < stored.position:
            return
        if entry != stored.entry:
            self._stored = None
            self._check_needed.set()

    def assume_absent(self) -> None:
        """Take the stored entry as absent until a write shows that one exists.

        Saves a read when the deployment starts for the first time.
        """
        self._stored = EntryRecord(StorePosition(self._health.era, 0), None)

    async def read_stored(self) -> None:
        """Read this node's stored entry.

        The first one that is read after a restart is what the previous process wrote.
        """
        read = await self._store.read_entry(self._node)
        if isinstance(read, Err):
            self._health.record_result("own entry", read.err_value)
            return
        entry, is_first = read.ok_value.entry, not self._has_read
        self._has_read = True
        if is_first and entry is not None:
            self._on_previous(entry)
        self._record_success(read.ok_value)

    async def wait_stored(self, timeout_s: float) -> bool:
        """Wait until the store has the desired entry.

        :param timeout_s: longest wait, in seconds.
        :return: whether the store has it.
        """
        try:
            async with asyncio.timeout(timeout_s):
                while self._stored is None or self._stored.entry != self._desired():
                    await self._recorded.wait()
        except TimeoutError:
            return False
        return True

    async def run(self) -> None:
        """Keep the stored entry equal to the desired one until cancelled."""
        while True:
            await self._check_needed.wait()
            self._check_needed.clear()
            while not await self._reconcile():
                await asyncio.sleep(RETRY_S * self._rng.uniform(0.7, 1.3))

    async def _reconcile(self) -> bool:
        """Write or delete the stored entry if it differs from the desired one.

        :return: False when the caller must try again after a pause.
        """
        if self._stored is None:
            await self.read_stored()
            if self._stored is None:
                return False
        desired = self._desired()
        if desired == self._stored.entry:
            return True
        if desired is None:
            result = await self._store.delete_entry(self._node, self._stored.position)
        else:
            result = await self._store.write_entry(desired, self._stored.position)
        if isinstance(result, Err):
            # The stored entry is unknown now: the write may have taken effect.
            self._stored = None
            self._counters.add("store_failures", "own entry")
            if isinstance(result.err_value, StoreConflict):
                return await self._reconcile_after_conflict()
            self._health.record_result("own entry", result.err_value)
            return False
        self._record_success(result.ok_value)
        assert self._stored is not None
        self._log.write_state(
            "directory:published",
            revision=self._stored.position.revision,
            state=desired.state.value if desired is not None else "none",
            instance=desired.instance if desired is not None else "",
        )
        return self._desired() == self._stored.entry

    def _record_success(self, record: EntryRecord) -> None:
        self._health.record_result("own entry", None)
        self._health.observe_era(record.position.era)
        self._stored = record
        recorded, self._recorded = self._recorded, asyncio.Event()
        recorded.set()

    async def _reconcile_after_conflict(self) -> bool:
        await self.read_stored()
        self._check_needed.set()
        return self._stored is not None
