"""Service times of an upstream as its gate observes them."""

__all__ = ["ServiceTimes"]

MAX_CLASSES = 64
SMOOTHING = 0.1


class ServiceTimes:
    """Smoothed service times, overall and by request class.

    Not thread-safe: the gate's lock guards it.
    """

    def __init__(self) -> None:
        self._mean_s = 0.0
        self._by_class: dict[str, float] = {}

    @property
    def mean_s(self) -> float:
        """Smoothed service time of all calls; 0 before the first."""
        return self._mean_s

    def of_class(self, class_name: str) -> float:
        """Return the smoothed service time of a class, the overall one if new."""
        return self._by_class.get(class_name, self._mean_s)

    def record(self, class_name: str, service_s: float, succeeded: bool) -> None:
        """Take in a finished call.

        A failed call tells only that the service would have taken longer: a quick
        failure says nothing, and a slow one is a lower bound.
        """
        if not succeeded and service_s <= self.of_class(class_name):
            return
        self._mean_s = _smoothed(self._mean_s, service_s)
        if class_name in self._by_class or len(self._by_class) < MAX_CLASSES:
            held_s = self._by_class.get(class_name, 0.0)
            self._by_class[class_name] = _smoothed(held_s, service_s)


def _smoothed(held_s: float, service_s: float) -> float:
    if held_s == 0.0:
        return service_s
    return held_s + SMOOTHING * (service_s - held_s)
