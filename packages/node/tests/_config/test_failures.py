"""Declarations spread between node processes while the platform fails.

Guards against declarations that are lost, go back to an older version or never come
into force on some node when the platform is down, slow or partitioned, loses its
answers, or has discarded its change history.
"""

import itertools
import json
import subprocess
import sys

import msgspec
import pytest
import urllib3

from knapweedspring_core import (
    HttpPlatform,
    ObjectKey,
    RolloutState,
    StatusPage,
    parse_status,
)
from knapweedspring_ctl import ExitCode
from knapweedspring_node import NodeSettings
from knapweedspring_standins._processes import ProcessGroup, poll_until

DATA_CENTRES = ("sandton", "midrand")
TIMEOUT_S = 30.0
KEY_NUMBERS = itertools.count(1)


class _Mesh:
    """Four nodes in two data centres, and a platform."""

    def __init__(self, group):
        self.group = group
        self.platform = group.start_standin("platform", ["platform", "--port", "0"])
        self.client = HttpPlatform(self.platform.ready.address)
        self.nodes = [
            self.add_node(f"{data_centre}-{index}", data_centre)
            for data_centre in DATA_CENTRES
            for index in range(2)
        ]
        self.wait_until(lambda: len(self.statuses()) == len(DATA_CENTRES))
        self.wait_until(lambda: all(_n_alive(node) == 4 for node in self.nodes))

    def add_node(self, node_id, data_centre, seeds=()):
        settings = NodeSettings(
            node_id=node_id,
            firm="boerewors",
            data_centre=data_centre,
            call_address="127.0.0.1:0",
            control_address="127.0.0.1:0",
            admin_address="127.0.0.1:0",
            platform_address=self.platform.ready.address,
            mesh_key="00" * 16,
            seeds=seeds,
            allow_plain_control=True,
        )
        return self.group.start_node(settings)

    def wait_until(self, condition):
        assert poll_until(condition, TIMEOUT_S)

    def set_faults(self, **faults):
        url = f"http://{self.platform.ready.address}/-/fault"
        assert urllib3.request("POST", url, json=faults).status == 200

    def statuses(self):
        listed = self.client.list_all(("Status",)).unwrap()
        return [parse_status(record).unwrap() for record in listed.records]

    def put(self, key, content):
        stored = self.client.get(key).unwrap()
        version = 0 if stored is None else stored.version
        return self.client.put(key, content, "around-ctl", version).unwrap().version

    def is_in_force_everywhere(self, key, version):
        return all(_in_force_version(node, key) >= version for node in self.nodes)

    def start_ctl(self, *arguments):
        command = [sys.executable, "-m", "knapweedspring_ctl", *arguments]
        address = self.platform.ready.address
        return subprocess.Popen(
            [*command, "--platform", address],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )

    def run_ctl(self, *arguments):
        process = self.start_ctl(*arguments)
        out, err = process.communicate(timeout=90)
        return process.returncode, out, err


def _status_page(node):
    url = f"http://{node.ready.admin_address}/status"
    return msgspec.json.decode(urllib3.request("GET", url).data, type=StatusPage)


def _declaration_status(node, key):
    found = [
        status
        for status in _status_page(node).declarations
        if (status.kind, status.name) == (key.kind, key.name)
    ]
    return found[0] if found else None


def _in_force_version(node, key):
    status = _declaration_status(node, key)
    return 0 if status is None else status.in_force_version


def _n_alive(node):
    url = f"http://{node.ready.admin_address}/members"
    members = urllib3.request("GET", url).json()["members"]
    return sum(member["state"] == "alive" for member in members)


def _call_outcome(node):
    url = f"http://{node.ready.call_address}/orders/spice"
    headers = urllib3.request("GET", url, retries=False).headers
    return headers["Kws-Outcome"], headers["Kws-Reason"]


@pytest.fixture(scope="module")
def mesh():
    with ProcessGroup() as group:
        yield _Mesh(group)


