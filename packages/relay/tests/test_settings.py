"""Guards against a relay that starts with invalid settings or refuses valid ones.

A deployment may leave limits unset (null); a misspelt or mistyped field must be
reported with its name.
"""

import json

import pytest

from knapweedspring_core import parse_settings
from knapweedspring_relay import RelaySettings

SETTINGS = {
    "node": "n",
    "data_centre": "dc",
    "service": "svc",
    "upstream_address": "10.0.0.1:1",
    "entry_address": "10.0.0.1:2",
    "gate_address": "10.0.0.1:3",
    "knowledge_address": "10.0.0.1:7",
    "heartbeat_address": "10.0.0.1:4",
    "readiness_address": "10.0.0.1:5",
    "metrics_address": "10.0.0.1:6",
    "seed_addresses": [],
    "store": {"address": "10.0.0.9:1"},
    "shutdown": {"grace_s": 5, "drain_s": 2.5},
    "retries": {"ratio": 0.1, "slack": 20, "window_s": 5},
    "vm": {"memory_mb": 552, "n_descriptors": 8192},
}


def parse(settings):
    return parse_settings("// comment\n" + json.dumps(settings), RelaySettings)


def test_all_fields_are_read():
    settings = parse(SETTINGS).ok_value
    assert settings.shutdown.grace_or_default_s == 5
    assert settings.shutdown.drain_or_default_s == 2.5
    assert settings.retries.ratio_or_default == 0.1
    assert settings.retries.slack_or_default == 20
    assert settings.retries.window_or_default_s == 5
    assert settings.vm.memory_or_default_bytes == 552_000_000
    assert settings.vm.n_descriptors_or_default == 8_192


@pytest.mark.parametrize("part", ["shutdown", "retries", "vm"])
def test_deployment_may_leave_limits_unset(part):
    unset = {name: None for name in SETTINGS[part]}
    settings = parse({**SETTINGS, part: unset, "seed_addresses": None}).ok_value
    assert settings.shutdown.grace_or_default_s > 0
    assert settings.shutdown.drain_or_default_s > 0
    assert settings.retries.ratio_or_default > 0
    assert settings.retries.window_or_default_s > 0
    assert settings.vm.memory_or_default_bytes > 0
    assert settings.vm.n_descriptors_or_default > 0
    assert settings.seed_addresses is None


@pytest.mark.parametrize(
    ("changes", "field"),
    [
        ({"node": None}, "$.node"),
        ({"store": {}}, "address"),
        ({"entry_address": 5}, "$.entry_address"),
        ({"retries": {"ratio": "x"}}, "$.retries.ratio"),
        ({"retrys": {}}, "retrys"),
    ],
)
def test_invalid_settings_are_reported_with_their_field(changes, field):
    error = parse({**SETTINGS, **changes}).err_value
    assert field in str(error)
