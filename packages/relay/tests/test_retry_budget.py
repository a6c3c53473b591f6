"""Retry budget: the retries of all nodes stay within the deployment's limit.

Guards against retries that exceed the limit in some window. This comes about when many
nodes each have an allowance, when most calls to a service fail, and when each level of
a chain retries. Also guards against denying the retries that chains need.
"""

import random

import pytest

from knapweedspring_core import Counters
from knapweedspring_relay._retry_budget import RetryBudget

RATIO, SLACK, WINDOW_S = 0.2, 48.0, 10.0


def make_budget(n_nodes=16):
    budget = RetryBudget(RATIO, SLACK, WINDOW_S, Counters())
    budget.set_n_nodes(n_nodes)
    return budget


def spend_all(budget, service="svc", low=False, ran=False, now=0.0):
    return sum(budget.try_spend(service, low, ran, now) for _ in range(1000))


def make_busy_budget(n_requests=1000, n_nodes=1):
    budget = make_budget(n_nodes)
    for _ in range(n_requests):
        budget.count_request("svc", 0.0)
    return budget


def test_nodes_without_requests_together_stay_within_the_fixed_allowance():
    granted = sum(spend_all(make_budget(16)) for _ in range(16))
    assert granted <= SLACK
    assert spend_all(make_budget(4)) >= 1


def test_ratio_grows_with_the_requests_of_the_window():
    granted = spend_all(make_busy_budget())
    assert 50 <= granted <= RATIO * 1000 + SLACK


def test_requests_older_than_two_windows_do_not_count():
    assert spend_all(make_busy_budget(), now=2 * WINDOW_S + 1.0) <= SLACK


@pytest.mark.parametrize("now", [4.0, 9.0, 11.0, 16.0])
def test_requests_before_a_service_began_to_shed_still_allow_retries(now):
    """Chains end at their first failed call, so a shedding service gets few calls."""
    assert spend_all(make_busy_budget(), now=now) == spend_all(make_busy_budget())


def test_low_priorities_leave_a_part_of_the_budget_to_the_others():
    budget = make_busy_budget()
    low = spend_all(budget, low=True)
    high = spend_all(budget)
    assert high >= low - 1 > 0


def test_retries_at_each_level_of_a_chain_stay_within_the_limit():
    """When a service deep in a chain fails, the retries of all its callers add up."""
    n_levels_above = 3
    of_runs = spend_all(make_busy_budget(), ran=True)
    assert of_runs >= 1
    for first_ran in (True, False):
        budget = make_busy_budget()
        own = spend_all(budget, ran=first_ran) + spend_all(budget, ran=not first_ran)
        assert own + n_levels_above * of_runs <= RATIO * 1000 + SLACK


def test_hard_failing_service_stays_within_the_limit_in_any_window():
    rng = random.Random(3)
    nodes = [make_budget(8) for _ in range(8)]
    requests, retries = [], []
    for step in range(4000):
        now = step * 0.01
        for node in nodes:
            if rng.random() < 0.5:
                node.count_request("svc", now)
                requests.append(now)
            if node.try_spend("svc", rng.random() < 0.5, rng.random() < 0.5, now):
                retries.append(now)
    for begin in range(0, 30):
        n_requests = sum(begin <= t < begin + WINDOW_S for t in requests)
        n_retries = sum(begin <= t < begin + WINDOW_S for t in retries)
        assert n_retries <= RATIO * n_requests + SLACK


def test_services_have_separate_budgets():
    budget = make_budget(1)
    assert spend_all(budget) > 0
    assert budget.try_spend("other", False, False, 0.0)
