"""The demo: declarations, overload, tickets and a drain on a small mesh.

Prints a table with the result of each step.
"""

import subprocess
import sys
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

import msgspec
import urllib3

from knapweedspring_core import Header, RequestClass, RouteRule, Service
from knapweedspring_standins._analysis import (
    LogicalRequest,
    latency_figures,
    logical_requests,
)
from knapweedspring_standins._caller_plan import (
    CallerPlan,
    Phase,
    RequestKind,
    RetryLimits,
)
from knapweedspring_standins._callers import Callers
from knapweedspring_standins._invariants import (
    PlannedStop,
    RunData,
    check_invariants,
)
from knapweedspring_standins._journal import EntryKind
from knapweedspring_standins._layout import (
    DeclaredObject,
    MeshLayout,
    ServiceLayout,
)
from knapweedspring_standins._mesh import Mesh, start_mesh
from knapweedspring_standins._processes import (
    ProcessGroup,
)
from knapweedspring_standins._records import SendRecord

__all__ = ["DemoRow", "print_demo", "run_demo"]

SEED = 1
N_DEEP_SLOTS = 4
DEEP_SERVICE_MS = 80.0
#: Requests per second that the slots of the two servers of ``recipes`` can serve.
SATURATION_RATE = 2 * N_DEEP_SLOTS / (DEEP_SERVICE_MS / 1_000)
OVERLOAD_RATIO = 2.0
CALL_TIMEOUT_S = 10.0
CTL_TIMEOUT_S = 30.0

SERVICES = (
    ServiceLayout("orders", 2, 24, 200, 10.0, ("recipes/blend",)),
    ServiceLayout("recipes", 2, N_DEEP_SLOTS, 100, DEEP_SERVICE_MS),
)
OBJECTS = (
    DeclaredObject("spice-order", RequestClass(100, False, 4_000, 2)),
    DeclaredObject("lookup", RequestClass(50, True, 2_000, 2)),
    DeclaredObject("recipes", Service("lookup")),
    DeclaredObject(
        "orders", Service("lookup", (RouteRule("spice-order", "POST", "/spice"),))
    ),
)
LOOKUP = RequestKind("lookup", "recipes", "/braai", "lookup", 0.8)
ORDER = RequestKind(
    name="spice-order",
    service="orders",
    path="/spice",
    request_class="spice-order",
    weight=0.2,
    method="POST",
    repeatable=False,
    n_body_bytes=200,
)


@dataclass(frozen=True, slots=True)
class DemoRow:
    """Result of one step of the demo, shown as one row of the table."""

    #: Description of the step.
    step: str
    #: Measured values, as text.
    result: str
    #: Whether the step passed.
    ok: bool


def run_demo() -> tuple[DemoRow, ...]:
    """Run the demo on a mesh of its own.

    :return: one row for each step.
    :raises ProcessFailed: a process did not become ready.
    """
    layout = MeshLayout(
        firm="boerewors",
        data_centres=("johannesburg", "pretoria"),
        services=SERVICES,
        objects=(),
        n_workers=96,
        seed=SEED,
    )
    with ProcessGroup() as group:
        mesh = start_mesh(layout, group)
        try:
            return _Demo(mesh).run()
        finally:
            mesh.close()


