"""Guards against retries that multiply along a call tree.

Retries multiply when hops copy tokens instead of splitting them, when a returned token
counts twice, or when a node retries without a limit on the share of retries.
"""

import random
import threading
import time

import pytest

from knapweedspring_node._calls._budget import (
    BACKOFF_MAX_S,
    RetryBudget,
    RetryRatio,
    backoff_s,
    may_retry,
)


@pytest.mark.parametrize("tokens, lent", [(0, [0]), (1, [1, 0]), (5, [3, 1, 1, 0])])
def test_child_calls_split_the_tokens(tokens, lent):
    budget = RetryBudget(tokens)
    assert [budget.lend_tokens() for _ in lent] == lent
    assert not budget.spend_token()


def test_lent_tokens_count_as_spent_when_the_answer_is_lost():
    budget = RetryBudget(2)
    budget.lend_tokens()
    budget.lend_tokens()
    assert not budget.spend_token()


@pytest.mark.parametrize("returned, tokens", [(2, 2), (99, 2), (-5, 0)])
def test_no_more_tokens_are_returned_than_were_lent(returned, tokens):
    budget = RetryBudget(2)
    budget.lend_tokens()
    budget.lend_tokens()
    budget.return_tokens(returned)
    assert budget.n_tokens == tokens


def test_closed_budget_returns_its_tokens_once():
    budget = RetryBudget(4)
    n_lent = budget.lend_tokens()
    assert budget.close() == 2
    budget.return_tokens(n_lent)
    assert (budget.close(), budget.lend_tokens(), budget.spend_token()) == (0, 0, False)


def _run_tree(budget, depth, rng, spent):
    """Spend tokens and make child calls at random, as concurrent hops would."""
    for _ in range(rng.randrange(4)):
        if budget.spend_token():
            spent.append(1)
    if depth == 0:
        return

    def call_child(seed):
        child = RetryBudget(budget.lend_tokens())
        _run_tree(child, depth - 1, random.Random(seed), spent)
        # For every third seed the answer with the unspent tokens is lost.
        if seed % 3:
            budget.return_tokens(child.close())

    seeds = [rng.randrange(1_000) for _ in range(3)]
    threads = [threading.Thread(target=call_child, args=(seed,)) for seed in seeds]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


@pytest.mark.parametrize("seed", range(20))
def test_whole_tree_of_concurrent_children_stays_within_the_budget(seed):
    rng = random.Random(seed)
    n_tokens = rng.randrange(12)
    spent = []
    _run_tree(RetryBudget(n_tokens), 3, rng, spent)
    assert len(spent) <= n_tokens


def test_retry_ratio_bounds_the_share_of_retries():
    ratio = RetryRatio(ratio=0.1, reserve=5)
    n_retries = 0
    for _ in range(1_000):
        ratio.count_call()
        while ratio.spend_credit():
            n_retries += 1
    assert 95 <= n_retries <= 105


def test_top_class_may_overdraw_the_credit_and_others_wait_until_it_is_repaid():
    ratio = RetryRatio(ratio=0.5, reserve=3)
    assert [ratio.spend_credit() for _ in range(4)] == [True, True, True, False]
    assert [ratio.spend_credit(is_top=True) for _ in range(4)] == [
        True,
        True,
        True,
        False,
    ]
    for _ in range(7):
        ratio.count_call()
    assert not ratio.spend_credit()
    ratio.count_call()
    assert ratio.spend_credit()


def test_backoff_grows_within_its_bounds():
    rng = random.Random(1)
    means = []
    for attempt in (1, 3, 20):
        pauses = [backoff_s(attempt, rng) for _ in range(500)]
        assert min(pauses) >= 0
        assert max(pauses) <= BACKOFF_MAX_S
        means.append(sum(pauses) / len(pauses))
    assert means == sorted(means)


def test_retry_that_cannot_finish_is_not_made():
    assert may_retry(time.monotonic() + 10.0, 1.0)
    assert not may_retry(time.monotonic() + 1.0, 2.0)
