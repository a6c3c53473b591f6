"""Admission at a gate: who runs, who waits, who is refused; no network, no clock."""

import bisect
from collections.abc import Callable
from enum import StrEnum

from knapweedspring_relay._demand import Demand

__all__ = ["AdmissionQueue", "Place", "PlaceState"]

#: Share of the declared slots that calls get; health checks and new connections
#: hold slots too, and some upstreams slow down when the last ones are taken.
SLOTS_SHARE = 0.95
#: Share of the slots while an upstream is slow after its start.
COLD_SHARE = 0.5
#: Weight of a new service time in the moving average.
SERVICE_TIME_STEP = 0.1
#: A call is let to the upstream only if this share of its usual service time is left.
MIN_LEFT_SHARE = 0.7
#: Precision of the event loop's timers, in seconds.
TIMER_SLACK_S = 0.002
#: Binary digits of the number of arrivals in a place's key; more than a process sees.
ARRIVAL_BITS = 48
#: Routes whose service times are kept.
MAX_ROUTES = 1_024


class PlaceState(StrEnum):
    """Where a call stands."""

    #: It waits for a slot.
    WAITING = "waiting"
    #: The upstream works on it.
    RUNNING = "running"
    #: It was refused.
    REFUSED = "refused"
    #: It has ended.
    ENDED = "ended"


class Place:
    """One call at a gate.

    :param demand: what it asks.
    :param on_decided: told when a waiting call was admitted or refused.
    """

    def __init__(self, demand: Demand, on_decided: Callable[[], None]) -> None:
        self._demand = demand
        self._on_decided = on_decided
        self.state = PlaceState.WAITING
        self.reason = ""
        self.entered_at = 0.0
        self.started_at = 0.0
        #: Order in the queue: by rank, then by arrival.
        self.key = 0

    @property
    def demand(self) -> Demand:
        """What it asks."""
        return self._demand

    def decide(self, state: PlaceState, reason: str = "") -> None:
        """Leave the queue as admitted or refused."""
        self.state = state
        self.reason = reason
        self._on_decided()


