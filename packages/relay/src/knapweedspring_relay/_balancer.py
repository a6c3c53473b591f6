"""Choice of the gate for a call, from what this node has seen of each."""

import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import StrEnum

from knapweedspring_relay._configuration import Route
from knapweedspring_relay._directory import Directory, GateEntry
from knapweedspring_relay._hop import GateReport

__all__ = ["Balancer", "CallResult"]

#: Occupancy of the own data centre's gates above which others are compared.
SPILL_OCCUPANCY = 0.8
#: What a call to another data centre must gain in occupancy: traffic between data
#: centres is expensive and slower.
REMOTE_PENALTY = 0.25
#: Puts every gate of the own data centre that has room before all others.
HOME_BONUS = 10.0
#: Time after which a reported load counts half, in seconds.
LOAD_HALF_LIFE_S = 0.5
#: Weight of one outcome in the moving failure ratio.
FAILURE_STEP = 0.1
#: Occupancy that a failure ratio of 1, above that of the best peer, counts as.
FAILURE_PENALTY = 3.0
#: Failure ratio that a sound gate may have.
SOUND_FAILURE_RATIO = 0.05
#: Time without a failure after which the failure ratio counts half, in seconds.
FAILURE_HALF_LIFE_S = 3.0
#: Pause after a gate could not be reached, doubled with each further time, seconds.
AVOID_MIN_S = 0.25
AVOID_MAX_S = 4.0
#: Pause after a gate said that it takes no calls, in seconds: the directory tells
#: about as soon.
CLOSED_S = 1.0
#: Share of a route's goal that an answer may usually take before it counts as slow.
SLOW_SHARE = 0.55
#: Occupancy that an answer which usually takes the whole goal beyond that counts as.
SLOW_PENALTY = 3.0
#: Weight of one latency in the moving average.
LATENCY_STEP = 0.1
#: Time without an answer after which a latency counts half, in seconds.
LATENCY_HALF_LIFE_S = 5.0
#: Routes whose latencies are kept for each gate.
MAX_ROUTES = 256
#: Gates compared for one call, of a service with very many.
MAX_COMPARED = 12
#: Limit assumed of a gate that was not heard of, as share of its slots.
UNKNOWN_LIMIT_SHARE = 0.95


class CallResult(StrEnum):
    """What a call says about the gate that it went to."""

    #: The upstream answered without an error of its own.
    GOOD = "good"
    #: The upstream failed, shed the call or gave no usable answer.
    FAILED = "failed"
    #: The gate has no room for it.
    REFUSED = "refused"
    #: The gate takes no calls at all for now, as when its upstream drains.
    CLOSED = "closed"
    #: The gate could not be reached.
    UNREACHABLE = "unreachable"
    #: Nothing was learnt, as when the caller left.
    NOTHING = "nothing"


@dataclass(slots=True)
class _Latency:
    """Moving average of a route's latency at one gate."""

    #: The average, in seconds.
    mean_s: float
    #: When it was last changed, on the monotonic clock.
    changed_at: float


