"""Runs a bench scenario under each policy mode, on a mesh of real processes."""

import os
import threading
import time
from collections import Counter
from dataclasses import dataclass, replace
from pathlib import Path

import msgspec

from knapweedspring_core import Policy, PolicyMode, RequestClass
from knapweedspring_standins._analysis import (
    LogicalRequest,
    PhaseFigures,
    Window,
    attempt_figures,
    goodput_by_second,
    latency_figures,
    logical_requests,
    phase_figures,
    phase_windows,
    recovery_s,
)
from knapweedspring_standins._bench_report import BenchReport, ModeReport, NodeCost
from knapweedspring_standins._caller_plan import (
    CallerPlan,
    CallerResult,
    Phase,
    RetryLimits,
)
from knapweedspring_standins._firms import FIRMS, Firm
from knapweedspring_standins._invariants import RunData, check_invariants
from knapweedspring_standins._journal import EntryKind
from knapweedspring_standins._layout import DeclaredObject
from knapweedspring_standins._mesh import Mesh, start_mesh
from knapweedspring_standins._processes import Process, ProcessFailed, ProcessGroup
from knapweedspring_standins._records import Answer, SendRecord
from knapweedspring_standins._scenarios import SCENARIOS, Scenario, ScenarioContext

__all__ = ["run_bench", "run_mode"]

N_CALLER_PROCESSES = 3
#: Seconds between the start of the caller processes and the first phase.
START_DELAY_S = 2.0
#: Longest wait in seconds for the exit of each caller process, beyond the end of the
#: last phase; a later exit fails the run.
CALLERS_TIMEOUT_S = 120.0
#: Maximum number of violations that a report describes; it counts all of them.
N_EXAMPLES_MAX = 8
#: Kinds of the journal entries that end an attempt at an upstream.
END_KINDS = (EntryKind.FINISHED, EntryKind.ABANDONED)


def run_bench(
    scenario_name: str, firm_name: str, seed: int, modes: tuple[PolicyMode, ...]
) -> BenchReport:
    """Run a scenario under each policy mode.

    :param scenario_name: key of :data:`SCENARIOS`.
    :param firm_name: key of :data:`FIRMS`.
    :param seed: seed of arrivals, service times and faults.
    :param modes: policy modes, in the order of the runs.
    :return: report with the figures of one run for each policy mode.
    :raises ProcessFailed: a process or the scenario failed.
    """
    firm = FIRMS[firm_name]
    scenario = SCENARIOS[scenario_name]
    load_before = os.getloadavg()[0]
    reports = tuple(run_mode(scenario, firm, seed, mode) for mode in modes)
    return BenchReport(
        scenario=scenario_name,
        firm=firm_name,
        seed=seed,
        scaling=(
            f"slots and connections are 1/{firm.scale} of the firm's own, at "
            f"service times that make the deepest service saturate at "
            f"{firm.saturation_rate:.0f} successful requests a second; servers and "
            "data centres are as in the firm; network delays are not emulated"
        ),
        n_cores=os.cpu_count() or 0,
        load_before=load_before,
        windows=tuple(phase_windows(scenario.phases, 0.0)),
        cause_phases=scenario.cause_phases,
        modes=reports,
    )


def run_mode(scenario: Scenario, firm: Firm, seed: int, mode: PolicyMode) -> ModeReport:
    """Run a scenario under one policy mode, on a mesh of its own.

    :param scenario: load phases and faults to run.
    :param firm: layout, request mix and capacity of the mesh to start.
    :param seed: seed of arrivals, service times and faults.
    :param mode: policy mode to declare on the mesh.
    :return: goodput, latencies, attempts, violations and node cost of the run.
    :raises ProcessFailed: a process or the scenario failed.
    """
    objects = (*firm.layout.objects, DeclaredObject("mesh", Policy(mode)))
    layout = replace(
        firm.layout,
        objects=objects,
        seed=seed,
        partitionable=scenario.needs_partition_proxies,
    )
    with ProcessGroup() as group:
        mesh = start_mesh(layout, group)
        try:
            if not mesh.wait_until_serving():
                raise ProcessFailed("not every node serves every service")
            run = _Run(scenario, replace(firm, layout=layout), seed, mesh)
            return run.execute(mode)
        finally:
            mesh.close()


@dataclass(frozen=True, slots=True)
class _CpuUsage:
    """CPU time that a process had used before the callers started."""

    #: Process of a node.
    process: Process
    #: User and system time since the start of the process, in seconds.
    cpu_s: float


