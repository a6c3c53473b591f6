"""Guards against an adaptive limit that misses congestion or loses throughput.

Calls take longer when the upstream is congested, but also because of noise, a slow-down
for another reason or queues at a deeper service. Fewer calls at the same time help only
against congestion. A limit that is cut for one of the other causes, and does not return
to its earlier value, leaves slots unused.
"""

import random

import pytest

from knapweedspring_node._calls._limit import AdaptiveLimit

SLOTS = 30
SERVICE_S = 0.05


def run(
    limit, service_s, duration_s, now=80_000.0, seed=1, offered=SLOTS, deeper_s=0.0
):
    """Simulate an upstream that always runs as many calls as the limit allows.

    Each call also waits ``deeper_s`` seconds per running call for a deeper service.
    Returns the end time, and a list of the limits, one after each call.
    """
    rng = random.Random(seed)
    values = []
    end_at = now + duration_s
    while now < end_at:
        n_running = min(offered, limit.value)
        took_s = service_s(n_running) * rng.lognormvariate(0.0, 0.3)
        whole_s = took_s + deeper_s * n_running
        now += whole_s / n_running
        limit.record("lookup", took_s, whole_s, True, now)
        values.append(limit.value)
    return now, values


def steady(n_running):
    return SERVICE_S


def slow(n_running):
    return 4.0 * SERVICE_S


def congested(n_running):
    return SERVICE_S * max(1.0, n_running / 15) ** 1.5


def mean(values):
    return sum(values) / len(values)


def test_starts_low_and_reaches_the_slots_within_a_second():
    limit = AdaptiveLimit(SLOTS)
    assert limit.value == SLOTS // 10
    _, values = run(limit, steady, 1.0)
    assert values[-1] == SLOTS


@pytest.mark.parametrize("seed", range(5))
def test_noise_alone_does_not_lower_it(seed):
    limit = AdaptiveLimit(SLOTS)
    now, _ = run(limit, steady, 2.0, seed=seed)
    _, values = run(limit, steady, 60.0, now, seed=seed)
    assert mean(values) > 0.97 * SLOTS


@pytest.mark.parametrize("seed", range(5))
def test_congestion_lowers_it_towards_what_the_upstream_can_run(seed):
    limit = AdaptiveLimit(SLOTS)
    now, _ = run(limit, congested, 2.0, seed=seed)
    _, values = run(limit, congested, 20.0, now, seed=seed)
    assert 11 <= mean(values) <= 20


@pytest.mark.parametrize("seed", range(5))
def test_slow_down_for_another_reason_keeps_the_slots_and_ends_quickly(seed):
    limit = AdaptiveLimit(SLOTS)
    now, _ = run(limit, steady, 5.0, seed=seed)
    now, _ = run(limit, slow, 2.0, now, seed=seed)
    now, values = run(limit, slow, 10.0, now, seed=seed)
    assert mean(values) > 0.85 * SLOTS
    now, _ = run(limit, steady, 2.0, now, seed=seed)
    _, values = run(limit, steady, 5.0, now, seed=seed)
    assert mean(values) > 0.95 * SLOTS


def test_queue_at_a_deeper_service_keeps_the_slots():
    limit = AdaptiveLimit(SLOTS)
    now, _ = run(limit, steady, 2.0, deeper_s=0.02)
    _, values = run(limit, steady, 30.0, now, deeper_s=0.02)
    assert mean(values) > 0.9 * SLOTS


def test_congestion_is_detected_again_after_a_slow_down():
    limit = AdaptiveLimit(SLOTS)
    now, _ = run(limit, steady, 3.0)
    now, _ = run(limit, slow, 3.0, now)
    now, _ = run(limit, congested, 10.0, now)
    _, values = run(limit, congested, 20.0, now)
    assert mean(values) <= 22


def test_resize_caps_the_value():
    limit = AdaptiveLimit(SLOTS)
    now, _ = run(limit, steady, 2.0)
    limit.resize(10)
    assert limit.value == 10
    _, values = run(limit, steady, 2.0, now)
    assert max(values) <= 10