@pytest.fixture()
def key(mesh):
    yield ObjectKey("RequestClass", f"class-{next(KEY_NUMBERS)}")
    mesh.set_faults()


@pytest.fixture()
def write_file(tmp_path, key):
    def write(priority, **more):
        path = tmp_path / f"{priority}.json"
        item = {"kind": key.kind, "name": key.name, "spec": {"priority": priority}}
        path.write_text(json.dumps({**item, **more}))
        return str(path)

    return write


def test_apply_waits_until_in_force_in_every_data_centre(mesh, key, write_file):
    code, out, _ = mesh.run_ctl("apply", write_file(1), "--wait", "--output", "json")
    assert code == ExitCode.OK
    report = json.loads(out)
    assert report["wait"]["data_centres"] == sorted(DATA_CENTRES)
    assert mesh.is_in_force_everywhere(key, report["objects"][0]["version"])


def test_change_is_applied_after_a_platform_outage(mesh, key, write_file):
    version = mesh.put(key, '{"priority": 1}')
    mesh.wait_until(lambda: mesh.is_in_force_everywhere(key, version))
    mesh.set_faults(down=True)
    assert mesh.run_ctl("apply", write_file(2))[0] == ExitCode.UNAVAILABLE
    assert mesh.is_in_force_everywhere(key, version)
    mesh.set_faults()
    code, _, err = mesh.run_ctl("apply", write_file(2), "--wait")
    assert code == ExitCode.OK, err
    changed = mesh.client.get(key).unwrap()
    assert changed.content == '{"priority":2}'
    assert mesh.is_in_force_everywhere(key, changed.version)


def test_apply_succeeds_when_the_answer_to_its_write_is_lost(mesh, key, write_file):
    mesh.set_faults(lose_answers_after_effect=1)
    code, out, err = mesh.run_ctl("apply", write_file(3), "--wait", "--output", "json")
    assert code == ExitCode.OK, err
    version = json.loads(out)["objects"][0]["version"]
    assert mesh.client.get(key).unwrap().version == version


def test_deletion_is_found_after_the_change_history_is_discarded(mesh, key):
    version = mesh.put(key, '{"priority": 1}')
    mesh.wait_until(lambda: mesh.is_in_force_everywhere(key, version))
    mesh.set_faults(cut_off=list(DATA_CENTRES))
    mesh.client.delete(key, "around-ctl", version).unwrap()
    mesh.set_faults(cut_off=list(DATA_CENTRES), forget_history=True)
    mesh.set_faults()
    mesh.wait_until(
        lambda: all(_declaration_status(node, key).deleted for node in mesh.nodes)
    )


def test_data_centre_without_the_platform_gets_declarations_from_the_others(mesh, key):
    mesh.set_faults(cut_off=["sandton"])
    version = mesh.put(key, '{"priority": 1}')
    mesh.wait_until(lambda: mesh.is_in_force_everywhere(key, version))


def test_node_started_without_the_platform_gets_declarations_from_a_peer(mesh, key):
    version = mesh.put(key, '{"priority": 1}')
    mesh.wait_until(lambda: mesh.is_in_force_everywhere(key, version))
    mesh.set_faults(down=True)
    seed = mesh.nodes[0].ready.control_address
    learner = mesh.add_node("learner", "sandton", (seed,))
    mesh.wait_until(lambda: _in_force_version(learner, key) == version)
    alone = mesh.add_node("alone", "benoni")
    assert _call_outcome(alone) == ("not-run", "not-configured")
    assert _call_outcome(learner) == ("not-run", "unknown-service")
    alone.kill()
    learner.kill()


def test_invalid_version_is_reported_and_new_nodes_apply_the_previous_one(mesh, key):
    version = mesh.put(key, '{"priority": 1}')
    mesh.wait_until(lambda: mesh.is_in_force_everywhere(key, version))
    invalid = mesh.put(key, '{"priority": "high"}')
    mesh.wait_until(
        lambda: all(
            _declaration_status(node, key).version == invalid for node in mesh.nodes
        )
    )
    assert {_in_force_version(node, key) for node in mesh.nodes} == {version}
    fresh = mesh.add_node("fresh", "midrand")
    mesh.wait_until(lambda: _in_force_version(fresh, key) == version)
    assert _declaration_status(fresh, key).invalid_path == "$.priority"
    mesh.wait_until(
        lambda: all(
            status.rollout_state(key, invalid) is RolloutState.INVALID
            for status in mesh.statuses()
        )
    )
    fresh.kill()


