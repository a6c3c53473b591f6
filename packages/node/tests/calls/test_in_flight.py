"""Guards against child calls that escape the limits of their parent request.

A child call escapes them when a foreign or outdated context token is accepted, when a
repeat is not recognised as a retry, or when a call that may have run is repeated.
"""

import pytest

from knapweedspring_core import Outcome, Reason
from knapweedspring_node._calls._context import HopContext
from knapweedspring_node._calls._in_flight import (
    InFlightTable,
    ParentState,
)
from knapweedspring_node._calls._request import CallFingerprint

CHILD = CallFingerprint("GET", "/stock/7", b"")


def _hop(n_tokens=1, repeatable=True):
    return HopContext("r1", "lookup", 1, 5, False, 0, 1_000, n_tokens, repeatable)


def _running(**kwargs):
    return InFlightTable("node-1", 7).begin(_hop(**kwargs), 1e12)


def test_token_is_found_only_while_the_call_runs():
    table = InFlightTable("node-1", 7)
    call = table.begin(_hop(), 1e12)
    assert table.find(call.token) == (ParentState.RUNNING, call)
    table.end(call)
    assert table.find(call.token) == (ParentState.ENDED, None)


@pytest.mark.parametrize("token", ["", "x", "node-1.8.1", "node-2.7.1"])
def test_context_of_another_process_is_ignored(token):
    assert InFlightTable("node-1", 7).find(token) == (ParentState.NONE, None)


def test_repeated_call_is_a_retry_and_the_budget_bounds_it():
    call = _running(n_tokens=1)
    for _ in range(2):
        assert call.register_child(CHILD, True).is_ok()
        call.record_child_outcome(CHILD, Outcome.NOT_RUN)
    refusal = call.register_child(CHILD, True).unwrap_err()
    assert refusal.reason is Reason.BUDGET_SPENT


def test_different_calls_are_no_retries():
    call = _running(n_tokens=0)
    for number in range(5):
        child = CallFingerprint("GET", f"/stock/{number}", b"")
        assert call.register_child(child, True).is_ok()


def test_call_that_ran_is_not_repeated_for_a_non_repeatable_request():
    call = _running(n_tokens=5, repeatable=False)
    call.register_child(CHILD, False)
    call.record_child_outcome(CHILD, Outcome.RAN)
    refusal = call.register_child(CHILD, False).unwrap_err()
    assert (refusal.outcome, refusal.reason) == (
        Outcome.UNKNOWN,
        Reason.TICKET_SPENT,
    )


def test_refused_children_do_not_count_as_started():
    call = _running()
    call.register_child(CHILD, True)
    call.record_child_outcome(CHILD, Outcome.NOT_RUN)
    assert call.n_children_started == 0


def test_time_with_outstanding_child_calls_is_counted_once_when_they_overlap(
    monkeypatch,
):
    now = 100.0
    monkeypatch.setattr("time.monotonic", lambda: now)
    call = _running()
    for step_s, record in [
        (1.0, call.record_child_arrival),
        (1.0, call.record_child_arrival),
        (1.0, call.record_child_reply),
        (1.0, call.record_child_reply),
        (5.0, call.record_child_arrival),
        (1.0, call.record_child_reply),
    ]:
        now += step_s
        record()
    assert call.children_outstanding_s == 4.0
