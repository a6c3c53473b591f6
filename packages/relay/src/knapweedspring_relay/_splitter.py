"""Distribution of a route's requests among its destinations, by weight."""

from knapweedspring_relay._configuration import Destination, Route

__all__ = ["Splitter"]

#: Routes whose state is kept; beyond that all begin anew.
MAX_ROUTES = 4_096


class Splitter:
    """Smooth weighted round-robin: shares are exact over short runs of requests.

    The state of a route lasts as long as its destinations and weights.

    :param seed: where in its round each node begins, so that nodes with few
        requests do not all send their first ones to the same destination.
    """

    def __init__(self, seed: int = 0) -> None:
        self._seed = seed
        self._rounds: dict[tuple[Destination, ...], dict[str, float]] = {}

    def choose(self, route: Route) -> str:
        """Return the service that the next request of a route goes to."""
        destinations = route.destinations
        if len(destinations) == 1:
            return destinations[0].service
        credits = self._rounds.get(destinations)
        if credits is None:
            if len(self._rounds) >= MAX_ROUTES:
                self._rounds.clear()
            credits = self._first_credits(destinations)
            self._rounds[destinations] = credits
        total = sum(destination.weight for destination in destinations)
        for destination in destinations:
            credits[destination.service] += destination.weight
        chosen = max(destinations, key=lambda d: credits[d.service]).service
        credits[chosen] -= total
        return chosen

    def _first_credits(self, destinations: tuple[Destination, ...]) -> dict[str, float]:
        credits = {destination.service: 0.0 for destination in destinations}
        total = sum(destination.weight for destination in destinations)
        for _ in range(self._seed % 100):
            for destination in destinations:
                credits[destination.service] += destination.weight
            chosen = max(credits, key=lambda name: credits[name])
            credits[chosen] -= total
        return credits
