"""Latency histograms and their gauges on the metrics page."""

from functools import partial

from hdrh.histogram import HdrHistogram

from knapweedspring_core import MetricsPage

__all__ = ["LatencyHistograms"]

#: Shortest and longest latency that the histograms distinguish, in microseconds.
MIN_LATENCY_US = 10
MAX_LATENCY_US = 60_000_000
#: Significant decimal digits of a recorded latency.
SIGNIFICANT_DIGITS = 2
#: Percentiles on the metrics page.
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
#: Maximum number of histograms; latencies of further names are not recorded.
MAX_HISTOGRAMS = 128
#: Significant bits to which a latency is rounded when it is counted; more precise than
#: ``SIGNIFICANT_DIGITS``.
SIGNIFICANT_BITS = 8


class _Recorder:
    """One histogram; latencies are counted by rounded value until it is queried.

    Recording a value in the histogram directly is too slow for the call path.
    """

    def __init__(self) -> None:
        self._histogram = HdrHistogram(
            MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS
        )
        self._n_by_value: dict[int, int] = {}

    def record(self, latency_s: float) -> None:
        """Count a latency, in seconds."""
        microseconds = int(latency_s * 1_000_000)
        shift = microseconds.bit_length() - SIGNIFICANT_BITS
        if shift > 0:
            microseconds = microseconds >> shift << shift
        counts = self._n_by_value
        counts[microseconds] = counts.get(microseconds, 0) + 1

    def read(self) -> HdrHistogram:
        """Return the histogram with all counted latencies recorded."""
        for microseconds, count in self._n_by_value.items():
            value = min(MAX_LATENCY_US, max(MIN_LATENCY_US, microseconds))
            self._histogram.record_value(value, count)
        self._n_by_value.clear()
        return self._histogram


class LatencyHistograms:
    """Histograms of latencies by name, such as a route or a service."""

    def __init__(self) -> None:
        self._recorders: dict[str, _Recorder] = {}

    def record(self, name: str, latency_s: float) -> None:
        """Record a latency.

        :param name: name of the histogram.
        :param latency_s: latency, in seconds.
        """
        recorder = self._recorders.get(name)
        if recorder is None:
            if len(self._recorders) >= MAX_HISTOGRAMS:
                return
            recorder = self._recorders[name] = _Recorder()
        recorder.record(latency_s)

    def percentile_s(self, name: str, percentile: float) -> float:
        """Return a percentile, in seconds; 0 when nothing was recorded.

        :param name: name of the histogram.
        :param percentile: percentile, from 0 to 100.
        """
        recorder = self._recorders.get(name)
        if recorder is None:
            return 0.0
        return recorder.read().get_value_at_percentile(percentile) / 1_000_000

    def register(self, page: MetricsPage) -> None:
        """Register the percentiles and counts on the metrics page."""
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
