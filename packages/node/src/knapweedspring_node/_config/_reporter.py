"""Reports a node's state to its data centre's reporter, or to the platform."""

import random
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, replace

import msgspec
import urllib3
from result import Ok, Result

from knapweedspring_core import (
    ContentCopy,
    Counters,
    DeclarationStore,
    EventLog,
    Member,
    PlatformConflict,
    PlatformError,
    ReporterPart,
    StatusPage,
    ThreadChild,
)
from knapweedspring_node._config._contacts_keeper import ContactsKeeper
from knapweedspring_node._config._report_book import (
    MAX_NAMED,
    REPORT_PERIOD_S,
    ReportBook,
    without_counts,
)
from knapweedspring_node._config._roles import Roles
from knapweedspring_node._config._status_writer import StatusWriter
from knapweedspring_node._config._watcher import PlatformWatcher

__all__ = ["ReporterParts", "StatusReporter"]

#: How often a node looks whether there is something to report.
TICK_S = 0.5
SEND_TIMEOUT_S = 1.0
BACKOFF_MIN_S = 0.5
BACKOFF_MAX_S = 8.0


@dataclass(frozen=True, slots=True)
class ReporterParts:
    """What a reporter works with."""

    #: Who has which role.
    roles: Roles
    #: Declarations, of which the status object keeps copies.
    store: DeclarationStore
    #: Reads the node's own state.
    read_status: Callable[[], StatusPage]
    #: Tells whether the node is up to date with the platform.
    watcher: PlatformWatcher
    #: Keeps the contacts.
    contacts: ContactsKeeper
    #: Writes the status object.
    writer: StatusWriter


@dataclass(frozen=True, slots=True)
class _Inputs:
    """What a summary is made from."""

    n_changes: int
    members: tuple[Member, ...]

    def same_as(self, other: "_Inputs | None") -> bool:
        """Compare by identity: a view returns the same tuple until it changes."""
        if other is None:
            return False
        return self.n_changes == other.n_changes and self.members is other.members


class StatusReporter(ThreadChild):
    """Sends a node's state to the reporter of its data centre when it changed.

    The node that is the reporter itself sums up what it got and writes the
    status object and the contacts.

    :param parts: what it works with.
    :param events: records when this node begins and ends to report.
    :param counters: counts reports and writes.
    """

    def __init__(
        self, parts: ReporterParts, events: EventLog, counters: Counters
    ) -> None:
        super().__init__("status-reporter", self._run_ticks, self._wake, self._failed)
        self._parts = parts
        self._events = events
        self._counters = counters
        self._book = ReportBook()
        self._pool = urllib3.PoolManager(maxsize=1, retries=False)
        self._stopped = threading.Event()
        self._random = random.Random()
        self._sent: StatusPage | None = None
        self._sent_to: tuple[str, int] | None = None
        self._sent_at = float("-inf")
        self._settled: _Inputs | None = None
        self._was_reporter = False
        self._backoff_s = BACKOFF_MIN_S

    @property
    def is_reporter(self) -> bool:
        """Whether this node reports for its data centre."""
        return self._was_reporter

    def take(self, page: StatusPage) -> None:
        """Take in the report of another node."""
        self._counters.add("reports", "received")
        self._book.take(page)

    def _wake(self) -> None:
        self._stopped.set()

    def _run_ticks(self) -> None:
        while not self._stopped.is_set():
            self._tick()
            # Jitter, so that the nodes of a data centre do not report in step.
            self._stopped.wait(self._random.uniform(0.5, 1.0) * TICK_S)

    def _tick(self) -> None:
        is_reporter = self._parts.roles.is_reporter
        if is_reporter != self._was_reporter:
            self._was_reporter = is_reporter
            kind = "reporter:began" if is_reporter else "reporter:ended"
            self._events.record(kind, data_centre=self._parts.roles.data_centre)
        page = self._parts.read_status()
        if is_reporter:
            self._book.take(page)
            self._write_to_platform()
            return
        reporter = self._parts.roles.reporter()
        if reporter is not None:
            self._send(page, reporter)

    def _write_to_platform(self) -> None:
        inputs = _Inputs(self._book.n_changes, self._parts.roles.members())
        if self._is_summary_due(inputs):
            written = self._parts.writer.write_if_due(self._summary())
            self._after(written, "status")
            self._settled = inputs if isinstance(written, Ok) else None
        if self._parts.watcher.is_watching:
            self._after(self._parts.contacts.write_if_due(), "contacts")

    def _is_summary_due(self, inputs: _Inputs) -> bool:
        """Tell whether summing up could lead to a write.

        The sum over a large data centre takes some tens of milliseconds.
        """
        writer = self._parts.writer
        if not writer.may_write:
            return False
        return writer.is_heartbeat_due or not inputs.same_as(self._settled)

    def _after(self, written: Result[bool, PlatformError], what: str) -> None:
        if isinstance(written, Ok):
            if written.ok_value:
                self._counters.add("platform_writes", what)
                self._backoff_s = BACKOFF_MIN_S
            return
        error = written.err_value
        self._counters.add("platform_failures", type(error).__name__)
        if not isinstance(error, PlatformConflict):
            self._stopped.wait(self._random.uniform(0, self._backoff_s))
            self._backoff_s = min(self._backoff_s * 2, BACKOFF_MAX_S)

    def _summary(self) -> ReporterPart:
        roles = self._parts.roles
        live_ids = frozenset(roles.ranked_ids())
        lost = sorted(member.node_id for member in roles.lost_members())
        part = self._book.summarise(roles.node_id, live_ids)
        return replace(
            part,
            copies=self._copies(),
            n_unreachable=len(lost),
            unreachable=tuple(lost[:MAX_NAMED]),
        )

    def _copies(self) -> tuple[ContentCopy, ...]:
        return tuple(
            ContentCopy(one.key.kind, one.key.name, one.version, one.content)
            for one in self._parts.store.valid_records()
        )

    def _send(self, page: StatusPage, reporter: Member) -> None:
        steady = without_counts(page)
        to = (reporter.node_id, reporter.incarnation)
        due = time.monotonic() - self._sent_at >= REPORT_PERIOD_S
        if self._sent == steady and self._sent_to == to and not due:
            return
        url = f"http://{reporter.admin_address}/reports"
        try:
            answer = self._pool.request(
                "POST", url, body=msgspec.json.encode(page), timeout=SEND_TIMEOUT_S
            )
        except (urllib3.exceptions.HTTPError, OSError):
            self._counters.add("reports", "failed")
            return
        if answer.status != 200:
            self._counters.add("reports", "refused")
            return
        self._counters.add("reports", "sent")
        self._sent = steady
        self._sent_to = to
        self._sent_at = time.monotonic()

    def _failed(self, _: str, error: BaseException) -> None:
        self._counters.add("internal_errors", type(error).__name__)
        self._events.record("reporter:failed", detail=repr(error))
