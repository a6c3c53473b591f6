"""Guards against calls that outlive their deadlines after a suspension of the VM.

The monotonic clock stops during a suspension, so deadlines would be extended by its
length unless the relay's clock includes it.
"""

import pytest

from knapweedspring_relay import _clock
from knapweedspring_relay._clock import SuspensionMeter


@pytest.fixture
def clocks(monkeypatch):
    times = {"boot": 1000.0, "monotonic": 400.0}
    monkeypatch.setattr(_clock.time, "clock_gettime", lambda _: times["boot"])
    monkeypatch.setattr(_clock.time, "monotonic", lambda: times["monotonic"])
    return times


def test_running_time_does_not_count_as_a_suspension(clocks):
    meter = SuspensionMeter()
    clocks["boot"] += 60.0
    clocks["monotonic"] += 60.0 - 0.001
    assert meter.check() == 0.0
    assert meter.suspended_s == 0.0


def test_each_suspension_is_detected_once(clocks, monkeypatch):
    meter = SuspensionMeter()
    monkeypatch.setattr(_clock, "suspension_meter", meter)
    before = _clock.now_s()
    clocks["boot"] += 5.0
    assert meter.check() == pytest.approx(5.0)
    assert meter.check() == 0.0
    assert _clock.now_s() - before == pytest.approx(5.0)
    clocks["boot"] += 4.0
    clocks["monotonic"] += 1.0
    assert meter.check() == pytest.approx(3.0)
    assert meter.suspended_s == pytest.approx(8.0)
