"""Joining, announcements, declarations and requests between a few nodes.

Guards against calls to an upstream or a node that has left, a declaration that reverts
when a node with an older version joins, and a node of another firm in the mesh. This
happens when an announcement or a departure does not reach all nodes, when an older
version replaces a newer one, or when keys or the firm's name are not checked.
"""

import time
from dataclasses import replace

import pytest
import zmq

from knapweedspring_core import (
    AnnouncedUpstream,
    MemberState,
    ObjectKey,
    ObjectRecord,
    UpstreamState,
)
from knapweedspring_node._membership import (
    MembershipSettings,
    PeerUnknown,
    PeerUnreachable,
)

ORDERS = AnnouncedUpstream("orders", "127.0.0.1:3", 150, 1_000)


def _record(version, name="order"):
    key = ObjectKey("RequestClass", name)
    return ObjectRecord(key, version, content=f'{{"priority": {version}}}')


def test_nodes_join_and_see_ready_upstreams_own_data_centre_first(mesh, wait_until):
    for index, data_centre in enumerate("aabbcc"):
        node = mesh.add(f"n{index}", data_centre)
        node.service.announce(ORDERS)
    mesh.wait_for_state(MemberState.ALIVE)
    for node in mesh.nodes:
        wait_until(lambda node=node: len(node.service.providers("orders")) == 6)
        own = node.service.own_entry.data_centre
        first = [member.data_centre for member in node.service.providers("orders")[:2]]
        assert first == [own, own]
    leaving = replace(ORDERS, state=UpstreamState.LEAVING)
    mesh.nodes[0].service.announce(leaving)
    mesh.nodes[1].service.withdraw("orders")
    for node in mesh.nodes:
        wait_until(lambda node=node: len(node.service.providers("orders")) == 4)


def test_declaration_reaches_every_node_and_never_reverts(mesh, wait_until):
    for index, data_centre in enumerate("aaabbb"):
        mesh.add(f"n{index}", data_centre)
    mesh.wait_for_state(MemberState.ALIVE)
    mesh.nodes[4].store.merge(_record(7))
    mesh.nodes[0].store.merge(_record(5))
    late = mesh.add("late", "b")
    late.store.merge(_record(6))
    key = _record(7).key
    for node in mesh.nodes:
        wait_until(lambda node=node: node.store.version_of(key) == 7)


def test_peer_that_left_is_no_provider_and_is_not_suspected(mesh, wait_until):
    nodes = [mesh.add(f"n{index}") for index in range(3)]
    nodes[2].service.announce(ORDERS)
    mesh.wait_for_state(MemberState.ALIVE)
    nodes[2].service.leave()
    mesh.kill(nodes[2])
    mesh.wait_for_state(MemberState.LEFT, [nodes[2]])
    assert nodes[0].service.providers("orders") == ()
    assert nodes[0].counters.get("membership_suspicions") == 0


def test_ask_is_answered_by_the_peers_handler(mesh):
    first, second = mesh.add("n0"), mesh.add("n1")
    second.service.set_ask_handler(lambda payload: payload.upper())
    mesh.wait_for_state(MemberState.ALIVE)
    assert first.service.send_ask("n1", b"revoke", 5.0).unwrap() == b"REVOKE"
    assert first.service.send_ask(second.address, b"again", 5.0).unwrap() == b"AGAIN"
    assert isinstance(first.service.send_ask("n9", b"", 5.0).unwrap_err(), PeerUnknown)
    mesh.kill(second)
    answer = first.service.send_ask(second.address, b"", 0.3)
    assert isinstance(answer.unwrap_err(), PeerUnreachable)


def _secured(settings, keys):
    public, secret = (key.decode() for key in keys)
    return replace(
        settings, allow_plain=False, curve_public_key=public, curve_secret_key=secret
    )


def test_node_with_another_firms_keys_gets_no_connection(mesh, fast_settings):
    own = _secured(fast_settings, zmq.curve_keypair())
    other_public, other_secret = zmq.curve_keypair()
    other = _secured(fast_settings, (other_public, other_secret))
    # These settings have the firm's public key, but the secret key of another pair.
    mixed = replace(other, curve_public_key=own.curve_public_key)
    members = [mesh.add("n0", settings=own), mesh.add("n1", settings=own)]
    mesh.wait_for_state(MemberState.ALIVE)
    foreign_nodes = [
        mesh.add("s0", settings=other),
        mesh.add("s1", settings=mixed),
        mesh.add("s2"),
    ]
    members[0].service.set_ask_handler(lambda payload: payload)
    for foreign_node in foreign_nodes:
        answer = foreign_node.service.send_ask(members[0].address, b"hello", 1.0)
        assert isinstance(answer.unwrap_err(), PeerUnreachable)
        assert set(foreign_node.states()) == {foreign_node.node_id}
    assert members[1].service.send_ask("n0", b"hello", 5.0).unwrap() == b"hello"
    assert set(members[0].states()) == {"n0", "n1"}


def test_plain_node_of_another_firm_is_refused(mesh):
    member = mesh.add("n0")
    foreign_node = mesh.add("s0", firm="other")
    member.service.set_ask_handler(lambda payload: payload)
    answer = foreign_node.service.send_ask(member.address, b"hello", 0.5)
    assert isinstance(answer.unwrap_err(), PeerUnreachable)
    time.sleep(1.0)
    assert set(member.states()) == {"n0"}
    assert set(foreign_node.states()) == {"s0"}


@pytest.mark.parametrize(
    ("settings", "word"),
    [
        (MembershipSettings(), "CURVE"),
        (MembershipSettings("10.0.0.1:1", allow_plain=True), "loopback"),
        (MembershipSettings("localhost:1", allow_plain=True), "ip:port"),
        (MembershipSettings("0.0.0.0:1"), "advertised_address"),
        (MembershipSettings(allow_plain=True, suspicion_s=0.0), "suspicion_s"),
    ],
)
def test_unusable_settings_are_rejected_with_advice(mesh, settings, word):
    with pytest.raises(Exception, match=word):
        mesh.add("n0", settings=settings)


def test_bind_returns_the_bound_address_and_publishes_the_advertised_one(
    mesh, fast_settings
):
    advertised = "127.0.0.1:9"
    node = mesh.add(
        "n0", settings=replace(fast_settings, advertised_address=advertised)
    )
    assert node.address != advertised
    assert node.service.own_entry.control_address == advertised
