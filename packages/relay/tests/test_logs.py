"""Guards against a log that blocks the relay or loses lines without counting them.

A reader that stops reading fills the pipe, and a flood of successful calls would
displace the lines about failures.
"""

import json
import os

import pytest

from knapweedspring_core import Counters
from knapweedspring_relay import _logs
from knapweedspring_relay._histograms import LatencyHistograms
from knapweedspring_relay._logs import DecisionLog, LineBuffer, LineKind


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


@pytest.fixture
def written(monkeypatch):
    lines = []
    monkeypatch.setattr(
        _logs.eliot, "log_message", lambda **fields: lines.append(fields)
    )
    return lines


def test_lines_are_json_with_their_fields(pipe):
    reader, writer = pipe
    buffer = LineBuffer(writer, Counters())
    buffer.add({"message_type": "x", "request_id": "1"})
    buffer.add({"message_type": "y", "waited_ms": 1.5})
    buffer.flush()
    lines = os.read(reader, 4096).decode().splitlines()
    assert [json.loads(line)["message_type"] for line in lines] == ["x", "y"]


def test_stalled_reader_causes_dropped_lines_but_no_blocking(pipe):
    reader, writer = pipe
    counters = Counters()
    buffer = LineBuffer(writer, counters)
    for index in range(20_000):
        buffer.add({"message_type": "x", "index": index, "text": "y" * 100})
        if index % 100 == 0:
            buffer.flush()
    assert counters.get("log_lines_dropped", "buffer") > 0
    received = b""
    os.set_blocking(reader, False)
    while True:
        buffer.flush()
        try:
            received += os.read(reader, 65536)
        except BlockingIOError:
            break
    lines = received.decode().splitlines()
    assert [json.loads(line)["index"] for line in lines[:3]] == [0, 1, 2]
    assert len(lines) + counters.get("log_lines_dropped", "buffer") == 20_000


def test_flood_of_successful_calls_hides_no_failure_and_is_counted(
    written, monkeypatch
):
    clock = [100.0]
    monkeypatch.setattr(_logs, "now_s", lambda: clock[0])
    counters = Counters()
    log = DecisionLog("n", counters)
    for index in range(1_000):
        log.write_call(False, "entry:call", request_id=index)
    log.write_call(True, "entry:call", request_id="failed")
    log.write_state("store:lost", reason="x")
    kinds = [line["message_type"] for line in written]
    assert len(kinds) < 200
    assert written[-2]["request_id"] == "failed"
    assert kinds[-1] == "store:lost"
    clock[0] = 101.0
    log.write_call(False, "entry:call", request_id="next")
    reported = [line for line in written if line["message_type"] == "log:suppressed"]
    n_suppressed = counters.get("log_lines_suppressed", "routine")
    assert reported[0]["n_routine"] == n_suppressed == 1_000 - _logs.ROUTINE_LINES_PER_S


def test_suppressed_line_is_counted_once(written, monkeypatch):
    monkeypatch.setattr(_logs, "now_s", lambda: 100.0)
    counters = Counters()
    log = DecisionLog("n", counters)
    n_lines = 0
    for _ in range(100):
        if log.admits_call_line(True):
            log.write_call(True, "gate:call")
            n_lines += 1
    assert n_lines == _logs.FAILURE_LINES_PER_S
    assert counters.get("log_lines_suppressed", "failure") == 100 - n_lines
    assert LineKind.FAILURE.name == "FAILURE"


def test_latencies_keep_two_significant_digits():
    latencies = LatencyHistograms()
    for milliseconds in range(1, 101):
        latencies.record("route:r", milliseconds / 1_000)
    assert latencies.percentile_s("route:r", 50.0) == pytest.approx(0.050, rel=0.02)
    assert latencies.percentile_s("route:r", 99.0) == pytest.approx(0.099, rel=0.02)
    assert latencies.percentile_s("unknown", 50.0) == 0.0
