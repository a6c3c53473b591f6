"""Reports a node's state to its data centre's reporter or to the platform."""

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
    ReporterStatus,
    StatusPage,
    ThreadChild,
)
from knapweedspring_node._config._contacts_writer import ContactsWriter
from knapweedspring_node._config._report_aggregator import (
    MAX_LISTED_NODES,
    REPORT_PERIOD_S,
    ReportAggregator,
    without_counts,
)
from knapweedspring_node._config._roles import Roles
from knapweedspring_node._config._status_writer import StatusWriter
from knapweedspring_node._config._watcher import PlatformWatcher

__all__ = ["ReporterDependencies", "StatusReporter"]

#: Longest time between two checks for changes to report; jitter shortens it.
CHECK_PERIOD_S = 0.5
SEND_TIMEOUT_S = 1.0
BACKOFF_MIN_S = 0.5
BACKOFF_MAX_S = 8.0


@dataclass(frozen=True, slots=True)
class ReporterDependencies:
    """Parts of the node that a :class:`StatusReporter` uses."""

    #: Roles of the nodes of the data centre.
    roles: Roles
    #: Declarations; the status object holds copies of the valid ones.
    store: DeclarationStore
    #: Returns the state of this node.
    read_status: Callable[[], StatusPage]
    #: Watcher, which must be up to date before the contacts are written.
    watcher: PlatformWatcher
    #: Writes the contacts of the data centre to the platform.
    contacts: ContactsWriter
    #: Writes this node's part of the data centre's status object.
    writer: StatusWriter


@dataclass(frozen=True, slots=True)
class _SummaryInputs:
    """State that the summary of a data centre is computed from."""

    n_changes: int
    members: tuple[Member, ...]

    def same_as(self, other: "_SummaryInputs | None") -> bool:
        """Return whether nothing has changed since the other inputs were read.

        The members are compared by identity, because the view returns the same
        tuple until it changes.
        """
        if other is None:
            return False
        return self.n_changes == other.n_changes and self.members is other.members


class StatusReporter(ThreadChild):
    """Sends a node's state to the reporter of its data centre when it changes.

    The reporter itself summarises the received reports and writes the status
    object and the contacts.

    :param dependencies: parts of the node that this thread uses.
    :param events: records when this node begins and ends its role as reporter.
    :param counters: counts reports and platform writes.
    """

    def __init__(
        self, dependencies: ReporterDependencies, events: EventLog, counters: Counters
    ) -> None:
        super().__init__(
            "status-reporter",
            self._report_until_stopped,
            self._request_stop,
            self._record_failure,
        )
        self._dependencies = dependencies
        self._events = events
        self._counters = counters
        self._aggregator = ReportAggregator()
        self._pool = urllib3.PoolManager(maxsize=1, retries=False)
        self._stopped = threading.Event()
        self._random = random.Random()
        self._sent_page: StatusPage | None = None
        self._sent_to: tuple[str, int] | None = None
        self._sent_at = float("-inf")
        self._written_inputs: _SummaryInputs | None = None
        self._was_reporter = False
        self._backoff_s = BACKOFF_MIN_S

    @property
    def is_reporter(self) -> bool:
        """Whether this node was its data centre's reporter at the last check."""
        return self._was_reporter

    def receive_report(self, page: StatusPage) -> None:
        """Record the report of another node.

        :param page: state of the other node.
        """
        self._counters.add("reports", "received")
        self._aggregator.record_report(page)

    def _request_stop(self) -> None:
        self._stopped.set()

    def _report_until_stopped(self) -> None:
        while not self._stopped.is_set():
            self._report_changes()
            # Jitter keeps the nodes of a data centre from reporting at the same time.
            self._stopped.wait(self._random.uniform(0.5, 1.0) * CHECK_PERIOD_S)

    def _report_changes(self) -> None:
        is_reporter = self._dependencies.roles.is_reporter
        if is_reporter != self._was_reporter:
            self._was_reporter = is_reporter
            kind = "reporter:began" if is_reporter else "reporter:ended"
            self._events.record(kind, data_centre=self._dependencies.roles.data_centre)
        page = self._dependencies.read_status()
        if is_reporter:
            self._aggregator.record_report(page)
            self._write_to_platform()
            return
        reporter = self._dependencies.roles.reporter()
        if reporter is not None:
            self._send_report(page, reporter)

    def _write_to_platform(self) -> None:
        inputs = _SummaryInputs(
            self._aggregator.n_changes, self._dependencies.roles.members()
        )
        if self._is_summary_due(inputs):
            written = self._dependencies.writer.write_if_due(self._make_reporter_part())
            self._handle_write_result(written, "status")
            self._written_inputs = inputs if isinstance(written, Ok) else None
        if self._dependencies.watcher.is_watching:
            self._handle_write_result(
                self._dependencies.contacts.write_if_due(), "contacts"
            )

    def _is_summary_due(self, inputs: _SummaryInputs) -> bool:
        """Return whether a summary could lead to a write.

        The check avoids needless summaries, each of which takes some tens of
        milliseconds in a large data centre.
        """
        writer = self._dependencies.writer
        if not writer.may_write:
            return False
        return writer.is_heartbeat_due or not inputs.same_as(self._written_inputs)

    def _handle_write_result(
        self, written: Result[bool, PlatformError], object_name: str
    ) -> None:
        """Count the result of a write.

        After an error other than a conflict, wait for the backoff.
        """
        if isinstance(written, Ok):
            if written.ok_value:
                self._counters.add("platform_writes", object_name)
                self._backoff_s = BACKOFF_MIN_S
            return
        error = written.err_value
        self._counters.add("platform_failures", type(error).__name__)
        if not isinstance(error, PlatformConflict):
            self._stopped.wait(self._random.uniform(0, self._backoff_s))
            self._backoff_s = min(self._backoff_s * 2, BACKOFF_MAX_S)

    def _make_reporter_part(self) -> ReporterStatus:
        roles = self._dependencies.roles
        live_ids = frozenset(roles.ranked_ids())
        unreachable_ids = sorted(
            member.node_id for member in roles.unreachable_members()
        )
        part = self._aggregator.summarise(roles.node_id, live_ids)
        return replace(
            part,
            copies=self._content_copies(),
            n_unreachable=len(unreachable_ids),
            unreachable=tuple(unreachable_ids[:MAX_LISTED_NODES]),
        )

    def _content_copies(self) -> tuple[ContentCopy, ...]:
        return tuple(
            ContentCopy(
                record.key.kind, record.key.name, record.version, record.content
            )
            for record in self._dependencies.store.in_force_records()
        )

    def _send_report(self, page: StatusPage, reporter: Member) -> None:
        stable_page = without_counts(page)
        recipient = (reporter.node_id, reporter.incarnation)
        is_due = time.monotonic() - self._sent_at >= REPORT_PERIOD_S
        if self._sent_page == stable_page and self._sent_to == recipient and not is_due:
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
        self._sent_page = stable_page
        self._sent_to = recipient
        self._sent_at = time.monotonic()

    def _record_failure(self, _: str, error: BaseException) -> None:
        self._counters.add("internal_errors", type(error).__name__)
        self._events.record("reporter:failed", detail=repr(error))