@dataclass(slots=True)
class _Gate:
    """What this node has seen of one gate."""

    #: Calls of this node that are at the gate.
    n_open: int = 0
    #: Calls at the gate by its last report, those of this node included.
    n_reported: int = 0
    #: Calls of this node that were at the gate when it reported.
    n_open_at_report: int = 0
    #: Calls that it lets run at once; 0 before the first report.
    limit: int = 0
    #: When it reported, on the monotonic clock.
    reported_at: float = float("-inf")
    #: Moving share of failures.
    failure_ratio: float = 0.0
    #: When the ratio was last changed.
    failure_at: float = 0.0
    #: Not used before this time.
    avoid_until: float = 0.0
    #: Next pause after it could not be reached.
    avoid_s: float = AVOID_MIN_S
    #: Since when it could not be reached; None when it could.
    unreachable_since: float | None = None
    #: Latencies by route.
    latencies: dict[str, _Latency] = field(default_factory=dict)

    def occupancy(self, slots: int, now: float) -> float:
        """Return the calls at the gate for each one that it lets run."""
        limit = self.limit or max(1.0, slots * UNKNOWN_LIMIT_SHARE)
        age_s = max(0.0, now - self.reported_at)
        others = max(0, self.n_reported - self.n_open_at_report)
        fading = 0.5 ** (age_s / LOAD_HALF_LIFE_S)
        return (self.n_open + others * fading) / limit

    def failures(self, now: float) -> float:
        """Return the failure ratio, faded by the time without a call."""
        age_s = max(0.0, now - self.failure_at)
        return self.failure_ratio * 0.5 ** (age_s / FAILURE_HALF_LIFE_S)

    def learn_latency(self, route: str, latency_s: float, now: float) -> None:
        """Take in how long an answer took."""
        known = self.latencies.get(route)
        if known is None:
            if len(self.latencies) >= MAX_ROUTES:
                self.latencies.clear()
            self.latencies[route] = _Latency(latency_s, now)
            return
        known.mean_s += LATENCY_STEP * (latency_s - known.mean_s)
        known.changed_at = now

    def slowness(self, route: Route, now: float) -> float:
        """Return by how much of its goal a route's answers are usually slow."""
        known = self.latencies.get(route.name)
        if known is None:
            return 0.0
        excess = known.mean_s / route.goal_s - SLOW_SHARE
        if excess <= 0.0:
            return 0.0
        age_s = max(0.0, now - known.changed_at)
        return excess * 0.5 ** (age_s / LATENCY_HALF_LIFE_S)


