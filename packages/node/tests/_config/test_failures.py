"""Declarations spread between real processes while the platform fails."""

import itertools
import json
import subprocess
import sys

import msgspec
import pytest
import urllib3

from knapweedspring_core import (
    Force,
    HttpPlatform,
    ObjectKey,
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
            self.start(f"{data_centre}-{index}", data_centre)
            for data_centre in DATA_CENTRES
            for index in range(2)
        ]
        self.wait(lambda: len(self.statuses()) == len(DATA_CENTRES))
        self.wait(lambda: all(_n_alive(node) == 4 for node in self.nodes))

    def start(self, node_id, data_centre, seeds=()):
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

    def wait(self, condition):
        assert poll_until(condition, TIMEOUT_S)

    def fault(self, **faults):
        url = f"http://{self.platform.ready.address}/-/fault"
        assert urllib3.request("POST", url, json=faults).status == 200

    def statuses(self):
        listed = self.client.list_all(("Status",)).unwrap()
        return [parse_status(record).unwrap() for record in listed.records]

    def put(self, key, content):
        held = self.client.get(key).unwrap()
        version = 0 if held is None else held.version
        return self.client.put(key, content, "around-ctl", version).unwrap().version

    def everywhere(self, key, version):
        return all(_in_force(node, key) >= version for node in self.nodes)

    def ctl(self, *arguments):
        command = [sys.executable, "-m", "knapweedspring_ctl", *arguments]
        address = self.platform.ready.address
        return subprocess.Popen(
            [*command, "--platform", address],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )

    def run_ctl(self, *arguments):
        process = self.ctl(*arguments)
        out, err = process.communicate(timeout=90)
        return process.returncode, out, err


def _page(node):
    url = f"http://{node.ready.admin_address}/status"
    return msgspec.json.decode(urllib3.request("GET", url).data, type=StatusPage)


def _held(node, key):
    found = [
        one
        for one in _page(node).declarations
        if (one.kind, one.name) == (key.kind, key.name)
    ]
    return found[0] if found else None


def _in_force(node, key):
    held = _held(node, key)
    return 0 if held is None else held.in_force_version


def _n_alive(node):
    url = f"http://{node.ready.admin_address}/members"
    members = urllib3.request("GET", url).json()["members"]
    return sum(member["state"] == "alive" for member in members)


def _call(node):
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
    mesh.fault()


@pytest.fixture()
def write_file(tmp_path, key):
    def write(priority, **more):
        path = tmp_path / f"{priority}.json"
        item = {"kind": key.kind, "name": key.name, "spec": {"priority": priority}}
        path.write_text(json.dumps({**item, **more}))
        return str(path)

    return write


def test_apply_waits_until_every_data_centre_acts_by_it(mesh, key, write_file):
    code, out, _ = mesh.run_ctl("apply", write_file(1), "--wait", "--output", "json")
    assert code == ExitCode.OK
    report = json.loads(out)
    assert report["wait"]["data_centres"] == sorted(DATA_CENTRES)
    assert mesh.everywhere(key, report["objects"][0]["version"])


def test_platform_down_through_a_whole_change_and_back(mesh, key, write_file):
    version = mesh.put(key, '{"priority": 1}')
    mesh.wait(lambda: mesh.everywhere(key, version))
    mesh.fault(down=True)
    assert mesh.run_ctl("apply", write_file(2))[0] == ExitCode.UNAVAILABLE
    assert mesh.everywhere(key, version)
    mesh.fault()
    code, _, err = mesh.run_ctl("apply", write_file(2), "--wait")
    assert code == ExitCode.OK, err
    changed = mesh.client.get(key).unwrap()
    assert changed.content == '{"priority":2}'
    assert mesh.everywhere(key, changed.version)


def test_answer_lost_after_the_effect(mesh, key, write_file):
    mesh.fault(lose_answers_after_effect=1)
    code, out, err = mesh.run_ctl("apply", write_file(3), "--wait", "--output", "json")
    assert code == ExitCode.OK, err
    version = json.loads(out)["objects"][0]["version"]
    assert mesh.client.get(key).unwrap().version == version


def test_deletion_behind_forgotten_history(mesh, key):
    version = mesh.put(key, '{"priority": 1}')
    mesh.wait(lambda: mesh.everywhere(key, version))
    mesh.fault(cut_off=list(DATA_CENTRES))
    mesh.client.delete(key, "around-ctl", version).unwrap()
    mesh.fault(cut_off=list(DATA_CENTRES), forget_history=True)
    mesh.fault()
    mesh.wait(lambda: all(_held(node, key).deleted for node in mesh.nodes))


def test_a_data_centre_cut_off_from_the_platform_learns_from_the_others(mesh, key):
    mesh.fault(cut_off=["sandton"])
    version = mesh.put(key, '{"priority": 1}')
    mesh.wait(lambda: mesh.everywhere(key, version))


