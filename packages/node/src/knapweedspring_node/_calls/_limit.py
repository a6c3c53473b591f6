"""Concurrency limits: how many calls an upstream runs at the same time."""

import statistics
from abc import ABC, abstractmethod

__all__ = ["AdaptiveLimit", "ConcurrencyLimit", "FixedLimit"]

MAX_CLASSES = 64
WINDOW_S = 0.1
#: A window of this length is evaluated with fewer than ``MIN_SAMPLES`` samples.
WINDOW_MAX_S = 2.0
MIN_SAMPLES = 50
#: Least number of samples in a window of ``WINDOW_MAX_S``.
MIN_SAMPLES_LATE = 10
MAX_SAMPLES = 500
#: Ratio of service time to baseline above which the limit is cut.
CONGESTED_RATIO = 1.4
CUT_FACTOR = 0.7
GROWTH_FACTOR = 1.03
#: Time that the limit does not grow after a cut was undone.
GROWTH_PAUSE_S = 1.0
#: Ratio of service time to baseline below which a slow-down has ended.
RECOVERED_RATIO = 0.6
BASELINE_FALL_SMOOTHING = 0.3
#: Least ratio of the relative decrease of the service time to the relative decrease of
#: the limit; a cut that achieves less is undone.
CUT_EFFECT_MIN_SHARE = 0.5
#: Shortest time between two probe cuts, which check the baselines.
PROBE_INTERVAL_MIN_S = 2.0
PROBE_INTERVAL_MAX_S = 60.0
#: Least number of windows between two probe cuts, since each probe cut lowers the limit
#: for up to a window.
PROBE_INTERVAL_MIN_WINDOWS = 10
SLOW_START_SHARE = 0.1
MEAN_SMOOTHING = 0.1


class ConcurrencyLimit(ABC):
    """Maximum number of calls that a gate runs at the same time.

    The gate's lock guards it.
    """

    @property
    @abstractmethod
    def value(self) -> int:
        """Number of calls that may run at the same time, at least 1."""

    @abstractmethod
    def resize(self, slots: int) -> None:
        """Apply a changed number of declared slots."""

    def record(  # noqa: B027 (a hook: fixed limits ignore it)
        self,
        class_name: str,
        own_s: float,
        service_s: float,
        succeeded: bool,
        now: float,
    ) -> None:
        """Record a finished call.

        :param class_name: request class.
        :param own_s: service time without the waits for child calls, in seconds.
        :param service_s: service time, in seconds.
        :param succeeded: whether the answer was complete and not an error.
        :param now: monotonic time, in seconds.
        """

    def begin_slow_start(self) -> None:  # noqa: B027 (a hook, as above)
        """Reset the limit, for an upstream that starts cold."""


class FixedLimit(ConcurrencyLimit):
    """Limit that is always the number of declared slots."""

    def __init__(self, slots: int) -> None:
        self._slots = slots

    @property
    def value(self) -> int:
        """Number of declared slots."""
        return self._slots

    def resize(self, slots: int) -> None:
        """Apply a changed number of declared slots."""
        self._slots = slots


