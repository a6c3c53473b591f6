"""Guards against a log that odd entries of other writers fill, or that omits them."""

from knapweedspring_core import Counters
from knapweedspring_relay._knowledge._directory import SkippedEntry
from knapweedspring_relay._knowledge._skipped_entries import (
    MAX_NAME_LENGTH,
    MAX_REMEMBERED,
    SkippedEntryReporter,
)


class Log:
    def __init__(self):
        self.lines = []

    def write_state(self, event, **fields):
        self.lines.append((event, fields))


def test_entry_is_reported_once_until_its_reason_changes():
    log, counters = Log(), Counters()
    reporter = SkippedEntryReporter(log, counters)
    for reason in ("a", "a", "b", "b"):
        reporter.report([SkippedEntry("x", reason)], "store")
    reporter.forget(["x"])
    reporter.report([SkippedEntry("x", "b")], "peer")
    assert log.lines == [
        (
            "directory:entry-skipped",
            {"entry": "x", "reason": reason, "source": source},
        )
        for reason, source in (("a", "store"), ("b", "store"), ("b", "peer"))
    ]
    assert counters.get("directory_entries_skipped", "store") == 2


def test_memory_of_reported_entries_is_bounded():
    log = Log()
    reporter = SkippedEntryReporter(log, Counters())
    for number in range(3 * MAX_REMEMBERED):
        reporter.report([SkippedEntry(f"{number}" + "x" * 10_000, "a")], "store")
    assert len(reporter._reasons) == MAX_REMEMBERED
    assert all(len(f["entry"]) <= MAX_NAME_LENGTH for _, f in log.lines)
