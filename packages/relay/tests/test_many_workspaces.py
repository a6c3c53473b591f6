"""Guards against memory and time that grow too fast with the number of workspaces."""

import gc
import time
import tracemalloc

import msgspec
import pytest
from _deployment import HEADERS, ROUTES, make_configuration

from knapweedspring_relay import Quota, Workspace, digest_key
from knapweedspring_relay._configuration import Configuration, RouteTable
from knapweedspring_relay._workspace_keys import identify_caller

N_WORKSPACES = 5_000
N_KEYS = 3
#: Memory of one version of the configuration in force, in bytes.
MAX_BYTES = 2 * 1_048_576
#: Time to put a received version in force, in seconds.
MAX_IN_FORCE_S = 0.5


@pytest.fixture(scope="module")
def encoded():
    workspaces = tuple(
        Workspace(
            f"workspace-{i}",
            tuple(digest_key(b"key-%d-%d" % (i, k)) for k in range(N_KEYS)),
            1,
            Quota(10.0, 10.0),
        )
        for i in range(N_WORKSPACES)
    )
    return msgspec.msgpack.encode(make_configuration(1, workspaces=workspaces))


def test_received_version_is_in_force_in_time(encoded):
    begin = time.process_time()
    table = RouteTable(msgspec.msgpack.decode(encoded, type=Configuration))
    assert time.process_time() - begin < MAX_IN_FORCE_S
    fields = [(b"x-key", b"key-4999-2")]
    caller = identify_caller(fields, HEADERS, table, ROUTES[0])
    assert caller.workspace.name == "workspace-4999"


def test_memory_of_a_version(encoded):
    gc.collect()
    tracemalloc.start()
    table = RouteTable(msgspec.msgpack.decode(encoded, type=Configuration))
    n_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert table.has_workspaces
    assert n_bytes < MAX_BYTES
