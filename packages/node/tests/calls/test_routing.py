"""The picker follows the load on answers and its own observations."""

import random
from collections import Counter

from knapweedspring_core import AnnouncedUpstream, FixedView, Member
from knapweedspring_node._calls._load import GateLoad
from knapweedspring_node._calls._rank import Rank
from knapweedspring_node._calls._routing import FailureKind, UpstreamPicker

RANK = Rank(1, False, 0)
UPSTREAM = AnnouncedUpstream("orders", "127.0.0.1:1", 10, 10)


def member(node_id, data_centre="dc1"):
    address = "127.0.0.1:0"
    return Member(
        node_id, 1, data_centre, address, address, address, upstreams=(UPSTREAM,)
    )


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


def make_picker(*members, clock=None):
    view = FixedView(members)
    return UpstreamPicker(view, "n0", "dc1", random.Random(7), clock or Clock())


def picks(picker, n_picks=400, excluded=frozenset(), time_left_s=2.0, rank=RANK):
    found = (picker.pick("orders", rank, excluded, time_left_s) for _ in range(n_picks))
    return Counter(member.node_id for member in found if member is not None)


def test_no_provider_no_pick():
    assert make_picker().pick("orders", RANK, frozenset(), 1.0) is None
    picker = make_picker(member("n1"))
    assert picker.pick("orders", RANK, frozenset({"n1"}), 1.0) is None


def test_less_loaded_of_two_is_taken():
    picker = make_picker(member("n1"), member("n2"))
    picker.observe("n1", GateLoad(0, 10, 5))
    picker.observe("n2", GateLoad(9, 10, 0))
    assert picks(picker) == {"n2": 400}


def test_own_data_centre_goes_first():
    picker = make_picker(member("n1"), member("n2"), member("n3", "dc2"))
    assert set(picks(picker)) == {"n1", "n2"}


def test_unreachable_node_is_set_aside_and_tried_again_later():
    clock = Clock()
    picker = make_picker(member("n1"), member("n2"), clock=clock)
    picker.failed("n1", FailureKind.CONNECT)
    assert set(picks(picker)) == {"n2"}
    clock.now += 30.0
    assert set(picks(picker)) == {"n1", "n2"}


def test_node_that_keeps_failing_is_set_aside():
    picker = make_picker(member("n1"), member("n2"))
    for _ in range(10):
        picker.failed("n1", FailureKind.ERROR)
    assert set(picks(picker)) == {"n2"}


def test_all_set_aside_is_better_than_none():
    picker = make_picker(member("n1"))
    for _ in range(10):
        picker.failed("n1", FailureKind.BROKE_OFF)
    assert picks(picker, 10) == {"n1": 10}
