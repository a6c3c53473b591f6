"""Guards against a mesh that does not serve during or after a partition.

A partition separates one data centre from the other one and from the platform. Calls
within each data centre must continue, and calls between the data centres must resume
after the partition.
"""

import time

import pytest
import urllib3

from knapweedspring_core import RequestClass, RouteRule, Service
from knapweedspring_standins._caller_plan import CallerPlan, Phase, RequestKind
from knapweedspring_standins._callers import Callers
from knapweedspring_standins._invariants import RunData, check_invariants
from knapweedspring_standins._layout import (
    DeclaredObject,
    MeshLayout,
    ServiceLayout,
)
from knapweedspring_standins._mesh import start_mesh
from knapweedspring_standins._processes import ProcessGroup, poll_until
from knapweedspring_standins._records import Answer

SERVICES = (
    ServiceLayout("orders", 1, 16, 100, 5.0, ("recipes/blend",)),
    ServiceLayout("recipes", 2, 16, 100, 5.0),
)
OBJECTS = (
    DeclaredObject("spice-order", RequestClass(100, False, 4_000, 2)),
    DeclaredObject("lookup", RequestClass(50, True, 4_000, 2)),
    DeclaredObject("recipes", Service("lookup")),
    DeclaredObject(
        "orders", Service("lookup", (RouteRule("spice-order", "POST", "/spice"),))
    ),
)
KINDS = (
    RequestKind("lookup", "recipes", "/braai", "lookup", 1.0),
    RequestKind("order", "orders", "/spice", "spice-order", 1.0, "POST", False, 50),
    RequestKind("bundle", "recipes", "/all", "lookup", 0.2, n_echo_bytes=300_000),
)


@pytest.fixture
def mesh():
    layout = MeshLayout(
        "boerewors", ("pretoria", "midrand"), SERVICES, OBJECTS, 32, partitionable=True
    )
    with ProcessGroup() as group:
        mesh = start_mesh(layout, group)
        assert mesh.wait_until_serving()
        yield mesh
        mesh.close()


def run_callers(mesh, seconds, rate):
    """Send ``rate`` requests per second and return the records of their sends."""
    plan = CallerPlan(
        entries_file=str(mesh.entries_file),
        kinds=KINDS,
        phases=(Phase("all", seconds, rate),),
        seed=5,
        start_s=time.monotonic(),
        n_workers=16,
        name=f"t{time.monotonic_ns()}",
    )
    return Callers(plan).run().records


def status_of(vm, path):
    """Return the HTTP status of a call through a VM's node; 0 without an answer."""
    url = f"http://{vm.call_address}{path}"
    headers = {"Kws-Deadline-Ms": "1000"}
    try:
        return urllib3.request(
            "GET", url, headers=headers, timeout=3.0, retries=False
        ).status
    except urllib3.exceptions.HTTPError:
        return 0


def test_mesh_serves_during_and_after_a_partition(mesh):
    records = run_callers(mesh, 3.0, 30.0)
    answered_kinds = {
        record.kind for record in records if record.answer is Answer.WHOLE
    }
    assert answered_kinds == {"lookup", "order", "bundle"}

    # The only VM of orders is in the first data centre.
    inside = mesh.vms_of("orders")[0]
    outside = mesh.vms_of("recipes")[1]
    assert inside.node_file.data_centre != outside.node_file.data_centre
    assert status_of(outside, "/orders/check") == 200
    mesh.partition(inside.node_file.data_centre)
    assert status_of(outside, "/orders/check") != 200
    assert poll_until(lambda: status_of(inside, "/orders/check") == 200)
    assert poll_until(lambda: status_of(outside, "/recipes/braai") == 200)
    mesh.heal()
    assert poll_until(lambda: status_of(outside, "/orders/check") == 200)

    budgets = {"spice-order": 2, "lookup": 2}
    report = check_invariants(RunData(tuple(mesh.journals()), records, budgets))
    assert report.violations == ()
    # Without data, the checks would find no violation either.
    assert report.n_non_repeatable > 0
    assert report.n_attempts > len(records) / 2
