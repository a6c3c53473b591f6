"""Guards against specifications that are wrong or that check too little.

A specification is wrong if a property fails although all rules apply. It checks too
little if every property still holds when one rule is left out, or if its bounds make a
useful outcome unreachable.
"""

import pytest

from knapweedspring_standins._specification import (
    DrainRule,
    DrainSpecification,
    PropagationRule,
    PropagationSpecification,
    Property,
    RetryBudgetSpecification,
    RetryRule,
    ShareRule,
    ShareSpecification,
    TicketRule,
    TicketSpecification,
    WriterRule,
    WriterSpecification,
    check,
)
from knapweedspring_standins._specification._drain import Node, Request

#: Pairs of a specification and a lower bound of its number of states.
SPECIFICATIONS = [
    (RetryBudgetSpecification, 10_000),
    (TicketSpecification, 29_000),
    (WriterSpecification, 2_500),
    (PropagationSpecification, 40_000),
    (DrainSpecification, 8_900),
    (ShareSpecification, 700),
]

#: Names of the properties, each of which fails when some rule is left out.
RUNS_ONCE = "runs at most once"
AFTER_CLOSE = "nothing starts after the close"
NOTHING_CUT = "nothing is cut"
NO_REVERT = "no process reverts"
IN_FORCE = "in force stays in force"
NOT_WRITTEN = "writes reported as not written are never stored"
HONEST = "not-run is honest"
RETRIES = "retries within budget"
PLACE_RUNS = "runs of a place within budget"
SHARE_SPENT = "spent within the share"

#: Triples of a specification, a rule that is left out and a property that then fails.
BROKEN_VARIANTS = [
    (RetryBudgetSpecification, RetryRule.LOAN_LEAVES_LENDER, PLACE_RUNS),
    (RetryBudgetSpecification, RetryRule.LOST_LOAN_IS_SPENT, RETRIES),
    (RetryBudgetSpecification, RetryRule.ANSWER_RETURNS_ONCE, RETRIES),
    (RetryBudgetSpecification, RetryRule.OWN_REPEAT_IS_CHARGED, RETRIES),
    (RetryBudgetSpecification, RetryRule.CALLER_REPEAT_KEEPS_BUDGET, RETRIES),
    (TicketSpecification, TicketRule.OWNER_PROCESS_ONLY, RUNS_ONCE),
    (TicketSpecification, TicketRule.ONE_ATTEMPT_AT_A_TIME, RUNS_ONCE),
    (TicketSpecification, TicketRule.TOMBSTONE, RUNS_ONCE),
    (TicketSpecification, TicketRule.START_ONCE, RUNS_ONCE),
    (TicketSpecification, TicketRule.REFUSAL_IS_FINAL, RUNS_ONCE),
    (TicketSpecification, TicketRule.GATE_PROCESS_NAMED, RUNS_ONCE),
    (TicketSpecification, TicketRule.EXPIRED_IS_REFUSED, RUNS_ONCE),
    (TicketSpecification, TicketRule.EXPIRED_IS_UNKNOWN, HONEST),
    (TicketSpecification, TicketRule.LOST_OWNER_IS_UNKNOWN, HONEST),
    (TicketSpecification, TicketRule.STARTED_IS_UNKNOWN, RUNS_ONCE),
    (WriterSpecification, WriterRule.CONDITIONAL, "no unread version is overwritten"),
    (WriterSpecification, WriterRule.READ_BACK, NOT_WRITTEN),
    (
        WriterSpecification,
        WriterRule.ID_PER_WRITE,
        "confirmed versions belong to their writer",
    ),
    (WriterSpecification, WriterRule.CONFLICT_AFTER_LOSS_READS_BACK, NOT_WRITTEN),
    (WriterSpecification, WriterRule.UNCHANGED_IS_SENT_AGAIN, NOT_WRITTEN),
    (WriterSpecification, WriterRule.REPLACED_IS_UNSURE, NOT_WRITTEN),
    (PropagationSpecification, PropagationRule.HIGHEST_WINS, NO_REVERT),
    (PropagationSpecification, PropagationRule.INVALID_KEEPS_PREVIOUS, NO_REVERT),
    (PropagationSpecification, PropagationRule.ORDER_INDEPENDENT, IN_FORCE),
    (PropagationSpecification, PropagationRule.LIST_BEFORE_SERVING, IN_FORCE),
    (PropagationSpecification, PropagationRule.LIST_COVERS_DELETIONS, IN_FORCE),
    (PropagationSpecification, PropagationRule.STATUS_CARRIES_CONTENT, IN_FORCE),
    (PropagationSpecification, PropagationRule.COPY_BEFORE_ACKS, IN_FORCE),
    (PropagationSpecification, PropagationRule.LIST_FROM_OWN_DATA_CENTRE, IN_FORCE),
    (PropagationSpecification, PropagationRule.EVERY_KNOWN_NODE_COUNTS, IN_FORCE),
    (PropagationSpecification, PropagationRule.TWO_ROUNDS, IN_FORCE),
    (DrainSpecification, DrainRule.CHECK_AND_START_TOGETHER, AFTER_CLOSE),
    (DrainSpecification, DrainRule.CLOSE_REFUSES_WAITING, AFTER_CLOSE),
    (DrainSpecification, DrainRule.EXIT_WAITS_FOR_REQUESTS, NOTHING_CUT),
    (DrainSpecification, DrainRule.EXIT_WAITS_FOR_ANSWERS, NOTHING_CUT),
    (DrainSpecification, DrainRule.EXIT_WAITS_FOR_TICKETS, NOTHING_CUT),
    (DrainSpecification, DrainRule.CHILD_CALLS_CONTINUE, NOTHING_CUT),
    (DrainSpecification, DrainRule.DEADLINE_IS_REPORTED, NOTHING_CUT),
    (DrainSpecification, DrainRule.CLOSED_CONNECTION_IS_UNKNOWN, HONEST),
    (ShareSpecification, ShareRule.WAIT_FOR_END, SHARE_SPENT),
    (ShareSpecification, ShareRule.TRANSIT_COUNTS, SHARE_SPENT),
    (ShareSpecification, ShareRule.LEASE_ENDS, SHARE_SPENT),
    (ShareSpecification, ShareRule.STARTS_EMPTY, SHARE_SPENT),
]

