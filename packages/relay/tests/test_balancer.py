"""Selection of gates by load, failures and latency.

Guards against calls sent to gates that are overloaded, failing, slow or unreachable
while other gates are not, and against traffic between data centres without a benefit.
Both faults come about when one gate's state changes, or when all gates are full,
failing or slow.
"""

import random
from collections import Counter
from dataclasses import replace

import msgspec
import pytest

from knapweedspring_relay._balancer import MAX_RATE_LIMITS, AttemptResult, Balancer
from knapweedspring_relay._configuration import CallKind, Destination, Route
from knapweedspring_relay._hop import GateReport, HopOutcome
from knapweedspring_relay._knowledge import (
    Directory,
    DirectorySnapshot,
    GateEntry,
    StorePosition,
    UpstreamState,
)

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
def balancer_and_entries():
    entries = {
        e.node: e
        for e in (make_entry("near"), make_entry("far", "away"), make_entry("x", "x"))
    }
    directory = Directory()
    directory.apply_listing(DirectorySnapshot(StorePosition(0, 1), entries), 0.0)
    return Balancer(directory, "home", random.Random(1)), entries


def pick_many(balancer, now, n=200):
    return Counter(
        balancer.select_gate("svc", ROUTE, frozenset(), now).node for _ in range(n)
    )


def report(balancer, entry, now, result=AttemptResult.GOOD, **load):
    balancer.record_attempt_start(entry)
    balancer.record_attempt_end(entry, result, make_report(**load), now)


def test_idle_gates_of_the_local_data_centre_get_all_calls(balancer_and_entries):
    balancer, _ = balancer_and_entries
    assert pick_many(balancer, 0.0) == {"near": 200}


def test_local_data_centre_gets_all_calls_while_it_has_room(balancer_and_entries):
    balancer, entries = balancer_and_entries
    report(balancer, entries["near"], 0.0, running=14)
    assert pick_many(balancer, 0.0) == {"near": 200}


def test_calls_spill_over_when_the_local_data_centre_is_full(balancer_and_entries):
    balancer, entries = balancer_and_entries
    report(balancer, entries["near"], 0.0, running=19, waiting=10)
    assert "near" not in pick_many(balancer, 0.0)


def test_no_spillover_when_all_gates_are_equally_full(balancer_and_entries):
    balancer, entries = balancer_and_entries
    for entry in entries.values():
        report(balancer, entry, 0.0, running=19, waiting=5)
    assert pick_many(balancer, 0.0) == {"near": 200}


def test_old_load_reports_decay(balancer_and_entries):
    balancer, entries = balancer_and_entries
    report(balancer, entries["near"], 0.0, running=19, waiting=10)
    assert pick_many(balancer, 3.0) == {"near": 200}


def test_open_calls_of_this_node_count_before_any_report(balancer_and_entries):
    balancer, entries = balancer_and_entries
    for _ in range(25):
        balancer.record_attempt_start(entries["near"])
    assert "near" not in pick_many(balancer, 0.0)


def test_unreachable_gate_is_ejected_and_used_again_later(balancer_and_entries):
    balancer, entries = balancer_and_entries
    balancer.record_attempt_start(entries["near"])
    balancer.record_attempt_end(entries["near"], AttemptResult.UNREACHABLE, None, 0.0)
    assert "near" not in pick_many(balancer, 0.1)
    assert pick_many(balancer, 0.5) == {"near": 200}


def test_ejected_gate_is_picked_when_no_other_is_left(balancer_and_entries):
    balancer, entries = balancer_and_entries
    balancer.record_attempt_start(entries["near"])
    balancer.record_attempt_end(entries["near"], AttemptResult.UNREACHABLE, None, 0.0)
    picked = balancer.select_gate("svc", ROUTE, frozenset({"far", "x"}), 0.1)
    assert picked is entries["near"]


def test_gate_that_fails_more_often_than_others_is_not_picked(balancer_and_entries):
    balancer, entries = balancer_and_entries
    for _ in range(20):
        report(balancer, entries["near"], 0.0, AttemptResult.FAILED)
    assert "near" not in pick_many(balancer, 0.0)


def test_failures_common_to_all_gates_are_ignored(balancer_and_entries):
    balancer, entries = balancer_and_entries
    for _ in range(20):
        for entry in entries.values():
            report(balancer, entry, 0.0, AttemptResult.FAILED)
    assert pick_many(balancer, 0.0) == {"near": 200}


def test_failure_ratio_decays_without_calls(balancer_and_entries):
    balancer, entries = balancer_and_entries
    for _ in range(20):
        report(balancer, entries["near"], 0.0, AttemptResult.FAILED)
    assert pick_many(balancer, 30.0) == {"near": 200}


def test_excluded_gates_are_not_picked(balancer_and_entries):
    balancer, _ = balancer_and_entries
    assert (
        balancer.select_gate("svc", ROUTE, frozenset({"near", "far", "x"}), 0.0) is None
    )
    assert balancer.select_gate("other", ROUTE, frozenset(), 0.0) is None


