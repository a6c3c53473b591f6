"""Guards against keys that open the wrong workspace, or none, in unusual spellings."""

import random

import pytest
from _deployment import HEADERS, ROUTES, make_configuration

from knapweedspring_relay import Workspace, digest_key
from knapweedspring_relay._configuration import RouteTable
from knapweedspring_relay._workspace_keys import (
    MAX_KEY_BYTES,
    KeyVerdict,
    identify_caller,
)

READ = ROUTES[0]


def make_table(*workspaces):
    return RouteTable(make_configuration(workspaces=workspaces))


def make_workspace(name, *keys, **changes):
    return Workspace(name, tuple(map(digest_key, keys)), **changes)


@pytest.fixture
def table():
    return make_table(make_workspace("w1", b"k1", b"k2"), make_workspace("w2", b"k3"))


def identify(table, *fields, route=READ):
    return identify_caller(fields, HEADERS, table, route)


@pytest.mark.parametrize("key, name", [(b"k1", "w1"), (b"k2", "w1"), (b"k3", "w2")])
def test_key_identifies_its_workspace(table, key, name):
    caller = identify(table, (b"host", b"h"), (b"x-key", key))
    assert caller.verdict is KeyVerdict.ALLOWED
    assert caller.workspace.name == name


@pytest.mark.parametrize(
    "fields, verdict",
    [
        ([], KeyVerdict.UNREADABLE),
        ([(b"x-key", b"")], KeyVerdict.UNREADABLE),
        ([(b"x-key", b"k1"), (b"x-key", b"k1")], KeyVerdict.UNREADABLE),
        ([(b"x-key", b"k" * (MAX_KEY_BYTES + 1))], KeyVerdict.UNREADABLE),
        ([(b"x-key", b"K1")], KeyVerdict.UNKNOWN),
        ([(b"x-key", b"k1,k2")], KeyVerdict.UNKNOWN),
        ([(b"x-key", digest_key(b"k1"))], KeyVerdict.UNKNOWN),
    ],
)
def test_other_spellings_open_no_workspace(table, fields, verdict):
    caller = identify(table, *fields)
    assert (caller.verdict, caller.workspace) == (verdict, None)


def test_anonymous_route_needs_no_key_and_still_recognises_one(table):
    from dataclasses import replace

    route = replace(READ, is_anonymous=True)
    assert identify(table, route=route).verdict is KeyVerdict.ALLOWED
    unknown = identify(table, (b"x-key", b"other"), route=route)
    assert (unknown.verdict, unknown.workspace) == (KeyVerdict.ALLOWED, None)
    assert identify(table, (b"x-key", b"k3"), route=route).workspace.name == "w2"


def test_without_workspaces_no_key_is_needed_or_read():
    caller = identify(make_table(), (b"x-key", b"k1"))
    assert (caller.verdict, caller.digest) == (KeyVerdict.ALLOWED, b"")


def test_logged_part_of_a_key_is_a_short_digest(table):
    caller = identify(table, (b"x-key", b"secret"))
    assert caller.logged_key == digest_key(b"secret")[:4].hex()
    assert "secret" not in repr(caller)


def test_random_header_values_never_open_a_workspace(table):
    rng = random.Random(1)
    for _ in range(2_000):
        value = rng.randbytes(rng.randrange(40))
        if value.strip() in (b"k1", b"k2", b"k3"):
            continue
        assert identify(table, (b"x-key", value)).workspace is None
