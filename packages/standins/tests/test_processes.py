"""Guards against child processes that outlive a test or fail without a message.

A process that is not killed with its group keeps its ports and CPU; one that fails
before it is ready must be reported with its standard error.
"""

import os
import sys

import pytest

from knapweedspring_standins._processes import (
    ProcessFailed,
    ProcessGroup,
    poll_until,
)


def test_standin_gets_ready_and_stops_gracefully():
    with ProcessGroup() as group:
        upstream = group.start_standin("recipes", ["upstream", "--service=recipes"])
        assert upstream.ready.address.startswith("127.0.0.1:")
        assert upstream.memory_kb() > 0
        assert upstream.cpu_s() > 0
        upstream.terminate()
        assert upstream.wait(20.0) == 0


def test_group_kills_running_processes():
    with ProcessGroup() as group:
        process = group.start("sleeper", [sys.executable, "-c", SLEEPER_CODE])
        directory = group.directory
        assert process.ready.ready
    assert process.exit_code == -9
    assert not directory.exists()


SLEEPER_CODE = """
import time
print('{"ready": true}', flush=True)
time.sleep(600)
"""


def test_process_is_suspended_and_resumed():
    with ProcessGroup() as group:
        process = group.start("sleeper", [sys.executable, "-c", SLEEPER_CODE])
        assert process.ready.ready
        process.pause()
        assert poll_until(lambda: _process_state(process.pid) == "T")
        process.resume()
        assert poll_until(lambda: _process_state(process.pid) == "S")


def _process_state(pid):
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        return file.read().rpartition(")")[2].split()[0]


def test_failure_of_a_process_is_reported_with_its_stderr():
    code = "raise SystemExit('no such thing')"
    with ProcessGroup() as group:
        process = group.start("failing", [sys.executable, "-c", code])
        with pytest.raises(ProcessFailed, match="no such thing"):
            _ = process.ready
    assert not os.path.exists(group.directory)
