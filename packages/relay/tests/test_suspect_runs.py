"""Runs of requests that may end the upstream, without network.

Guards against an innocent request that is retried beside the cause of crashes until it
counts as the cause itself.
"""

import pytest

from knapweedspring_relay import CallKind
from knapweedspring_relay._crash_records import CrashRecord, CrashRecords
from knapweedspring_relay._hop import HopCall
from knapweedspring_relay._suspect_runs import SuspectRuns
from knapweedspring_relay._upstream_process import UpstreamProcess

PROCESSES = tuple(UpstreamProcess("n", "i", born_ms) for born_ms in range(3))


def make_call(fingerprint, n_crashes=0):
    crashes = None
    if n_crashes:
        crashes = CrashRecord(fingerprint, PROCESSES[:n_crashes], 0.0)
    return HopCall(
        "r",
        "svc",
        "i",
        2.0,
        1,
        1,
        CallKind.IDEMPOTENT,
        "route",
        "caller",
        3,
        fingerprint=fingerprint,
        crashes=crashes,
    )


@pytest.fixture()
def suspects():
    return SuspectRuns(CrashRecords(lambda _: None))


def test_requests_one_crash_short_of_refusal_run_one_at_a_time(suspects):
    first, second = make_call(b"a", 2), make_call(b"b", 2)
    assert suspects.refusal_reason(first, 0.0) == ""
    is_suspect = suspects.begin(first)
    assert suspects.refusal_reason(second, 0.0) != ""
    # Requests with fewer crashes or none run beside it.
    for other in (make_call(b"c", 1), make_call(b"d")):
        assert suspects.refusal_reason(other, 0.0) == ""
        suspects.end(suspects.begin(other))
    assert suspects.refusal_reason(second, 0.0) != ""
    suspects.end(is_suspect)
    assert suspects.refusal_reason(second, 0.0) == ""


def test_request_with_three_crashes_does_not_run(suspects):
    assert suspects.refusal_reason(make_call(b"a", 3), 0.0) != ""
    # What a call told stays known.
    assert suspects.refusal_reason(make_call(b"a"), 1.0) != ""
