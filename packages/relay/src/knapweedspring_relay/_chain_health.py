"""Early refusal of low-priority requests while chains fail at a deeper service.

A chain consists of a caller's request, which is its root, and all calls that services
make to answer it. A service is deeper than those that call it.
"""

from collections.abc import Iterable

from knapweedspring_relay._configuration import Route

__all__ = ["LOW_PRIORITY", "ChainHealth"]

#: Requests with this priority number or a greater one have low priority; 0 is the
#: highest priority.
LOW_PRIORITY = 2
#: Smoothing factor of the moving failure ratio: it reacts within about ten requests.
FAILURE_SMOOTHING = 0.1
#: Failure ratio of the highest priority above which low-priority requests are refused:
#: more than the failures of a healthy deployment or of a single failing server.
TOLERATED_FAILURE_RATIO = 0.15
#: Failure ratio that a low-priority route must have itself to be refused.
MIN_OWN_FAILURE_RATIO = 0.3
#: Refused share per unit of failure ratio above the tolerated one.
REFUSAL_GAIN = 2.0
#: Largest refused share; the other requests show when the deeper service recovers.
MAX_REFUSED_SHARE = 0.9
#: Age of a route's last outcome above which the route is ignored, in seconds.
OUTCOME_MAX_AGE_S = 1.5
#: Routes that are tracked; at the limit all are discarded.
MAX_ROUTES = 1_024


class _RouteHealth:
    """Recent outcomes of one route."""

    def __init__(self, priority: int) -> None:
        self.priority = priority
        #: Moving ratio of requests that failed because a deeper service failed.
        self.failure_ratio = 0.0
        #: Time of the last outcome, on the monotonic clock, in seconds.
        self.changed_at = 0.0


class ChainHealth:
    """Computes which share of a route's requests to refuse before they start.

    While a deeper service sheds calls whatever their priority, most chains fail after
    the services above it have run, and retries of calls of all priorities share one
    budget. With fewer low-priority chains, those of the highest priority get the
    retries that they need to complete.
    """

    def __init__(self) -> None:
        self._routes: dict[str, _RouteHealth] = {}

    def record_outcome(self, route: Route, failed_deeper: bool, now: float) -> None:
        """Record the outcome of a request that ran.

        :param route: the route of the request.
        :param failed_deeper: whether it failed because a deeper service failed.
        :param now: monotonic time, in seconds.
        """
        health = self._routes.get(route.name)
        if health is None:
            if len(self._routes) >= MAX_ROUTES:
                self._routes.clear()
            health = self._routes[route.name] = _RouteHealth(route.priority)
        health.priority = route.priority
        target = 1.0 if failed_deeper else 0.0
        health.failure_ratio += FAILURE_SMOOTHING * (target - health.failure_ratio)
        health.changed_at = now

    def refused_share(self, route: Route, now: float) -> float:
        """Return the share of a route's requests to refuse, 0 to 1.

        :param route: the route.
        :param now: monotonic time, in seconds.
        """
        if route.priority < LOW_PRIORITY:
            return 0.0
        own = self._routes.get(route.name)
        if own is None or own.failure_ratio < MIN_OWN_FAILURE_RATIO:
            return 0.0
        excess = self._highest_priority_failure_ratio(now) - TOLERATED_FAILURE_RATIO
        return min(MAX_REFUSED_SHARE, max(0.0, REFUSAL_GAIN * excess))

    def _highest_priority_failure_ratio(self, now: float) -> float:
        """Return the failure ratio of the highest priority with recent outcomes.

        It is 0 when no priority above the low ones has recent outcomes; of several
        routes with that priority the greatest ratio counts.
        """
        best, failure_ratio = LOW_PRIORITY, 0.0
        for health in self._recent(now):
            if health.priority < best:
                best, failure_ratio = health.priority, health.failure_ratio
            elif health.priority == best < LOW_PRIORITY:
                failure_ratio = max(failure_ratio, health.failure_ratio)
        return failure_ratio

    def _recent(self, now: float) -> Iterable[_RouteHealth]:
        for health in self._routes.values():
            if now - health.changed_at <= OUTCOME_MAX_AGE_S:
                yield health
