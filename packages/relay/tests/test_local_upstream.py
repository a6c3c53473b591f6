"""Guards against calls to an upstream that has left, caused by a misleading heartbeat.

Heartbeats may arrive late, after a departure, from a replaced process or from another
address, and a restarted node knows only the entry that it published before.
"""

from dataclasses import replace

import pytest

from knapweedspring_relay._knowledge._directory import UpstreamState
from knapweedspring_relay._local_upstream import (
    Heartbeat,
    HeartbeatVerdict,
    LocalUpstream,
    UpstreamTracker,
    problem_of_heartbeat,
)

ADDRESS = "10.0.0.1:8301"
BEAT = Heartbeat("i-1", "svc", ADDRESS, 20, UpstreamState.READY, 0.0, 3, 1000)


@pytest.fixture
def tracker():
    tracker = UpstreamTracker(ADDRESS)
    assert tracker.apply_heartbeat(BEAT, 0.0) is HeartbeatVerdict.CHANGED
    return tracker


@pytest.mark.parametrize(
    ("beat", "verdict", "instance", "is_ready"),
    [
        (replace(BEAT, sequence=4), "unchanged", "i-1", True),
        (replace(BEAT, sequence=2), "late", "i-1", True),
        (replace(BEAT, sequence=4, slots=9), "changed", "i-1", True),
        (replace(BEAT, address="10.0.0.9:1"), "foreign", "i-1", True),
        (replace(BEAT, instance="i-0", born_ms=900), "superseded", "i-1", True),
        (replace(BEAT, instance="i-2", born_ms=1100), "changed", "i-2", True),
        (replace(BEAT, sequence=0, born_ms=1100), "changed", "i-1", True),
        (replace(BEAT, sequence=4, state=UpstreamState.DRAINING), "changed", "i-1", 0),
        # Draining is final, so a late heartbeat that reports it still applies.
        (replace(BEAT, sequence=1, state=UpstreamState.DRAINING), "changed", "i-1", 0),
    ],
)
def test_heartbeat_is_applied_unless_late_foreign_or_superseded(
    tracker, beat, verdict, instance, is_ready
):
    assert tracker.apply_heartbeat(beat, 1.0) == verdict
    assert tracker.current.instance == instance
    assert tracker.current.is_ready == bool(is_ready)


def test_draining_upstream_does_not_become_ready_again(tracker):
    tracker.apply_heartbeat(
        replace(BEAT, sequence=4, state=UpstreamState.DRAINING), 1.0
    )
    tracker.apply_heartbeat(replace(BEAT, sequence=5), 2.0)
    assert not tracker.current.is_ready
    assert tracker.current.draining_at == 1.0


def test_departure_without_draining_is_final(tracker):
    assert tracker.apply_departure("i-1", 1.0) is HeartbeatVerdict.CHANGED
    assert tracker.apply_heartbeat(replace(BEAT, sequence=9), 2.0) == "late"
    assert not tracker.current.is_ready


def test_process_restarted_under_the_same_identity_is_a_new_process(tracker):
    tracker.apply_departure("i-1", 1.0)
    again = replace(BEAT, sequence=0, born_ms=2000)
    assert tracker.apply_heartbeat(again, 5.0) is HeartbeatVerdict.CHANGED
    assert tracker.current.is_ready


def test_departure_of_another_process_changes_nothing(tracker):
    assert tracker.apply_departure("i-0", 1.0) is HeartbeatVerdict.LATE
    assert tracker.current.is_ready


def test_published_state_is_used_until_the_first_heartbeat():
    tracker = UpstreamTracker(ADDRESS)
    tracker.assume_published(
        LocalUpstream("i-1", "svc", 20, UpstreamState.READY, 1000, -1, 0.0), 0.0
    )
    assert tracker.current.is_ready
    newer = replace(BEAT, instance="i-2", born_ms=2000)
    tracker.apply_heartbeat(newer, 1.0)
    assert tracker.current.instance == "i-2"


