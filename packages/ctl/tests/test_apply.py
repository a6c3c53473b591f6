"""Guards against writes that overwrite another operator's change or are misreported.

The tests let two operators write at the same time, lose an answer of the platform, and
let a data centre lag behind the written version.
"""

import json
import threading

import msgspec
import pytest

from knapweedspring_core import (
    DataCentreStatus,
    DeclarationRollout,
    HttpPlatform,
    ObjectKey,
    ReporterStatus,
)
from knapweedspring_ctl import ExitCode, main

KEY = ObjectKey("RequestClass", "spice-order")


@pytest.fixture()
def ctl(server, capsys):
    def run(*arguments):
        code = main([*arguments, "--platform", server.address])
        captured = capsys.readouterr()
        return code, captured.out, captured.err

    return run


@pytest.fixture()
def write_file(tmp_path):
    def write(priority, name="spice-order", **more):
        item = {"kind": "RequestClass", "name": name, "spec": {"priority": priority}}
        path = tmp_path / "declarations.jsonc"
        path.write_text(f"// classes\n{json.dumps([{**item, **more}])}")
        return str(path)

    return write


def test_apply_writes_what_changed_and_get_shows_it(ctl, write_file):
    code, out, _ = ctl("apply", write_file(7))
    assert code == ExitCode.OK
    assert "create" in out
    assert "unchanged" in ctl("apply", write_file(7))[1]
    code, out, err = ctl("apply", write_file(8))
    assert code == ExitCode.OK
    assert "replaced RequestClass/spice-order" in err
    assert '"priority":7' in err
    code, out, _ = ctl("get", "RequestClass/spice-order", "--output", "json")
    (shown,) = json.loads(out)
    assert (shown["spec"], shown["version"]) == ({"priority": 8}, 2)


def test_dry_run_and_diff_write_nothing(ctl, client, write_file):
    assert "create" in ctl("apply", write_file(7), "--dry-run")[1]
    code, out, _ = ctl("diff", write_file(7))
    assert (code, out.split()[0]) == (ExitCode.DIFFERENT, "create")
    assert client.list_all().unwrap().records == ()


def test_what_get_shows_can_be_applied_and_an_old_version_conflicts(
    ctl, client, write_file, tmp_path
):
    ctl("apply", write_file(7))
    path = tmp_path / "got.json"
    path.write_text(ctl("get", "--output", "json")[1])
    assert ctl("apply", str(path))[0] == ExitCode.OK
    path.write_text(path.read_text().replace('"priority": 7', '"priority": 5'))
    ctl("apply", write_file(8))
    code, _, err = ctl("apply", str(path))
    assert code == ExitCode.CONFLICT
    assert '"priority":8' in err
    assert '"priority":5' in err
    assert client.get(KEY).unwrap().content == '{"priority":8}'


def test_the_second_of_two_concurrent_operators_is_shown_both_versions(
    ctl, client, write_file, monkeypatch
):
    ctl("apply", write_file(7))
    real_put = HttpPlatform.put

    def put_after_another_write(self, key, content, writer, expected_version):
        monkeypatch.setattr(HttpPlatform, "put", real_put)
        other = '{"priority":9}'
        client.put(key, other, "ben@b/1", expected_version).unwrap()
        return real_put(self, key, content, writer, expected_version)

    monkeypatch.setattr(HttpPlatform, "put", put_after_another_write)
    code, _, err = ctl("apply", write_file(8))
    assert code == ExitCode.CONFLICT
    assert 'by ben@b: {"priority":9}' in err
    assert '{"priority":8}' in err
    assert client.get(KEY).unwrap().content == '{"priority":9}'


def test_a_write_whose_answer_was_lost_is_resolved(ctl, client, write_file, fault):
    fault(lose_answers_after_effect=1)
    code, out, _ = ctl("apply", write_file(7), "--output", "json")
    assert code == ExitCode.OK
    assert json.loads(out)["objects"][0]["version"] == 1
    assert client.list_all().unwrap().version == 1


def test_an_outage_before_the_write_is_reported(ctl, write_file, fault):
    fault(down=True)
    assert ctl("apply", write_file(7))[0] == ExitCode.UNAVAILABLE


