"""Guards against unusable examples and against errors without the field's path.

The faults arise when settings change but the example files do not, or when an exit
code is added without documentation.
"""

import re
from pathlib import Path

import pytest

from knapweedspring_ctl import ExitCode, main

EXAMPLES = Path(__file__).parents[3] / "examples"
ROLES = {
    "node.jsonc": "node",
    "ctl.jsonc": "ctl",
    "boerewors.jsonc": "declarations",
    "pen-care.jsonc": "declarations",
}


def _check(path, role):
    return main(["check-settings", str(path), "--role", role])


def test_every_example_has_a_role():
    assert {path.name for path in EXAMPLES.iterdir()} == set(ROLES)


@pytest.mark.parametrize(("name", "role"), ROLES.items())
def test_examples_are_valid(name, role, capsys):
    assert _check(EXAMPLES / name, role) == ExitCode.OK
    assert "can be used" in capsys.readouterr().out


@pytest.mark.parametrize(
    ("old", "new", "path"),
    [
        ('"orders-sandton-1"', '"a b"', "$.node_id"),
        ('"sandton"', '""', "$.data_centre"),
        ('"10.20.1.11:7100"', '"host:7100"', "$.call_address"),
        ('"10.20.1.11:7101"', '"10.20.1.11"', "$.control_address"),
        ('"10.20.1.11:7102"', '"10.20.1.11:70000"', "$.admin_address"),
        ('"10.20.0.5:8080"', '"10.20.0.5:0"', "$.platform_address"),
        ('"10.20.2.11:7101"', '"10.20.2.11"', "$.seeds[1]"),
        ('"00112233445566778899aabbccddeeff"', '"0011"', "$.mesh_key"),
        ('"00112233445566778899aabbccddeeff"', '"spice"', "$.mesh_key"),
        ('"Yne@$w-vo<fVvi]a<NY6T1ed:M$fCG*[IaLV{hID"', '""', "$.curve_public_key"),
        ('"n_workers": 512', '"n_workers": 0', "$.n_workers"),
        ('"n_workers": 512', '"n_workers": "64"', "$.n_workers"),
        ('"n_workers": 512', '"n_wokers": 64', "$.n_wokers"),
        ("25000", "30000", "$.ticket_lifetime_ms"),
        (
            '"n_workers": 512',
            '"n_workers": 512, "allow_plain_control": true',
            "$.allow_plain_control",
        ),
    ],
)
def test_an_invalid_field_is_reported_with_its_path(tmp_path, capsys, old, new, path):
    text = (EXAMPLES / "node.jsonc").read_text()
    assert old in text
    file = tmp_path / "node.jsonc"
    file.write_text(text.replace(old, new, 1))
    assert _check(file, "node") == ExitCode.INVALID
    assert path in capsys.readouterr().err


def test_a_missing_file_is_reported(tmp_path, capsys):
    assert _check(tmp_path / "none.jsonc", "node") == ExitCode.INVALID
    assert "none.jsonc" in capsys.readouterr().err


def test_every_exit_code_is_documented():
    page = (EXAMPLES.parent / "docs" / "CTL.md").read_text()
    section = page.partition("## Exit codes")[2].partition("## ")[0]
    documented = re.findall(r"^\| (\d+) \|", section, re.MULTILINE)
    assert [int(code) for code in documented] == [int(code) for code in ExitCode]
