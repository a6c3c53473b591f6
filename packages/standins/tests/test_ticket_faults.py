"""Guards against a ticketed call that runs twice or is falsely reported as not run.

The cases are callers that retry at several nodes at once, a ticket whose owner node is
suspended, killed or replaced, and answers that are lost after the call ran.
"""

import threading

import pytest
import urllib3

from knapweedspring_core import RequestClass, RouteRule, Service
from knapweedspring_standins._faults import BlackHole, Direction, TruncateAfter
from knapweedspring_standins._journal import EntryKind
from knapweedspring_standins._layout import (
    DeclaredObject,
    MeshLayout,
    ServiceLayout,
)
from knapweedspring_standins._mesh import start_mesh
from knapweedspring_standins._processes import ProcessGroup, poll_until

SEED = 11
OBJECTS = (
    DeclaredObject("order", RequestClass(9, False, 3_000, 2)),
    DeclaredObject("lookup", RequestClass(5, True, 3_000, 2)),
    DeclaredObject("orders", Service("lookup", (RouteRule("order", "POST", "/new"),))),
    DeclaredObject("recipes", Service("lookup")),
)
SERVICES = (
    ServiceLayout("recipes", 2, 8, 100, 5.0),
    ServiceLayout("orders", 2, 8, 100, 150.0),
)
LAYOUT = MeshLayout(
    "boerewors", ("johannesburg",), SERVICES, OBJECTS, 32, SEED, partitionable=True
)
POOL = urllib3.PoolManager(maxsize=16, retries=False)


@pytest.fixture
def mesh():
    with ProcessGroup() as group:
        started_mesh = start_mesh(LAYOUT, group)
        try:
            assert started_mesh.wait_until_serving()
            yield started_mesh
        finally:
            started_mesh.close()


def _post_order(vm, ticket="", deadline_ms=3_000, timeout_s=20.0):
    headers = {"Kws-Deadline-Ms": str(deadline_ms)}
    if ticket:
        headers["Kws-Ticket"] = ticket
    url = f"http://{vm.call_address}/orders/new"
    return POOL.request("POST", url, body=b"spice", headers=headers, timeout=timeout_s)


def _ticket(vm):
    """Send an order without a ticket and return the ticket that the node issues."""
    answer = _post_order(vm)
    assert answer.status == 428
    assert answer.headers["Kws-Outcome"] == "not-run"
    return answer.headers["Kws-Ticket"]


def _n_runs(mesh):
    return sum(
        entry.kind is EntryKind.STARTED and entry.path.startswith("/new")
        for page in mesh.journals()
        for entry in page.entries
    )


def _is_reported_not_run(answer):
    return answer.headers.get("Kws-Outcome") == "not-run"


def _start_posts(calls):
    """Send one order for each pair of VM and ticket, each in its own thread.

    :return: the threads, and the list that they fill with the answers, one item for
        each call; an item is None until the answer arrives, and stays None if the
        request fails.
    """
    answers = [None] * len(calls)

    def post(index, vm, ticket):
        try:
            answers[index] = _post_order(vm, ticket)
        except urllib3.exceptions.HTTPError:
            answers[index] = None

    threads = [
        threading.Thread(target=post, args=(index, *call))
        for index, call in enumerate(calls)
    ]
    for thread in threads:
        thread.start()
    return threads, answers


def test_concurrent_retries_at_all_nodes_run_once(mesh):
    ticket = _ticket(mesh.vms[0])
    threads, answers = _start_posts([(vm, ticket) for vm in mesh.vms] * 2)
    for thread in threads:
        thread.join()
    assert {answer.status for answer in answers} == {200}
    assert len({answer.data for answer in answers}) == 1
    assert _n_runs(mesh) == 1


def test_suspended_owner_runs_the_call_at_most_once_after_it_resumes(mesh):
    owner, other = mesh.vms[0], mesh.vms[1]
    ticket = _ticket(owner)
    owner.node.pause()
    refused = _post_order(other, ticket, deadline_ms=500)
    assert refused.headers["Kws-Outcome"] == "unknown"
    owner.node.resume()
    assert poll_until(lambda: _post_order(other, ticket).status in (200, 409), 20)
    assert _n_runs(mesh) <= 1