class _Run:
    """One run of a scenario on a mesh that serves all its services."""

    def __init__(self, scenario: Scenario, firm: Firm, seed: int, mesh: Mesh) -> None:
        self._scenario = scenario
        self._firm = firm
        self._seed = seed
        self._mesh = mesh
        self._start_s = time.monotonic() + START_DELAY_S
        self._phases = tuple(
            replace(phase, rate=phase.rate * firm.saturation_rate)
            for phase in scenario.phases
        )
        self._windows = phase_windows(self._phases, self._start_s)

    def execute(self, mode: PolicyMode) -> ModeReport:
        """Run the callers and the scenario, and compute the figures of the run.

        :param mode: policy mode that the mesh runs under, for the report.
        :raises ProcessFailed: a caller process or the scenario failed.
        """
        cpu_before = [_CpuUsage(p.node, p.node.cpu_s()) for p in self._mesh.vms]
        context = ScenarioContext(self._mesh, self._firm, self._start_s, [])
        results = self._run_callers(context)
        cost = self._node_cost(cpu_before)
        run_data = RunData(
            journals=tuple(self._mesh.journals()),
            records=tuple(r for result in results for r in result.records),
            budgets=self._budgets(),
            stops=tuple(context.stops),
        )
        requests = logical_requests(run_data.records)
        figures = phase_figures(requests, self._windows)
        verdict = check_invariants(run_data)
        examples = [
            f"{v.invariant}: {v.subject}: {v.detail}" for v in verdict.violations
        ]
        n_seconds = int(self._windows[-1].end_s - self._start_s)
        goodput = goodput_by_second(requests, self._start_s, n_seconds)
        return ModeReport(
            mode=mode.value,
            phases=tuple(figures),
            latencies=tuple(latency_figures(requests)),
            attempts=attempt_figures(run_data, requests),
            n_extra_attempts_max=verdict.n_extra_attempts_max,
            recovery_s=self._recovery_s(requests),
            goodput_part_of_saturation=_surge_goodput_ratio(figures),
            top_kind_part=self._top_kind_success_ratio(figures),
            violations=verdict.counts(),
            examples=tuple(examples[:N_EXAMPLES_MAX]),
            answers=_count_answers(run_data.records),
            top_kind_failures=self._top_kind_failures(run_data, requests),
            n_non_repeatable=verdict.n_non_repeatable,
            n_not_run=verdict.n_not_run,
            n_late=sum(result.n_late for result in results),
            cost=cost,
            goodput_by_second=tuple(goodput),
        )

    def _run_callers(self, context: ScenarioContext) -> list[CallerResult]:
        callers = [self._start_callers(number) for number in range(N_CALLER_PROCESSES)]
        failures: list[BaseException] = []
        scenario_thread = threading.Thread(
            target=self._run_scenario, args=(context, failures)
        )
        scenario_thread.start()
        timeout_s = self._windows[-1].end_s - time.monotonic() + CALLERS_TIMEOUT_S
        results = []
        for process, result_file in callers:
            if process.wait(timeout_s) != 0:
                raise ProcessFailed(f"callers failed: {process.stderr_tail()}")
            results.append(
                msgspec.json.decode(result_file.read_bytes(), type=CallerResult)
            )
        scenario_thread.join()
        if failures:
            raise ProcessFailed(f"the scenario failed: {failures[0]!r}")
        return results

    def _run_scenario(
        self, context: ScenarioContext, failures: list[BaseException]
    ) -> None:
        try:
            self._scenario.run(context)
        except Exception as error:  # noqa: BLE001
            failures.append(error)

    def _start_callers(self, number: int) -> tuple[Process, Path]:
        caller_phases = tuple(
            Phase(phase.name, phase.seconds, phase.rate / N_CALLER_PROCESSES)
            for phase in self._phases
        )
        plan = CallerPlan(
            entries_file=str(self._mesh.entries_file),
            kinds=self._firm.kinds,
            phases=caller_phases,
            seed=self._seed * 100 + number,
            start_s=self._start_s,
            patience=RetryLimits(),
            name=f"c{number}",
        )
        directory = self._mesh.group.directory
        plan_file = directory / f"callers-{number}.plan"
        result_file = directory / f"callers-{number}.result"
        plan_file.write_bytes(msgspec.json.encode(plan))
        arguments = ["callers", f"--plan={plan_file}", f"--result={result_file}"]
        process = self._mesh.group.start_standin(f"callers-{number}", arguments)
        return process, result_file

    def _budgets(self) -> dict[str, int]:
        return {
            declared.name: declared.declaration.retry_budget
            for declared in self._firm.layout.objects
            if isinstance(declared.declaration, RequestClass)
        }

    def _window(self, name: str) -> Window:
        return next(window for window in self._windows if window.name == name)

    def _recovery_s(self, requests: list[LogicalRequest]) -> float | None:
        if not self._scenario.cause_phases:
            return None
        cause_end_s = self._window(self._scenario.cause_phases[-1]).end_s
        end_s = self._windows[-1].end_s
        return recovery_s(requests, self._window("base"), cause_end_s, end_s)

    def _top_kind_success_ratio(self, figures: list[PhaseFigures]) -> float | None:
        chosen = [
            f
            for f in figures
            if f.phase in self._scenario.cause_phases and f.kind == self._firm.top_kind
        ]
        n_arrivals = sum(f.n_arrivals for f in chosen)
        return sum(f.n_succeeded for f in chosen) / n_arrivals if n_arrivals else None

    def _top_kind_failures(
        self, run_data: RunData, requests: list[LogicalRequest]
    ) -> dict[str, int]:
        top_nonces = {r.nonce for r in requests if r.kind == self._firm.top_kind}
        counts = Counter(
            f"{entry.service}: {entry.detail}"
            for journal in run_data.journals
            for entry in journal.entries
            if entry.kind in END_KINDS and entry.detail
            if entry.nonce.partition("/")[0] in top_nonces
        )
        return dict(counts.most_common())

    def _node_cost(self, before: list[_CpuUsage]) -> NodeCost:
        elapsed_s = time.monotonic() - self._start_s + START_DELAY_S
        cores = [(u.process.cpu_s() - u.cpu_s) / elapsed_s for u in before]
        memory = [vm.node.memory_kb() for vm in self._mesh.vms]
        return NodeCost(sum(cores) / len(cores), max(cores), max(memory))


def _surge_goodput_ratio(figures: list[PhaseFigures]) -> float | None:
    goodput = {f.phase: f.goodput for f in figures if f.kind == "all"}
    if "surge" not in goodput or not goodput.get("saturation"):
        return None
    return goodput["surge"] / goodput["saturation"]


def _count_answers(records: tuple[SendRecord, ...]) -> dict[str, int]:
    counts = Counter(
        f"{r.outcome} {r.reason}" if r.answer is Answer.REFUSED else r.answer.value
        for r in records
    )
    return dict(counts.most_common())
