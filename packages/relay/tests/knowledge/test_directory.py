"""Guards against calls that are routed by outdated entries, or that find no entry.

A listing may arrive after a newer one, entries may disappear from the store during an
outage, and the address of a replaced VM may be given to another service.
"""

from dataclasses import replace

import pytest

from knapweedspring_relay._knowledge._directory import (
    MISSING_GRACE_S,
    Directory,
    DirectorySnapshot,
    GateEntry,
    UpstreamState,
)
from knapweedspring_relay._knowledge._leavings import MAX_LEAVING
from knapweedspring_relay._knowledge._position import StorePosition

ENTRY = GateEntry(
    "a", "10.0.0.1:1", "10.0.0.1:2", "dc", "svc", "i-1", 100, 20, UpstreamState.READY
)


def at(revision, era=0):
    return StorePosition(era, revision)


OTHER = replace(ENTRY, node="b", gate_address="10.0.0.2:1", instance="i-2")


def make_directory(*entries, revision=5):
    directory = Directory()
    listing = DirectorySnapshot(at(revision), {e.node: e for e in entries})
    directory.apply_listing(listing, 0.0)
    return directory


def test_ready_gates_are_those_with_a_ready_upstream():
    draining = replace(OTHER, state=UpstreamState.DRAINING)
    directory = make_directory(ENTRY, draining)
    assert directory.ready_gates("svc") == (ENTRY,)
    assert directory.ready_gates("unknown") == ()


def test_older_listing_changes_nothing():
    directory = make_directory(ENTRY, OTHER)
    assert not directory.apply_listing(DirectorySnapshot(at(4), {}), 0.0)
    assert len(directory.ready_gates("svc")) == 2


def test_missing_entry_is_used_until_the_grace_period_has_passed():
    directory = make_directory(ENTRY, OTHER)
    directory.apply_listing(DirectorySnapshot(at(6), {"a": ENTRY}), 10.0)
    assert directory.expire_missing(10.0 + MISSING_GRACE_S - 0.1) == ()
    assert len(directory.ready_gates("svc")) == 2
    assert directory.expire_missing(10.0 + MISSING_GRACE_S) == ("b",)
    assert directory.ready_gates("svc") == (ENTRY,)


def test_entry_that_reappears_within_the_grace_period_stays():
    directory = make_directory(ENTRY, OTHER)
    directory.apply_changes(at(6), (), ("b",), 10.0)
    directory.apply_changes(at(7), (OTHER,), (), 11.0)
    assert directory.expire_missing(20.0) == ()
    assert len(directory.ready_gates("svc")) == 2


def test_reused_address_belongs_to_the_newest_process():
    newcomer = replace(ENTRY, node="c", service="new", instance="i-9", born_ms=200)
    directory = make_directory(ENTRY, OTHER, newcomer)
    assert directory.ready_gates("svc") == (OTHER,)
    assert directory.ready_gates("new") == (newcomer,)


def test_process_that_leaves_is_not_used_whatever_its_entry_says():
    directory = make_directory(ENTRY, OTHER)
    directory.record_leaving(ENTRY.process)
    assert directory.ready_gates("svc") == (OTHER,)
    directory.apply_changes(at(6), [replace(ENTRY, slots=30)], [], 1.0)
    directory.apply_listing(DirectorySnapshot(at(3, era=1), {"a": ENTRY}), 2.0)
    assert ENTRY not in directory.ready_gates("svc")
    restarted = replace(ENTRY, born_ms=ENTRY.born_ms + 1)
    directory.apply_changes(at(7, era=1), [restarted], [], 3.0)
    assert restarted in directory.ready_gates("svc")


def test_number_of_processes_remembered_as_leaving_is_bounded():
    directory = make_directory(ENTRY)
    for born_ms in range(MAX_LEAVING + 10):
        directory.record_leaving(replace(ENTRY, born_ms=1_000 + born_ms).process)
    assert len(directory.leavings._known_at) == MAX_LEAVING


def directory_of(*entries):
    directory = Directory()
    directory.apply_listing(
        DirectorySnapshot(at(10), {entry.node: entry for entry in entries}), 0.0
    )
    return directory


@pytest.mark.parametrize("service", ["nobody", ""])
def test_entry_without_a_declared_service_hides_no_gate(service):
    """Another writer's entry with a gate's address made the gate unreachable."""
    stray = replace(ENTRY, node="stray", service=service, born_ms=ENTRY.born_ms + 1)
    directory = directory_of(ENTRY, stray)
    directory.declare_services(["svc"])
    assert directory.ready_gates("svc") == (ENTRY,)
    assert directory.ready_gates_in("svc", "dc") == (ENTRY,)
    assert directory.ready_gates(service) == ()


def test_gate_address_of_a_service_that_is_declared_later_is_used_then():
    newer = replace(ENTRY, node="newer", service="next", born_ms=ENTRY.born_ms + 1)
    directory = directory_of(ENTRY, newer)
    directory.declare_services(["svc"])
    assert directory.ready_gates("svc") == (ENTRY,)
    directory.declare_services(["svc", "next"])
    assert directory.ready_gates("svc") == ()
    assert directory.ready_gates("next") == (newer,)
