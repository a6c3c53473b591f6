"""Guards against a platform stand-in that departs from the platform's protocol.

Tests of nodes would then rely on behaviour that the platform does not have, in normal
operation or under a fault.
"""

import threading
import time

import pytest
import urllib3

from knapweedspring_core import (
    ObjectKey,
    PlatformConflict,
    PlatformUnavailable,
    PlatformVersionTooOld,
)

KEY = ObjectKey("Policy", "mesh")


def _calls(server):
    return urllib3.request("GET", f"http://{server.address}/-/calls").json()


def test_writes_are_conditional(client):
    created = client.put(KEY, "{}", "a", 0).unwrap()
    assert client.get(KEY).unwrap() == created
    conflict = client.put(KEY, "{}", "b", 0).unwrap_err()
    assert conflict == PlatformConflict(conflict.detail, created.version)
    replaced = client.put(KEY, "[]", "b", created.version).unwrap()
    assert replaced.version > created.version
    tombstone = client.delete(KEY, "c", replaced.version).unwrap()
    assert tombstone.deleted
    assert client.get(KEY).unwrap() is None


def test_watch_ends_with_the_first_change(client):
    start = client.list_all().unwrap().version
    changes = []
    watcher = threading.Thread(
        target=lambda: changes.append(client.watch(start, 30).unwrap())
    )
    watcher.start()
    written = client.put(KEY, "{}", "a", 0).unwrap()
    watcher.join(20)
    assert changes[0].records == (written,)
    assert changes[0].version == written.version


def test_watch_without_change_ends_after_the_wait(client):
    assert client.watch(0, 0.05).unwrap().records == ()


def test_tombstones_are_watched_and_not_listed(client):
    created = client.put(KEY, "{}", "a", 0).unwrap()
    tombstone = client.delete(KEY, "a", created.version).unwrap()
    assert client.list_all().unwrap().records == ()
    assert client.watch(created.version, 0).unwrap().records == (tombstone,)


def test_old_watch_is_rejected_after_history_is_discarded(client, fault):
    client.put(KEY, "{}", "a", 0).unwrap()
    fault(forget_history=True)
    assert isinstance(client.watch(0, 1).unwrap_err(), PlatformVersionTooOld)
    assert client.watch(1, 0).is_ok()


def test_outage_also_aborts_a_waiting_watch(server, client, fault):
    errors = []
    watcher = threading.Thread(
        target=lambda: errors.append(client.watch(0, 30).unwrap_err())
    )
    watcher.start()
    _wait_for_operation(server, "watch")
    fault(down=True)
    watcher.join(20)
    assert isinstance(errors[0], PlatformUnavailable)
    assert client.list_all().is_err()
    fault()
    assert client.list_all().is_ok()


def test_write_whose_answer_is_lost_takes_effect(client, fault):
    fault(lose_answers_after_effect=1)
    assert isinstance(client.put(KEY, "{}", "a", 0).unwrap_err(), PlatformUnavailable)
    assert client.get(KEY).unwrap().writer == "a"
    assert client.put(KEY, "[]", "a", 1).is_ok()


def test_calls_of_one_data_centre_are_aborted(server, client, fault):
    fault(cut_off=["sandton"])
    url = f"http://{server.address}/objects"
    headers = {"X-Data-Centre": "sandton"}
    with pytest.raises(urllib3.exceptions.HTTPError):
        urllib3.request("GET", url, headers=headers, retries=False)
    assert client.list_all().is_ok()


def test_a_waiting_watch_counts_as_one_call(server, client):
    client.watch(0, 0.1).unwrap()
    client.list_all().unwrap()
    counts = _calls(server)
    assert counts["total"] == 2
    assert counts["by_operation"] == {"watch": 1, "list": 1}


def _wait_for_operation(server, operation):
    give_up_at = time.monotonic() + 20
    while operation not in _calls(server)["by_operation"]:
        assert time.monotonic() < give_up_at
        time.sleep(0.01)


def test_list_and_watch_may_be_limited_to_kinds(client):
    policy = client.put(KEY, "{}", "a", 0).unwrap()
    other = ObjectKey("Status", "sandton")
    client.put(other, "{}", "a", 0).unwrap()
    assert client.list_all(("Policy",)).unwrap().records == (policy,)
    changes = client.watch(policy.version, 0.05, ("Policy",)).unwrap()
    assert changes.records == ()
    assert changes.version == policy.version + 1
