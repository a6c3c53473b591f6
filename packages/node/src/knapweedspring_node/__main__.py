"""Runs a node until SIGTERM or SIGINT, and then stops it gracefully."""

import argparse
import gc
import json
import os
import signal
import sys
import threading

import eliot
from result import Err

from knapweedspring_node._node import Node
from knapweedspring_node._settings_rules import load_node_settings

__all__ = ["main"]

EXIT_OK = 0
EXIT_BAD_SETTINGS = 2
EXIT_STOP_DEADLINE = 3
#: Shorter than the interpreter's default of 5 ms, so that threads wait less for
#: the interpreter lock.
SWITCH_INTERVAL_S = 0.001
#: Higher than the defaults: calls create few reference cycles, and each collection
#: pauses the calls that are running.
GC_THRESHOLDS = (20_000, 20, 50)


def main() -> None:
    """Run a node until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(prog="knapweedspring-node", description=__doc__)
    parser.add_argument("--settings", required=True, help="file, JSON with comments")
    arguments = parser.parse_args()
    loaded = load_node_settings(arguments.settings)
    if isinstance(loaded, Err):
        _exit_with_error(str(loaded.err_value))
    eliot.to_file(sys.stderr)
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    stop = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop.set())
    node = Node(loaded.unwrap())
    started = node.start()
    if isinstance(started, Err):
        _exit_with_error(started.err_value.detail)
    # Objects created so far live as long as the process; collections skip them.
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    bound = started.unwrap()
    ready = {
        "ready": True,
        "node_id": node.settings.node_id,
        "call_address": bound.call_address,
        "control_address": bound.control_address,
        "admin_address": bound.admin_address,
    }
    print(json.dumps(ready), flush=True)
    stop.wait()
    finished = node.stop()
    sys.stderr.flush()
    # A normal exit would wait for seconds for threads blocked in library calls.
    os._exit(EXIT_OK if finished else EXIT_STOP_DEADLINE)


def _exit_with_error(detail: str) -> None:
    print(f"knapweedspring-node: {detail}", file=sys.stderr)
    sys.exit(EXIT_BAD_SETTINGS)


if __name__ == "__main__":
    main()
