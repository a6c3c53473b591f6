"""Each specification holds whole, and fails without any one of its rules."""

import pytest

from knapweedspring_standins._specification import (
    DrainRule,
    DrainSpecification,
    Property,
    RetryBudgetSpecification,
    RetryRule,
    SpreadRule,
    SpreadSpecification,
    TicketRule,
    TicketSpecification,
    WriterRule,
    WriterSpecification,
    check,
)
from knapweedspring_standins._specification._drain import Node, Request

#: Specification, its states at the least.
SOUND = [
    (RetryBudgetSpecification, 10_000),
    (TicketSpecification, 29_000),
    (WriterSpecification, 2_500),
    (SpreadSpecification, 40_000),
    (DrainSpecification, 8_900),
]

#: Properties that fail without a rule.
ONCE = "runs at most once"
AFTER_CLOSE = "nothing starts after the close"
CUT = "nothing is cut"
REVERTS = "no process reverts"
IN_FORCE = "in force stays in force"
LOSERS = "told losers never wrote"
HONEST = "not-run is honest"
RETRIES = "retries within budget"
RUNS = "runs of a place within budget"

BROKEN = [
    (RetryBudgetSpecification, RetryRule.LOAN_LEAVES_LENDER, RUNS),
    (RetryBudgetSpecification, RetryRule.LOST_LOAN_IS_SPENT, RETRIES),
    (RetryBudgetSpecification, RetryRule.ANSWER_RETURNS_ONCE, RETRIES),
    (RetryBudgetSpecification, RetryRule.OWN_REPEAT_IS_CHARGED, RETRIES),
    (RetryBudgetSpecification, RetryRule.CALLER_REPEAT_KEEPS_BUDGET, RETRIES),
    (TicketSpecification, TicketRule.OWNER_PROCESS_ONLY, ONCE),
    (TicketSpecification, TicketRule.ONE_ATTEMPT_AT_A_TIME, ONCE),
    (TicketSpecification, TicketRule.TOMBSTONE, ONCE),
    (TicketSpecification, TicketRule.START_ONCE, ONCE),
    (TicketSpecification, TicketRule.REFUSAL_IS_FINAL, ONCE),
    (TicketSpecification, TicketRule.GATE_PROCESS_NAMED, ONCE),
    (TicketSpecification, TicketRule.FORGOTTEN_IS_REFUSED, ONCE),
    (TicketSpecification, TicketRule.EXPIRED_IS_UNKNOWN, HONEST),
    (TicketSpecification, TicketRule.LOST_OWNER_IS_UNKNOWN, HONEST),
    (TicketSpecification, TicketRule.STARTED_IS_UNKNOWN, ONCE),
    (WriterSpecification, WriterRule.CONDITIONAL, "nothing is overwritten unseen"),
    (WriterSpecification, WriterRule.READ_BACK, LOSERS),
    (WriterSpecification, WriterRule.ID_PER_WRITE, "told winners won"),
    (WriterSpecification, WriterRule.CONFLICT_AFTER_LOSS_READS_BACK, LOSERS),
    (WriterSpecification, WriterRule.UNCHANGED_IS_SENT_AGAIN, LOSERS),
    (WriterSpecification, WriterRule.REPLACED_IS_UNSURE, LOSERS),
    (SpreadSpecification, SpreadRule.HIGHEST_WINS, REVERTS),
    (SpreadSpecification, SpreadRule.INVALID_KEEPS_PREVIOUS, REVERTS),
    (SpreadSpecification, SpreadRule.ORDER_IS_INDIFFERENT, IN_FORCE),
    (SpreadSpecification, SpreadRule.LIST_BEFORE_SERVING, IN_FORCE),
    (SpreadSpecification, SpreadRule.LIST_COVERS_DELETIONS, IN_FORCE),
    (SpreadSpecification, SpreadRule.STATUS_CARRIES_CONTENT, IN_FORCE),
    (SpreadSpecification, SpreadRule.COPY_BEFORE_ACKS, IN_FORCE),
    (SpreadSpecification, SpreadRule.LIST_FROM_OWN_DATA_CENTRE, IN_FORCE),
    (SpreadSpecification, SpreadRule.EVERY_KNOWN_NODE_COUNTS, IN_FORCE),
    (SpreadSpecification, SpreadRule.TWO_ROUNDS, IN_FORCE),
    (DrainSpecification, DrainRule.CHECK_AND_START_TOGETHER, AFTER_CLOSE),
    (DrainSpecification, DrainRule.CLOSE_REFUSES_WAITING, AFTER_CLOSE),
    (DrainSpecification, DrainRule.EXIT_WAITS_FOR_REQUESTS, CUT),
    (DrainSpecification, DrainRule.EXIT_WAITS_FOR_ANSWERS, CUT),
    (DrainSpecification, DrainRule.EXIT_WAITS_FOR_TICKETS, CUT),
    (DrainSpecification, DrainRule.CHILD_CALLS_GO_ON, CUT),
    (DrainSpecification, DrainRule.DEADLINE_IS_REPORTED, CUT),
    (DrainSpecification, DrainRule.BROKEN_OFF_IS_UNKNOWN, HONEST),
]

