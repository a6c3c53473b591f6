"""Processes are started, held and ended by their ids."""

import os
import sys

import pytest

from knapweedspring_standins._processes import (
    ProcessFailed,
    ProcessGroup,
    poll_until,
)


def test_standin_gets_ready_and_ends_in_order():
    with ProcessGroup() as group:
        upstream = group.start_standin("recipes", ["upstream", "--service=recipes"])
        assert upstream.ready.address.startswith("127.0.0.1:")
        assert upstream.memory_kb() > 0
        assert upstream.cpu_s() > 0
        upstream.terminate()
        assert upstream.wait(20.0) == 0


def test_group_kills_what_still_runs():
    with ProcessGroup() as group:
        process = group.start("sleeper", [sys.executable, "-c", SLEEPER])
        directory = group.directory
        assert process.ready.ready
    assert process.exit_code == -9
    assert not directory.exists()


SLEEPER = """
import time
print('{"ready": true}', flush=True)
time.sleep(600)
"""


def test_pause_and_resume():
    with ProcessGroup() as group:
        process = group.start("sleeper", [sys.executable, "-c", SLEEPER])
        assert process.ready.ready
        process.pause()
        assert poll_until(lambda: _state(process.pid) == "T")
        process.resume()
        assert poll_until(lambda: _state(process.pid) == "S")


def _state(pid):
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        return file.read().rpartition(")")[2].split()[0]


def test_process_that_fails_is_told_with_its_error():
    code = "raise SystemExit('no such thing')"
    with ProcessGroup() as group:
        process = group.start("failing", [sys.executable, "-c", code])
        with pytest.raises(ProcessFailed, match="no such thing"):
            _ = process.ready
    assert not os.path.exists(group.directory)
