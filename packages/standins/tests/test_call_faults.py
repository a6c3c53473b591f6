"""Guards against wrong answers on the call path of real processes.

A truncated or unframed answer could be forwarded as complete, a large body could
be buffered in a node, the work of a disconnected caller could go on, and malformed
or forged input could reach an upstream.
"""

import hashlib
import socket
import time

import pytest
import urllib3

from knapweedspring_core import RequestClass, Service
from knapweedspring_standins._journal import EntryKind
from knapweedspring_standins._layout import (
    DeclaredObject,
    MeshLayout,
    ServiceLayout,
)
from knapweedspring_standins._mesh import start_mesh
from knapweedspring_standins._processes import ProcessGroup, poll_until
from knapweedspring_standins._upstream_settings import UpstreamFaults

SEED = 12
BUNDLE_BYTES = 100 * 1_000_000
#: Limit for the growth of each node's memory while it forwards the large answer.
MEMORY_GROWTH_MAX_KB = 30_000
LAYOUT = MeshLayout(
    "boerewors",
    ("johannesburg",),
    (
        ServiceLayout("library", 1, 8, 100, 5.0),
        ServiceLayout(
            "recipes",
            1,
            8,
            100,
            5.0,
            ("catalogue/item",),
            ("--child-repeats=20",),
        ),
        ServiceLayout("catalogue", 1, 8, 100, 5.0),
    ),
    (
        DeclaredObject("bundle", RequestClass(3, True, 60_000, 1)),
        DeclaredObject("lookup", RequestClass(5, True, 3_000, 2)),
        DeclaredObject("library", Service("bundle")),
        DeclaredObject("recipes", Service("lookup")),
        DeclaredObject("catalogue", Service("lookup")),
    ),
    32,
    SEED,
)
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


def _entry_for(mesh, service):
    """Return a VM without an upstream of the service; its node must forward calls."""
    return next(vm for vm in mesh.vms if vm.service.name != service)


def _url(mesh, service, path):
    return f"http://{_entry_for(mesh, service).call_address}/{service}{path}"


def _entries(mesh, service, kind, path):
    return [
        entry
        for page in mesh.journals()
        for entry in page.entries
        if (entry.service, entry.kind, entry.path) == (service, kind, path)
    ]


def test_large_answer_is_streamed_with_bounded_memory(mesh):
    nodes = [vm.node for vm in mesh.vms]
    before = [node.memory_kb() for node in nodes]
    answer = POOL.request(
        "GET",
        _url(mesh, "library", "/bundle"),
        headers={"X-Echo-Bytes": str(BUNDLE_BYTES)},
        preload_content=False,
        timeout=60.0,
    )
    digest, n_bytes, growth_kb = hashlib.sha256(), 0, 0
    for chunk in answer.stream(1_000_000):
        digest.update(chunk)
        n_bytes += len(chunk)
        now = [node.memory_kb() for node in nodes]
        growth_kb = max(growth_kb, *(b - a for a, b in zip(before, now, strict=True)))
    assert n_bytes == BUNDLE_BYTES
    assert growth_kb < MEMORY_GROWTH_MAX_KB


def test_large_request_body_arrives_whole(mesh):
    body = bytes(range(256)) * 40_000
    answer = POOL.request("POST", _url(mesh, "library", "/up"), body=body, timeout=30)
    assert answer.status == 200
    assert answer.json()["body_sha256"] == hashlib.sha256(body).hexdigest()


@pytest.mark.parametrize("n_bytes", [1_000, 1_000_000])
def test_truncated_answer_is_never_forwarded_as_complete(mesh, n_bytes):
    vm = mesh.vms_of("library")[0]
    mesh.set_faults(vm, UpstreamFaults(truncate_after=500))
    headers = {"X-Echo-Bytes": str(n_bytes)}
    try:
        url = _url(mesh, "library", "/cut")
        answer = POOL.request("GET", url, headers=headers, timeout=30)
    except urllib3.exceptions.HTTPError:
        # The node aborted the answer, so the caller sees that it is incomplete.
        return
    finally:
        mesh.set_faults(vm, UpstreamFaults())
    assert answer.status == 502
    assert answer.headers["Kws-Outcome"] == "unknown"


def test_unframed_answer_is_refused_and_not_reported_as_not_run(mesh):
    vm = mesh.vms_of("library")[0]
    mesh.set_faults(vm, UpstreamFaults(unframed=True))
    try:
        answer = POOL.request("GET", _url(mesh, "library", "/unframed"), timeout=30)
    finally:
        mesh.set_faults(vm, UpstreamFaults())
    assert answer.status == 502
    assert answer.headers["Kws-Outcome"] != "not-run"