class Balancer:
    """Prefers the own data centre's least occupied gate while it has room.

    Failures count only where a gate fails more often than its best peer: what all
    have in common is not the gate's fault.

    :param directory: the gates.
    :param data_centre: this node's data centre.
    :param rng: decides between equals.
    """

    def __init__(
        self, directory: Directory, data_centre: str, rng: random.Random
    ) -> None:
        self._directory = directory
        self._data_centre = data_centre
        self._rng = rng
        self._gates: dict[str, _Gate] = {}

    def pick(
        self, service: str, route: Route, excluded: frozenset[str], now: float
    ) -> GateEntry | None:
        """Return the gate for a call; None when none is left.

        :param service: service that is to run the call.
        :param route: the route that it takes.
        :param excluded: nodes whose gates were tried.
        :param now: monotonic time, in seconds.
        """
        providers = self._directory.providers(service)
        home_providers = self._directory.providers_in(service, self._data_centre)
        home = self._sound_home_gate(home_providers, route, excluded, now)
        if home is not None:
            return home
        known = [entry for entry in providers if entry.node not in excluded]
        reachable = [e for e in known if self._gate(e).avoid_until <= now]
        candidates = reachable or known
        if not candidates:
            return None
        if len(candidates) == 1:
            return candidates[0]
        return self._cheapest(self._sample(candidates), route, now)

    def pick_among(
        self, service: str, route: Route, nodes: frozenset[str], now: float
    ) -> GateEntry | None:
        """Return the best gate of a few nodes; None when none of them serves.

        :param service: service that is to run the call.
        :param route: the route that it takes.
        :param nodes: the nodes.
        :param now: monotonic time, in seconds.
        """
        candidates = [
            entry
            for entry in self._directory.providers(service)
            if entry.node in nodes and self._gate(entry).avoid_until <= now
        ]
        return self._cheapest(candidates, route, now) if candidates else None

    def started(self, entry: GateEntry) -> None:
        """Count a call that goes to a gate."""
        self._gate(entry).n_open += 1

    def finished(
        self,
        entry: GateEntry,
        result: CallResult,
        report: GateReport | None,
        now: float,
    ) -> None:
        """Take in how a call ended, but for its latency.

        :param entry: the gate.
        :param result: what the call says of it.
        :param report: what the gate said; None when it said nothing.
        :param now: monotonic time, in seconds.
        """
        gate = self._gate(entry)
        gate.n_open = max(0, gate.n_open - 1)
        if report is not None:
            gate.n_reported = report.n_running + report.n_waiting
            gate.n_open_at_report = gate.n_open
            gate.limit = report.limit
            gate.reported_at = now
        if result is CallResult.UNREACHABLE:
            if gate.unreachable_since is None:
                gate.unreachable_since = now
            if gate.avoid_until <= now:
                gate.avoid_until = now + gate.avoid_s * self._rng.uniform(0.7, 1.3)
                gate.avoid_s = min(AVOID_MAX_S, 2.0 * gate.avoid_s)
            return
        if result is CallResult.CLOSED:
            gate.avoid_until = now + CLOSED_S
        if result is not CallResult.NOTHING:
            gate.avoid_s = AVOID_MIN_S
            gate.unreachable_since = None
        if result in (CallResult.GOOD, CallResult.FAILED):
            failed = 1.0 if result is CallResult.FAILED else 0.0
            ratio = gate.failures(now)
            gate.failure_ratio = ratio + FAILURE_STEP * (failed - ratio)
            gate.failure_at = now

    def answered(
        self, entry: GateEntry, route: Route, latency_s: float, now: float
    ) -> None:
        """Take in how long an answer without an error took."""
        self._gate(entry).learn_latency(route.name, latency_s, now)

    def unreachable_s(self, node: str, now: float) -> float:
        """Return for how long calls to a node have been failing, in seconds."""
        gate = self._gates.get(node)
        since = gate.unreachable_since if gate is not None else None
        return now - since if since is not None else 0.0

    def forget(self, node: str) -> None:
        """Forget a node that has left."""
        self._gates.pop(node, None)

    def _sound_home_gate(
        self,
        providers: Sequence[GateEntry],
        route: Route,
        excluded: frozenset[str],
        now: float,
    ) -> GateEntry | None:
        """Return the own data centre's emptiest gate if nothing speaks against it.

        This is the usual case, and decided without a look at other data centres.
        """
        best, best_occupancy = None, SPILL_OCCUPANCY
        for entry in providers:
            if entry.node in excluded:
                continue
            gate = self._gate(entry)
            if gate.avoid_until > now or gate.failure_ratio > SOUND_FAILURE_RATIO:
                continue
            if gate.slowness(route, now) > 0.0:
                continue
            occupancy = gate.occupancy(entry.slots, now)
            if occupancy < best_occupancy:
                best, best_occupancy = entry, occupancy
        return best

    def _gate(self, entry: GateEntry) -> _Gate:
        gate = self._gates.get(entry.node)
        if gate is None:
            gate = self._gates[entry.node] = _Gate()
        return gate

    def _sample(self, candidates: Sequence[GateEntry]) -> Sequence[GateEntry]:
        """Return few candidates, those of the own data centre before others."""
        if len(candidates) <= MAX_COMPARED:
            return candidates
        local = [e for e in candidates if e.data_centre == self._data_centre]
        remote = [e for e in candidates if e.data_centre != self._data_centre]
        n_local = min(len(local), MAX_COMPARED // 2)
        n_remote = min(len(remote), MAX_COMPARED - n_local)
        return self._rng.sample(local, n_local) + self._rng.sample(remote, n_remote)

    def _cheapest(
        self, candidates: Sequence[GateEntry], route: Route, now: float
    ) -> GateEntry:
        least_failing = min(self._gate(entry).failures(now) for entry in candidates)
        best, best_cost = candidates[0], float("inf")
        for entry in candidates:
            gate = self._gate(entry)
            excess = gate.failures(now) - least_failing
            cost = gate.occupancy(entry.slots, now) + FAILURE_PENALTY * excess
            cost += SLOW_PENALTY * gate.slowness(route, now)
            if entry.data_centre == self._data_centre:
                if cost <= SPILL_OCCUPANCY:
                    # There is nothing to gain elsewhere.
                    cost -= HOME_BONUS
                cost -= REMOTE_PENALTY
            cost += self._rng.random() * 0.001
            if cost < best_cost:
                best, best_cost = entry, cost
        return best