#: Triples of a specification, the name of an outcome that it must be able to reach, and
#: a predicate on states that tells whether the outcome is reached.
REACHABLE_OUTCOMES = [
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
        PropagationSpecification,
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
    (
        ShareSpecification,
        "the share is used again by its owner after a lease",
        lambda state: state.lent_to == 0 and sum(state.spent) == 3,
    ),
]


@pytest.mark.parametrize(("specification", "n_states_floor"), SPECIFICATIONS)
def test_properties_hold_in_every_state_with_all_rules(specification, n_states_floor):
    report = check(specification())
    assert report.violations == ()
    assert report.exhaustive
    assert report.n_states >= n_states_floor


@pytest.mark.parametrize(("specification", "rule", "property_name"), BROKEN_VARIANTS)
def test_leaving_out_a_rule_gives_a_counterexample(specification, rule, property_name):
    report = check(specification(frozenset({rule})), stop_at=property_name)
    assert property_name in [each.property_name for each in report.violations]
    assert not report.holds
    assert all(each.actions for each in report.violations)


def test_node_rules_alone_keep_each_process_from_reverting():
    missing = {
        PropagationRule.STATUS_CARRIES_CONTENT,
        PropagationRule.COPY_BEFORE_ACKS,
        PropagationRule.LIST_FROM_OWN_DATA_CENTRE,
        PropagationRule.EVERY_KNOWN_NODE_COUNTS,
        PropagationRule.TWO_ROUNDS,
    }
    report = check(PropagationSpecification(frozenset(missing)))
    assert report.exhaustive
    assert [each.property_name for each in report.violations] == [IN_FORCE]


@pytest.mark.parametrize(
    "specification", [specification for specification, _ in SPECIFICATIONS]
)
def test_every_rule_is_left_out_once(specification):
    rules_of = {
        RetryBudgetSpecification: RetryRule,
        TicketSpecification: TicketRule,
        DrainSpecification: DrainRule,
        WriterSpecification: WriterRule,
        PropagationSpecification: PropagationRule,
        ShareSpecification: ShareRule,
    }
    left_out = [
        rule for checked, rule, _ in BROKEN_VARIANTS if checked is specification
    ]
    assert sorted(left_out, key=str) == sorted(rules_of[specification], key=str)


@pytest.mark.parametrize(("specification", "name", "is_reached"), REACHABLE_OUTCOMES)
def test_useful_outcomes_are_reachable_with_all_rules(specification, name, is_reached):
    class NeverReached(specification):
        """Specification whose only property is violated when the outcome is reached."""

        @property
        def properties(self):
            return (Property(name, lambda state: not is_reached(state)),)

    report = check(NeverReached(), stop_at=name)
    assert [each.property_name for each in report.violations] == [name]
