"""Early refusal of the lowest rank while chains fail at a deeper service."""

from collections.abc import Iterable

from knapweedspring_relay._configuration import Route

__all__ = ["LOW_RANK", "ChainHealth"]

#: Priority from which on requests make room for the others; 0 is the highest.
LOW_RANK = 2
#: Weight of one outcome in the moving failure ratio: reacts within about ten requests.
FAILURE_STEP = 0.1
#: Failure ratio of the highest rank above which the lowest one is refused: more than
#: the failures of a sound deployment and of a single bad server.
TOLERATED_RATIO = 0.15
#: Failure ratio that requests of the lowest rank must have themselves.
OWN_RATIO = 0.3
#: Share refused for each failure ratio of the highest rank above the tolerated one.
REFUSAL_GAIN = 2.0
#: Most that is refused; the others show when the deeper service has recovered.
MAX_REFUSED_SHARE = 0.9
#: Age of the last outcome from which on a route tells nothing, in seconds.
FORGET_S = 1.5
#: Routes that are followed; beyond that all begin anew.
MAX_ROUTES = 1_024


class _RouteHealth:
    """Recent outcomes of one route."""

    def __init__(self, priority: int) -> None:
        self.priority = priority
        #: Moving share of requests that failed since a deeper service did.
        self.ratio = 0.0
        #: Time of the last outcome.
        self.changed_at = 0.0


class ChainHealth:
    """Tells which share of a route's requests should not start.

    While a deeper service turns a part of its calls away, whatever their rank, most
    chains fail after all above it has run, and repeats of the calls of all ranks use
    up one budget. With fewer chains of the lowest rank, those of the highest get the
    repeats that they need to be completed.
    """

    def __init__(self) -> None:
        self._routes: dict[str, _RouteHealth] = {}

    def note(self, route: Route, failed_deeper: bool, now: float) -> None:
        """Take in the outcome of a request that ran.

        :param route: the route that it took.
        :param failed_deeper: whether it failed since a deeper service did.
        :param now: monotonic time, in seconds.
        """
        health = self._routes.get(route.name)
        if health is None:
            if len(self._routes) >= MAX_ROUTES:
                self._routes.clear()
            health = self._routes[route.name] = _RouteHealth(route.priority)
        health.priority = route.priority
        target = 1.0 if failed_deeper else 0.0
        health.ratio += FAILURE_STEP * (target - health.ratio)
        health.changed_at = now

    def refused_share(self, route: Route, now: float) -> float:
        """Return which share of a route's requests should be refused, 0 to 1.

        :param route: the route.
        :param now: monotonic time, in seconds.
        """
        if route.priority < LOW_RANK:
            return 0.0
        own = self._routes.get(route.name)
        if own is None or own.ratio < OWN_RATIO:
            return 0.0
        excess = self._ratio_of_best_rank(now) - TOLERATED_RATIO
        return min(MAX_REFUSED_SHARE, max(0.0, REFUSAL_GAIN * excess))

    def _ratio_of_best_rank(self, now: float) -> float:
        """Return the failure ratio of the highest rank that has recent outcomes."""
        best, ratio = LOW_RANK, 0.0
        for health in self._recent(now):
            if health.priority < best:
                best, ratio = health.priority, health.ratio
            elif health.priority == best < LOW_RANK:
                ratio = max(ratio, health.ratio)
        return ratio

    def _recent(self, now: float) -> Iterable[_RouteHealth]:
        for health in self._routes.values():
            if now - health.changed_at <= FORGET_S:
                yield health
