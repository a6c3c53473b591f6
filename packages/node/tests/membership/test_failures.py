"""Membership views under lost messages, partitions, killed and replaced nodes.

Guards against a reachable node that is marked dead, a killed node that stays alive in
a view, and views or declarations that differ permanently. This happens when messages
are lost between one pair of nodes or in one direction, when a partition outlasts the
suspicion timeout, or when another process starts at the address of a killed one.
"""

import time
from dataclasses import replace

import pytest

from knapweedspring_core import (
    AnnouncedUpstream,
    MemberState,
    ObjectKey,
    ObjectRecord,
)

KEY = ObjectKey("RequestClass", "order")


def _record(version):
    return ObjectRecord(KEY, version, content=f'{{"priority": {version}}}')


@pytest.fixture
def slow_probe_settings(fast_settings):
    """Settings with a probe timeout that a busy machine does not exceed."""
    return replace(fast_settings, probe_timeout_s=1.0)


def _add_all(mesh, data_centres, **arguments):
    nodes = [
        mesh.add(f"{name}{index}", name, **arguments)
        for index, name in enumerate(data_centres)
    ]
    mesh.wait_for_state(MemberState.ALIVE)
    return nodes


def _nodes_in(mesh, *data_centres):
    return [
        node
        for node in mesh.nodes
        if node.service.own_entry.data_centre in data_centres
    ]


def _has_current_incarnation(node, other):
    found = node.service.find_member(other.node_id)
    return found.incarnation == other.service.own_entry.incarnation


def test_killed_node_is_dead_everywhere_and_expires(mesh, fast_settings, wait_until):
    # The expiry is longer than the time in which the views differ. Otherwise a node
    # that has removed the expired entry could add it again from a peer that still
    # lists the killed node as alive.
    settings = replace(fast_settings, expiry_s=4.0)
    nodes = _add_all(mesh, "aaabb", settings=settings)
    killed = nodes[1]
    killed.service.announce(AnnouncedUpstream("orders", "127.0.0.1:3", 1, 1))
    for node in nodes:
        wait_until(lambda node=node: node.service.providers("orders"))
    mesh.kill(killed)
    mesh.wait_for_state(MemberState.DEAD, [killed])
    for node in mesh.nodes:
        assert node.service.providers("orders") == ()
        wait_until(lambda node=node: killed.node_id not in node.states(), "expiry")


def test_broken_link_of_one_pair_raises_no_suspicion(
    mesh, slow_probe_settings, wait_until
):
    first, second, _ = _add_all(mesh, "aaa", settings=slow_probe_settings)
    mesh.partition([first], [second])
    for node in (first, second):
        wait_until(
            lambda node=node: (
                node.counters.get("membership_probes_answered", "indirect") >= 3
            ),
            "indirect probes",
        )
    assert mesh.sum_counter("membership_suspicions") == 0


def test_one_way_loss_marks_no_member_dead_and_updates_still_spread(
    mesh, slow_probe_settings, wait_until
):
    first, second, third = _add_all(mesh, "aaa", settings=slow_probe_settings)
    mesh.drop_messages([first], [second])
    first.store.merge(_record(3))
    wait_until(lambda: second.store.version_of(KEY) == 3)
    wait_until(
        lambda: first.counters.get("membership_probes_answered", "indirect") >= 3
    )
    assert third.states()["a0"] is MemberState.ALIVE
    assert third.states()["a1"] is MemberState.ALIVE


