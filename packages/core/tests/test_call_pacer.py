"""Guards against more calls than a rate allows in some window, and against standstill.

The rate changes, calls arrive in bursts, and the process is suspended between calls.
"""

import random

import pytest

from knapweedspring_core import CallPacer
from knapweedspring_core._call_pacer import BURST_S, MIN_RATE_PER_S

WINDOW_S = 4.0


def start_eagerly(pacer, times):
    """Start a call at each time at which the pacer allows it; return these times."""
    started = []
    for now in times:
        if pacer.delay_s(now) == 0.0:
            pacer.record_start(now)
            started.append(now)
    return started


def n_in_fullest_window(times):
    return max(sum(at <= t < at + WINDOW_S for t in times) for at in times)


@pytest.mark.parametrize("rate_per_s", [0.1, 1.0, 26.3, 400.0])
def test_no_window_has_more_calls_than_the_rate_allows(rate_per_s):
    rng = random.Random(1)
    pacer = CallPacer()
    pacer.set_rate(rate_per_s, 0.0)
    step_s = 1.0 / (8.0 * max(1.0, rate_per_s))
    times, now = [], 0.0
    while now < 20.0:
        # About every ten seconds the process is suspended for a second.
        suspended = rng.random() < 0.1 * step_s
        now += 1.0 if suspended else rng.expovariate(1.0) * step_s
        times.append(now)
    started = start_eagerly(pacer, times)
    n_allowed = max(MIN_RATE_PER_S, rate_per_s) * (WINDOW_S + BURST_S) + 1.0
    assert n_in_fullest_window(started) <= n_allowed
    assert len(started) >= 0.7 * rate_per_s * 20.0


def test_calls_are_not_delayed_without_a_rate():
    pacer = CallPacer()
    assert start_eagerly(pacer, [1.0] * 100) == [1.0] * 100
    pacer.set_rate(1.0, 2.0)
    assert len(start_eagerly(pacer, [2.0] * 100)) == 1
    pacer.set_rate(None, 3.0)
    assert len(start_eagerly(pacer, [3.0] * 100)) == 100


def test_call_may_start_after_the_delay():
    pacer = CallPacer()
    pacer.set_rate(3.0, 0.0)
    pacer.record_start(0.0)
    delay_s = pacer.delay_s(0.1)
    assert delay_s == pytest.approx(1.0 / 3.0 - 0.1)
    assert pacer.delay_s(0.1, n_ahead=3) == pytest.approx(delay_s + 3.0 / 3.0)
    assert pacer.delay_s(0.1 + delay_s) == 0.0


def test_changes_of_the_rate_give_no_further_calls():
    pacer = CallPacer()
    times = [step * 0.01 for step in range(1_000)]
    started = []
    for now in times:
        pacer.set_rate(10.0 + (now * 100) % 2, now)
        started += start_eagerly(pacer, [now])
    assert n_in_fullest_window(started) <= 11.0 * (WINDOW_S + BURST_S) + 1.0


def test_upstream_that_takes_no_calls_still_gets_a_few():
    pacer = CallPacer()
    pacer.set_rate(0.0, 0.0)
    started = start_eagerly(pacer, [step * 0.1 for step in range(200)])
    assert 1 <= n_in_fullest_window(started) <= 5
