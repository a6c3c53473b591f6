"""Guards against nodes that disagree for long on who watches the store.

Without messages, the nodes of a data centre must settle on one watcher, replace one
that fails within a bounded time, and return to it later.
"""

import random
from dataclasses import replace

import pytest

from knapweedspring_relay._knowledge import GateEntry, UpstreamState
from knapweedspring_relay._knowledge._source_selector import (
    UNUSABLE_MAX_S,
    UNUSABLE_MIN_S,
    SourceSelector,
    rank_watchers,
)

ENTRY = GateEntry(
    "n0", "10.0.0.0:1", "10.0.0.0:2", "dc-0", "svc", "i", 5, 8, UpstreamState.READY
)


def make_entries(n_nodes, n_data_centres=1):
    return tuple(
        replace(ENTRY, node=f"n{i}", data_centre=f"dc-{i % n_data_centres}")
        for i in range(n_nodes)
    )


def make_selectors(entries):
    selectors = {}
    for entry in entries:
        selectors[entry.node] = SourceSelector(entry.node, entry.data_centre)
        selectors[entry.node].set_entries(entries)
    return selectors


def watchers_of(selectors, now=0.0):
    return {n for n, s in selectors.items() if s.choose(False, now).watches}


@pytest.mark.parametrize(("n_nodes", "n_data_centres"), [(30, 6), (195, 6), (300, 1)])
def test_each_data_centre_has_one_watcher_and_the_others_follow_it(
    n_nodes, n_data_centres
):
    entries = make_entries(n_nodes, n_data_centres)
    selectors = make_selectors(entries)
    watchers = watchers_of(selectors)
    assert len(watchers) == n_data_centres
    for entry in entries:
        if entry.node not in watchers:
            source = selectors[entry.node].choose(False, 0.0).source
            assert source.node in watchers
            assert source.data_centre == entry.data_centre


def test_ranking_does_not_depend_on_the_order_or_on_other_nodes():
    entries = make_entries(40)
    shuffled = list(entries)
    random.Random(1).shuffle(shuffled)
    ranked = rank_watchers(entries, "dc-0")
    assert rank_watchers(shuffled, "dc-0") == ranked
    without = [entry for entry in entries if entry.node != ranked[3].node]
    assert rank_watchers(without, "dc-0") == ranked[:3] + ranked[4:]


def test_followers_of_a_failed_watcher_settle_on_the_next_one():
    entries = make_entries(33)
    selectors = make_selectors(entries)
    first, second = rank_watchers(entries, "dc-0")[:2]
    del selectors[first.node]
    for selector in selectors.values():
        selector.record_failure(first.node, 0.0)
    assert watchers_of(selectors) == {second.node}


def test_watcher_without_the_store_follows_the_next_one_and_keeps_trying():
    entries = make_entries(12)
    first, second = rank_watchers(entries, "dc-0")[:2]
    choice = make_selectors(entries)[first.node].choose(True, 0.0)
    assert choice.watches
    assert choice.source.node == second.node


def test_node_that_failed_is_tried_again_after_growing_times():
    entries = make_entries(2)
    first, second = rank_watchers(entries, "dc-0")
    selector = make_selectors(entries)[second.node]
    now, expected_s = 0.0, UNUSABLE_MIN_S
    for _ in range(6):
        selector.record_failure(first.node, now)
        assert selector.choose(False, now + expected_s - 0.01).source is None
        now += expected_s
        assert selector.choose(False, now).source.node == first.node
        expected_s = min(UNUSABLE_MAX_S, 2.0 * expected_s)
    selector.record_success(first.node)
    selector.record_failure(first.node, now)
    assert selector.choose(False, now + UNUSABLE_MIN_S).source.node == first.node


def test_node_that_is_not_listed_yet_watches_only_when_no_other_node_is_usable():
    entries = make_entries(3)
    selector = SourceSelector("new", "dc-0")
    assert selector.choose(False, 0.0).watches
    selector.set_entries(entries)
    assert not selector.choose(False, 0.0).watches
    for entry in entries:
        selector.record_failure(entry.node, 0.0)
    assert selector.choose(False, 0.5).watches


def test_failures_of_nodes_that_left_are_forgotten():
    entries = make_entries(50)
    selector = SourceSelector("new", "dc-0")
    selector.set_entries(entries)
    for entry in entries:
        selector.record_failure(entry.node, 0.0)
    selector.set_entries(entries[:1])
    assert len(selector._failures) == 1
