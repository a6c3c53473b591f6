"""Guards against log lines that grow with the entries of other writers."""

import asyncio
import contextlib
import random

from result import Ok

from knapweedspring_core import Counters
from knapweedspring_relay._knowledge._directory import (
    Directory,
    DirectorySnapshot,
    GateEntry,
    SkippedEntry,
    UpstreamState,
)
from knapweedspring_relay._knowledge._directory_sync import DirectorySync
from knapweedspring_relay._knowledge._object_store import DirectoryChanges
from knapweedspring_relay._knowledge._position import StorePosition
from knapweedspring_relay._knowledge._skipped_entries import SkippedEntryReporter
from knapweedspring_relay._knowledge._store_health import StoreHealth

ENTRY = GateEntry(
    "a", "10.0.0.1:1", "10.0.0.1:2", "dc", "svc", "i-1", 100, 20, UpstreamState.READY
)
LONG_NAME = "x" * 100_000


class Log:
    def __init__(self):
        self.lines = []

    def write_state(self, event, **fields):
        self.lines.append((event, fields))


class Store:
    async def read_directory(self):
        return Ok(DirectorySnapshot(StorePosition(0, 5), {"a": ENTRY}))

    async def watch_directory(self, position, wait_s):
        if position.revision > 5:
            await asyncio.sleep(60)
        return Ok(
            DirectoryChanges(
                StorePosition(0, 6),
                (),
                (LONG_NAME, "a"),
                (SkippedEntry(LONG_NAME, "odd"),),
            )
        )


def test_names_of_other_writers_do_not_fill_the_log(monkeypatch):
    monkeypatch.setattr(
        "knapweedspring_relay._knowledge._directory_sync.DIRECTORY_WATCH_PAUSE_S", 0.0
    )
    log, counters, directory, changes = Log(), Counters(), Directory(), []
    sync = DirectorySync(
        Store(),
        directory,
        StoreHealth(log, counters),
        lambda: changes.append(directory.position.revision),
        SkippedEntryReporter(log, counters),
        random.Random(1),
        log,
        counters,
    )

    async def main():
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(sync.run(), 0.1)

    asyncio.run(main())
    assert changes == [5, 6]
    lines = dict(log.lines)
    assert lines["directory:changed"]["removed"] == ["a"]
    assert lines["directory:entry-skipped"]["entry"] == LONG_NAME[:128]
    assert all(len(repr(line)) < 1_000 for line in log.lines)