def test_updates_pass_a_partition_through_a_third_data_centre(
    mesh, slow_probe_settings, wait_until
):
    _add_all(mesh, "aabbcc", settings=slow_probe_settings)
    mesh.partition(_nodes_in(mesh, "a"), _nodes_in(mesh, "c"))
    _nodes_in(mesh, "a")[0].store.merge(_record(1))
    _nodes_in(mesh, "c")[1].store.merge(
        replace(_record(1), key=ObjectKey("Policy", "x"))
    )
    upstream = AnnouncedUpstream("orders", "127.0.0.1:3", 1, 1)
    _nodes_in(mesh, "a")[1].service.announce(upstream)
    for node in _nodes_in(mesh, "c"):
        wait_until(lambda node=node: node.store.version_of(KEY) == 1)
        wait_until(lambda node=node: node.service.providers("orders"))
    other = ObjectKey("Policy", "x")
    for node in _nodes_in(mesh, "a"):
        wait_until(lambda node=node: node.store.version_of(other) == 1)
    time.sleep(2 * slow_probe_settings.suspicion_s)
    assert mesh.sum_counter("membership_suspicions") == 0


def test_partitioned_halves_rejoin_when_the_partition_heals(mesh, wait_until):
    nodes = _add_all(mesh, "aaaaaa")
    halves = nodes[:3], nodes[3:]
    mesh.partition(*halves)
    for node in halves[0]:
        wait_until(
            lambda node=node: all(
                node.states()[other.node_id] is MemberState.DEAD for other in halves[1]
            ),
            "the other half dead",
        )
    halves[0][0].store.merge(_record(4))
    halves[1][0].store.merge(_record(9))
    mesh.heal()
    mesh.wait_for_state(MemberState.ALIVE)
    for node in nodes:
        wait_until(lambda node=node: node.store.version_of(KEY) == 9)


def test_data_centre_cut_off_keeps_its_members_and_rejoins(mesh, wait_until):
    _add_all(mesh, "aabbcc")
    partitioned, others = _nodes_in(mesh, "a"), _nodes_in(mesh, "b", "c")
    mesh.partition(partitioned, others)
    others[0].store.merge(_record(2))
    for node in partitioned:
        wait_until(
            lambda node=node: (
                any(
                    event.kind == "data-centre:unreachable"
                    for event in node.events.events
                )
                or not node.service.is_relay
            )
        )
    assert all(node.store.version_of(KEY) == 0 for node in partitioned)
    mesh.heal()
    for node in partitioned:
        wait_until(lambda node=node: node.store.version_of(KEY) == 2)
    mesh.wait_for_state(MemberState.ALIVE)


@pytest.mark.parametrize(
    ("node_id", "incarnation"),
    [("a1", None), ("replacement", None), ("a1", -5)],
    ids=["same name", "another name", "same name, clock behind"],
)
def test_node_at_the_address_of_a_killed_one_becomes_alive_everywhere(
    mesh, fast_settings, wait_until, node_id, incarnation
):
    nodes = _add_all(mesh, "aaa")
    killed_node = nodes[1]
    mesh.kill(killed_node)
    settings = replace(fast_settings, control_address=killed_node.address)
    replacement_node = mesh.add(
        node_id, "a", settings=settings, incarnation=incarnation
    )
    mesh.wait_for_state(MemberState.ALIVE)
    for node in mesh.nodes:
        wait_until(lambda node=node: _has_current_incarnation(node, replacement_node))
    assert (
        replacement_node.service.own_entry.incarnation
        > killed_node.service.own_entry.incarnation
    )
    if node_id != killed_node.node_id:
        mesh.wait_for_state(MemberState.DEAD, [killed_node])


def test_views_converge_when_a_fifth_of_the_nodes_restarts_at_once(mesh, wait_until):
    nodes = _add_all(mesh, "aaaaabbbbbccccc")
    restarted = nodes[::5]
    for node in restarted:
        mesh.kill(node)
    for node in restarted:
        mesh.add(node.node_id, node.service.own_entry.data_centre)
    mesh.nodes[0].store.merge(_record(1))
    mesh.wait_for_state(MemberState.ALIVE)
    for node in mesh.nodes:
        wait_until(lambda node=node: node.store.version_of(KEY) == 1)
        for other in mesh.nodes:
            wait_until(
                lambda node=node, other=other: _has_current_incarnation(node, other)
            )
