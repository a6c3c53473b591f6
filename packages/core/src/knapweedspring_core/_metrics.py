"""Counters and gauges, exported through OpenTelemetry as a Prometheus page.

Hot paths add to plain integers, which OpenTelemetry reads when the page is
scraped. Counting an event thus takes one addition and uses no library.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from prometheus_client import REGISTRY, generate_latest

__all__ = ["Counters", "MetricsPage"]


class Counters:
    """Counters, each identified by a metric name and a value of the label ``of``.

    Concurrent additions from several threads may in rare cases lose a count. Retry
    budgets must be exact, so they do not use this class.
    """

    def __init__(self) -> None:
        self._values: dict[tuple[str, str], int] = defaultdict(int)

    @property
    def values(self) -> dict[tuple[str, str], int]:
        """A copy of the counts by metric name and label value."""
        return dict(self._values)

    def add(self, name: str, label: str = "", amount: int = 1) -> None:
        """Add to a counter.

        :param name: metric name, such as ``calls_refused``.
        :param label: value of the label ``of``, such as a reason.
        :param amount: how much to add.
        """
        self._values[(name, label)] += amount

    def get(self, name: str, label: str = "") -> int:
        """Return a counter's value."""
        return self._values.get((name, label), 0)

    def total(self, name: str) -> int:
        """Return the sum of a counter over all label values."""
        return sum(value for (key, _), value in self.values.items() if key == name)


class MetricsPage:
    """Registers counters and gauges with OpenTelemetry and renders the metrics page."""

    def __init__(self, counters: Counters) -> None:
        self._counters = counters
        self._provider = MeterProvider(metric_readers=[PrometheusMetricReader()])
        self._meter = self._provider.get_meter("knapweedspring")
        self._registered: set[str] = set()

    def add_gauge(self, name: str, read: Callable[[], float], unit: str = "1") -> None:
        """Register a gauge.

        :param name: metric name, such as ``node_draining``.
        :param read: returns the value; called when the page is scraped.
        :param unit: unit of the value.
        """

        def observe(_: CallbackOptions) -> Iterable[Observation]:
            return [Observation(read())]

        self._meter.create_observable_gauge(name, callbacks=[observe], unit=unit)

    def add_gauges(self, name: str, read: Callable[[], Mapping[str, float]]) -> None:
        """Register a gauge with one value for each value of the label ``of``.

        :param name: metric name, such as ``gate_waiting``.
        :param read: returns the values by label value; called when the page is
            scraped.
        """

        def observe(_: CallbackOptions) -> Iterable[Observation]:
            return [
                Observation(value, {"of": label}) for label, value in read().items()
            ]

        self._meter.create_observable_gauge(name, callbacks=[observe])

    def render(self) -> bytes:
        """Return the metrics page in the Prometheus text format."""
        self._register_new_counters()
        return generate_latest(REGISTRY)

    def _register_new_counters(self) -> None:
        names = {name for name, _ in self._counters.values}
        for name in names - self._registered:
            self._registered.add(name)
            self._meter.create_observable_counter(
                name, callbacks=[self._counter_callback(name)]
            )

    def _counter_callback(
        self, name: str
    ) -> Callable[[CallbackOptions], Iterable[Observation]]:
        def observe(_: CallbackOptions) -> Iterable[Observation]:
            return [
                Observation(value, {"of": label})
                for (key, label), value in self._counters.values.items()
                if key == name
            ]

        return observe
