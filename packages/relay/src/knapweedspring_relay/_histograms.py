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


class LatencyHistograms:
    """Histograms of latencies by name, such as a route or a service."""

    def __init__(self) -> None:
        self._histograms: dict[str, HdrHistogram] = {}

    def record(self, name: str, latency_s: float) -> None:
        """Record a latency.

        :param name: what was measured.
        :param latency_s: latency, in seconds.
        """
        histogram = self._histograms.get(name)
        if histogram is None:
            if len(self._histograms) >= MAX_NAMES:
                return
            histogram = HdrHistogram(MIN_US, MAX_US, DIGITS)
            self._histograms[name] = histogram
        microseconds = int(latency_s * 1_000_000)
        histogram.record_value(min(MAX_US, max(MIN_US, microseconds)))

    def percentile_s(self, name: str, percentile: float) -> float:
        """Return a percentile in seconds, 0 when nothing was recorded."""
        histogram = self._histograms.get(name)
        if histogram is None:
            return 0.0
        return histogram.get_value_at_percentile(percentile) / 1_000_000

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
                name: float(histogram.get_total_count())
                for name, histogram in self._histograms.items()
            },
        )

    def _percentiles_s(self, percentile: float) -> dict[str, float]:
        return {name: self.percentile_s(name, percentile) for name in self._histograms}