def test_closed_gate_is_ejected_for_a_while(balancer_and_entries):
    balancer, entries = balancer_and_entries
    report(balancer, entries["near"], 0.0, AttemptResult.CLOSED)
    assert "near" not in pick_many(balancer, 0.5)
    assert pick_many(balancer, 1.1) == {"near": 200}


def test_calls_avoid_a_gate_too_slow_for_the_goal_of_the_route(
    balancer_and_entries,
):
    balancer, entries = balancer_and_entries
    for _ in range(30):
        balancer.record_answer_latency(entries["near"], ROUTE, 0.9, 0.0)
        balancer.record_answer_latency(entries["far"], ROUTE, 0.4, 0.0)
    assert "near" not in pick_many(balancer, 0.0)
    assert pick_many(balancer, 40.0) == {"near": 200}


def test_slowness_common_to_all_gates_causes_no_spillover(balancer_and_entries):
    balancer, entries = balancer_and_entries
    for entry in entries.values():
        balancer.record_answer_latency(entry, ROUTE, 0.9, 0.0)
    assert pick_many(balancer, 0.0) == {"near": 200}


def make_mesh(n_data_centres=6, n_gates=7):
    entries = [
        make_entry(f"{data_centre}-{i}", data_centre)
        for data_centre in ["home", *(f"dc{n}" for n in range(1, n_data_centres))]
        for i in range(n_gates)
    ]
    directory = Directory()
    snapshot = DirectorySnapshot(StorePosition(0, 1), {e.node: e for e in entries})
    directory.apply_listing(snapshot, 0.0)
    return Balancer(directory, "home", random.Random(1)), {e.node: e for e in entries}


def share_of_local_calls(failure_ratio_of, n_calls=3000, per_s=150.0):
    """Play calls whose gates fail at random; return the local share of the last half.

    :param failure_ratio_of: returns the failure ratio of a gate.
    """
    balancer, entries = make_mesh()
    rng = random.Random(2)
    n_local = 0
    for index in range(n_calls):
        now = index / per_s
        picked = balancer.select_gate("svc", ROUTE, frozenset(), now)
        failed = rng.random() < failure_ratio_of(picked)
        result = AttemptResult.FAILED if failed else AttemptResult.GOOD
        report(balancer, entries[picked.node], now, result)
        n_local += index >= n_calls / 2 and picked.data_centre == "home"
    return n_local / (n_calls / 2)


@pytest.mark.parametrize("failure_ratio", [0.2, 0.55, 0.8])
def test_service_that_sheds_everywhere_causes_little_traffic_between_data_centres(
    failure_ratio,
):
    """All upstreams of a service shed, so other data centres offer no better ones."""
    assert share_of_local_calls(lambda _: failure_ratio) > 0.8


def test_service_that_fails_in_the_local_data_centre_only_is_called_elsewhere():
    share = share_of_local_calls(lambda e: 0.55 if e.data_centre == "home" else 0.0)
    assert share < 0.1


def test_failing_gate_of_the_local_data_centre_is_avoided_without_leaving_it():
    balancer, entries = make_mesh()
    for _ in range(30):
        report(balancer, entries["home-0"], 0.0, AttemptResult.FAILED)
    picked = pick_many(balancer, 0.0)
    assert "home-0" not in picked
    assert all(node.startswith("home") for node in picked)


def test_rate_limit_is_kept_for_the_process_that_named_it(balancer_and_entries):
    """A gate that was restarted learns the limit of its upstream from callers."""
    balancer, entries = balancer_and_entries
    near = entries["near"]
    named = msgspec.structs.replace(make_report(), instance="i-near", rate_limit=8.0)
    balancer.record_attempt_start(near)
    balancer.record_attempt_end(near, AttemptResult.GOOD, named, 0.0)
    assert balancer.rate_limit(near) == 8.0
    assert balancer.rate_limit(entries["far"]) is None
    assert balancer.rate_limit(replace(near, born_ms=2)) is None
    # The report of another process says nothing about this one.
    report(balancer, near, 1.0)
    assert balancer.rate_limit(near) == 8.0
    balancer.remove_node("near")
    assert balancer.rate_limit(near) == 8.0
    ended = msgspec.structs.replace(named, rate_limit=None)
    balancer.record_attempt_start(near)
    balancer.record_attempt_end(near, AttemptResult.GOOD, ended, 2.0)
    assert balancer.rate_limit(near) is None


def test_number_of_kept_rate_limits_is_bounded(balancer_and_entries):
    balancer, entries = balancer_and_entries
    for born_ms in range(MAX_RATE_LIMITS + 10):
        entry = replace(entries["near"], born_ms=born_ms)
        named = msgspec.structs.replace(
            make_report(), instance="i-near", rate_limit=1.0
        )
        balancer.record_attempt_end(entry, AttemptResult.GOOD, named, 0.0)
    assert len(balancer._rate_limits) == MAX_RATE_LIMITS
