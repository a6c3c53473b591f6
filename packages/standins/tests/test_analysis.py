"""Guards against metrics of a run that differ from their definitions.

Each metric is computed from a few constructed requests or journal entries and compared
with a value calculated by hand.
"""

from dataclasses import replace

import pytest

from knapweedspring_standins._analysis import (
    LogicalRequest,
    Window,
    attempt_figures,
    goodput_by_second,
    latency_figures,
    logical_requests,
    phase_figures,
    phase_windows,
    recovery_s,
)
from knapweedspring_standins._caller_plan import Phase
from knapweedspring_standins._invariants import RunData
from knapweedspring_standins._journal import EntryKind, JournalEntry, JournalPage
from knapweedspring_standins._records import Answer, SendRecord

SEND = SendRecord(
    nonce="n",
    chain="n.1",
    kind="lookup",
    request_class="lookup",
    repeatable=True,
    entry="10.0.0.1:80",
    arrival_s=1.0,
    start_s=1.0,
    end_s=1.5,
    answer=Answer.REFUSED,
)


def request(arrival_s, succeeded, kind="lookup", latency_s=0.1):
    end_s = arrival_s + latency_s
    name = f"n{arrival_s}"
    return LogicalRequest(name, kind, (name,), arrival_s, end_s, succeeded, 1)


def test_sends_of_one_nonce_are_combined_into_one_request():
    repeat = replace(SEND, chain="n.2", start_s=2.0, end_s=2.5, answer=Answer.WHOLE)
    (combined,) = logical_requests((SEND, repeat))
    assert (combined.n_sends, combined.succeeded, combined.end_s) == (2, True, 2.5)
    assert set(combined.chains) == {"n.1", "n.2"}


def test_phase_figures_count_by_arrival_and_leave_out_the_settling_time():
    windows = phase_windows((Phase("base", 10.0, 1.0), Phase("after", 5.0, 1.0)), 100.0)
    assert windows[1] == Window("after", 110.0, 115.0)
    requests = [request(100.5 + i, i % 2 == 0) for i in range(10)]
    base = phase_figures(requests, windows)[0]
    assert (base.n_arrivals, base.n_succeeded) == (10, 5)
    # Three requests succeed in the seven seconds after the settling time of 3 s.
    assert base.goodput == pytest.approx(3 / 7)


@pytest.mark.parametrize("n_bad, expected", [(0, 0.0), (4, 4.0), (9, None)])
def test_recovery_is_the_first_of_three_successful_bins(n_bad, expected):
    base = [request(0.5 + i, True) for i in range(5)]
    after = [request(10.5 + i, i >= n_bad) for i in range(10)]
    window = Window("base", 0.0, 5.0)
    assert recovery_s(base + after, window, 10.0, 20.0) == expected


def test_two_successful_bins_are_no_recovery():
    base = [request(0.5 + i, True) for i in range(5)]
    after = [request(10.5 + i, i in (1, 2, 5, 6, 7, 8, 9)) for i in range(10)]
    assert recovery_s(base + after, Window("base", 0.0, 5.0), 10.0, 20.0) == 5.0


def test_goodput_counts_the_successes_of_each_second():
    requests = [request(0.1, True), request(0.2, False), request(2.2, True)]
    assert goodput_by_second(requests, 0.0, 4) == [1, 0, 1, 0]


def test_latency_percentiles():
    requests = [request(float(i), True, latency_s=i / 100) for i in range(1, 101)]
    (figures,) = latency_figures(requests)
    assert figures.n == 100
    assert figures.p50_ms == pytest.approx(500, rel=0.02)
    assert figures.p99_ms == pytest.approx(990, rel=0.02)


def test_work_of_failed_requests_is_wasted():
    def entry(kind, attempt, nonce, work_s=0.0):
        return JournalEntry(
            kind, 1.0, "orders", "u", attempt, nonce=nonce, work_s=work_s
        )

    entries = (
        entry(EntryKind.RECEIVED, "u/1", "good"),
        entry(EntryKind.FINISHED, "u/1", "good", 3.0),
        entry(EntryKind.RECEIVED, "u/2", "bad"),
        entry(EntryKind.RECEIVED, "u/3", "bad/0"),
        entry(EntryKind.ABANDONED, "u/3", "bad/0", 0.5),
        entry(EntryKind.FINISHED, "u/2", "bad", 0.5),
        # This nonce belongs to no request of the callers, so it is not counted.
        entry(EntryKind.RECEIVED, "u/4", "probe"),
    )
    good, bad = request(1.0, True), request(2.0, False)
    requests = [replace(good, nonce="good"), replace(bad, nonce="bad")]
    run_data = RunData((JournalPage("u", "orders", entries),), (), {})
    figures = attempt_figures(run_data, requests)
    assert figures.n_attempts == 3
    assert figures.attempts_per_request == 1.5
    assert figures.part_wasted == 0.25
