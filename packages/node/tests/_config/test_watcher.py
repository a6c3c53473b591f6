"""Platform watcher during outages and after the loss of the change history.

Guards against a node that drops its declarations in an outage, stops following the
platform after it, misses a deletion, or reads the platform without being a watcher.
"""

import time

from knapweedspring_core import (
    Counters,
    DeclarationStore,
    EventLog,
    HttpPlatform,
    Member,
    ObjectKey,
    StaticMembershipView,
)
from knapweedspring_node._config import PlatformWatcher, Roles

KEY = ObjectKey("RequestClass", "spice-order")


class _Node:
    def __init__(self, server, members=()):
        self.store = DeclarationStore()
        self.events = EventLog("n1")
        self.counters = Counters()
        self.watcher = PlatformWatcher(
            HttpPlatform(server.address, "sandton"),
            self.store,
            Roles(StaticMembershipView(members), "n1", "sandton"),
            self.events,
            self.counters,
        )
        self.watcher.start()

    def priority(self):
        found = self.store.request_class("spice-order")
        return None if found is None else found.priority


def _put(client, priority):
    stored_record = client.get(KEY).unwrap()
    version = 0 if stored_record is None else stored_record.version
    return client.put(KEY, f'{{"priority": {priority}}}', "test", version).unwrap()


def _wait_until(condition):
    deadline_at = time.monotonic() + 25
    while not condition():
        assert time.monotonic() < deadline_at
        time.sleep(0.01)


def test_declarations_from_before_and_after_the_start_come_into_force(server, client):
    _put(client, 1)
    node = _Node(server)
    _wait_until(lambda: node.priority() == 1)
    _put(client, 2)
    _wait_until(lambda: node.priority() == 2)
    node.watcher.stop()


def test_declarations_stay_in_force_during_an_outage_and_changes_follow(
    server, client, fault
):
    _put(client, 1)
    node = _Node(server)
    _wait_until(lambda: node.priority() == 1)
    fault(down=True)
    _wait_until(lambda: "platform:unreachable" in {e.kind for e in node.events.events})
    assert node.priority() == 1
    fault()
    _put(client, 2)
    _wait_until(lambda: node.priority() == 2)
    node.watcher.stop()


def test_a_deletion_missing_from_the_change_history_is_found_by_a_list(
    server, client, fault
):
    stored = _put(client, 1)
    node = _Node(server)
    _wait_until(lambda: node.priority() == 1)
    fault(cut_off=["sandton"])
    _wait_until(lambda: "platform:unreachable" in {e.kind for e in node.events.events})
    client.delete(KEY, "test", stored.version).unwrap()
    other = ObjectKey("Policy", "mesh")
    client.put(other, "{}", "test", 0).unwrap()
    fault(forget_history=True)
    _wait_until(lambda: node.priority() is None)
    assert node.counters.get("platform_failures", "PlatformVersionTooOld") == 1
    node.watcher.stop()


def test_a_platform_restored_from_an_older_backup_is_reported(server, client):
    _put(client, 1)
    node = _Node(server)
    node.store.merge_list((), 1_000)
    _wait_until(
        lambda: "platform:version-went-back" in {e.kind for e in node.events.events}
    )
    assert node.priority() is None
    node.watcher.stop()


def test_a_node_without_the_role_does_not_call_the_platform(server, client):
    _put(client, 1)
    others = tuple(
        Member(name, 1, "sandton", "a:1", f"{name}:2", "a:3")
        for name in ("n1", "n2", "n3", "n4", "n5", "n6")
    )
    ranked = Roles(StaticMembershipView(others), "n1", "sandton").ranked_ids()
    without_role = [name for name in ranked if name not in ranked[:2]]
    roles = [Roles(StaticMembershipView(others), name, "sandton") for name in ranked]
    assert [role.is_watcher for role in roles] == [True, True] + [False] * 4
    assert [role.is_reporter for role in roles] == [True] + [False] * 5
    watcher = PlatformWatcher(
        HttpPlatform(server.address),
        DeclarationStore(),
        Roles(StaticMembershipView(others), without_role[0], "sandton"),
        EventLog(without_role[0]),
        counters := Counters(),
    )
    watcher.start()
    # Longer than two periods of ROLE_CHECK_PERIOD_S, in which the watcher checks its
    # role.
    time.sleep(0.6)
    watcher.stop()
    assert counters.values == {}


def test_a_node_without_peers_takes_no_role_just_after_its_start():
    clock = [0.0]
    roles = Roles(StaticMembershipView(()), "n1", "sandton", lambda: clock[0])
    assert not roles.is_watcher
    clock[0] = 1.0
    assert roles.is_watcher
    assert roles.is_reporter
