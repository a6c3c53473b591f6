"""Guards against callers that use up a node of the own interface.

Each crowd runs against real processes with few workers and connections. The node must
live, stay within its bounds, and answer an ordinary caller while the crowd is there and
after it has gone. No times and no shares of answered requests are checked.
"""

import contextlib
import os
import socket

import pytest
import urllib3

from knapweedspring_core import RequestClass, Service
from knapweedspring_standins._layout import (
    DeclaredObject,
    MeshLayout,
    ServiceLayout,
)
from knapweedspring_standins._mesh import start_mesh
from knapweedspring_standins._processes import ProcessGroup

SEED = 43
N_WORKERS = 32
LAYOUT = MeshLayout(
    "boerewors",
    ("johannesburg",),
    (ServiceLayout("library", 1, 8, 100, 5.0),),
    (
        DeclaredObject("bundle", RequestClass(3, True, 20_000, 1)),
        DeclaredObject("library", Service("bundle")),
    ),
    N_WORKERS,
    SEED,
)
N_CLIENTS = 200
#: Growth of the node's memory that is allowed, in KB.
MEMORY_GROWTH_MAX_KB = 120_000
#: Descriptors that a node may have open beside its callers' connections.
N_OTHER_DESCRIPTORS = 200
LONG_ANSWER_BYTES = 8 * 1_048_576
LARGE_BODY_BYTES = 1_048_576
#: Deadline of an ordinary request, in seconds, and how often its caller sends it.
DEADLINE_S, N_TRIES = 12.0, 5
SHORT_LINES = b"".join(b"a%d:\r\n" % n for n in range(2_000))
HEAD = b"GET /library/crowd HTTP/1.1\r\nHost: h\r\n"
BODY_HEAD = b"POST /library/crowd HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
LARGE_BODY = BODY_HEAD % LARGE_BODY_BYTES + bytes(LARGE_BODY_BYTES)
#: What each client of a crowd sends; it reads nothing and stays.
CROWDS = {
    "nothing": b"",
    "short lines": HEAD + SHORT_LINES + b"\r\n",
    "unended head": HEAD + SHORT_LINES,
    "whole bodies": LARGE_BODY,
    "bodies short of their end": LARGE_BODY[:-1],
    "tiny chunks": b"POST /library/crowd HTTP/1.1\r\nHost: h\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n" + b"1\r\na\r\n" * 40_000,
    "long answers": HEAD + b"X-Echo-Bytes: %d\r\n\r\n" % LONG_ANSWER_BYTES,
}


@pytest.fixture()
def mesh():
    with ProcessGroup() as group:
        started_mesh = start_mesh(LAYOUT, group)
        try:
            assert started_mesh.wait_until_serving()
            yield started_mesh
        finally:
            started_mesh.close()


def ask(address):
    """Send an ordinary request until it is answered; return the statuses."""
    statuses = []
    while len(statuses) < N_TRIES and 200 not in statuses:
        try:
            answer = urllib3.request(
                "GET",
                f"http://{address}/library/ordinary",
                timeout=DEADLINE_S,
                retries=False,
            )
            statuses.append(answer.status)
        except urllib3.exceptions.HTTPError:
            statuses.append(0)
    return statuses


def open_client(address, data):
    host, port = address.split(":")
    sock = socket.create_connection((host, int(port)), timeout=5)
    sock.settimeout(0.5)
    # The node may stop to read, or close the connection.
    with contextlib.suppress(OSError):
        sock.sendall(data)
    return sock


@pytest.mark.timeout(240)
@pytest.mark.parametrize("crowd", CROWDS)
def test_crowd_leaves_a_node_to_others(mesh, crowd):
    (vm,) = mesh.vms
    node, address = vm.node, vm.call_address
    assert ask(address) == [200]
    before = node.memory_kb()
    found, n_descriptors, n_kb = [], 0, before
    with contextlib.ExitStack() as stack:
        for _ in range(N_CLIENTS):
            with contextlib.suppress(OSError):
                stack.enter_context(open_client(address, CROWDS[crowd]))
            n_descriptors = max(n_descriptors, len(os.listdir(f"/proc/{node.pid}/fd")))
            n_kb = max(n_kb, node.memory_kb())
        beside = ask(address)
        n_kb = max(n_kb, node.memory_kb())
    after = ask(address)
    if 200 not in beside:
        found.append(f"ordinary caller beside the crowd: {beside}")
    if 200 not in after:
        found.append(f"ordinary caller after the crowd: {after}")
    if n_kb - before > MEMORY_GROWTH_MAX_KB:
        found.append(f"memory: grew by {n_kb - before} KB")
    if n_descriptors > N_CLIENTS + N_OTHER_DESCRIPTORS:
        found.append(f"descriptors: {n_descriptors}")
    assert node.exit_code is None
    assert found == []