def test_caller_gets_the_answer_by_a_retry_after_its_disconnect(mesh):
    entry = mesh.vms[0]
    ticket = _ticket(entry)
    with pytest.raises(urllib3.exceptions.HTTPError):
        _post_order(entry, ticket, timeout_s=0.05)
    assert _post_order(entry, ticket).status == 200
    assert _n_runs(mesh) == 1


def test_killed_owner_leaves_the_outcome_unknown(mesh):
    owner, other = mesh.vms[0], mesh.vms[1]
    ticket = _ticket(owner)
    assert _post_order(owner, ticket).status == 200
    owner.node.kill()
    refused = _post_order(other, ticket)
    assert refused.headers["Kws-Outcome"] == "unknown"
    assert refused.headers["Kws-Reason"] == "owner-unreachable"
    assert _n_runs(mesh) == 1


def test_replaced_owner_does_not_run_its_predecessors_ticket(mesh):
    owner, other = mesh.vms[0], mesh.vms[1]
    ticket = _ticket(owner)
    owner.node.kill()
    owner.upstream.kill()
    mesh.replace_vm(owner)
    assert mesh.wait_until_serving()
    for vm in (owner, other):
        refused = _post_order(vm, ticket)
        assert refused.headers["Kws-Outcome"] == "unknown"
    assert _n_runs(mesh) == 0


def test_call_whose_answer_is_lost_does_not_run_again(mesh):
    entry = mesh.vms[0]
    ticket = _ticket(entry)
    for vm in mesh.vms_of("orders"):
        # 600 bytes are enough for the refusal with which a gate returns its epoch,
        # and too few for the answer to the attempt that follows.
        vm.call_proxy.set_faults(TruncateAfter(600, Direction.TO_CALLER))
    first = _post_order(entry, ticket)
    repeat = _post_order(entry, ticket)
    for vm in mesh.vms_of("orders"):
        vm.call_proxy.set_faults()
    n_runs = _n_runs(mesh)
    assert n_runs <= 1
    for answer in (first, repeat):
        assert not (n_runs and _is_reported_not_run(answer))
    assert not (n_runs and _is_reported_not_run(_post_order(entry, ticket)))
    assert _n_runs(mesh) <= 1


def test_call_lost_before_the_gate_is_revoked_and_runs_elsewhere(mesh):
    entry = mesh.vms[0]
    # The answers give the entry node the epochs of the gates; a run can only be
    # revoked if its attempt was addressed to the gate's epoch.
    for _ in mesh.vms_of("orders"):
        assert poll_until(lambda: _post_order(entry, _ticket(entry)).status == 200, 10)
    before = _n_runs(mesh)
    faulted = mesh.vms_of("orders")[0]
    faulted.call_proxy.set_faults(TruncateAfter(1, Direction.TO_TARGET))
    answers = [_post_order(entry, _ticket(entry)) for _ in range(6)]
    faulted.call_proxy.set_faults()
    n_answered = sum(answer.status == 200 for answer in answers)
    assert n_answered >= 1
    assert _n_runs(mesh) - before == n_answered
    for answer in answers:
        assert answer.status == 200 or answer.headers["Kws-Outcome"] in (
            "not-run",
            "unknown",
        )


def test_call_at_an_unreachable_gate_is_not_reported_as_not_run(mesh):
    entry = mesh.vms[0]
    assert _post_order(entry, _ticket(entry)).status == 200
    before = _n_runs(mesh)
    for vm in mesh.vms_of("orders"):
        vm.call_proxy.set_faults(BlackHole(frozenset({Direction.TO_CALLER})))
    ticket = _ticket(entry)
    refused = _post_order(entry, ticket, deadline_ms=800)
    n_runs = _n_runs(mesh) - before
    assert n_runs <= 1
    assert not (n_runs and _is_reported_not_run(refused))


def test_forged_ticket_is_refused_and_runs_nothing(mesh):
    ticket = _ticket(mesh.vms[0])
    for forged in ("x", ticket[:-8] + "AAAAAAA=", ticket + "AAAA"):
        refused = _post_order(mesh.vms[1], forged)
        assert refused.status == 400
        assert refused.headers["Kws-Reason"] == "ticket-invalid"
    assert _n_runs(mesh) == 0
