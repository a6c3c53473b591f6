"""Crashes by request, without network.

Guards against a cause that is forgotten or not recognised, against innocent requests
that are refused because they were in flight in crashes, and against unbounded memory.
"""

import pytest

from knapweedspring_relay._crash_records import (
    KEEP_S,
    MAX_REFUSED,
    MAX_SUCCESSFUL,
    MAX_SUSPECTS,
    MIN_CRASHES,
    CrashRecord,
    CrashRecords,
)
from knapweedspring_relay._upstream_process import UpstreamProcess

PROCESSES = tuple(UpstreamProcess("n", "i", born_ms) for born_ms in range(10))


@pytest.fixture()
def refused():
    return []


@pytest.fixture()
def records(refused):
    return CrashRecords(refused.append)


def crash(records, *indices, fingerprint=b"a", now=0.0, age_s=0.0):
    for index in indices:
        record = CrashRecord(fingerprint, (PROCESSES[index],), age_s)
        records.merge(record, now)


def test_request_is_refused_after_crashes_of_three_processes(records, refused):
    crash(records, 0, 1)
    assert not records.is_refused(b"a", 0.0)
    assert records.is_likely_cause(b"a")
    crash(records, 2)
    assert records.is_refused(b"a", 0.0)
    assert not records.is_refused(b"b", 0.0)
    crash(records, 3, 4)
    assert [record.fingerprint for record in refused] == [b"a"]
    assert records.n_crashes(b"a") == MIN_CRASHES


def test_one_crash_that_several_nodes_report_counts_once(records):
    crash(records, 0, 0, 0, 1, 1)
    assert not records.is_refused(b"a", 0.0)
    assert records.n_crashes(b"a") == 2


def test_request_that_succeeds_is_not_the_cause(records):
    crash(records, 0, 1)
    records.record_success(b"a")
    assert records.n_crashes(b"a") == 0
    crash(records, 2, 3, 4)
    assert not records.is_refused(b"a", 0.0)


def test_refusal_ends_after_the_time_kept(records):
    crash(records, 0, 1, 2, now=10.0)
    assert records.is_refused(b"a", 10.0 + KEEP_S)
    assert not records.is_refused(b"a", 10.1 + KEEP_S)


def test_records_of_other_nodes_add_up_and_keep_their_age(records):
    crash(records, 0, now=50.0)
    other = CrashRecord(b"a", (PROCESSES[0], PROCESSES[1], PROCESSES[2]), 40.0)
    records.merge(other, 60.0)
    assert records.is_refused(b"a", 60.0)
    assert records.record_of(b"a", 60.0).age_s == 10.0
    # A record that is too old does not begin the refusal anew.
    records.merge(CrashRecord(b"b", PROCESSES[:3], KEEP_S + 1.0), 60.0)
    assert not records.is_refused(b"b", 60.0)


def test_number_of_remembered_requests_is_bounded(records):
    for number in range(MAX_REFUSED + 10):
        crash(records, 0, 1, 2, fingerprint=b"r%d" % number)
    for number in range(MAX_SUSPECTS + 10):
        crash(records, 0, fingerprint=b"s%d" % number)
    for number in range(MAX_SUCCESSFUL + 10):
        records.record_success(b"ok%d" % number)
    assert records.n_suspects == MAX_SUSPECTS
    assert records.n_refused == MAX_REFUSED
    assert len(records._successful) == MAX_SUCCESSFUL
    # Suspects do not displace refused requests.
    assert records.is_refused(b"r%d" % (MAX_REFUSED + 9), 0.0)
