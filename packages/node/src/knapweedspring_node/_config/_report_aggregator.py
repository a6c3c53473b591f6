"""Aggregates the status reports of the nodes of a data centre."""

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, replace

from knapweedspring_core import (
    BudgetUse,
    DeclarationRollout,
    DeclarationStatus,
    DrainStatus,
    GateStatus,
    ObjectKey,
    ReporterStatus,
    ServiceShedding,
    StatusPage,
)

__all__ = ["MAX_LISTED_NODES", "REPORT_PERIOD_S", "ReportAggregator", "without_counts"]

#: Seconds after which a node repeats an unchanged report. Changes are sent at once, and
#: sending is retried until it succeeds, so the repetition only restores a report that
#: the reporter has lost.
REPORT_PERIOD_S = 300.0
#: Age in seconds at which a report is discarded; its node then counts as not
#: reporting.
REPORT_EXPIRY_S = 2.5 * REPORT_PERIOD_S

#: Largest number of node IDs in one list of a status object, which also
#: holds the full count.
MAX_LISTED_NODES = 8


@dataclass(frozen=True, slots=True)
class _Report:
    """The last report of a node."""

    page: StatusPage
    #: Monotonic time in seconds at which the report was recorded.
    received_at: float


class ReportAggregator:
    """Holds the last report of each node and summarises them; thread-safe.

    Used by the node that reports the status of its data centre.

    :param now: monotonic clock in seconds.
    """

    def __init__(self, now: Callable[[], float] = time.monotonic) -> None:
        self._now = now
        self._lock = threading.Lock()
        self._reports: dict[str, _Report] = {}
        self._n_changes = 0

    @property
    def n_changes(self) -> int:
        """Number of reports with a change, from all nodes since the start.

        The first report of a node counts as a change. A later report counts if it
        differs from the last report of the same node in more than the counts that
        :func:`without_counts` sets to 0.
        """
        return self._n_changes

    def record_report(self, page: StatusPage) -> None:
        """Record a node's report; ignore it if a newer incarnation has reported.

        :param page: status page of the node.
        """
        with self._lock:
            last = self._reports.get(page.node_id)
            if last is not None and last.page.incarnation > page.incarnation:
                return
            if last is None or without_counts(last.page) != without_counts(page):
                self._n_changes += 1
            self._reports[page.node_id] = _Report(page, self._now())

    def summarise(self, reporter: str, live_ids: frozenset[str]) -> ReporterStatus:
        """Summarise the reports of the live nodes.

        A live node without a current report counts as having nothing in force.

        :param reporter: node ID of this node.
        :param live_ids: nodes of the data centre that are live in this node's
            membership view, this node included.
        :return: the reporter's part of the status object, with sequence 0.
        """
        pages = self._current_pages(live_ids)
        return ReporterStatus(
            reporter=reporter,
            sequence=0,
            n_nodes=len(live_ids),
            n_reporting=len(pages),
            declarations=_declaration_rollouts(pages, live_ids),
            draining=tuple(
                DrainStatus(page.node_id, page.n_unfinished)
                for page in pages
                if page.draining
            ),
            levels=_shedding_by_service(pages),
            budget=_total_budget_use(pages),
        )

    def _current_pages(self, live_ids: frozenset[str]) -> tuple[StatusPage, ...]:
        cutoff_at = self._now() - REPORT_EXPIRY_S
        with self._lock:
            self._reports = {
                node_id: report
                for node_id, report in self._reports.items()
                if report.received_at >= cutoff_at
            }
            pages = [
                report.page
                for node_id, report in self._reports.items()
                if node_id in live_ids
            ]
        return tuple(sorted(pages, key=lambda page: page.node_id))


def without_counts(page: StatusPage) -> StatusPage:
    """Return a report without the counts that change with the traffic.

    The limits and numbers of calls of the gates, the budget use and the number of
    platform calls are set to 0.

    :param page: status page of a node.
    """
    gates = tuple(
        replace(gate, limit=0, n_in_flight=0, n_waiting=0) for gate in page.gates
    )
    return replace(page, gates=gates, budget=BudgetUse(), n_platform_calls=0)


def _declaration_rollouts(
    pages: tuple[StatusPage, ...], live_ids: frozenset[str]
) -> tuple[DeclarationRollout, ...]:
    highest: dict[ObjectKey, DeclarationStatus] = {}
    in_force: dict[ObjectKey, dict[str, int]] = {}
    for page in pages:
        for status in page.declarations:
            key = ObjectKey(status.kind, status.name)
            in_force.setdefault(key, {})[page.node_id] = status.in_force_version
            if key not in highest or highest[key].version < status.version:
                highest[key] = status
    return tuple(
        _declaration_rollout(highest[key], in_force[key], live_ids)
        for key in sorted(highest)
    )


def _declaration_rollout(
    highest: DeclarationStatus, in_force: dict[str, int], live_ids: frozenset[str]
) -> DeclarationRollout:
    lagging_ids = sorted(
        node_id for node_id in live_ids if in_force.get(node_id, 0) < highest.version
    )
    return DeclarationRollout(
        kind=highest.kind,
        name=highest.name,
        version=highest.version,
        lowest_in_force=min(in_force.get(node_id, 0) for node_id in live_ids),
        n_in_force=len(live_ids) - len(lagging_ids),
        # No node can apply an invalid version, so none is lagging.
        lagging=() if highest.invalid_path else tuple(lagging_ids[:MAX_LISTED_NODES]),
        deleted=highest.deleted,
        invalid_path=highest.invalid_path,
        advice=highest.advice,
    )


def _shedding_by_service(pages: tuple[StatusPage, ...]) -> tuple[ServiceShedding, ...]:
    gates: dict[str, list[GateStatus]] = {}
    for page in pages:
        for gate in page.gates:
            gates.setdefault(gate.service, []).append(gate)
    return tuple(
        _service_shedding(service, gates[service]) for service in sorted(gates)
    )


def _service_shedding(service: str, gates: list[GateStatus]) -> ServiceShedding:
    levels = [gate.shedding_level for gate in gates]
    n_shedding = sum(level > 0 for level in levels)
    return ServiceShedding(service, len(gates), n_shedding, max(levels))


def _total_budget_use(pages: tuple[StatusPage, ...]) -> BudgetUse:
    total = BudgetUse()
    for page in pages:
        total = replace(
            total,
            n_spent=total.n_spent + page.budget.n_spent,
            n_denied=total.n_denied + page.budget.n_denied,
        )
    return total
