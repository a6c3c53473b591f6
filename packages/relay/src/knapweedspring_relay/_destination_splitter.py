"""Distribution of a route's requests among its destinations, by weight."""

from knapweedspring_relay._configuration import Destination, Route

__all__ = ["DestinationSplitter"]

#: Maximum number of sets of destinations whose credits are kept. The first set beyond
#: it discards the credits of all sets.
MAX_DESTINATION_SETS = 4_096


class DestinationSplitter:
    """Smooth weighted round-robin: shares are exact over short runs of requests.

    Each request adds every destination's weight to its credit. The destination with the
    greatest credit gets the request, and the sum of the weights is subtracted from its
    credit.

    Routes with equal destinations and weights share their credits. A route whose
    destinations or weights change gets new credits.

    :param seed: position in the round at which this node starts, so that nodes with
        few requests do not all send their first requests to the same destination.
    """

    def __init__(self, seed: int = 0) -> None:
        self._seed = seed
        self._credits_by_destinations: dict[
            tuple[Destination, ...], dict[str, float]
        ] = {}

    def choose_service(self, route: Route) -> str:
        """Return the service for the next request of a route, and update its credits.

        :param route: the route.
        """
        destinations = route.destinations
        if len(destinations) == 1:
            return destinations[0].service
        credits = self._credits_by_destinations.get(destinations)
        if credits is None:
            if len(self._credits_by_destinations) >= MAX_DESTINATION_SETS:
                self._credits_by_destinations.clear()
            credits = self._initial_credits(destinations)
            self._credits_by_destinations[destinations] = credits
        total = sum(destination.weight for destination in destinations)
        for destination in destinations:
            credits[destination.service] += destination.weight
        chosen = max(destinations, key=lambda d: credits[d.service]).service
        credits[chosen] -= total
        return chosen

    def _initial_credits(
        self, destinations: tuple[Destination, ...]
    ) -> dict[str, float]:
        credits = {destination.service: 0.0 for destination in destinations}
        total = sum(destination.weight for destination in destinations)
        for _ in range(self._seed % 100):
            for destination in destinations:
                credits[destination.service] += destination.weight
            chosen = max(credits, key=lambda name: credits[name])
            credits[chosen] -= total
        return credits
