"""Guards against planned stops that truncate, lose or duplicate calls.

A node or upstream that stops still has calls in flight, and its peers still send it
new ones. A suspended node is marked dead and must be marked alive again after it
resumes.
"""

import contextlib
import threading
import time
from dataclasses import replace

import pytest
import urllib3

from knapweedspring_core import (
    Intent,
    MemberState,
    RequestClass,
    RouteRule,
    Service,
    UpstreamIntent,
)
from knapweedspring_standins._analysis import logical_requests
from knapweedspring_standins._caller_plan import CallerPlan, Phase, RequestKind
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
from knapweedspring_standins._mesh import start_mesh
from knapweedspring_standins._processes import ProcessGroup, poll_until
from knapweedspring_standins._upstream_settings import UpstreamFaults

SEED = 7
#: Exit code of a node whose stop deadline passed before its drain was complete.
EXIT_STOP_DEADLINE = 3
#: Calls under way when a node stops, and least number of these that have to wait.
N_CALLS = 30
N_WAITING_MIN = 5
ARRIVALS_PER_S = 25.0
OBJECTS = (
    DeclaredObject("spice-order", RequestClass(100, False, 4_000, 2)),
    DeclaredObject("lookup", RequestClass(50, True, 2_000, 2)),
    DeclaredObject("recipes", Service("lookup")),
    DeclaredObject(
        "orders", Service("lookup", (RouteRule("spice-order", "POST", "/spice"),))
    ),
)
SERVICES = (
    ServiceLayout("orders", 3, 24, 200, 20.0, ("recipes/blend",)),
    ServiceLayout("recipes", 1, 24, 200, 20.0),
)
LAYOUT = MeshLayout("boerewors", ("johannesburg",), SERVICES, OBJECTS, 32, SEED)
LOOKUP = RequestKind("lookup", "orders", "/look", "lookup", 0.5)
ORDER = RequestKind(
    "spice-order", "orders", "/spice", "spice-order", 0.5, "POST", False, 200
)


@pytest.fixture
def mesh():
    with ProcessGroup() as group:
        started_mesh = start_mesh(LAYOUT, group)
        try:
            assert started_mesh.wait_until_serving()
            yield started_mesh
        finally:
            started_mesh.close()


class _BackgroundCallers:
    """Callers that send in the background for a given time."""

    def __init__(self, mesh, seconds):
        plan = CallerPlan(
            entries_file=str(mesh.entries_file),
            kinds=(LOOKUP, ORDER),
            phases=(Phase("load", seconds, ARRIVALS_PER_S),),
            seed=SEED,
            start_s=time.monotonic(),
            n_workers=32,
        )
        self._records = ()
        self._thread = threading.Thread(target=self._run, args=(Callers(plan),))
        self._thread.start()

    @property
    def running(self):
        return self._thread.is_alive()

    def records(self):
        self._thread.join()
        return self._records

    def _run(self, callers):
        self._records = callers.run().records


def _stop(process):
    """Stop a process gracefully and return its exit code; None after 40 s."""
    process.terminate()
    return process.wait(40)


def _describe(record):
    times = f"{record.start_s:.2f} to {record.end_s:.2f}"
    answer = f"{record.answer} {record.status} {record.outcome} {record.reason}"
    return f"{record.chain} {times} {record.entry}: {answer} {record.detail}"


def _keep_addresses(vm):
    """Let the replacement of a VM's node listen on the addresses of the ended node."""
    ended = vm.node.ready
    vm.node_file = replace(
        vm.node_file,
        call_address=ended.call_address,
        control_address=ended.control_address,
        admin_address=ended.admin_address,
    )


def _receipt_times_s(mesh, upstream):
    """Return the monotonic times at which an upstream received attempts."""
    return [
        entry.time_s
        for page in mesh.journals()
        for entry in page.entries
        if entry.upstream == upstream and entry.kind is EntryKind.RECEIVED
    ]


def test_rolling_replacement_truncates_loses_and_duplicates_nothing(mesh):
    load = _BackgroundCallers(mesh, 24.0)
    time.sleep(1.0)
    stops = []
    for vm in mesh.vms_of("orders"):
        address, node = vm.upstream_address, vm.call_address
        stopped_at = time.monotonic()
        codes = [_stop(vm.upstream), _stop(vm.node)]
        stops.append(PlannedStop(address, node, stopped_at, time.monotonic()))
        assert codes == [0, 0]
        _keep_addresses(vm)
        mesh.replace_vm(vm)
        assert vm.call_address == node
    assert load.running, "the replacements outlasted the load"
    records = load.records()
    budgets = {"spice-order": 2, "lookup": 2}
    run_data = RunData(tuple(mesh.journals()), records, budgets, tuple(stops))
    report = check_invariants(run_data)
    assert report.violations == ()
    assert report.n_non_repeatable > 100
    failed = {
        request.nonce for request in logical_requests(records) if not request.succeeded
    }
    sends = [_describe(record) for record in records if record.nonce in failed]
    assert not failed, "\n".join([*sends, *map(str, stops)])


