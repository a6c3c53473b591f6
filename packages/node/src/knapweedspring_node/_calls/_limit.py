"""Limits on the calls that an upstream runs at the same time."""

import statistics
from abc import ABC, abstractmethod

__all__ = ["AdaptiveLimit", "ConcurrencyLimit", "FixedLimit"]

MAX_CLASSES = 64
WINDOW_S = 0.1
#: A window with few samples is used when it has been open this long.
WINDOW_MAX_S = 2.0
MIN_SAMPLES = 50
MIN_SAMPLES_LATE = 10
MAX_SAMPLES = 500
#: Service time against the baseline that leads to a cut.
CROWDED_RATIO = 1.4
CUT_FACTOR = 0.7
GROWTH_FACTOR = 1.03
#: How long a limit that was found by cutting stands before it grows.
HOLD_S = 1.0
#: Service time against the baseline that shows the end of a slow-down.
RECOVERED_RATIO = 0.6
FALL_STEP = 0.3
#: Share of a cut that must show in the service time for the cut to be kept.
CUT_EFFECT = 0.5
#: How long a baseline stands before a cut puts it to the test.
TEST_MIN_S = 2.0
TEST_MAX_S = 60.0
#: Windows between two tests, each of which costs up to a window's cut.
TEST_MIN_WINDOWS = 10
SLOW_START_SHARE = 0.1
MEAN_STEP = 0.1


class ConcurrencyLimit(ABC):
    """Decides how many calls run at once; the gate's lock guards it."""

    @property
    @abstractmethod
    def value(self) -> int:
        """Calls that may run at the same time, at least 1."""

    @abstractmethod
    def resize(self, slots: int) -> None:
        """Take over a changed number of declared slots."""

    def record(  # noqa: B027 (a hook: fixed limits learn nothing)
        self,
        class_name: str,
        own_s: float,
        service_s: float,
        succeeded: bool,
        now: float,
    ) -> None:
        """Take in a finished call.

        :param class_name: request class.
        :param own_s: time that the upstream worked itself, in seconds.
        :param service_s: the same with the calls that it waited for.
        :param succeeded: whether its answer was whole and not an error.
        :param now: monotonic time, in seconds.
        """

    def restart(self) -> None:  # noqa: B027 (a hook, as above)
        """Begin anew, for an upstream that starts cold."""


class FixedLimit(ConcurrencyLimit):
    """The declared slots and nothing else."""

    def __init__(self, slots: int) -> None:
        self._slots = slots

    @property
    def value(self) -> int:
        """The declared slots."""
        return self._slots

    def resize(self, slots: int) -> None:
        """Take over a changed number of declared slots."""
        self._slots = slots