class AdaptiveLimit(ConcurrencyLimit):
    """Limit that follows the number of calls the upstream runs without congestion.

    Own service times are compared, class by class, with a baseline. When times rise,
    the limit is cut, and the next window shows the effect of the cut. If service
    times fell, congestion was the cause, and the limit is cut again. If not, fewer
    calls would only lose throughput: the limit returns to its value before the last
    cut, and the service times measured at that value become the baseline. Probe cuts at
    intervals detect a baseline that was itself measured under congestion.

    A cold upstream starts with a tenth of the slots and gains one slot with each
    successful call.

    :param slots: declared slots, the highest value.
    """

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._value = float(slots)
        self._baselines: dict[str, _Baseline] = {}
        self._mean_s = 0.0
        self._ratios: list[float] = []
        self.begin_slow_start()

    @property
    def value(self) -> int:
        """Number of calls that may run at the same time."""
        return int(self._value)

    def resize(self, slots: int) -> None:
        """Apply a changed number of declared slots."""
        self._slots = slots
        self._value = min(self._value, float(slots))

    def begin_slow_start(self) -> None:
        """Begin a new slow start."""
        self._value = max(1.0, self._slots * SLOW_START_SHARE)
        self._in_slow_start = True
        self._ratios = []
        self._window_started_at: float | None = None
        self._window_s = 0.0
        self._changed_at = 0.0
        self._limit_before_cut: float | None = None
        self._ratio_before_cut = 1.0
        self._growth_resumes_at = 0.0
        # Baselines measured during the slow start may already include congestion.
        self._probe_at: float | None = None
        self._probe_interval_s = PROBE_INTERVAL_MIN_S

    def record(
        self,
        class_name: str,
        own_s: float,
        service_s: float,
        succeeded: bool,
        now: float,
    ) -> None:
        """Record a finished call and adjust the limit once a window.

        Own service times are compared, because the time that the upstream waits for
        other services grows with the queues there; cutting this limit would only
        move those queues.
        """
        baseline = self._baseline_of_class(class_name)
        if succeeded:
            self._mean_s += MEAN_SMOOTHING * (service_s - self._mean_s)
            baseline.add_sample(own_s)
            self._grow_in_slow_start()
        if baseline.service_s == 0.0:
            return
        ratio = own_s / baseline.service_s
        # A fast failure is no evidence about congestion; a slow one is.
        if not succeeded and ratio < CONGESTED_RATIO:
            return
        # Calls that began before the last change ran under another limit.
        if now - service_s >= self._changed_at and len(self._ratios) < MAX_SAMPLES:
            self._ratios.append(ratio)
        self._close_window_if_due(now)

    def _baseline_of_class(self, class_name: str) -> "_Baseline":
        baseline = self._baselines.get(class_name)
        if baseline is None:
            if len(self._baselines) >= MAX_CLASSES:
                self._baselines.clear()
            baseline = _Baseline()
            self._baselines[class_name] = baseline
        return baseline

    def _grow_in_slow_start(self) -> None:
        if self._in_slow_start:
            self._value = min(float(self._slots), self._value + 1.0)
            self._in_slow_start = self._value < self._slots

    def _close_window_if_due(self, now: float) -> None:
        if self._window_started_at is None:
            self._window_started_at = now
        age_s = now - self._window_started_at
        # A shorter window would contain only the fastest calls.
        if age_s < max(WINDOW_S, 2.0 * self._mean_s):
            return
        is_late = age_s >= WINDOW_MAX_S
        if len(self._ratios) < (MIN_SAMPLES_LATE if is_late else MIN_SAMPLES):
            return
        self._window_s = age_s
        self._adjust(statistics.median(self._ratios), now)
        self._ratios = []
        self._window_started_at = now

    def _adjust(self, ratio: float, now: float) -> None:
        value = self._value
        if self._limit_before_cut is not None:
            self._evaluate_cut(ratio, self._limit_before_cut, now)
        elif ratio > CONGESTED_RATIO or self._is_probe_due(now):
            self._cut(ratio)
        else:
            self._lower_baselines(ratio)
            if now >= self._growth_resumes_at:
                grown = max(self._value + 1.0, self._value * GROWTH_FACTOR)
                self._value = min(float(self._slots), grown)
        if self._value != value:
            self._changed_at = now

    def _cut(self, ratio: float) -> None:
        self._in_slow_start = False
        self._limit_before_cut = self._value
        self._ratio_before_cut = ratio
        self._value = max(1.0, self._value * CUT_FACTOR)

    def _evaluate_cut(self, ratio: float, limit_before_cut: float, now: float) -> None:
        """Cut the limit again when service times fell, else undo the last cut."""
        is_effective = ratio <= self._ratio_before_cut * (
            1.0 - CUT_EFFECT_MIN_SHARE * (1 - CUT_FACTOR)
        )
        if is_effective:
            self._probe_interval_s = PROBE_INTERVAL_MIN_S
            if self._value > 1.0:
                self._cut(ratio)
                return
        self._value = limit_before_cut
        self._limit_before_cut = None
        self._scale_baselines(self._ratio_before_cut)
        self._growth_resumes_at = now + GROWTH_PAUSE_S
        self._probe_at = now + self._next_probe_delay_s()
        self._probe_interval_s = min(PROBE_INTERVAL_MAX_S, 2.0 * self._probe_interval_s)

    def _is_probe_due(self, now: float) -> bool:
        if self._probe_at is None:
            self._probe_at = now + self._next_probe_delay_s()
        return now >= self._probe_at

    def _next_probe_delay_s(self) -> float:
        return max(self._probe_interval_s, PROBE_INTERVAL_MIN_WINDOWS * self._window_s)

    def _lower_baselines(self, ratio: float) -> None:
        """Move the baselines towards the service times of a faster window."""
        if ratio < RECOVERED_RATIO:
            # A slow-down has ended; the new baselines may include congestion.
            self._probe_at = None
            self._probe_interval_s = PROBE_INTERVAL_MIN_S
            self._scale_baselines(ratio)
        elif ratio < 1.0:
            self._scale_baselines(1.0 + BASELINE_FALL_SMOOTHING * (ratio - 1.0))

    def _scale_baselines(self, factor: float) -> None:
        for baseline in self._baselines.values():
            baseline.service_s *= factor


class _Baseline:
    """Service time of a class without congestion, in seconds."""

    def __init__(self) -> None:
        self.service_s = 0.0
        self._n_samples = 0

    def add_sample(self, service_s: float) -> None:
        """Average the first samples; later changes scale all baselines together.

        :param service_s: own service time of a call, in seconds.
        """
        if self._n_samples < MIN_SAMPLES:
            self._n_samples += 1
            self.service_s += (service_s - self.service_s) / self._n_samples
