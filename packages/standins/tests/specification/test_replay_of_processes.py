"""Guards against processes whose recorded events the specifications do not allow.

Nodes and upstreams run as processes under load while an upstream drains and reopens,
or while a VM is killed and replaced. The recorded events are then replayed.
"""

import threading
import time

import msgspec
import pytest

from knapweedspring_core import (
    Event,
    Intent,
    RequestClass,
    RouteRule,
    Service,
    UpstreamIntent,
)
from knapweedspring_standins._caller_plan import CallerPlan, Phase, RequestKind
from knapweedspring_standins._callers import Callers
from knapweedspring_standins._journal import read_journal
from knapweedspring_standins._layout import (
    DeclaredObject,
    MeshLayout,
    ServiceLayout,
)
from knapweedspring_standins._mesh import start_mesh
from knapweedspring_standins._processes import ProcessGroup, poll_until
from knapweedspring_standins._specification import (
    RunEventKind,
    log_of_journal,
    log_of_node,
    replay,
)

SEED = 11
LOAD_S = 8.0
ARRIVALS_PER_S = 30.0
#: Longest time from a gate's decision to the corresponding entry in the upstream's
#: journal, on a busy machine.
RECORDING_DELAY_S = 1.0
OBJECTS = (
    DeclaredObject("spice-order", RequestClass(100, False, 4_000, 2)),
    DeclaredObject("lookup", RequestClass(50)),
    DeclaredObject(
        "orders", Service("lookup", (RouteRule("spice-order", "POST", "/spice"),))
    ),
)
SERVICES = (ServiceLayout("orders", 3, 24, 200, 20.0),)
LAYOUT = MeshLayout("boerewors", ("johannesburg",), SERVICES, OBJECTS, 32, SEED)
ORDER = RequestKind(
    "spice-order", "orders", "/spice", "spice-order", 1.0, "POST", False, 200
)


@pytest.fixture
def mesh():
    with ProcessGroup() as group:
        started = start_mesh(LAYOUT, group)
        try:
            assert started.wait_until_serving()
            yield started
        finally:
            started.close()


def _start_load(mesh):
    plan = CallerPlan(
        entries_file=str(mesh.entries_file),
        kinds=(ORDER,),
        phases=(Phase("load", LOAD_S, ARRIVALS_PER_S),),
        seed=SEED,
        start_s=time.monotonic(),
        n_workers=32,
    )
    load = threading.Thread(target=Callers(plan).run)
    load.start()
    return load


def _events(mesh, vm):
    page = mesh.node_page(vm, "/events")
    return msgspec.convert(page["events"], tuple[Event, ...])


def _logs(mesh):
    # Times in journals are of the monotonic clock, times in event logs of the wall
    # clock.
    offset_s = time.time() - time.monotonic()
    for vm in mesh.vms:
        process = vm.node_file.node_id
        yield log_of_node(process, _events(mesh, vm))
        for file in vm.journal_files:
            yield log_of_journal(process, read_journal(file), offset_s)


def test_run_with_a_drain_and_a_reopening_is_allowed(mesh):
    vm = mesh.vms_of("orders")[0]
    node_id = vm.node_file.node_id
    load = _start_load(mesh)
    time.sleep(1.5)
    mesh.declare(node_id, UpstreamIntent(Intent.LEAVING))
    assert poll_until(lambda: _has_event(mesh, vm, RunEventKind.GATE_CLOSED))
    time.sleep(2.0)
    mesh.declare(node_id, UpstreamIntent(Intent.JOINING))
    assert poll_until(lambda: _has_event(mesh, vm, RunEventKind.GATE_REOPENED))
    load.join()
    logs = tuple(_logs(mesh))
    report = replay(logs, RECORDING_DELAY_S)
    assert report.breaches == ()
    assert _n_tickets_started(logs) > 100
    assert report.n_events[RunEventKind.TICKET_ATTEMPT] > 100
    n_finished = report.n_events[RunEventKind.GATE_FINISHED]
    assert n_finished == report.n_events[RunEventKind.GATE_STARTED]
    # Each of the three nodes records every declared object at least once.
    assert report.n_events[RunEventKind.DECLARATION_IN_FORCE] >= 3 * len(OBJECTS)


def test_run_with_a_killed_vm_is_allowed(mesh):
    vm = mesh.vms_of("orders")[0]
    load = _start_load(mesh)
    time.sleep(2.0)
    vm.node.kill()
    vm.upstream.kill()
    assert vm.node.wait(20) is not None
    assert vm.upstream.wait(20) is not None
    mesh.replace_vm(vm)
    load.join()
    logs = tuple(_logs(mesh))
    assert replay(logs, RECORDING_DELAY_S).breaches == ()
    assert _n_tickets_started(logs) > 100


def _n_tickets_started(logs):
    return len(
        {
            event.ticket
            for log in logs
            for event in log.events
            if event.kind is RunEventKind.GATE_STARTED and event.ticket
        }
    )


def _has_event(mesh, vm, kind):
    return kind in [event.kind for event in _events(mesh, vm)]