class AdaptiveLimit(ConcurrencyLimit):
    """Finds how many calls the upstream runs without slowing itself down.

    Own service times are compared, class by class, with a baseline. When they rise,
    the limit is cut, and the next window shows what the cut was worth. If the
    service became quicker, crowding was the cause, and the limit is cut again.
    If not, fewer calls would only lose throughput: the limit returns to what it
    was before the last cut, and the times seen there become the baseline.

    A cold upstream starts with a tenth of the slots and gains one with each
    success.

    :param slots: declared slots, the highest value.
    """

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._value = float(slots)
        self._baselines: dict[str, _Baseline] = {}
        self._mean_s = 0.0
        self._ratios: list[float] = []
        self.restart()

    @property
    def value(self) -> int:
        """Calls that may run at the same time."""
        return int(self._value)

    def resize(self, slots: int) -> None:
        """Take over a changed number of declared slots."""
        self._slots = slots
        self._value = min(self._value, float(slots))

    def restart(self) -> None:
        """Start slowly again."""
        self._value = max(1.0, self._slots * SLOW_START_SHARE)
        self._starts_slowly = True
        self._ratios = []
        self._opened_at: float | None = None
        self._window_s = 0.0
        self._changed_at = 0.0
        self._cut_from: float | None = None
        self._ratio_before_cut = 1.0
        self._holds_until = 0.0
        # What was learnt during the slow start may already be crowded.
        self._test_at: float | None = None
        self._test_after_s = TEST_MIN_S

    def record(
        self,
        class_name: str,
        own_s: float,
        service_s: float,
        succeeded: bool,
        now: float,
    ) -> None:
        """Take in a finished call and adjust the limit once a window.

        The upstream's own time is compared: what it waits for at other services
        grows with the queues there, and cutting this limit would only move them.
        """
        baseline = self._baseline(class_name)
        if succeeded:
            self._mean_s += MEAN_STEP * (service_s - self._mean_s)
            baseline.learn(own_s)
            self._grow_slowly()
        if baseline.service_s == 0.0:
            return
        ratio = own_s / baseline.service_s
        # A quick failure says nothing about crowding; a slow one does.
        if not succeeded and ratio < CROWDED_RATIO:
            return
        # Calls that began before the last change ran among another crowd.
        if now - service_s >= self._changed_at and len(self._ratios) < MAX_SAMPLES:
            self._ratios.append(ratio)
        self._roll(now)

    def _baseline(self, class_name: str) -> "_Baseline":
        baseline = self._baselines.get(class_name)
        if baseline is None:
            if len(self._baselines) >= MAX_CLASSES:
                self._baselines.clear()
            baseline = _Baseline()
            self._baselines[class_name] = baseline
        return baseline

    def _grow_slowly(self) -> None:
        if self._starts_slowly:
            self._value = min(float(self._slots), self._value + 1.0)
            self._starts_slowly = self._value < self._slots

    def _roll(self, now: float) -> None:
        if self._opened_at is None:
            self._opened_at = now
        age_s = now - self._opened_at
        # A shorter window would hold the quickest calls only.
        if age_s < max(WINDOW_S, 2.0 * self._mean_s):
            return
        is_late = age_s >= WINDOW_MAX_S
        if len(self._ratios) < (MIN_SAMPLES_LATE if is_late else MIN_SAMPLES):
            return
        self._window_s = age_s
        self._adjust(statistics.median(self._ratios), now)
        self._ratios = []
        self._opened_at = now

    def _adjust(self, ratio: float, now: float) -> None:
        value = self._value
        if self._cut_from is not None:
            self._judge_cut(ratio, self._cut_from, now)
        elif ratio > CROWDED_RATIO or self._is_test_due(now):
            self._cut(ratio)
        else:
            self._follow_down(ratio)
            if now >= self._holds_until:
                grown = max(self._value + 1.0, self._value * GROWTH_FACTOR)
                self._value = min(float(self._slots), grown)
        if self._value != value:
            self._changed_at = now

    def _cut(self, ratio: float) -> None:
        self._starts_slowly = False
        self._cut_from = self._value
        self._ratio_before_cut = ratio
        self._value = max(1.0, self._value * CUT_FACTOR)

    def _judge_cut(self, ratio: float, cut_from: float, now: float) -> None:
        """Cut again when the service became quicker, else go back one step."""
        helped = ratio <= self._ratio_before_cut * (1.0 - CUT_EFFECT * (1 - CUT_FACTOR))
        if helped:
            self._test_after_s = TEST_MIN_S
            if self._value > 1.0:
                self._cut(ratio)
                return
        self._value = cut_from
        self._cut_from = None
        self._scale_baselines(self._ratio_before_cut)
        self._holds_until = now + HOLD_S
        self._test_at = now + self._test_pause_s()
        self._test_after_s = min(TEST_MAX_S, 2.0 * self._test_after_s)

    def _is_test_due(self, now: float) -> bool:
        if self._test_at is None:
            self._test_at = now + self._test_pause_s()
        return now >= self._test_at

    def _test_pause_s(self) -> float:
        return max(self._test_after_s, TEST_MIN_WINDOWS * self._window_s)

    def _follow_down(self, ratio: float) -> None:
        """Move the baselines towards the service times of a quicker window."""
        if ratio < RECOVERED_RATIO:
            # A slow-down is over; the baseline may be a crowded one again.
            self._test_at = None
            self._test_after_s = TEST_MIN_S
            self._scale_baselines(ratio)
        elif ratio < 1.0:
            self._scale_baselines(1.0 + FALL_STEP * (ratio - 1.0))

    def _scale_baselines(self, factor: float) -> None:
        for baseline in self._baselines.values():
            baseline.service_s *= factor


class _Baseline:
    """Service time of a class when nothing slows it, in seconds."""

    def __init__(self) -> None:
        self.service_s = 0.0
        self._n_learnt = 0

    def learn(self, service_s: float) -> None:
        """Average the first calls; later ones move all baselines together."""
        if self._n_learnt < MIN_SAMPLES:
            self._n_learnt += 1
            self.service_s += (service_s - self.service_s) / self._n_learnt