def test_an_object_can_be_deleted(ctl, client, write_file):
    ctl("apply", write_file(7))
    code, out, _ = ctl("apply", write_file(7, deleted=True, version=1))
    assert (code, "delete" in out) == (ExitCode.OK, True)
    assert client.get(KEY).unwrap() is None
    assert ctl("get", "RequestClass")[0] == ExitCode.NOT_FOUND


@pytest.mark.parametrize(
    ("more", "path"),
    [
        ({"spec": {"priority": "high"}}, "$[0].spec.priority"),
        ({"spec": {"priority": 1, "prio": 2}}, "$[0].spec.prio"),
        ({"kind": "Recipe"}, "$[0].kind"),
        ({"name": "a b"}, "$[0].name"),
        ({"colour": 1}, "$[0].colour"),
        ({"version": "last"}, "$[0].version"),
    ],
)
def test_invalid_content_is_not_written_and_reported_with_its_path(
    ctl, client, write_file, more, path
):
    code, _, err = ctl("apply", write_file(1, **more))
    assert code == ExitCode.INVALID
    assert path in err
    assert client.list_all().unwrap().records == ()


def _put_status(client, data_centre, *rollouts, unreachable_nodes=()):
    part = ReporterStatus(
        "n1",
        1,
        2,
        2,
        declarations=rollouts,
        n_unreachable=len(unreachable_nodes),
        unreachable=unreachable_nodes,
    )
    status = DataCentreStatus(data_centre, (part,))
    key = ObjectKey("Status", data_centre)
    stored = client.get(key).unwrap()
    version = 0 if stored is None else stored.version
    client.put(key, msgspec.json.encode(status).decode(), "n1", version).unwrap()


def test_wait_names_the_data_centres_that_lag(ctl, client, write_file):
    name = ("RequestClass", "spice-order")
    _put_status(client, "sandton", DeclarationRollout(*name, 3, 3, 2))
    _put_status(client, "midrand", DeclarationRollout(*name, 3, 2, 1, ("n9",)))
    code, out, err = ctl("apply", write_file(7), "--wait", "--timeout", "0.3")
    assert code == ExitCode.TIMEOUT
    assert "midrand" in err
    assert "n9" in err
    assert "sandton" not in err
    writing = threading.Timer(
        0.2, _put_status, (client, "midrand", DeclarationRollout(*name, 3, 3, 2))
    )
    writing.start()
    code, out, err = ctl("apply", write_file(7), "--wait", "--output", "json")
    writing.join()
    assert code == ExitCode.OK
    assert json.loads(out)["wait"]["data_centres"] == ["midrand", "sandton"]


def test_wait_names_the_nodes_that_do_not_count(ctl, client, write_file):
    in_force = DeclarationRollout("RequestClass", "spice-order", 9, 9, 2)
    _put_status(client, "sandton", in_force, unreachable_nodes=("n7",))
    code, _, err = ctl("apply", write_file(7), "--wait")
    assert code == ExitCode.OK
    assert "not counted in sandton: 1 unreachable (n7)" in err


def test_only_the_data_centres_of_the_settings_must_confirm(
    ctl, client, write_file, tmp_path
):
    in_force = DeclarationRollout("RequestClass", "spice-order", 9, 9, 2)
    _put_status(client, "sandton", in_force)
    _put_status(client, "given-up")
    settings = tmp_path / "ctl.jsonc"
    arguments = ("apply", write_file(7), "--wait", "--timeout", "0.2")
    for names, expected in ((["sandton"], 0), (["sandton", "new"], 7), ([], 7)):
        settings.write_text(json.dumps({"data_centres": names}))
        assert ctl(*arguments, "--settings", str(settings))[0] == expected


def test_status_shows_every_data_centre(ctl, client):
    assert ctl("status")[0] == ExitCode.NOT_FOUND
    invalid = DeclarationRollout(
        "RequestClass", "a", 9, 4, 0, invalid_path="$.priority", advice="write 1"
    )
    _put_status(client, "sandton", invalid)
    code, out, _ = ctl("status")
    assert code == ExitCode.OK
    assert "invalid at $.priority: write 1; version 4 stays" in out
