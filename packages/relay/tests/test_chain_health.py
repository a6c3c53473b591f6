"""Early refusal of low-priority requests.

Guards against chains of all priorities failing together. A service deep in the chains
sheds a part of its calls, and retries of low-priority calls use up the retry budget.
"""

import random

import pytest

from knapweedspring_relay import CallKind, Destination, Route
from knapweedspring_relay._chain_health import (
    MAX_REFUSED_SHARE,
    OUTCOME_MAX_AGE_S,
    ChainHealth,
)


def make_route(name, priority):
    return Route(
        name,
        "h",
        f"/{name}/",
        CallKind.IDEMPOTENT,
        (Destination("svc"),),
        1.0,
        2.0,
        2,
        priority,
    )


#: Example routes: orders have the highest priority. Child calls, which upstreams make
#: to answer a request, have the next one, and views and bundles have low priority.
ORDER, CHILD, VIEW, BUNDLE = (
    make_route(name, priority)
    for name, priority in (("order", 0), ("child", 1), ("view", 2), ("bundle", 2))
)


def make_health(*outcomes, n_times=40):
    """Records outcomes over a second, given pairs of a route and its failure ratio."""
    health, rng = ChainHealth(), random.Random(1)
    for index in range(n_times):
        for route, failed_share in outcomes:
            health.record_outcome(route, rng.random() < failed_share, index / n_times)
    return health


@pytest.mark.parametrize(
    ("outcomes", "least", "most"),
    [
        (((ORDER, 0.9), (VIEW, 0.9)), 0.8, MAX_REFUSED_SHARE),
        (((ORDER, 0.4), (VIEW, 0.9)), 0.2, 0.8),
        # The orders succeed, so refusing views would gain nothing.
        (((ORDER, 0.0), (VIEW, 0.9)), 0.0, 0.0),
        # The views hardly fail, so the orders fail for another reason.
        (((ORDER, 0.9), (VIEW, 0.02)), 0.0, 0.0),
        # This entry receives no orders, so child calls have the highest priority.
        (((CHILD, 0.9), (VIEW, 0.9)), 0.8, MAX_REFUSED_SHARE),
        # Orders have the highest priority here, so their success decides, although
        # child calls fail.
        (((CHILD, 0.9), (ORDER, 0.0), (VIEW, 0.9)), 0.0, 0.0),
        (((VIEW, 0.9),), 0.0, 0.0),
    ],
)
def test_low_priority_is_refused_while_it_and_the_highest_fail_deeper(
    outcomes, least, most
):
    share = make_health(*outcomes).refused_share(VIEW, 1.0)
    assert least <= share <= most


@pytest.mark.parametrize("route", [ORDER, CHILD])
def test_higher_priorities_are_never_refused(route):
    health = make_health((ORDER, 1.0), (CHILD, 1.0), (VIEW, 1.0))
    assert health.refused_share(route, 1.0) == 0.0


def test_route_that_does_not_lead_to_the_failing_service_is_served():
    health = make_health((ORDER, 0.9), (VIEW, 0.9), (BUNDLE, 0.0))
    assert health.refused_share(BUNDLE, 1.0) == 0.0


def test_refusals_end_soon_after_the_orders_succeed_again():
    health = make_health((ORDER, 0.9), (VIEW, 0.9))
    for index in range(30):
        health.record_outcome(ORDER, False, 1.0 + index / 40)
    assert health.refused_share(VIEW, 1.75) == 0.0


def test_old_outcomes_are_ignored():
    health = make_health((ORDER, 0.9), (VIEW, 0.9))
    assert health.refused_share(VIEW, 1.0 + OUTCOME_MAX_AGE_S + 0.1) == 0.0