def test_published_state_is_discarded_without_a_heartbeat():
    tracker = UpstreamTracker(ADDRESS)
    published = LocalUpstream("i-1", "svc", 20, UpstreamState.READY, 1000, -1, 0.0)
    tracker.assume_published(published, 0.0)
    assert tracker.drop_unconfirmed()
    assert tracker.current is None
    tracker.assume_published(published, 0.0)
    tracker.apply_heartbeat(BEAT, 1.0)
    assert not tracker.drop_unconfirmed()
    assert tracker.current.is_ready


# Guards against a report that an upstream sent before it left and that puts it in use
# again after a restart of its node.
@pytest.mark.parametrize("arrives", ["before the entry", "after it", "after the drop"])
def test_late_report_does_not_revive_an_upstream_that_drained_before_a_restart(arrives):
    tracker = UpstreamTracker(ADDRESS)
    published = LocalUpstream("i-1", "svc", 20, UpstreamState.DRAINING, 1000, -1, 0.0)
    if arrives == "before the entry":
        tracker.apply_heartbeat(BEAT, 0.0)
        tracker.assume_published(published, 0.1)
    else:
        tracker.assume_published(published, 0.1)
        if arrives == "after the drop":
            # Kept, so that the entry in the store tells the next process, too.
            assert not tracker.drop_unconfirmed()
            assert not tracker.current.is_ready
        tracker.apply_heartbeat(BEAT, 2.0)
    assert tracker.current is None or not tracker.current.is_ready
    # A later start of the same upstream is used.
    later = replace(BEAT, sequence=0, born_ms=2000)
    assert tracker.apply_heartbeat(later, 3.0) is HeartbeatVerdict.CHANGED
    assert tracker.current.is_ready


def test_answer_of_a_process_that_leaves_is_final_for_that_process_only(tracker):
    first = tracker.current
    assert tracker.apply_leaving(first, 1.0) is HeartbeatVerdict.CHANGED
    assert tracker.apply_leaving(first, 2.0) is HeartbeatVerdict.UNCHANGED
    tracker.apply_heartbeat(replace(BEAT, sequence=9), 3.0)
    assert not tracker.current.is_ready
    assert tracker.current.draining_at == 1.0
    tracker.apply_heartbeat(replace(BEAT, born_ms=2000), 4.0)
    # A late answer of the process before it.
    assert tracker.apply_leaving(first, 5.0) is HeartbeatVerdict.LATE
    assert tracker.current.is_ready


@pytest.mark.parametrize(
    "changes",
    [
        {"instance": ""},
        {"instance": "x" * 300},
        {"instance": "a\r\nb: c"},
        {"instance": "\ud800"},
        {"service": ""},
        {"service": "a\0"},
        {"address": ""},
        {"slots": 0},
        {"slots": 10**9},
        {"sequence": -1},
        {"sequence": 2**64},
        {"born_ms": -1},
        {"born_ms": 2**64},
        {"cold_left_s": 1e300},
        {"cold_left_s": float("inf")},
        {"cold_left_s": float("nan")},
    ],
)
def test_heartbeat_that_a_later_step_cannot_use_is_not_accepted(changes):
    """Numbers over 64 bits could not be sent to the nodes that follow."""
    assert problem_of_heartbeat(BEAT) == ""
    assert problem_of_heartbeat(replace(BEAT, **changes))


# Guards against the departure of a process that a node did not know, which it
# acknowledged and forgot (review/10).
@pytest.mark.parametrize(
    ("at_s", "born_ms", "verdict"),
    [
        (1.0, 1000, "late"),
        (14.0, 1000, "late"),
        # The identity is used again by a later process.
        (1.0, 5001, "changed"),
        # No report is late by so much: the clock was wrong, and the process runs.
        (15.5, 1000, "changed"),
    ],
)
@pytest.mark.parametrize("other", [None, replace(BEAT, instance="i-0", born_ms=900)])
def test_report_after_the_departure_of_an_unknown_process(
    at_s, born_ms, verdict, other
):
    tracker = UpstreamTracker(ADDRESS, lambda: 5000)
    if other is not None:
        tracker.apply_heartbeat(other, 0.0)
    assert tracker.apply_departure("i-1", 0.0) is HeartbeatVerdict.LATE
    assert tracker.apply_heartbeat(replace(BEAT, born_ms=born_ms), at_s) == verdict


