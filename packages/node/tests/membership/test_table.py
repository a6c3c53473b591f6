"""Precedence of entries, digests, malformed messages and the queue of updates.

Guards against views that differ permanently because entries arrive in different orders
or expired ones return, transfers of buckets that do not differ, an exception on
malformed bytes from a peer, and a full queue that delays this node's own changes.
"""

import itertools

import pytest

from knapweedspring_core import AnnouncedUpstream, Member, MemberState, UpstreamState
from knapweedspring_node._membership._digest import differing_buckets
from knapweedspring_node._membership._messages import Gossip, pack, unpack
from knapweedspring_node._membership._table import MemberTable
from knapweedspring_node._membership._update_queue import MEMBERS_CAPACITY, UpdateQueue

READY = AnnouncedUpstream("orders", "127.0.0.1:3", 1, 1)
LEAVING = AnnouncedUpstream("orders", "127.0.0.1:3", 1, 1, UpstreamState.LEAVING)


def _member(
    node_id="n", revision=1, state=MemberState.ALIVE, upstream=READY, incarnation=1
):
    return Member(
        node_id, incarnation, "a", "x:1", "x:2", "x:3", state, (upstream,), revision
    )


ENTRIES = [
    _member(revision=1),
    _member(revision=1, state=MemberState.SUSPECT),
    _member(revision=2, upstream=LEAVING),
    _member(revision=2, upstream=LEAVING, state=MemberState.DEAD),
    _member(incarnation=2, revision=1),
]


def _table(entries):
    table = MemberTable("a")
    for entry in entries:
        table.merge(entry)
    return table


def test_any_order_of_arrival_leads_to_the_same_table():
    tables = [_table(order) for order in itertools.permutations(ENTRIES)]
    assert {table.members for table in tables} == {(ENTRIES[-1],)}
    assert {table.digest for table in tables} == {_table(ENTRIES[-1:]).digest}
    assert {table.providers("orders") for table in tables} == {(ENTRIES[-1],)}


@pytest.mark.parametrize(
    ("entry", "provides"),
    [
        (_member(), True),
        (_member(state=MemberState.SUSPECT), True),
        (_member(upstream=LEAVING), False),
        (_member(state=MemberState.DEAD), False),
        (_member(state=MemberState.LEFT), False),
    ],
)
def test_only_live_members_with_a_ready_upstream_are_providers(entry, provides):
    table = _table([_member(revision=0), entry])
    assert bool(table.providers("orders")) is provides


def test_expired_dead_entry_is_not_added_again():
    dead = _member(state=MemberState.DEAD)
    table = _table([_member(), dead])
    assert table.digest == 0
    table.remove_member(dead)
    assert not table.merge(dead)
    assert table.members == ()


def test_digests_differ_only_in_the_bucket_of_a_changed_entry():
    members = [_member(f"n{index}") for index in range(1_000)]
    changed = _member("n7", revision=2)
    first, second = _table(members), _table([*members, changed])
    buckets = differing_buckets(first.bucket_digests, second.bucket_digests)
    assert len(buckets) == 1
    assert changed in second.members_in_buckets(buckets)
    assert len(second.members_in_buckets(buckets)) < 50


@pytest.mark.parametrize(
    "payload", [b"", b"\x00", b"\x00\xc1", b"\x01not deflated", pack(READY)]
)
def test_malformed_payload_is_an_error(payload):
    assert unpack(payload, Gossip).is_err()


def test_urgent_update_precedes_a_full_queue():
    updates = UpdateQueue()
    for index in range(MEMBERS_CAPACITY + 5):
        updates.add_member(_member(f"n{index}"))
    updates.add_member(_member("own", upstream=LEAVING), urgent=True)
    members, _ = updates.pop_batch()
    assert members[:2] == (_member("own", upstream=LEAVING), _member("n0"))
