"""Latency histograms and their part of the metrics page."""

from functools import partial

from hdrh.histogram import HdrHistogram

from knapweedspring_core import MetricsPage

__all__ = ["LatencyHistograms"]

#: Shortest and longest latency told apart, in microseconds.
MIN_US = 10
MAX_US = 60_000_000
#: Significant digits kept of each latency.
DIGITS = 2
#: Percentiles on the metrics page.
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
#: Histograms kept; latencies of further names are not recorded.
MAX_NAMES = 128
#: Binary digits kept of a latency on the call path: finer than ``DIGITS``.
KEPT_BITS = 8


class _Recorder:
    """One histogram; latencies are counted by rounded value until it is read.

    Finding a value's place in the histogram takes longer than a call can spare.
    """

    def __init__(self) -> None:
        self._histogram = HdrHistogram(MIN_US, MAX_US, DIGITS)
        self._n_by_value: dict[int, int] = {}

    def record(self, latency_s: float) -> None:
        """Count a latency."""
        microseconds = int(latency_s * 1_000_000)
        shift = microseconds.bit_length() - KEPT_BITS
        if shift > 0:
            microseconds = microseconds >> shift << shift
        counts = self._n_by_value
        counts[microseconds] = counts.get(microseconds, 0) + 1

    def read(self) -> HdrHistogram:
        """Return the histogram with all latencies in it."""
        for microseconds, count in self._n_by_value.items():
            value = min(MAX_US, max(MIN_US, microseconds))
            self._histogram.record_value(value, count)
        self._n_by_value.clear()
        return self._histogram


class LatencyHistograms:
    """Histograms of latencies by name, such as a route or a service."""

    def __init__(self) -> None:
        self._recorders: dict[str, _Recorder] = {}

    def record(self, name: str, latency_s: float) -> None:
        """Record a latency.

        :param name: what was measured.
        :param latency_s: latency, in seconds.
        """
        recorder = self._recorders.get(name)
        if recorder is None:
            if len(self._recorders) >= MAX_NAMES:
                return
            recorder = self._recorders[name] = _Recorder()
        recorder.record(latency_s)

    def percentile_s(self, name: str, percentile: float) -> float:
        """Return a percentile in seconds, 0 when nothing was recorded."""
        recorder = self._recorders.get(name)
        if recorder is None:
            return 0.0
        return recorder.read().get_value_at_percentile(percentile) / 1_000_000

    def register(self, page: MetricsPage) -> None:
        """Put the percentiles and counts on the metrics page."""
        for percentile in PERCENTILES:
            text = str(percentile).replace(".", "_")
            page.add_gauges(
                f"latency_p{text}_seconds", partial(self._percentiles_s, percentile)
            )
        page.add_gauges(
            "latency_count",
            lambda: {
                name: float(recorder.read().get_total_count())
                for name, recorder in self._recorders.items()
            },
        )

    def _percentiles_s(self, percentile: float) -> dict[str, float]:
        return {name: self.percentile_s(name, percentile) for name in self._recorders}