@pytest.mark.parametrize("state", list(UpstreamState))
def test_published_process_that_departed_before_its_entry_was_read(state):
    tracker = UpstreamTracker(ADDRESS, lambda: 5000)
    tracker.apply_departure("i-1", 0.0)
    published = LocalUpstream("i-1", "svc", 20, state, 1000, -1, 0.0)
    assert tracker.assume_published(published, 8.0) is HeartbeatVerdict.CHANGED
    assert not tracker.current.is_ready
    assert tracker.apply_heartbeat(BEAT, 60.0) is HeartbeatVerdict.LATE


def test_published_process_replaces_one_that_started_before_it():
    """The report of an earlier process arrived before the entry was read."""
    tracker = UpstreamTracker(ADDRESS)
    tracker.apply_heartbeat(replace(BEAT, instance="i-0", born_ms=900), 0.0)
    published = LocalUpstream("i-1", "svc", 20, UpstreamState.DRAINING, 1000, -1, 0.0)
    assert tracker.assume_published(published, 0.1) is HeartbeatVerdict.CHANGED
    assert tracker.current.instance == "i-1"
    older = LocalUpstream("i-9", "svc", 20, UpstreamState.READY, 800, -1, 0.0)
    assert tracker.assume_published(older, 0.2) is HeartbeatVerdict.SUPERSEDED
    assert tracker.current.instance == "i-1"


# Guards against a late report when nothing else tells that its sender left: neither
# the store nor another node. A running upstream would have reported before.
@pytest.mark.parametrize(
    ("changes", "verdict"),
    [
        ({}, "unconfirmed"),
        ({"born_ms": 5001}, "changed"),
        # Draining is final, however late it arrives.
        ({"state": UpstreamState.DRAINING}, "changed"),
    ],
)
def test_first_report_long_after_a_restart(changes, verdict):
    tracker = UpstreamTracker(ADDRESS, lambda: 5000)
    tracker.record_restart(10.0)
    assert tracker.apply_heartbeat(replace(BEAT, **changes), 14.1) == verdict


@pytest.mark.parametrize("restarted_at", [None, 10.0])
def test_first_report_soon_after_a_start_is_used_at_once(restarted_at):
    tracker = UpstreamTracker(ADDRESS, lambda: 5000)
    if restarted_at is not None:
        tracker.record_restart(restarted_at)
    assert tracker.apply_heartbeat(BEAT, 13.9) is HeartbeatVerdict.CHANGED
    assert tracker.current.is_ready


def test_second_report_shows_that_a_silent_upstream_runs():
    tracker = UpstreamTracker(ADDRESS, lambda: 5000)
    tracker.record_restart(10.0)
    second = replace(BEAT, sequence=4)
    assert tracker.apply_heartbeat(BEAT, 20.0) == "unconfirmed"
    # Reports that were held up together, a copy, and one of another process.
    assert tracker.apply_heartbeat(second, 20.1) == "unconfirmed"
    assert tracker.apply_heartbeat(BEAT, 21.0) == "unconfirmed"
    assert tracker.apply_heartbeat(second, 21.5) is HeartbeatVerdict.CHANGED
    assert tracker.current.is_ready


def test_reports_of_two_silent_processes_do_not_confirm_each_other():
    tracker = UpstreamTracker(ADDRESS, lambda: 5000)
    tracker.record_restart(10.0)
    other = replace(BEAT, instance="i-2", sequence=9)
    assert tracker.apply_heartbeat(BEAT, 20.0) == "unconfirmed"
    assert tracker.apply_heartbeat(other, 21.0) == "unconfirmed"
