"""Smoothed service times of calls."""

__all__ = ["ServiceTimes"]

MAX_CLASSES = 64
SMOOTHING_FACTOR = 0.1


class ServiceTimes:
    """Smoothed service times, overall and by request class.

    Not thread-safe: a gate guards it with its lock; unguarded updates may be lost.
    """

    def __init__(self) -> None:
        self._mean_s = 0.0
        self._by_class: dict[str, float] = {}

    @property
    def mean_s(self) -> float:
        """Smoothed service time of all calls, in seconds; 0 before the first call."""
        return self._mean_s

    def of_class(self, class_name: str) -> float:
        """Return the smoothed service time of a class, in seconds.

        A class without a record has the overall service time.
        """
        return self._by_class.get(class_name, self._mean_s)

    def record(self, class_name: str, service_s: float, succeeded: bool) -> None:
        """Record a finished call.

        A failed call gives only a lower bound of the service time, so a failure is
        ignored when it took no longer than the smoothed service time.

        :param class_name: request class.
        :param service_s: service time, in seconds.
        :param succeeded: whether the answer was complete and not an error.
        """
        if not succeeded and service_s <= self.of_class(class_name):
            return
        self._mean_s = _smoothed(self._mean_s, service_s)
        if class_name in self._by_class or len(self._by_class) < MAX_CLASSES:
            class_mean_s = self._by_class.get(class_name, 0.0)
            self._by_class[class_name] = _smoothed(class_mean_s, service_s)


def _smoothed(mean_s: float, service_s: float) -> float:
    if mean_s == 0.0:
        return service_s
    return mean_s + SMOOTHING_FACTOR * (service_s - mean_s)
