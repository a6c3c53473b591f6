"""Report of directory entries that cannot be used."""

from collections.abc import Iterable

from knapweedspring_core import Counters
from knapweedspring_relay._knowledge._directory import SkippedEntry
from knapweedspring_relay._logs import DecisionLog

__all__ = ["SkippedEntryReporter"]

#: Number of skipped entries whose reasons are remembered; beyond it, the first one is
#: forgotten and logged again when it is read again.
MAX_REMEMBERED = 256
#: Longest name of an entry in the log, in characters.
MAX_NAME_LENGTH = 128


class SkippedEntryReporter:
    """Logs and counts each skipped entry once, and again when its reason changes.

    :param log: decision log.
    :param counters: counts the skipped entries, by where they were read.
    """

    def __init__(self, log: DecisionLog, counters: Counters) -> None:
        self._log = log
        self._counters = counters
        self._reasons: dict[str, str] = {}

    def report(self, skipped: Iterable[SkippedEntry], source: str) -> None:
        """Report entries that were skipped.

        :param skipped: the entries.
        :param source: where they were read: ``store`` or ``peer``.
        """
        for entry in skipped:
            name = entry.name[:MAX_NAME_LENGTH]
            if self._reasons.get(name) == entry.reason:
                continue
            self._reasons[name] = entry.reason
            if len(self._reasons) > MAX_REMEMBERED:
                del self._reasons[next(iter(self._reasons))]
            self._counters.add("directory_entries_skipped", source)
            self._log.write_state(
                "directory:entry-skipped",
                entry=name,
                reason=entry.reason,
                source=source,
            )

    def forget(self, names: Iterable[str]) -> None:
        """Forget entries that can be used again, or that were deleted.

        :param names: names of the entries.
        """
        for name in names:
            self._reasons.pop(name[:MAX_NAME_LENGTH], None)
