"""Guards against faulty answers of upstreams that nodes take for answers to calls.

A late copy of a refusal could be read as the answer to the next call on a connection,
which then runs twice or is falsely reported as not run. An answer without end could
fill the memory of a node or be relayed as complete.
"""

import time
from pathlib import Path

import pytest
import urllib3

from knapweedspring_core import RequestClass, RouteRule, Service
from knapweedspring_standins._caller_plan import CallerPlan, Phase, RequestKind
from knapweedspring_standins._callers import Callers
from knapweedspring_standins._invariants import RunData, check_invariants
from knapweedspring_standins._journal import EntryKind
from knapweedspring_standins._layout import (
    DeclaredObject,
    MeshLayout,
    ServiceLayout,
)
from knapweedspring_standins._mesh import start_mesh
from knapweedspring_standins._processes import ProcessGroup, poll_until
from knapweedspring_standins._upstream_settings import EndlessPart, UpstreamFaults

SEED = 13
#: Load of the test with refusals, and the least that it must have tried.
LOAD_S = 5.0
ARRIVALS_PER_S = 40.0
N_ORDERS_MIN = 100
N_SHED_MIN = 30
#: Limit for the growth of a node's memory while an upstream sends without end.
MEMORY_GROWTH_MAX_KB = 30_000
#: Deadline of a call whose answer does not end, in ms.
ENDLESS_DEADLINE_MS = 1_500
LAYOUT = MeshLayout(
    "boerewors",
    ("johannesburg",),
    (
        ServiceLayout("recipes", 1, 8, 100, 5.0),
        ServiceLayout("orders", 2, 8, 100, 30.0),
    ),
    (
        DeclaredObject("order", RequestClass(9, False, 3_000, 2)),
        DeclaredObject("lookup", RequestClass(5, True, 3_000, 2)),
        DeclaredObject("recipes", Service("lookup")),
        DeclaredObject(
            "orders",
            Service("lookup", (RouteRule("order", "POST", "/new"),), True),
        ),
    ),
    32,
    SEED,
)
BUDGETS = {"order": 2, "lookup": 2}
ORDER = RequestKind("spice-order", "orders", "/new", "order", 1.0, "POST", False, 20)
POOL = urllib3.PoolManager(maxsize=8, retries=False)


@pytest.fixture(scope="module")
def mesh():
    with ProcessGroup() as group:
        started_mesh = start_mesh(LAYOUT, group)
        try:
            assert started_mesh.wait_until_serving()
            yield started_mesh
        finally:
            started_mesh.close()


@pytest.fixture
def set_faults(mesh):
    """Set the faults of the upstreams of ``orders`` until the end of the test."""
    vms = mesh.vms_of("orders")

    def set_on_all(faults):
        for vm in vms:
            mesh.set_faults(vm, faults)

    yield set_on_all
    set_on_all(UpstreamFaults())


def _send_orders(mesh, seconds):
    """Let callers send orders, with retries, and return the records of their sends."""
    plan = CallerPlan(
        entries_file=str(mesh.entries_file),
        kinds=(ORDER,),
        phases=(Phase("load", seconds, ARRIVALS_PER_S),),
        seed=SEED,
        start_s=time.monotonic(),
        n_workers=8,
    )
    return Callers(plan).run().records


def test_late_copy_of_refusal_is_not_read_as_answer_to_the_next_call(mesh, set_faults):
    set_faults(UpstreamFaults(shed_every=3, copies_refusals=True))
    records = _send_orders(mesh, LOAD_S)
    report = check_invariants(RunData(tuple(mesh.journals()), records, BUDGETS))
    details = [entry.detail for page in mesh.journals() for entry in page.entries]
    assert details.count("shed") >= N_SHED_MIN
    assert report.n_non_repeatable >= N_ORDERS_MIN
    assert report.violations == ()


def _peak_memory_kb(node):
    status = Path(f"/proc/{node.pid}/status").read_text()
    return int(status.partition("VmHWM:")[2].split()[0])


def _all_attempts_ended(mesh):
    entries = [entry for page in mesh.journals() for entry in page.entries]
    started = [e.attempt for e in entries if e.kind is EntryKind.STARTED]
    finished = {e.attempt for e in entries if e.kind is EntryKind.FINISHED}
    abandoned = {e.attempt for e in entries if e.kind is EntryKind.ABANDONED}
    return set(started) <= finished | abandoned


@pytest.mark.parametrize("part", list(EndlessPart))
def test_answer_without_end_is_ended_with_bounded_memory(mesh, set_faults, part):
    nodes = [vm.node for vm in mesh.vms]
    before = [_peak_memory_kb(node) for node in nodes]
    set_faults(UpstreamFaults(endless=part))
    url = f"http://{mesh.vms_of('recipes')[0].call_address}/orders/look"
    headers = {"Kws-Deadline-Ms": str(ENDLESS_DEADLINE_MS)}
    try:
        answer = POOL.request("GET", url, headers=headers, timeout=20.0)
    except urllib3.exceptions.TimeoutError:
        pytest.fail("the call is held past its deadline")
    except urllib3.exceptions.HTTPError:
        # The node aborted the answer, so the caller sees that it is incomplete.
        pass
    else:
        assert answer.status in (502, 504)
        assert answer.headers["Kws-Outcome"] != "not-run"
    # An answer without end finishes when the node closes the connection.
    assert poll_until(lambda: _all_attempts_ended(mesh), ENDLESS_DEADLINE_MS / 1_000)
    after = [_peak_memory_kb(node) for node in nodes]
    growth_kb = max(b - a for a, b in zip(before, after, strict=True))
    assert growth_kb < MEMORY_GROWTH_MAX_KB
