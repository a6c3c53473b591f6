"""Selection of the gate for a call from each gate's load, failures and latency."""

import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import StrEnum

from knapweedspring_relay._configuration import Route
from knapweedspring_relay._hop import GateReport
from knapweedspring_relay._knowledge import Directory, GateEntry
from knapweedspring_relay._upstream_process import UpstreamProcess

__all__ = ["AttemptResult", "Balancer"]

#: Occupancy up to which a gate of the local data centre is preferred to all remote
#: gates. Occupancy is the number of calls at a gate divided by its concurrency limit.
SPILLOVER_OCCUPANCY = 0.8
#: Occupancy subtracted from the cost of each local gate. A remote gate must be better
#: by more than this, since traffic between data centres is expensive and slower.
REMOTE_OCCUPANCY_PENALTY = 0.25
#: Further occupancy subtracted from the cost of a local gate that has room, so that it
#: precedes all gates without room and all remote gates.
LOCAL_OCCUPANCY_BONUS = 10.0
#: Half-life of the load that a gate reports for calls of other nodes, in seconds.
LOAD_HALF_LIFE_S = 0.5
#: Smoothing factor of a gate's moving failure ratio.
FAILURE_SMOOTHING = 0.1
#: Occupancy added to a gate's cost per unit of failure ratio above the lowest among the
#: candidates.
FAILURE_OCCUPANCY_PENALTY = 3.0
#: Highest failure ratio of a healthy gate.
HEALTHY_FAILURE_RATIO = 0.05
#: Half-life of a failure ratio that no new attempt result updates, in seconds.
FAILURE_HALF_LIFE_S = 3.0
#: Difference of two failure ratios that counts as equal: about twice the standard
#: deviation of a moving ratio near one half.
FAILURE_RATIO_NOISE = 0.2
#: First and longest ejection of an unreachable gate, in seconds. Each further ejection
#: lasts twice as long as the one before it, up to the longest.
EJECTION_MIN_S = 0.25
EJECTION_MAX_S = 4.0
#: Ejection of a gate that reported that it is closed, in seconds: the directory lists
#: the new state after about that time.
CLOSED_EJECTION_S = 1.0
#: Share of a route's goal above which a gate's average latency counts as slow.
SLOW_GOAL_SHARE = 0.55
#: Occupancy added to a gate's cost per unit of slowness. Slowness is the average
#: latency divided by the route's goal, minus ``SLOW_GOAL_SHARE``.
SLOWNESS_OCCUPANCY_PENALTY = 3.0
#: Smoothing factor of the moving averages of latencies.
LATENCY_SMOOTHING = 0.1
#: Half-life of the slowness of a gate for a route without new answers, in seconds.
LATENCY_HALF_LIFE_S = 5.0
#: Maximum number of routes whose latencies are kept for each gate. The first route
#: beyond it discards the latencies of all routes at the gate.
MAX_ROUTES = 256
#: Maximum number of gates compared for one call; bounds the work for services with many
#: gates.
MAX_COMPARED_GATES = 12
#: Concurrency limit assumed for a gate that has sent no report yet, as share of its
#: slots.
DEFAULT_LIMIT_SHARE = 0.95
#: Maximum number of upstream processes whose rate limits are kept, more than any
#: deployment runs at a time. The limit that changed first is forgotten first.
MAX_RATE_LIMITS = 4_096


class AttemptResult(StrEnum):
    """What one attempt shows about its gate."""

    #: The upstream answered without an error of its own.
    GOOD = "good"
    #: The upstream failed, shed the call or gave no usable answer.
    FAILED = "failed"
    #: The gate refused the call for lack of capacity.
    REFUSED = "refused"
    #: The gate accepts no calls at present, as when its upstream drains.
    CLOSED = "closed"
    #: The gate could not be reached.
    UNREACHABLE = "unreachable"
    #: The attempt shows nothing about the gate, as when the caller left.
    NOTHING = "nothing"


@dataclass(slots=True)
class _Latency:
    """Moving average of a route's latency at one gate."""

    #: The average, in seconds.
    mean_s: float
    #: Time of the last update, on the monotonic clock, in seconds.
    changed_at: float


