"""Reads KNOWN-RED.txt: tests of known faults are run and may fail."""

from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"


def known_red_tests():
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {line[5:].strip() for line in lines if line.startswith("test:")}


def pytest_collection_modifyitems(items):
    known_red = known_red_tests()
    for item in items:
        if item.nodeid in known_red:
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=False))