def test_version_before_an_invalid_one_survives_the_loss_of_all_nodes(key):
    with ProcessGroup() as group:
        mesh = _Mesh(group)
        version = mesh.put(key, '{"priority": 1}')
        mesh.wait_until(lambda: mesh.is_in_force_everywhere(key, version))
        mesh.wait_until(
            lambda: all(
                version in {copy.version for copy in status.content_copy_records()}
                for status in mesh.statuses()
            )
        )
        for node in mesh.nodes:
            node.kill()
        mesh.put(key, '{"priority": "high"}')
        fresh = mesh.add_node("fresh", "sandton")
        mesh.wait_until(lambda: _in_force_version(fresh, key) == version)
        assert _declaration_status(fresh, key).invalid_path == "$.priority"


def test_one_of_two_concurrent_applies_succeeds_and_the_other_conflicts(
    mesh, key, write_file
):
    version = mesh.put(key, '{"priority": 1}')
    racing = [
        mesh.start_ctl("apply", write_file(priority, version=version))
        for priority in (5, 6)
    ]
    outputs = [process.communicate(timeout=60) for process in racing]
    codes = [process.returncode for process in racing]
    assert sorted(codes) == [ExitCode.OK, ExitCode.CONFLICT]
    stored = mesh.client.get(key).unwrap().content
    assert stored == f'{{"priority":{5 + codes.index(ExitCode.OK)}}}'
    assert stored in outputs[codes.index(ExitCode.CONFLICT)][1]


def test_drain_of_an_idle_node_completes_and_can_be_undone(mesh, key):
    drained = mesh.add_node("drained", "sandton")
    mesh.wait_until(lambda: _n_alive(drained) >= 5)
    code, out, err = mesh.run_ctl("drain", "drained", "--wait", "--output", "json")
    assert code == ExitCode.OK, err
    assert json.loads(out)["drained"] is True
    assert _status_page(drained).draining
    assert mesh.run_ctl("drain", "drained", "--undo")[0] == ExitCode.OK
    mesh.wait_until(lambda: not _status_page(drained).draining)
    drained.kill()


def test_another_node_becomes_reporter_when_the_reporter_dies(mesh, key):
    extra = [mesh.add_node(f"extra-{index}", "centurion") for index in range(2)]

    def reporters():
        return [
            part.reporter
            for status in mesh.statuses()
            for part in status.parts
            if status.data_centre == "centurion"
        ]

    mesh.wait_until(lambda: len(reporters()) == 1 and _n_alive(extra[0]) >= 6)
    mesh.wait_until(
        lambda: [_status_page(node).reporting for node in extra].count(True) == 1
    )
    first, second = sorted(extra, key=lambda node: not _status_page(node).reporting)
    first.kill()
    mesh.wait_until(lambda: reporters() == [second.name])
    version = mesh.put(key, '{"priority": 1}')
    mesh.wait_until(lambda: _in_force_version(second, key) == version)
    second.kill()
    # Later tests would wait for this data centre, which has no nodes any more.
    status_key = ObjectKey("Status", "centurion")
    mesh.client.delete(
        status_key, "test", mesh.client.get(status_key).unwrap().version
    ).unwrap()


def test_change_is_applied_when_platform_answers_are_slow(mesh, key, write_file):
    mesh.set_faults(slow_ms=700)
    code, _, err = mesh.run_ctl("apply", write_file(1), "--wait", "--timeout", "60")
    assert code == ExitCode.OK, err
    assert mesh.is_in_force_everywhere(key, mesh.client.get(key).unwrap().version)