@dataclass(slots=True)
class _FailureRatio:
    """Moving failure ratio, which decays while no attempt ends."""

    #: The ratio after the last attempt, 0 to 1.
    value: float = 0.0
    #: Time of the last attempt, on the monotonic clock, in seconds.
    changed_at: float = 0.0

    def decayed(self, now: float) -> float:
        """Return the ratio, decayed by the time since the last attempt.

        :param now: monotonic time, in seconds.
        """
        age_s = max(0.0, now - self.changed_at)
        return self.value * 0.5 ** (age_s / FAILURE_HALF_LIFE_S)

    def exceeds(self, limit: float, now: float) -> bool:
        """Return whether the decayed ratio is above a limit.

        :param limit: the limit.
        :param now: monotonic time, in seconds.
        """
        # The first comparison saves the power for nearly all gates.
        return self.value > limit and self.decayed(now) > limit

    def record(self, failed: bool, now: float) -> None:
        """Record the result of an attempt.

        :param failed: whether it failed.
        :param now: monotonic time, in seconds.
        """
        ratio = self.decayed(now)
        self.value = ratio + FAILURE_SMOOTHING * (float(failed) - ratio)
        self.changed_at = now


@dataclass(slots=True)
class _GateStats:
    """Load, failures, ejection and latencies of one gate, as observed by this node."""

    #: Number of calls from this node to the gate that have not ended.
    n_open: int = 0
    #: Number of calls at the gate in its last report, this node's calls included.
    n_reported: int = 0
    #: Value of ``n_open`` when the last report arrived.
    n_open_at_report: int = 0
    #: Concurrency limit of the gate; 0 before the first report.
    limit: int = 0
    #: Time of the last report, on the monotonic clock, in seconds.
    reported_at: float = float("-inf")
    #: Moving ratio of failed attempts.
    failures: _FailureRatio = field(default_factory=_FailureRatio)
    #: End of the last ejection, on the monotonic clock, in seconds.
    ejection_ends_at: float = 0.0
    #: Length of the next ejection for unreachability, in seconds.
    next_ejection_s: float = EJECTION_MIN_S
    #: Time since which the gate has been unreachable, on the monotonic clock, in
    #: seconds; None when it is reachable.
    unreachable_since: float | None = None
    #: Average latencies by name of the route.
    latencies: dict[str, _Latency] = field(default_factory=dict)

    def occupancy(self, slots: int, now: float) -> float:
        """Return the calls at the gate as share of its concurrency limit.

        :param slots: slots that the gate's upstream declares.
        :param now: monotonic time, in seconds.
        """
        limit = self.limit or max(1.0, slots * DEFAULT_LIMIT_SHARE)
        age_s = max(0.0, now - self.reported_at)
        n_others = max(0, self.n_reported - self.n_open_at_report)
        decay = 0.5 ** (age_s / LOAD_HALF_LIFE_S)
        return (self.n_open + n_others * decay) / limit

    def record_latency(self, route: str, latency_s: float, now: float) -> None:
        """Add the latency of an answer to the route's average.

        :param route: name of the route.
        :param latency_s: the latency, in seconds.
        :param now: monotonic time, in seconds.
        """
        latency = self.latencies.get(route)
        if latency is None:
            if len(self.latencies) >= MAX_ROUTES:
                self.latencies.clear()
            self.latencies[route] = _Latency(latency_s, now)
            return
        latency.mean_s += LATENCY_SMOOTHING * (latency_s - latency.mean_s)
        latency.changed_at = now

    def slowness(self, route: Route, now: float) -> float:
        """Return how slow the gate is for a route; 0 when it is fast enough.

        The result is the share of the route's goal by which the average latency exceeds
        ``SLOW_GOAL_SHARE``. It decays while no new answer arrives.

        :param route: the route.
        :param now: monotonic time, in seconds.
        """
        latency = self.latencies.get(route.name)
        if latency is None:
            return 0.0
        excess = latency.mean_s / route.goal_s - SLOW_GOAL_SHARE
        if excess <= 0.0:
            return 0.0
        age_s = max(0.0, now - latency.changed_at)
        return excess * 0.5 ** (age_s / LATENCY_HALF_LIFE_S)