#: Outcomes that a sound specification must still be able to reach.
REACHED = [
    (
        RetryBudgetSpecification,
        "whole budget spent in one place",
        lambda state: state.n_attempts[2] == 3,
    ),
    (
        TicketSpecification,
        "second gate runs after the first one refused",
        lambda state: state.n_runs == 1 and state.owner.gate == 1,
    ),
    (
        WriterSpecification,
        "second writer wins over the first one's version",
        lambda state: [writer.won for writer in state.writers] == [2, 3],
    ),
    (
        SpreadSpecification,
        "second version shown after both nodes were replaced",
        lambda state: (
            state.shown == 2 and all(node.process == 2 for node in state.nodes)
        ),
    ),
    (
        DrainSpecification,
        "complete stop after every request was answered",
        lambda state: (
            state.node is Node.EXITED
            and set(state.requests) == {Request.ANSWERED}
            and not state.deadline_hit
        ),
    ),
]


@pytest.mark.parametrize(("specification", "n_states_floor"), SOUND)
def test_sound_specification_holds_in_every_state(specification, n_states_floor):
    report = check(specification())
    assert report.violations == ()
    assert report.exhaustive
    assert report.n_states >= n_states_floor


@pytest.mark.parametrize(("specification", "rule", "property_name"), BROKEN)
def test_leaving_out_a_rule_gives_a_counterexample(specification, rule, property_name):
    report = check(specification(frozenset({rule})), stop_at=property_name)
    assert property_name in [found.property_name for found in report.violations]
    assert not report.holds
    assert all(found.actions for found in report.violations)


def test_rules_that_the_nodes_have_keep_each_process_from_reverting():
    missing = {
        SpreadRule.STATUS_CARRIES_CONTENT,
        SpreadRule.COPY_BEFORE_ACKS,
        SpreadRule.LIST_FROM_OWN_DATA_CENTRE,
        SpreadRule.EVERY_KNOWN_NODE_COUNTS,
        SpreadRule.TWO_ROUNDS,
    }
    report = check(SpreadSpecification(frozenset(missing)))
    assert report.exhaustive
    assert [found.property_name for found in report.violations] == [IN_FORCE]


@pytest.mark.parametrize("specification", [specification for specification, _ in SOUND])
def test_every_rule_is_left_out_once(specification):
    known = {
        RetryBudgetSpecification: RetryRule,
        TicketSpecification: TicketRule,
        DrainSpecification: DrainRule,
        WriterSpecification: WriterRule,
        SpreadSpecification: SpreadRule,
    }
    tried = [rule for checked, rule, _ in BROKEN if checked is specification]
    assert sorted(tried, key=str) == sorted(known[specification], key=str)


@pytest.mark.parametrize(("specification", "name", "is_reached"), REACHED)
def test_sound_specification_reaches_useful_outcomes(specification, name, is_reached):
    class Never(specification):
        @property
        def properties(self):
            return (Property(name, lambda state: not is_reached(state)),)

    report = check(Never(), stop_at=name)
    assert [found.property_name for found in report.violations] == [name]
