"""Guards against a replay that misses a broken rule or reports an allowed run.

Both faults arise when a monitor tracks tickets, gates or versions incorrectly. Each
rule is checked with a constructed run that breaks the rule, and with similar runs that
keep it.
"""

import pytest

from knapweedspring_core import Event, Stamp
from knapweedspring_standins._specification import (
    DrainRule,
    PropagationRule,
    TicketRule,
    log_of_node,
    replay,
)

# Events: name of the process, kind and fields.
ISSUED = ("owner", "ticket:issued", {"ticket": "t1"})
FIRST = ("owner", "ticket:attempt", {"ticket": "t1", "attempt": "1"})
SECOND = ("owner", "ticket:attempt", {"ticket": "t1", "attempt": "2"})
#: Attempt by a process that does not own the ticket.
FOREIGN = ("other", "ticket:attempt", {"ticket": "t1", "attempt": "2"})
#: Attempt of a child call, whose ticket differs from the request id.
CHILD = ("owner", "ticket:attempt", {"ticket": "t1", "request": "r1"})
REVOKED = ("gate-a", "gate:revoked", {"ticket": "t1"})
STARTED_A = ("gate-a", "gate:started", {"ticket": "t1", "attempt": "1"})
STARTED_B = ("gate-b", "gate:started", {"ticket": "t1", "attempt": "2"})
SHED_A = ("gate-a", "gate:withdrawn", {"ticket": "t1"})
FINISHED_A = ("gate-a", "gate:finished", {"ticket": "t1"})
CLOSED = ("gate-a", "gate:closed", {})
REOPENED = ("gate-a", "gate:reopened", {})
DRAINED = ("gate-a", "node:drained", {})


def _refused(outcome):
    return ("owner", "call:attempt-refused", {"request": "t1", "outcome": outcome})


def _outcome(outcome):
    return ("owner", "ticket:outcome", {"ticket": "t1", "outcome": outcome})


def _in_force(process, version):
    fields = {"key": "Policy/mesh", "version": str(version)}
    return (process, "declaration:in-force", fields)


ALLOWED_RUNS = {
    "one attempt": [ISSUED, FIRST, STARTED_A, FINISHED_A, _outcome("ran")],
    "refused, then run elsewhere": [
        *(ISSUED, FIRST, _refused("not-run"), SECOND, STARTED_B, _outcome("ran")),
    ],
    "lost, revoked, then run elsewhere": [
        *(FIRST, _refused("unknown"), REVOKED, SECOND, STARTED_B, _outcome("ran")),
    ],
    "shed before running": [
        *(FIRST, STARTED_A, SHED_A, _refused("not-run"), SECOND, STARTED_B),
    ],
    "attempt after the outcome not-run": [
        *(FIRST, _refused("not-run"), _outcome("not-run"), FIRST, STARTED_A),
    ],
    "attempts of child calls are not checked": [CHILD, CHILD],
    "start before the close, end after it": [STARTED_A, CLOSED, FINISHED_A, DRAINED],
    "start after reopening": [CLOSED, REOPENED, STARTED_A],
    "versions of each process increase": [
        _in_force("a", 1),
        _in_force("b", 4),
        _in_force("a", 2),
    ],
    "new process starts with a lower version": [
        _in_force("a", 3),
        _in_force("a-again", 1),
    ],
    "kind that no monitor checks": [("a", "upstream:state", {"service": "orders"})],
}

FORBIDDEN_RUNS = [
    ([ISSUED, FOREIGN], TicketRule.OWNER_PROCESS_ONLY),
    ([FIRST, SECOND], TicketRule.ONE_ATTEMPT_AT_A_TIME),
    ([FIRST, _refused("unknown"), SECOND], TicketRule.ONE_ATTEMPT_AT_A_TIME),
    ([FIRST, _outcome("ran"), SECOND], TicketRule.ONE_ATTEMPT_AT_A_TIME),
    ([FIRST, REVOKED, STARTED_A], TicketRule.TOMBSTONE),
    ([STARTED_A, STARTED_B], TicketRule.START_ONCE),
    ([FIRST, STARTED_A, _outcome("not-run")], TicketRule.STARTED_IS_UNKNOWN),
    ([CLOSED, STARTED_A], DrainRule.CHECK_AND_START_TOGETHER),
    ([CLOSED, REOPENED, CLOSED, STARTED_A], DrainRule.CHECK_AND_START_TOGETHER),
    ([STARTED_A, CLOSED, DRAINED], DrainRule.EXIT_WAITS_FOR_REQUESTS),
    ([_in_force("a", 2), _in_force("a", 1)], PropagationRule.HIGHEST_WINS),
]


def _logs(lines):
    by_process = {}
    for number, (process, kind, fields) in enumerate(lines):
        event = Event(Stamp(1_000 + number, 0), process, kind, fields)
        by_process.setdefault(process, []).append(event)
    return [log_of_node(process, events) for process, events in by_process.items()]


@pytest.mark.parametrize("lines", ALLOWED_RUNS.values(), ids=ALLOWED_RUNS)
def test_allowed_run_passes(lines):
    assert replay(_logs(lines)).breaches == ()


@pytest.mark.parametrize(("lines", "rule"), FORBIDDEN_RUNS)
def test_forbidden_run_is_reported_with_the_broken_rule(lines, rule):
    assert [breach.rule for breach in replay(_logs(lines)).breaches] == [rule]


def test_start_may_be_recorded_within_the_recording_delay_after_the_close():
    logs = _logs([CLOSED, STARTED_A])
    assert replay(logs, recording_delay_s=0.5).breaches == ()


def test_replay_counts_processed_events_by_kind():
    n_events = replay(_logs([FIRST, STARTED_A, FINISHED_A])).n_events
    assert n_events == {"ticket:attempt": 1, "gate:started": 1, "gate:finished": 1}