def test_a_node_that_starts_without_the_platform_learns_from_a_peer(mesh, key):
    version = mesh.put(key, '{"priority": 1}')
    mesh.wait(lambda: mesh.everywhere(key, version))
    mesh.fault(down=True)
    seed = mesh.nodes[0].ready.control_address
    learner = mesh.start("learner", "sandton", (seed,))
    mesh.wait(lambda: _in_force(learner, key) == version)
    alone = mesh.start("alone", "benoni")
    assert _call(alone) == ("not-run", "not-configured")
    assert _call(learner) == ("not-run", "unknown-service")
    alone.kill()
    learner.kill()


def test_an_invalid_version_is_named_and_fresh_nodes_learn_the_one_before(mesh, key):
    version = mesh.put(key, '{"priority": 1}')
    mesh.wait(lambda: mesh.everywhere(key, version))
    invalid = mesh.put(key, '{"priority": "high"}')
    mesh.wait(lambda: all(_held(one, key).version == invalid for one in mesh.nodes))
    assert {_in_force(node, key) for node in mesh.nodes} == {version}
    fresh = mesh.start("fresh", "midrand")
    mesh.wait(lambda: _in_force(fresh, key) == version)
    assert _held(fresh, key).invalid_path == "$.priority"
    mesh.wait(
        lambda: all(
            status.force_of(key, invalid) is Force.INVALID for status in mesh.statuses()
        )
    )
    fresh.kill()


def test_the_version_before_an_invalid_one_outlives_all_nodes(key):
    with ProcessGroup() as group:
        mesh = _Mesh(group)
        version = mesh.put(key, '{"priority": 1}')
        mesh.wait(lambda: mesh.everywhere(key, version))
        mesh.wait(
            lambda: all(
                version in {one.version for one in status.copied_records()}
                for status in mesh.statuses()
            )
        )
        for node in mesh.nodes:
            node.kill()
        mesh.put(key, '{"priority": "high"}')
        fresh = mesh.start("fresh", "sandton")
        mesh.wait(lambda: _in_force(fresh, key) == version)
        assert _held(fresh, key).invalid_path == "$.priority"


def test_of_two_operators_racing_one_wins_and_the_other_is_told(mesh, key, write_file):
    version = mesh.put(key, '{"priority": 1}')
    racing = [
        mesh.ctl("apply", write_file(priority, version=version)) for priority in (5, 6)
    ]
    outputs = [process.communicate(timeout=60) for process in racing]
    codes = [process.returncode for process in racing]
    assert sorted(codes) == [ExitCode.OK, ExitCode.CONFLICT]
    stored = mesh.client.get(key).unwrap().content
    assert stored == f'{{"priority":{5 + codes.index(ExitCode.OK)}}}'
    assert stored in outputs[codes.index(ExitCode.CONFLICT)][1]


def test_a_drained_node_is_reported_with_nothing_left_to_finish(mesh, key):
    drained = mesh.start("drained", "sandton")
    mesh.wait(lambda: _n_alive(drained) >= 5)
    code, out, err = mesh.run_ctl("drain", "drained", "--wait", "--output", "json")
    assert code == ExitCode.OK, err
    assert json.loads(out)["drained"] is True
    assert _page(drained).draining
    assert mesh.run_ctl("drain", "drained", "--undo")[0] == ExitCode.OK
    mesh.wait(lambda: not _page(drained).draining)
    drained.kill()


def test_another_node_reports_when_the_reporter_dies(mesh, key):
    extra = [mesh.start(f"extra-{index}", "centurion") for index in range(2)]

    def reporters():
        return [
            part.reporter
            for status in mesh.statuses()
            for part in status.parts
            if status.data_centre == "centurion"
        ]

    mesh.wait(lambda: len(reporters()) == 1 and _n_alive(extra[0]) >= 6)
    mesh.wait(lambda: [_page(one).reporting for one in extra].count(True) == 1)
    first, second = sorted(extra, key=lambda one: not _page(one).reporting)
    first.kill()
    mesh.wait(lambda: reporters() == [second.name])
    version = mesh.put(key, '{"priority": 1}')
    mesh.wait(lambda: _in_force(second, key) == version)
    second.kill()
    # A data centre without nodes would keep the waits of later tests.
    gone = ObjectKey("Status", "centurion")
    mesh.client.delete(gone, "test", mesh.client.get(gone).unwrap().version).unwrap()


def test_slow_answers_delay_a_change_and_lose_nothing(mesh, key, write_file):
    mesh.fault(slow_ms=700)
    code, _, err = mesh.run_ctl("apply", write_file(1), "--wait", "--timeout", "60")
    assert code == ExitCode.OK, err
    assert mesh.everywhere(key, mesh.client.get(key).unwrap().version)
