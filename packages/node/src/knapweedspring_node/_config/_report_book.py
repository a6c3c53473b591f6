"""What the nodes of a data centre reported, and its summary."""

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, replace

from knapweedspring_core import (
    BudgetUse,
    DeclarationForce,
    DeclarationStatus,
    DrainStatus,
    GateStatus,
    ObjectKey,
    ReporterPart,
    ServiceLevel,
    StatusPage,
)

__all__ = ["MAX_NAMED", "REPORT_PERIOD_S", "ReportBook", "without_counts"]

#: How often a node repeats an unchanged report. Changes are sent at once and until
#: they arrive, so that this only guards against a reporter that forgot.
REPORT_PERIOD_S = 300.0
#: A node that was silent for longer counts as not reporting.
REPORT_EXPIRY_S = 2.5 * REPORT_PERIOD_S

#: Nodes named in one list of a status object; their number is always given.
MAX_NAMED = 8


@dataclass(frozen=True, slots=True)
class _Report:
    page: StatusPage
    received_at: float


class ReportBook:
    """Holds the last report of each node; safe from any thread.

    :param now: monotonic clock in seconds.
    """

    def __init__(self, now: Callable[[], float] = time.monotonic) -> None:
        self._now = now
        self._lock = threading.Lock()
        self._reports: dict[str, _Report] = {}
        self._n_changes = 0

    @property
    def n_changes(self) -> int:
        """Grows when a report differs from the one before in more than counts."""
        return self._n_changes

    def take(self, page: StatusPage) -> None:
        """Keep a node's report, unless it is older than the one held."""
        with self._lock:
            held = self._reports.get(page.node_id)
            if held is not None and held.page.incarnation > page.incarnation:
                return
            if held is None or without_counts(held.page) != without_counts(page):
                self._n_changes += 1
            self._reports[page.node_id] = _Report(page, self._now())

    def summarise(self, reporter: str, live_ids: frozenset[str]) -> ReporterPart:
        """Sum up what the live nodes reported.

        A live node without a fresh report counts as having nothing in force.

        :param reporter: this node.
        :param live_ids: nodes of the data centre that it believes alive.
        """
        pages = self._fresh_pages(live_ids)
        return ReporterPart(
            reporter=reporter,
            sequence=0,
            n_nodes=len(live_ids),
            n_reporting=len(pages),
            declarations=_declarations(pages, live_ids),
            draining=tuple(
                DrainStatus(page.node_id, page.n_unfinished)
                for page in pages
                if page.draining
            ),
            levels=_levels(pages),
            budget=_budget(pages),
        )

    def _fresh_pages(self, live_ids: frozenset[str]) -> tuple[StatusPage, ...]:
        oldest = self._now() - REPORT_EXPIRY_S
        with self._lock:
            self._reports = {
                node_id: report
                for node_id, report in self._reports.items()
                if report.received_at >= oldest
            }
            pages = [
                report.page
                for node_id, report in self._reports.items()
                if node_id in live_ids
            ]
        return tuple(sorted(pages, key=lambda page: page.node_id))


def without_counts(page: StatusPage) -> StatusPage:
    """Leave out of a report what changes with every call."""
    gates = tuple(
        replace(gate, limit=0, n_in_flight=0, n_waiting=0) for gate in page.gates
    )
    return replace(page, gates=gates, budget=BudgetUse(), n_platform_calls=0)


def _declarations(
    pages: tuple[StatusPage, ...], live_ids: frozenset[str]
) -> tuple[DeclarationForce, ...]:
    highest: dict[ObjectKey, DeclarationStatus] = {}
    in_force: dict[ObjectKey, dict[str, int]] = {}
    for page in pages:
        for one in page.declarations:
            key = ObjectKey(one.kind, one.name)
            in_force.setdefault(key, {})[page.node_id] = one.in_force_version
            if key not in highest or highest[key].version < one.version:
                highest[key] = one
    return tuple(
        _force(highest[key], in_force[key], live_ids) for key in sorted(highest)
    )


def _force(
    highest: DeclarationStatus, in_force: dict[str, int], live_ids: frozenset[str]
) -> DeclarationForce:
    behind = sorted(
        node_id for node_id in live_ids if in_force.get(node_id, 0) < highest.version
    )
    return DeclarationForce(
        kind=highest.kind,
        name=highest.name,
        version=highest.version,
        lowest_in_force=min(in_force.get(node_id, 0) for node_id in live_ids),
        n_in_force=len(live_ids) - len(behind),
        # Nobody acts by an invalid version, so that no node is behind.
        lagging=() if highest.invalid_path else tuple(behind[:MAX_NAMED]),
        deleted=highest.deleted,
        invalid_path=highest.invalid_path,
        advice=highest.advice,
    )


def _levels(pages: tuple[StatusPage, ...]) -> tuple[ServiceLevel, ...]:
    gates: dict[str, list[GateStatus]] = {}
    for page in pages:
        for gate in page.gates:
            gates.setdefault(gate.service, []).append(gate)
    return tuple(_level(service, gates[service]) for service in sorted(gates))


def _level(service: str, gates: list[GateStatus]) -> ServiceLevel:
    levels = [gate.shedding_level for gate in gates]
    n_shedding = sum(level > 0 for level in levels)
    return ServiceLevel(service, len(gates), n_shedding, max(levels))


def _budget(pages: tuple[StatusPage, ...]) -> BudgetUse:
    total = BudgetUse()
    for page in pages:
        total = replace(
            total,
            n_spent=total.n_spent + page.budget.n_spent,
            n_denied=total.n_denied + page.budget.n_denied,
        )
    return total