def test_disconnect_of_the_caller_cancels_the_request(mesh):
    vm = mesh.vms_of("library")[0]
    mesh.set_faults(vm, UpstreamFaults(slow_factor=4_000.0))
    address = _entry_for(mesh, "library").call_address
    host, _, port = address.rpartition(":")
    try:
        with socket.create_connection((host, int(port))) as caller:
            caller.sendall(b"GET /library/left HTTP/1.1\r\nHost: x\r\n\r\n")
            assert poll_until(
                lambda: _entries(mesh, "library", EntryKind.RECEIVED, "/left"), 10
            )
        assert poll_until(
            lambda: _entries(mesh, "library", EntryKind.ABANDONED, "/left"), 10
        )
    finally:
        mesh.set_faults(vm, UpstreamFaults())


def test_refusal_at_the_deadline_is_prompt_with_outcome_unknown(mesh):
    vm = mesh.vms_of("library")[0]
    mesh.set_faults(vm, UpstreamFaults(freeze=True))
    started_at = time.monotonic()
    try:
        answer = POOL.request(
            "GET",
            _url(mesh, "library", "/late"),
            headers={"Kws-Deadline-Ms": "400"},
            timeout=30,
        )
    finally:
        mesh.set_faults(vm, UpstreamFaults())
    assert answer.status == 504
    assert answer.headers["Kws-Outcome"] == "unknown"
    assert time.monotonic() - started_at < 5


def test_service_that_retries_its_child_calls_stays_within_the_retry_budget(mesh):
    vm = mesh.vms_of("catalogue")[0]
    mesh.set_faults(vm, UpstreamFaults(truncate_after=0))
    try:
        POOL.request("GET", _url(mesh, "recipes", "/chain"), timeout=30)
    finally:
        mesh.set_faults(vm, UpstreamFaults())
    n_root = len(_entries(mesh, "recipes", EntryKind.RECEIVED, "/chain"))
    n_child = len(_entries(mesh, "catalogue", EntryKind.RECEIVED, "/item"))
    assert n_root >= 1
    assert n_child >= 1
    # The first root call and the first child call of each root call are not retries.
    # The class allows two retries in the whole call chain.
    assert (n_root - 1) + (n_child - n_root) <= 2


@pytest.mark.parametrize(
    ("request_bytes", "status"),
    [
        (b"GET /library/x HTTP/1.1\r\nHost: x\r\nX: " + b"a" * 70_000, b"413"),
        (b"GET /" + b"a" * 70_000, b"414"),
        (b"POST /library HTTP/1.1\r\nContent-Length: x\r\n\r\n", b"400"),
        (b"POST /library HTTP/1.1\r\nContent-Length: -4\r\n\r\n", b"400"),
        (
            b"POST /library HTTP/1.1\r\nContent-Length: 4\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            b"400",
        ),
        (b"GET /nowhere/x HTTP/1.1\r\nHost: x\r\n\r\n", b"404"),
        (b"GET / HTTP/1.1\r\nHost: x\r\n\r\n", b"400"),
        (b"nonsense\r\n\r\n", b"400"),
        (b"GET /library HTTP/1.1\r\nKws-Deadline-Ms: soon\r\n\r\n", b"400"),
        (b"GET /library HTTP/1.1\r\nKws-Request-Id: forged\r\n\r\n", b"400"),
    ],
)
def test_malformed_input_is_rejected_with_an_outcome(mesh, request_bytes, status):
    host, _, port = mesh.vms[0].call_address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=20) as caller:
        caller.sendall(request_bytes)
        head = caller.recv(65_536)
    assert head.split(b" ")[1] == status
    assert b"Kws-Outcome: not-run" in head
    assert b"Kws-Reason: " in head


def test_forged_hop_context_is_dropped(mesh):
    answer = POOL.request(
        "GET",
        _url(mesh, "library", "/forged"),
        headers={"Kws-Hop": "AAAA", "Kws-Context": "library-1.1.1"},
        timeout=30,
    )
    assert answer.status == 200


def test_answer_of_an_upstream_carries_no_outcome_headers(mesh):
    answer = POOL.request("GET", _url(mesh, "library", "/plain"), timeout=30)
    assert "Kws-Outcome" not in answer.headers
    assert "Kws-Load" not in answer.headers