def test_declared_leaving_ends_new_calls_and_joining_resumes_them(mesh):
    vm = mesh.vms_of("orders")[0]
    address, node_id = vm.upstream_address, vm.node_file.node_id
    load = _BackgroundCallers(mesh, 14.0)
    assert poll_until(lambda: _receipt_times_s(mesh, address))
    mesh.declare(node_id, UpstreamIntent(Intent.LEAVING))
    leaving_at = time.monotonic()
    time.sleep(5.0)
    # Attempts may still arrive within 3 s of the declaration.
    assert [
        received_at
        for received_at in _receipt_times_s(mesh, address)
        if received_at > leaving_at + 3.0
    ] == []
    mesh.declare(node_id, UpstreamIntent(Intent.JOINING))
    joining_at = time.monotonic()
    assert poll_until(lambda: max(_receipt_times_s(mesh, address)) > joining_at)
    requests = logical_requests(load.records())
    assert all(request.succeeded for request in requests)


def test_stop_deadline_of_the_declaration_is_honoured_and_reported(mesh):
    vm = mesh.vms_of("orders")[0]
    node_id = vm.node_file.node_id
    for orders_vm in mesh.vms_of("orders"):
        mesh.set_faults(orders_vm, UpstreamFaults(slow_factor=1_000.0))
    url = f"http://{vm.call_address}/orders/look"
    caller = threading.Thread(target=_call_with_long_timeout, args=(url,))
    caller.start()
    assert poll_until(lambda: _n_unfinished(mesh, vm) > 0)
    mesh.declare(node_id, UpstreamIntent(Intent.LEAVING, stop_deadline_ms=1_500))
    assert poll_until(lambda: mesh.node_page(vm, "/status")["draining"])
    started_at = time.monotonic()
    assert _stop(vm.node) == EXIT_STOP_DEADLINE
    assert time.monotonic() - started_at < 10.0
    assert "node:stop-deadline-hit" in vm.node.stderr_tail(20_000)
    caller.join(30)


# Guards against callers that a stopping node leaves without an answer, because their
# calls wait at the gates of other nodes or run there when its stop deadline comes.
def test_calls_that_wait_at_the_stop_deadline_are_answered(mesh):
    (vm,) = mesh.vms_of("recipes")
    for orders_vm in mesh.vms_of("orders"):
        mesh.set_faults(orders_vm, UpstreamFaults(slow_factor=1_000.0))
    calls = [("GET", "look", "")] * (N_CALLS // 2)
    calls += [("POST", "spice", _ticket(vm)) for _ in range(N_CALLS // 2)]
    outcomes = []
    callers = [
        threading.Thread(target=lambda c=call: outcomes.append(_outcome_of(vm, *c)))
        for call in calls
    ]
    for caller in callers:
        caller.start()
    assert poll_until(lambda: _n_unfinished(mesh, vm) + len(outcomes) >= N_CALLS)
    intent = UpstreamIntent(Intent.LEAVING, stop_deadline_ms=4_000)
    mesh.declare(vm.node_file.node_id, intent)
    assert poll_until(lambda: mesh.node_page(vm, "/status")["draining"])
    assert N_CALLS - len(outcomes) >= N_WAITING_MIN
    vm.node.terminate()
    # A second signal during the stop changes nothing.
    time.sleep(0.5)
    assert _stop(vm.node) == EXIT_STOP_DEADLINE
    for caller in callers:
        caller.join(10)
    assert len(outcomes) == N_CALLS
    assert outcomes.count("no answer") == 0


def _call(vm, method, path, ticket=""):
    headers = {"Kws-Deadline-Ms": "20000"}
    if ticket:
        headers["Kws-Ticket"] = ticket
    url = f"http://{vm.call_address}/orders/{path}"
    return urllib3.request(method, url, headers=headers, timeout=20, retries=False)


def _ticket(vm):
    """Send an order without a ticket and return the ticket that the node issues."""
    return _call(vm, "POST", "spice").headers["Kws-Ticket"]


def _outcome_of(vm, method, path, ticket):
    """Return the outcome that a call is answered with."""
    with contextlib.suppress(urllib3.exceptions.HTTPError):
        answer = _call(vm, method, path, ticket)
        return answer.headers.get("Kws-Outcome", "answered")
    return "no answer"


def test_suspended_node_is_marked_dead_and_refutes_after_it_resumes(mesh):
    suspended, *others = [vm for vm in mesh.vms if vm.service.name == "orders"]
    node_id = suspended.node_file.node_id

    def all_report(state):
        """Return whether every other node reports the suspended node in ``state``."""
        return all(
            node_id in _node_ids_in_state(mesh.node_page(vm, "/members"), state)
            for vm in others
        )

    suspended.node.pause()
    try:
        assert poll_until(lambda: all_report(MemberState.DEAD), 30.0)
    finally:
        suspended.node.resume()
    assert poll_until(lambda: all_report(MemberState.ALIVE), 30.0)
    own = mesh.node_page(suspended, "/members")
    assert len(_node_ids_in_state(own, MemberState.ALIVE)) == len(mesh.vms)


def _node_ids_in_state(page, state):
    members = page["members"] if page else []
    return {member["node_id"] for member in members if member["state"] == state}


def _n_unfinished(mesh, vm):
    page = mesh.node_page(vm, "/status")
    return page["n_unfinished"] if page else 0


def _call_with_long_timeout(url):
    headers = {"Kws-Deadline-Ms": "20000"}
    with contextlib.suppress(urllib3.exceptions.HTTPError):
        urllib3.request("GET", url, headers=headers, timeout=20.0, retries=False)
