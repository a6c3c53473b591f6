"""Retry budget: the sum over all nodes stays within what the deployment allows."""

import random

from knapweedspring_core import Counters
from knapweedspring_relay._retry_budget import RetryBudget

RATIO, SLACK, WINDOW_S = 0.2, 48.0, 10.0


def make_budget(n_nodes=16):
    budget = RetryBudget(RATIO, SLACK, WINDOW_S, Counters())
    budget.set_n_nodes(n_nodes)
    return budget


def test_quiet_node_has_its_part_of_the_fixed_allowance_only():
    budget = make_budget()
    granted = sum(budget.take("svc", False, 0.0) for _ in range(50))
    assert 1 <= granted <= SLACK / 16


def test_ratio_grows_with_the_requests_of_the_window():
    budget = make_budget()
    for i in range(1000):
        budget.count_request("svc", i / 200)
    granted = sum(budget.take("svc", False, 5.0) for _ in range(1000))
    assert 50 <= granted <= RATIO * 1000 + SLACK / 16


def test_requests_older_than_the_window_do_not_count():
    budget = make_budget()
    for _ in range(1000):
        budget.count_request("svc", 0.0)
    granted = sum(budget.take("svc", False, 11.0) for _ in range(1000))
    assert granted <= SLACK / 16


def test_low_ranks_leave_a_part_to_the_others():
    budget = make_budget()
    for _ in range(1000):
        budget.count_request("svc", 0.0)
    low = sum(budget.take("svc", True, 0.0) for _ in range(1000))
    high = sum(budget.take("svc", False, 0.0) for _ in range(1000))
    assert high >= low > 0


def test_hard_failing_service_stays_within_the_limit_in_any_window():
    rng = random.Random(3)
    nodes = [make_budget(8) for _ in range(8)]
    requests, repeats = [], []
    for step in range(4000):
        now = step * 0.01
        for node in nodes:
            if rng.random() < 0.5:
                node.count_request("svc", now)
                requests.append(now)
            if node.take("svc", rng.random() < 0.5, now):
                repeats.append(now)
    for begin in range(0, 30):
        n_requests = sum(begin <= t < begin + WINDOW_S for t in requests)
        n_repeats = sum(begin <= t < begin + WINDOW_S for t in repeats)
        assert n_repeats <= RATIO * n_requests + SLACK


def test_services_do_not_share():
    budget = make_budget()
    while budget.take("svc", False, 0.0):
        pass
    assert budget.take("other", False, 0.0)
