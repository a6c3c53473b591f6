"""Choice of the gate; each case names the load or failure that it answers."""

import random
from collections import Counter

import pytest

from knapweedspring_relay._balancer import Balancer, CallResult
from knapweedspring_relay._configuration import CallKind, Destination, Route
from knapweedspring_relay._directory import (
    Directory,
    DirectorySnapshot,
    GateEntry,
    UpstreamState,
)
from knapweedspring_relay._hop import GateReport, HopOutcome

ROUTE = Route("r", "h", "/", CallKind.IDEMPOTENT, (Destination("svc"),), 1, 5, 2, 2)


def make_entry(node, data_centre="home", slots=20):
    return GateEntry(
        node=node,
        gate_address=f"{node}:1",
        knowledge_address=f"{node}:2",
        data_centre=data_centre,
        service="svc",
        instance=f"i-{node}",
        born_ms=1,
        slots=slots,
        state=UpstreamState.READY,
    )


def make_report(running=0, waiting=0, limit=19):
    return GateReport(
        HopOutcome.ANSWERED, "", running, waiting, limit, 0.0, 0.0, 1, "i"
    )


@pytest.fixture
def world():
    entries = {
        e.node: e
        for e in (make_entry("near"), make_entry("far", "away"), make_entry("x", "x"))
    }
    directory = Directory()
    directory.replace_all(DirectorySnapshot(1, entries), 0.0)
    return Balancer(directory, "home", random.Random(1)), entries


def pick_many(balancer, now, n=200):
    return Counter(balancer.pick("svc", ROUTE, frozenset(), now).node for _ in range(n))


def report(balancer, entry, now, result=CallResult.GOOD, **load):
    balancer.started(entry)
    balancer.finished(entry, result, make_report(**load), now)


def test_calm_day_stays_in_the_own_data_centre(world):
    balancer, _ = world
    assert pick_many(balancer, 0.0) == {"near": 200}


def test_own_data_centre_keeps_its_calls_while_it_has_room(world):
    balancer, entries = world
    report(balancer, entries["near"], 0.0, running=14)
    assert pick_many(balancer, 0.0) == {"near": 200}


def test_full_own_data_centre_spills_over(world):
    balancer, entries = world
    report(balancer, entries["near"], 0.0, running=19, waiting=10)
    assert "near" not in pick_many(balancer, 0.0)


def test_no_spill_over_when_all_are_equally_full(world):
    balancer, entries = world
    for entry in entries.values():
        report(balancer, entry, 0.0, running=19, waiting=5)
    assert pick_many(balancer, 0.0) == {"near": 200}


def test_old_load_reports_fade(world):
    balancer, entries = world
    report(balancer, entries["near"], 0.0, running=19, waiting=10)
    assert pick_many(balancer, 3.0) == {"near": 200}


def test_own_open_calls_count_before_any_report(world):
    balancer, entries = world
    for _ in range(25):
        balancer.started(entries["near"])
    assert "near" not in pick_many(balancer, 0.0)


def test_unreachable_gate_is_left_out_and_tried_again_later(world):
    balancer, entries = world
    balancer.started(entries["near"])
    balancer.finished(entries["near"], CallResult.UNREACHABLE, None, 0.0)
    assert "near" not in pick_many(balancer, 0.1)
    assert pick_many(balancer, 0.5) == {"near": 200}


def test_only_gate_is_tried_although_it_was_unreachable(world):
    balancer, entries = world
    balancer.started(entries["near"])
    balancer.finished(entries["near"], CallResult.UNREACHABLE, None, 0.0)
    picked = balancer.pick("svc", ROUTE, frozenset({"far", "x"}), 0.1)
    assert picked is entries["near"]


def test_failing_upstream_with_good_health_check_gets_less(world):
    balancer, entries = world
    for _ in range(20):
        report(balancer, entries["near"], 0.0, CallResult.FAILED)
    assert "near" not in pick_many(balancer, 0.0)


def test_failures_that_all_share_are_nobodys_fault(world):
    balancer, entries = world
    for _ in range(20):
        for entry in entries.values():
            report(balancer, entry, 0.0, CallResult.FAILED)
    assert pick_many(balancer, 0.0) == {"near": 200}


def test_failing_upstream_is_tried_again_when_time_passes(world):
    balancer, entries = world
    for _ in range(20):
        report(balancer, entries["near"], 0.0, CallResult.FAILED)
    assert pick_many(balancer, 30.0) == {"near": 200}


def test_excluded_gates_are_not_picked(world):
    balancer, _ = world
    assert balancer.pick("svc", ROUTE, frozenset({"near", "far", "x"}), 0.0) is None
    assert balancer.pick("other", ROUTE, frozenset(), 0.0) is None


def test_gate_that_stops_gets_no_calls_that_its_end_could_cut(world):
    balancer, entries = world
    report(balancer, entries["near"], 0.0, CallResult.CLOSED)
    assert "near" not in pick_many(balancer, 0.5)
    assert pick_many(balancer, 1.1) == {"near": 200}


def test_upstream_too_slow_for_the_goal_is_relieved_by_other_data_centres(world):
    balancer, entries = world
    for _ in range(30):
        balancer.answered(entries["near"], ROUTE, 0.9, 0.0)
        balancer.answered(entries["far"], ROUTE, 0.4, 0.0)
    assert "near" not in pick_many(balancer, 0.0)
    assert pick_many(balancer, 40.0) == {"near": 200}


def test_slowness_that_all_share_keeps_calls_at_home(world):
    balancer, entries = world
    for entry in entries.values():
        balancer.answered(entry, ROUTE, 0.9, 0.0)
    assert pick_many(balancer, 0.0) == {"near": 200}
