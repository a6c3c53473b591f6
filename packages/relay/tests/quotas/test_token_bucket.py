"""Guards against token buckets that grant more than rate and depth allow."""

import random

import pytest

from knapweedspring_relay._quotas._token_bucket import TokenBucket


def test_bucket_starts_empty_and_fills_up_to_its_depth():
    bucket = TokenBucket(2.0, 3.0, 0.0)
    assert bucket.take(0.0, 0.0) is None
    assert bucket.take(0.0, 0.5) == 0.0
    taken = [bucket.take(0.0, 100.0) for _ in range(4)]
    assert taken == [0.0, 0.0, 0.0, None]


def test_unit_may_come_due_later():
    bucket = TokenBucket(2.0, 3.0, 0.0)
    assert bucket.take(0.5, 0.0) == pytest.approx(0.5)
    assert bucket.take(0.5, 0.0) is None
    assert bucket.take(1.0, 0.0) == pytest.approx(1.0)


def test_returned_units_are_granted_again_and_do_not_exceed_the_depth():
    bucket = TokenBucket(1.0, 2.0, 0.0, n_units=2.0)
    assert bucket.take(0.0, 0.0) == 0.0
    bucket.give_back(5, 0.0)
    assert [bucket.take(0.0, 0.0) for _ in range(3)] == [0.0, 0.0, None]


def test_lower_limits_take_effect_at_once():
    bucket = TokenBucket(10.0, 10.0, 0.0, n_units=10.0)
    bucket.set_limits(1.0, 1.0, 0.0)
    assert [bucket.take(0.0, 0.0) for _ in range(2)] == [0.0, None]
    assert bucket.delay_s(0.0) == pytest.approx(1.0)


def test_bucket_without_rate_or_room_for_a_unit_grants_nothing():
    assert TokenBucket(0.0, 5.0, 0.0).delay_s(1.0) == float("inf")
    assert TokenBucket(5.0, 0.5, 0.0).delay_s(100.0) == float("inf")


@pytest.mark.parametrize("seed", range(20))
def test_no_span_gets_more_units_than_rate_and_depth_allow(seed):
    rng = random.Random(seed)
    rate_per_s, depth = rng.uniform(0.5, 50.0), rng.uniform(1.0, 50.0)
    bucket = TokenBucket(rate_per_s, depth, 0.0, n_units=depth)
    now, due = 0.0, []
    for _ in range(2_000):
        now += rng.expovariate(4.0 * rate_per_s)
        delay_s = bucket.take(rng.choice((0.0, 0.3)), now)
        if delay_s is not None:
            due.append(now + delay_s)
    due.sort()
    for span in (1, 5, 50, 300):
        for first, last in zip(due, due[span:], strict=False):
            allowed = rate_per_s * (last - first) + depth + 1e-6
            assert span + 1 <= allowed + 1