class AdmissionQueue:
    """Lets as many calls run as the upstream has slots; the others wait by rank.

    A call that cannot start within its longest wait is refused: at once, when the
    queue in front of it shows so, otherwise when that time has passed. So refused
    callers learn early that they should go elsewhere or come back.
    """

    def __init__(self) -> None:
        self._slots = 0
        self._warm_at = 0.0
        self._n_running = 0
        self._waiting: list[Place] = []
        self._n_arrived = 0
        self._service_s: dict[str, float] = {}
        self._mean_service_s = 0.0

    @property
    def n_running(self) -> int:
        """Calls that the upstream works on."""
        return self._n_running

    @property
    def n_waiting(self) -> int:
        """Calls that wait."""
        return len(self._waiting)

    def set_upstream(self, slots: int, warm_at: float) -> None:
        """Take over what the upstream says.

        :param slots: calls that it works on at the same time.
        :param warm_at: until when it is slow, on the monotonic clock.
        """
        self._slots = slots
        self._warm_at = warm_at

    def limit(self, now: float) -> int:
        """Return how many calls may run at the same time, at least 1."""
        share = SLOTS_SHARE if now >= self._warm_at else SLOTS_SHARE * COLD_SHARE
        return max(1, int(self._slots * share))

    def service_s(self, route: str) -> float:
        """Return the usual service time of a route, 0 when it is unknown."""
        return self._service_s.get(route, 0.0)

    def offer(self, place: Place, now: float) -> None:
        """Admit, queue or refuse a call; the state of the place tells which.

        :param place: the call.
        :param now: monotonic time, in seconds.
        """
        place.entered_at = now
        demand = place.demand
        if self._is_hopeless(demand, now):
            place.state = PlaceState.REFUSED
            place.reason = "too little time is left"
            return
        self._n_arrived += 1
        place.key = (demand.priority << ARRIVAL_BITS) + self._n_arrived
        if self._n_running < self.limit(now) and not self._is_outranked(demand):
            self._run(place, now)
        elif self._expected_wait_s(place, now) > demand.max_wait_s:
            place.state = PlaceState.REFUSED
            place.reason = "the queue is too long"
        else:
            bisect.insort(self._waiting, place, key=_key_of)

    def finish(self, place: Place, now: float, was_served: bool) -> None:
        """Free the slot of a call and admit the next.

        :param place: a running call.
        :param now: monotonic time, in seconds.
        :param was_served: whether its service time says how long such calls take.
        """
        if place.state is not PlaceState.RUNNING:
            return
        place.state = PlaceState.ENDED
        self._n_running -= 1
        if was_served:
            self._learn(place.demand.route, now - place.started_at)
        self.dispatch(now)

    def leave(self, place: Place) -> None:
        """Take a waiting call out: its caller has left."""
        if place.state is PlaceState.WAITING:
            place.state = PlaceState.ENDED
            self._remove(place)

    def give_up(self, place: Place) -> None:
        """Refuse one call if it still waits: its longest wait is over."""
        if place.state is PlaceState.WAITING:
            self._remove(place)
            place.decide(PlaceState.REFUSED, "no slot became free in time")

    def refuse_waiting(self, reason: str) -> None:
        """Refuse all that wait, as when the upstream is gone."""
        waiting, self._waiting = self._waiting, []
        for place in waiting:
            place.decide(PlaceState.REFUSED, reason)

    def dispatch(self, now: float) -> None:
        """Admit calls while there are slots; called when one may have become free."""
        limit = self.limit(now)
        while self._waiting and self._n_running < limit:
            place = self._waiting.pop(0)
            if self._is_hopeless(place.demand, now):
                place.decide(PlaceState.REFUSED, "too little time is left")
            else:
                self._run(place, now)
                place.decide(PlaceState.RUNNING)

    def longest_wait_s(self, place: Place, now: float) -> float:
        """Return after which time a waiting call is refused."""
        demand = place.demand
        needed_s = MIN_LEFT_SHARE * self.service_s(demand.route)
        left_s = max(0.0, demand.deadline_at - needed_s - now)
        return min(demand.max_wait_s, left_s)

    def expire(self, now: float) -> None:
        """Refuse those that have waited too long."""
        # Timers fire up to a millisecond early.
        now += TIMER_SLACK_S
        overdue = [
            place
            for place in self._waiting
            if now - place.entered_at >= place.demand.max_wait_s
            or self._is_hopeless(place.demand, now)
        ]
        for place in overdue:
            self.give_up(place)

    def _run(self, place: Place, now: float) -> None:
        self._n_running += 1
        place.state = PlaceState.RUNNING
        place.started_at = now

    def _remove(self, place: Place) -> None:
        index = bisect.bisect_left(self._waiting, place.key, key=_key_of)
        if index < len(self._waiting) and self._waiting[index] is place:
            del self._waiting[index]

    def _is_outranked(self, demand: Demand) -> bool:
        return bool(self._waiting) and (
            self._waiting[0].demand.priority <= demand.priority
        )

    def _is_hopeless(self, demand: Demand, now: float) -> bool:
        needed_s = MIN_LEFT_SHARE * self.service_s(demand.route)
        return demand.deadline_at - now <= needed_s

    def _expected_wait_s(self, place: Place, now: float) -> float:
        """Return how long the calls in front will keep the slots busy."""
        n_ahead = bisect.bisect_left(self._waiting, place.key, key=_key_of)
        return (n_ahead + 1) * self._mean_service_s / self.limit(now)

    def _learn(self, route: str, service_s: float) -> None:
        known = self._service_s.get(route)
        if known is None:
            if len(self._service_s) >= MAX_ROUTES:
                self._service_s.clear()
            self._service_s[route] = service_s
        else:
            self._service_s[route] = known + SERVICE_TIME_STEP * (service_s - known)
        if self._mean_service_s == 0.0:
            self._mean_service_s = service_s
        difference_s = service_s - self._mean_service_s
        self._mean_service_s += SERVICE_TIME_STEP * difference_s


def _key_of(place: Place) -> int:
    return place.key
