"""Early refusal of low-priority requests while a service deeper in chains fails.

A chain consists of a caller's request, which is its root, and all calls that services
make to answer it. A service is deeper in a chain than the services that call it.
"""

from collections.abc import Iterable

from knapweedspring_relay._configuration import Route

__all__ = ["LOW_PRIORITY", "ChainHealth"]

#: Requests with this priority number or a greater one have low priority; 0 is the
#: highest priority.
LOW_PRIORITY = 2
#: Smoothing factor of the moving failure ratio: it reacts within about ten requests.
FAILURE_SMOOTHING = 0.1
#: Failure ratio of the highest-priority requests above which low-priority requests are
#: refused. It exceeds the ratio in a healthy deployment and the ratio that a single
#: failing server causes.
TOLERATED_FAILURE_RATIO = 0.15
#: Least failure ratio of a low-priority route at which its requests are refused.
MIN_OWN_FAILURE_RATIO = 0.3
#: Share of requests refused per unit of failure ratio above the tolerated ratio.
REFUSAL_GAIN = 2.0
#: Largest share of a route's requests that is refused. The requests that still run
#: show when the deeper service recovers.
MAX_REFUSED_SHARE = 0.9
#: Age of a route's last outcome above which the route is ignored, in seconds.
OUTCOME_MAX_AGE_S = 1.5
#: Maximum number of routes that are tracked. The first route beyond it discards the
#: outcomes of all routes.
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
    the services that call it have run, and retries of calls of all priorities share
    one budget. With fewer low-priority chains, the chains of the highest priority get
    the retries that they need to complete.
    """

    def __init__(self) -> None:
        self._routes: dict[str, _RouteHealth] = {}

    def record_outcome(self, route: Route, failed_deeper: bool, now: float) -> None:
        """Record the outcome of a request that ran.

        :param route: the route of the request.
        :param failed_deeper: whether it failed because a service deeper in its chain
            failed.
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

        A lower number is a higher priority. When several routes have that priority,
        the result is the greatest of their ratios. It is 0 when no route with a number
        below ``LOW_PRIORITY`` has recent outcomes.
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