class Balancer:
    """Selects gates; prefers the least occupied gate of the local data centre.

    Calls go to remote gates when no healthy local gate has room. A gate's failures
    count only as far as they exceed those of the best candidate, since failures
    common to all gates have another cause.

    :param directory: the known gates.
    :param data_centre: this node's data centre.
    :param rng: breaks ties, samples candidates and spreads ejections.
    """

    def __init__(
        self, directory: Directory, data_centre: str, rng: random.Random
    ) -> None:
        self._directory = directory
        self._data_centre = data_centre
        self._rng = rng
        self._stats_by_node: dict[str, _GateStats] = {}
        #: Moving failure ratios of the gates of other data centres, by service.
        self._remote_failures: dict[str, _FailureRatio] = {}
        #: Rate limits that upstreams named, in requests per second.
        self._rate_limits: dict[UpstreamProcess, float] = {}

    def select_gate(
        self, service: str, route: Route, excluded: frozenset[str], now: float
    ) -> GateEntry | None:
        """Return the gate for a call; None when no ready gate is left to try.

        :param service: service that is to run the call.
        :param route: the route of the call.
        :param excluded: nodes whose gates the call was offered to.
        :param now: monotonic time, in seconds.
        """
        ready_gates = self._directory.ready_gates(service)
        local_gates = self._directory.ready_gates_in(service, self._data_centre)
        local_gate = self._healthy_local_gate(
            service, local_gates, route, excluded, now
        )
        if local_gate is not None:
            return local_gate
        untried = [entry for entry in ready_gates if entry.node not in excluded]
        reachable = [e for e in untried if self._stats(e).ejection_ends_at <= now]
        candidates = reachable or untried
        if not candidates:
            return None
        if len(candidates) == 1:
            return candidates[0]
        return self._cheapest(self._sample(candidates), route, now)

    def select_gate_among(
        self, service: str, route: Route, nodes: frozenset[str], now: float
    ) -> GateEntry | None:
        """Return the best gate among given nodes; None when no such gate is available.

        :param service: service that is to run the call.
        :param route: the route of the call.
        :param nodes: names of the nodes.
        :param now: monotonic time, in seconds.
        """
        candidates = [
            entry
            for entry in self._directory.ready_gates(service)
            if entry.node in nodes and self._stats(entry).ejection_ends_at <= now
        ]
        return self._cheapest(candidates, route, now) if candidates else None

    def record_attempt_start(self, entry: GateEntry) -> None:
        """Record the start of an attempt, which counts as open until its end.

        :param entry: the gate.
        """
        self._stats(entry).n_open += 1

    def record_attempt_end(
        self,
        entry: GateEntry,
        result: AttemptResult,
        report: GateReport | None,
        now: float,
    ) -> None:
        """Record the end of an attempt, except its latency.

        :param entry: the gate.
        :param result: what the attempt shows about the gate.
        :param report: the gate's report; None when none was received.
        :param now: monotonic time, in seconds.
        """
        stats = self._stats(entry)
        stats.n_open = max(0, stats.n_open - 1)
        if report is not None:
            stats.n_reported = report.n_running + report.n_waiting
            stats.n_open_at_report = stats.n_open
            stats.limit = report.limit
            stats.reported_at = now
            if report.instance == entry.instance:
                self._record_rate_limit(entry.process, report.rate_limit)
                if report.is_leaving:
                    self._directory.record_leaving(entry.process)
        if result is AttemptResult.UNREACHABLE:
            if stats.unreachable_since is None:
                stats.unreachable_since = now
            if stats.ejection_ends_at <= now:
                stats.ejection_ends_at = (
                    now + stats.next_ejection_s * self._rng.uniform(0.7, 1.3)
                )
                stats.next_ejection_s = min(EJECTION_MAX_S, 2.0 * stats.next_ejection_s)
            return
        if result is AttemptResult.CLOSED:
            stats.ejection_ends_at = now + CLOSED_EJECTION_S
        if result is not AttemptResult.NOTHING:
            stats.next_ejection_s = EJECTION_MIN_S
            stats.unreachable_since = None
        if result in (AttemptResult.GOOD, AttemptResult.FAILED):
            failed = result is AttemptResult.FAILED
            stats.failures.record(failed, now)
            if entry.data_centre != self._data_centre:
                remote = self._remote_failures.setdefault(
                    entry.service, _FailureRatio()
                )
                remote.record(failed, now)

    def record_answer_latency(
        self, entry: GateEntry, route: Route, latency_s: float, now: float
    ) -> None:
        """Record the latency of an answer without an error.

        :param entry: the gate.
        :param route: the route of the call.
        :param latency_s: the latency, in seconds.
        :param now: monotonic time, in seconds.
        """
        self._stats(entry).record_latency(route.name, latency_s, now)

    def rate_limit(self, entry: GateEntry) -> float | None:
        """Return the rate limit that a gate reported for its present upstream.

        :param entry: the gate.
        :return: requests per second; None when the upstream named no limit.
        """
        return self._rate_limits.get(entry.process) if self._rate_limits else None

    def unreachable_duration_s(self, node: str, now: float) -> float:
        """Return how long a node's gate has been unreachable, in seconds.

        :param node: name of the node.
        :param now: monotonic time, in seconds.
        :return: 0 when the gate is reachable or unknown.
        """
        stats = self._stats_by_node.get(node)
        since = stats.unreachable_since if stats is not None else None
        return now - since if since is not None else 0.0

    def remove_node(self, node: str) -> None:
        """Remove the statistics of a node that has left.

        :param node: name of the node.
        """
        self._stats_by_node.pop(node, None)

    def _healthy_local_gate(
        self,
        service: str,
        local_gates: Sequence[GateEntry],
        route: Route,
        excluded: frozenset[str],
        now: float,
    ) -> GateEntry | None:
        """Return the least occupied healthy local gate that has room, if any.

        This handles the usual case without comparing gates of other data centres. A
        gate is healthy if it fails no more often than the gates of other data centres
        did recently: when a whole service fails, calls elsewhere would fail as often.
        """
        best, best_occupancy = None, SPILLOVER_OCCUPANCY
        max_failure_ratio = HEALTHY_FAILURE_RATIO
        remote = self._remote_failures.get(service)
        if remote is not None:
            remote_ratio = remote.decayed(now)
            if remote_ratio > HEALTHY_FAILURE_RATIO:
                max_failure_ratio = remote_ratio + FAILURE_RATIO_NOISE
        for entry in local_gates:
            if entry.node in excluded:
                continue
            stats = self._stats(entry)
            if stats.ejection_ends_at > now:
                continue
            if stats.failures.exceeds(max_failure_ratio, now):
                continue
            if stats.slowness(route, now) > 0.0:
                continue
            occupancy = stats.occupancy(entry.slots, now)
            if occupancy < best_occupancy:
                best, best_occupancy = entry, occupancy
        return best

    def _record_rate_limit(
        self, process: UpstreamProcess, rate_per_s: float | None
    ) -> None:
        if rate_per_s is not None:
            self._rate_limits[process] = rate_per_s
            if len(self._rate_limits) > MAX_RATE_LIMITS:
                del self._rate_limits[next(iter(self._rate_limits))]
        elif self._rate_limits:
            self._rate_limits.pop(process, None)

    def _stats(self, entry: GateEntry) -> _GateStats:
        stats = self._stats_by_node.get(entry.node)
        if stats is None:
            stats = self._stats_by_node[entry.node] = _GateStats()
        return stats

    def _sample(self, candidates: Sequence[GateEntry]) -> Sequence[GateEntry]:
        """Return a bounded sample of the candidates that favours local gates."""
        if len(candidates) <= MAX_COMPARED_GATES:
            return candidates
        local = [e for e in candidates if e.data_centre == self._data_centre]
        remote = [e for e in candidates if e.data_centre != self._data_centre]
        n_local = min(len(local), MAX_COMPARED_GATES // 2)
        n_remote = min(len(remote), MAX_COMPARED_GATES - n_local)
        return self._rng.sample(local, n_local) + self._rng.sample(remote, n_remote)

    def _cheapest(
        self, candidates: Sequence[GateEntry], route: Route, now: float
    ) -> GateEntry:
        """Return the candidate with the lowest cost, which is measured as occupancy."""
        min_failure_ratio = min(
            self._stats(entry).failures.decayed(now) for entry in candidates
        )
        best, best_cost = candidates[0], float("inf")
        for entry in candidates:
            stats = self._stats(entry)
            excess = stats.failures.decayed(now) - min_failure_ratio
            cost = (
                stats.occupancy(entry.slots, now) + FAILURE_OCCUPANCY_PENALTY * excess
            )
            cost += SLOWNESS_OCCUPANCY_PENALTY * stats.slowness(route, now)
            if entry.data_centre == self._data_centre:
                if cost <= SPILLOVER_OCCUPANCY:
                    # A local gate with room precedes all remote gates.
                    cost -= LOCAL_OCCUPANCY_BONUS
                cost -= REMOTE_OCCUPANCY_PENALTY
            cost += self._rng.random() * 0.001
            if cost < best_cost:
                best, best_cost = entry, cost
        return best
