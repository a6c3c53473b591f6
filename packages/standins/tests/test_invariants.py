"""Guards against invariant checks that miss a violation or report a correct run.

Each test takes a constructed run without violations and adds one violation, or none.
"""

import random
from dataclasses import replace

import pytest

from knapweedspring_standins._invariants import (
    Invariant,
    PlannedStop,
    RunData,
    check_invariants,
)
from knapweedspring_standins._journal import EntryKind, JournalEntry, JournalPage
from knapweedspring_standins._records import Answer, SendRecord

BUDGETS = {"spice-order": 0, "lookup": 2}
UPSTREAMS = ("10.0.0.1:80", "10.0.0.2:80")
N_REQUESTS = 40


class Run:
    """A constructed run without violations, to which a test can add one."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.entries = {upstream: [] for upstream in UPSTREAMS}
        self.records = []
        self.stops = []
        self.n_attempts = 0
        for number in range(N_REQUESTS):
            self.add_request(f"n{number}", number * 0.1, number % 4 == 0)

    def add_request(self, nonce, start_s, non_repeatable):
        """Add a request that either runs with one child call or is refused."""
        record = SendRecord(
            nonce=nonce,
            chain=nonce,
            kind="order" if non_repeatable else "lookup",
            request_class="spice-order" if non_repeatable else "lookup",
            repeatable=not non_repeatable,
            entry="10.0.0.9:80",
            arrival_s=start_s,
            start_s=start_s,
            end_s=start_s + 0.1,
            answer=Answer.WHOLE,
            status=200,
        )
        if self.random.random() < 0.2:
            refused = {"answer": Answer.REFUSED, "status": 503, "outcome": "not-run"}
            self.records.append(replace(record, **refused))
            return
        attempt = self.add_attempt(nonce, start_s + 0.01)
        self.add_attempt(f"{nonce}/0", start_s + 0.02, chain=nonce, parent=attempt)
        self.records.append(replace(record, attempt=attempt))

    def add_attempt(self, nonce, time_s, chain="", parent="", end=EntryKind.FINISHED):
        """Add an attempt at a random upstream and return its id.

        :param end: kind of the last journal entry; None if the attempt does not end.
        """
        upstream = self.random.choice(UPSTREAMS)
        self.n_attempts += 1
        entry = JournalEntry(
            kind=EntryKind.RECEIVED,
            time_s=time_s,
            service="orders",
            upstream=upstream,
            attempt=f"{upstream}/{self.n_attempts}",
            nonce=nonce,
            chain=chain or nonce,
            parent_attempt=parent,
        )
        started = replace(entry, kind=EntryKind.STARTED, time_s=time_s + 0.001)
        self.entries[upstream] += [entry, started]
        if end is not None:
            ended = replace(entry, kind=end, time_s=time_s + 0.05)
            self.entries[upstream].append(ended)
        return entry.attempt

    def pick(self, answer, repeatable=None):
        """Return a random record with an answer; None allows any repeatability."""
        candidates = [
            record
            for record in self.records
            if record.answer is answer and repeatable in (None, record.repeatable)
        ]
        return self.random.choice(candidates)

    def change_record(self, record, **changes):
        self.records[self.records.index(record)] = replace(record, **changes)

    def check(self):
        pages = [JournalPage(u, "orders", tuple(e)) for u, e in self.entries.items()]
        return check_invariants(
            RunData(tuple(pages), tuple(self.records), BUDGETS, tuple(self.stops))
        )


@pytest.mark.parametrize("seed", range(5))
def test_correct_run_has_no_violations(seed):
    run = Run(seed)
    run.stops.append(PlannedStop(UPSTREAMS[0], "10.0.0.9:80", 4.2, 5.0))
    report = run.check()
    assert report.violations == ()
    assert report.n_non_repeatable == N_REQUESTS // 4
    assert report.n_attempts == run.n_attempts > 0
    assert report.n_not_run > 0


def duplicate_run(run):
    record = run.pick(Answer.WHOLE, repeatable=False)
    run.add_attempt(record.nonce, record.end_s, chain="another")


def false_not_run(run):
    record = run.pick(Answer.REFUSED)
    run.add_attempt(record.nonce, record.start_s + 0.01)


def false_not_run_of_a_child(run):
    record = run.pick(Answer.REFUSED)
    run.add_attempt(f"{record.nonce}/0", record.end_s + 1, chain=record.chain)


def answer_to_another_request(run):
    run.change_record(run.pick(Answer.WHOLE), answer=Answer.CROSSED)


def incomplete_answer(run):
    run.change_record(run.pick(Answer.WHOLE), answer=Answer.SHORT)


def answer_of_another_attempt(run):
    first, second = run.pick(Answer.WHOLE, True), run.pick(Answer.WHOLE, False)
    run.change_record(first, attempt=second.attempt)


def retries_over_budget(run):
    record = run.pick(Answer.WHOLE, repeatable=True)
    parent = record.attempt
    for step in range(3):
        time_s = record.start_s + 0.02 * step
        run.add_attempt(f"{record.nonce}/0", time_s, record.chain, parent)


def work_after_leaving(run):
    attempt = run.add_attempt("late", 20.0)
    upstream = attempt.rpartition("/")[0]
    # The attempt arrives 3.1 s after the announcement; 3 s are allowed.
    state = JournalEntry(EntryKind.STATE, 16.9, "orders", upstream, detail="leaving")
    run.entries[upstream].append(state)


def aborted_at_upstream(run):
    attempt = run.add_attempt("cut", 20.0, end=None)
    run.stops.append(PlannedStop(attempt.rpartition("/")[0], "", 20.01, 25.0))


def lost_answer(run):
    attempt = run.add_attempt("lost", 20.0)
    record = run.pick(Answer.WHOLE)
    changes = {"nonce": "lost", "chain": "lost", "answer": Answer.REFUSED}
    changes |= {"outcome": "unknown", "attempt": ""}
    run.records.append(replace(record, **changes))
    run.stops.append(PlannedStop(attempt.rpartition("/")[0], "", 20.01, 25.0))


def closed_by_entry_node(run):
    record = run.pick(Answer.WHOLE)
    run.change_record(record, answer=Answer.BROKEN)
    run.stops.append(
        PlannedStop("10.0.0.3:80", record.entry, record.start_s + 0.05, 25.0)
    )


VIOLATIONS = [
    (duplicate_run, Invariant.NO_DUPLICATE),
    (false_not_run, Invariant.HONEST_NOT_RUN),
    (false_not_run_of_a_child, Invariant.HONEST_NOT_RUN),
    (answer_to_another_request, Invariant.OWN_WHOLE_ANSWER),
    (incomplete_answer, Invariant.OWN_WHOLE_ANSWER),
    (answer_of_another_attempt, Invariant.OWN_WHOLE_ANSWER),
    (retries_over_budget, Invariant.RETRY_BUDGET),
    (work_after_leaving, Invariant.NO_WORK_AFTER_LEAVING),
    (aborted_at_upstream, Invariant.NOTHING_CUT),
    (lost_answer, Invariant.NOTHING_CUT),
    (closed_by_entry_node, Invariant.NOTHING_CUT),
]


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("add_violation, invariant", VIOLATIONS)
def test_added_violation_is_reported(add_violation, invariant, seed):
    run = Run(seed)
    add_violation(run)
    report = run.check()
    assert {violation.invariant for violation in report.violations} == {invariant}
    assert report.counts()[invariant.value] == 1
    assert not report.ok


def test_retries_within_the_budget_are_no_violation():
    run = Run(1)
    record = run.pick(Answer.WHOLE, repeatable=True)
    for step in range(2):
        run.add_attempt(f"{record.nonce}/0", step, record.chain, record.attempt)
    report = run.check()
    assert report.ok
    assert report.n_extra_attempts_max == 2