class _Demo:
    """The steps of the demo, on a mesh without declarations."""

    def __init__(self, mesh: Mesh) -> None:
        self._mesh = mesh
        self._records: list[SendRecord] = []
        self._stops: list[PlannedStop] = []

    def run(self) -> tuple[DemoRow, ...]:
        """Run the steps in order."""
        return (
            self._apply_declarations(),
            self._run_load("calls at half of saturation", 4.0, 0.5),
            self._run_load("overload, twice saturation", 6.0, OVERLOAD_RATIO),
            self._resend_with_ticket(),
            self._drain_under_load(),
            self._check_invariants(),
        )

    def _apply_declarations(self) -> DemoRow:
        started_at = time.monotonic()
        file = self._mesh.group.directory / "mesh.json"
        file.write_bytes(
            msgspec.json.encode([_declaration_file_entry(o) for o in OBJECTS])
        )
        exit_code = self._run_ctl("apply", str(file))
        is_serving = self._mesh.wait_until_serving()
        elapsed_s = time.monotonic() - started_at
        result = f"every node serves both services after {elapsed_s:.1f} s"
        step = f"knapweedspringctl apply, {len(OBJECTS)} objects"
        return DemoRow(step, result, is_serving and exit_code == 0)

    def _run_ctl(self, *arguments: str) -> int:
        """Run ``knapweedspringctl`` and return its exit code."""
        command = [sys.executable, "-m", "knapweedspring_ctl", *arguments]
        command.append(f"--platform={self._mesh.platform_address}")
        completed = subprocess.run(
            command, capture_output=True, timeout=CTL_TIMEOUT_S, check=False, text=True
        )
        if completed.returncode != 0:
            print(completed.stdout + completed.stderr, file=sys.stderr)
        return completed.returncode

    def _run_load(self, step: str, seconds: float, load_ratio: float) -> DemoRow:
        plan = CallerPlan(
            entries_file=str(self._mesh.entries_file),
            kinds=(LOOKUP, ORDER),
            phases=(Phase(step, seconds, load_ratio * SATURATION_RATE),),
            seed=SEED,
            start_s=time.monotonic() + 0.5,
            patience=RetryLimits(total_ms=4_000.0),
            n_workers=200,
            name=step.partition(" ")[0].rstrip(","),
        )
        result = Callers(plan).run()
        self._records += result.records
        requests = logical_requests(result.records)
        orders_ok = _success_ratio(requests, ORDER.name) >= 0.99
        return DemoRow(step, _load_summary(requests), orders_ok)

    def _resend_with_ticket(self) -> DemoRow:
        first, second = (vm.call_address for vm in self._mesh.vms[:2])
        ticket_response = urllib3.request(
            "POST", f"http://{first}/tickets/orders", timeout=CALL_TIMEOUT_S
        )
        ticket = ticket_response.headers.get(Header.TICKET.value, "")
        attempt_ids = [
            _send_order(address, ticket) for address in (first, second, second)
        ]
        n_started = sum(
            entry.kind is EntryKind.STARTED and entry.nonce == "ticketed"
            for journal in self._mesh.journals()
            for entry in journal.entries
        )
        all_equal = len(set(attempt_ids)) == 1 and attempt_ids[0] != ""
        result = (
            f"3 sends over 2 nodes, ran {n_started} time, answers equal: {all_equal}"
        )
        step = "one ticket sent three times"
        return DemoRow(step, result, all_equal and n_started == 1)

    def _drain_under_load(self) -> DemoRow:
        draining_vm = self._mesh.vms_of("recipes")[0]
        address = draining_vm.upstream_address
        plan = CallerPlan(
            entries_file=str(self._mesh.entries_file),
            kinds=(LOOKUP,),
            phases=(Phase("drain", 6.0, 0.3 * SATURATION_RATE),),
            seed=SEED,
            start_s=time.monotonic(),
            n_workers=64,
            name="drain",
        )
        callers = _BackgroundCallers(Callers(plan))
        time.sleep(1.5)
        exit_code = self._run_ctl("drain", draining_vm.node_file.node_id)
        drain_declared_at = time.monotonic()
        records = callers.records()
        self._stops.append(
            PlannedStop(address, "", drain_declared_at, time.monotonic())
        )
        self._records += records
        last_new_work_s = max(
            (
                entry.time_s - drain_declared_at
                for journal in self._mesh.journals()
                for entry in journal.entries
                if entry.upstream == address and entry.kind is EntryKind.RECEIVED
            ),
            default=0.0,
        )
        requests = logical_requests(records)
        result = (
            f"last new work {max(0.0, last_new_work_s):.2f} s after the declaration; "
            + _load_summary(requests)
        )
        ok = exit_code == 0 and _success_ratio(requests, LOOKUP.name) == 1.0
        return DemoRow("knapweedspringctl drain, under load", result, ok)

    def _check_invariants(self) -> DemoRow:
        budgets = {
            declared.name: declared.declaration.retry_budget
            for declared in OBJECTS
            if isinstance(declared.declaration, RequestClass)
        }
        journals = tuple(self._mesh.journals())
        run_data = RunData(journals, tuple(self._records), budgets, tuple(self._stops))
        report = check_invariants(run_data)
        violation_counts = Counter(
            violation.invariant.value for violation in report.violations
        )
        result = (
            f"{report.n_sends} sends, {report.n_attempts} attempts, "
            f"{report.n_non_repeatable} orders, {report.n_not_run} not-run: "
            f"{'no violation' if report.ok else dict(violation_counts)}"
        )
        return DemoRow("check the invariants", result, report.ok)


class _BackgroundCallers:
    """Runs callers in a thread while the demo goes on.

    :param callers: callers with their plan; they start at once.
    """

    def __init__(self, callers: Callers) -> None:
        self._pool = ThreadPoolExecutor(max_workers=1)
        self._future = self._pool.submit(callers.run)

    def records(self) -> tuple[SendRecord, ...]:
        """Wait until the callers have ended, and return the records of their sends."""
        result = self._future.result()
        self._pool.shutdown()
        return result.records


def _declaration_file_entry(declared: DeclaredObject) -> dict[str, object]:
    """Convert a declared object to an entry of a declaration file."""
    declaration = declared.declaration
    return {
        "kind": type(declaration).__name__,
        "name": declared.name,
        "spec": msgspec.to_builtins(declaration),
    }


def _success_ratio(requests: list[LogicalRequest], kind: str) -> float:
    outcomes = [request.succeeded for request in requests if request.kind == kind]
    return sum(outcomes) / len(outcomes) if outcomes else 1.0


def _load_summary(requests: list[LogicalRequest]) -> str:
    summaries = [
        f"{figures.kind} {_success_ratio(requests, figures.kind):.0%} of "
        f"{sum(r.kind == figures.kind for r in requests)}, "
        f"median {figures.p50_ms:.0f} ms"
        for figures in latency_figures(requests)
    ]
    return "; ".join(summaries)


def _send_order(address: str, ticket: str) -> str:
    """Send one order and return the id of the attempt that answered it.

    The id is empty if no attempt answered.
    """
    response = urllib3.request(
        "POST",
        f"http://{address}/orders/spice",
        body=b"casings",
        headers={Header.TICKET.value: ticket, "X-Nonce": "ticketed"},
        timeout=CALL_TIMEOUT_S,
        retries=False,
    )
    return response.headers.get("X-Attempt", "") if response.status == 200 else ""


def print_demo() -> int:
    """Run the demo and print its table.

    :return: the exit code; 0 when all steps passed.
    """
    started_at = time.monotonic()
    rows = run_demo()
    width = max(len(row.step) for row in rows)
    for row in rows:
        mark = "ok  " if row.ok else "FAIL"
        print(f"{mark} {row.step:{width}}  {row.result}")
    print(f"{time.monotonic() - started_at:.0f} s")
    return 0 if all(row.ok for row in rows) else 1
