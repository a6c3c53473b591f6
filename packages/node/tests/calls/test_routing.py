"""Guards against calls sent to a loaded, failing or remote node without need.

A picker that ignores gate loads, or does not eject failing nodes, sends calls where
they are refused. A picker that ejects nodes for the errors of a deeper service, or
readmits them at once, overloads the others.
"""

import random
from collections import Counter

import pytest

from knapweedspring_core import AnnouncedUpstream, Member, StaticMembershipView
from knapweedspring_node._calls._load import GateLoad
from knapweedspring_node._calls._rank import Level, Rank
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
    view = StaticMembershipView(members)
    return UpstreamPicker(view, "n0", "dc1", random.Random(7), clock or Clock())


def picks(picker, n_picks=400, excluded=frozenset(), time_left_s=2.0, rank=RANK):
    found = (picker.pick("orders", rank, excluded, time_left_s) for _ in range(n_picks))
    return Counter(member.node_id for member in found if member is not None)


def test_no_provider_no_pick():
    assert make_picker().pick("orders", RANK, frozenset(), 1.0) is None
    picker = make_picker(member("n1"))
    assert picker.pick("orders", RANK, frozenset({"n1"}), 1.0) is None


def test_less_loaded_of_two_is_picked_as_long_as_it_answers():
    picker = make_picker(member("n1"), member("n2"))
    for _ in range(400):
        picker.record_load("n1", GateLoad(0, 10, 5))
        picker.record_load("n2", GateLoad(9, 10, 0))
        assert picks(picker, 1) == {"n2": 1}


def test_own_data_centre_is_preferred():
    picker = make_picker(member("n1"), member("n2"), member("n3", "dc2"))
    assert set(picks(picker)) == {"n1", "n2"}


def test_unreachable_node_is_ejected_and_picked_again_later():
    clock = Clock()
    picker = make_picker(member("n1"), member("n2"), clock=clock)
    picker.record_failure("n1", FailureKind.CONNECT)
    assert set(picks(picker)) == {"n2"}
    clock.now += 30.0
    assert set(picks(picker)) == {"n1", "n2"}


@pytest.mark.parametrize(
    "kind, n_failures, ejected",
    [
        (FailureKind.CONNECT, 1, True),
        (FailureKind.BROKE_OFF, 2, False),
        (FailureKind.BROKE_OFF, 3, True),
        (FailureKind.ERROR, 3, False),
        (FailureKind.ERROR, 30, True),
        (FailureKind.TIMEOUT, 30, True),
    ],
)
def test_node_that_fails_more_than_its_peers_is_ejected(kind, n_failures, ejected):
    picker = make_picker(member("n1"), member("n2"), member("n3"))
    for _ in range(n_failures):
        picker.record_failure("n1", kind)
    assert ("n1" not in picks(picker)) is ejected


def test_errors_of_a_deeper_service_eject_no_node():
    picker = make_picker(member("n1"), member("n2"))
    for _ in range(100):
        picker.record_failure("n1", FailureKind.ERROR)
        picker.record_failure("n2", FailureKind.ERROR)
    assert set(picks(picker)) == {"n1", "n2"}


def test_successes_between_failures_prevent_ejection():
    picker = make_picker(member("n1"), member("n2"))
    for _ in range(100):
        picker.record_failure("n1", FailureKind.BROKE_OFF)
        for _ in range(4):
            picker.record_success("n1", 0.01)
    assert "n1" in picks(picker)


def test_node_is_readmitted_gradually():
    clock = Clock()
    picker = make_picker(member("n1"), member("n2"), clock=clock)
    picker.record_failure("n1", FailureKind.CONNECT)
    shares = []
    for pause_s in (0.3, 1.0, 1.0, 10.0):
        clock.now += pause_s
        shares.append(picks(picker, 1_000)["n1"])
    assert shares == sorted(shares)
    assert 0 < shares[0] < 100
    assert shares[-1] > 400


def test_successes_speed_up_readmission():
    clock = Clock()
    picker = make_picker(member("n1"), member("n2"), clock=clock)
    picker.record_failure("n1", FailureKind.CONNECT)
    clock.now += 0.3
    for _ in range(10):
        picker.record_success("n1", 0.01)
    assert picks(picker)["n1"] > 150


def test_failed_probe_ejects_a_node_for_longer():
    clock = Clock()
    picker = make_picker(member("n1"), member("n2"), clock=clock)
    pauses_s = []
    for _ in range(4):
        picker.record_failure("n1", FailureKind.CONNECT)
        ejected_at = clock.now
        while "n1" not in picks(picker, 500):
            clock.now += 0.05
        pauses_s.append(clock.now - ejected_at)
    assert pauses_s == sorted(pauses_s)
    assert pauses_s[-1] > 4 * pauses_s[0]


def test_ejected_node_is_picked_when_all_are_ejected():
    picker = make_picker(member("n1"))
    for _ in range(10):
        picker.record_failure("n1", FailureKind.BROKE_OFF)
    assert picks(picker, 10) == {"n1": 10}


def test_calls_without_an_answer_yet_count_as_load():
    picker = make_picker(member("n1"), member("n2"))
    picker.record_load("n1", GateLoad(10, 10, 0))
    picker.record_load("n2", GateLoad(5, 10, 0))
    first = picks(picker, 20)
    assert first["n2"] > 5


def test_stale_load_is_ignored():
    clock = Clock()
    picker = make_picker(member("n1"), member("n2"), clock=clock)
    picker.record_load("n1", GateLoad(0, 10, 50))
    clock.now += 5.0
    assert picks(picker)["n1"] > 100


FULL = GateLoad(0, 10, 5, Level(2, False, 100))


# ``spilled``: whether the call is sent to the other data centre.
@pytest.mark.parametrize(
    "local, remote, rank, time_left_s, spilled",
    [
        (FULL, GateLoad(8, 10, 0), Rank(1, False, 0), 1.0, True),
        (FULL, GateLoad(1, 10, 0), Rank(1, False, 0), 1.0, False),
        (FULL, GateLoad(8, 10, 0), Rank(1, False, 0), 0.001, False),
        (FULL, FULL, Rank(1, False, 0), 1.0, False),
        (FULL, FULL, Rank(3, False, 0), 1.0, True),
        (GateLoad(1, 10, 0), GateLoad(8, 10, 0), Rank(1, False, 0), 1.0, False),
    ],
)
def test_spill_over_to_another_data_centre(local, remote, rank, time_left_s, spilled):
    picker = make_picker(member("n1"), member("n2", "dc2"))
    picker.record_load("n1", local)
    picker.record_load("n2", remote)
    chosen = picker.pick("orders", rank, frozenset(), time_left_s)
    assert (chosen.node_id == "n2") is spilled


def test_other_data_centres_serve_when_the_local_one_has_no_upstream():
    picker = make_picker(member("n2", "dc2"))
    assert picks(picker, 10) == {"n2": 10}
    picker = make_picker(member("n1"), member("n2", "dc2"))
    assert picks(picker, 10, excluded=frozenset({"n1"})) == {"n2": 10}
