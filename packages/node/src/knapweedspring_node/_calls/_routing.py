"""Choice of the node that a call is sent to, from this node's own observations."""

import random
import threading
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from knapweedspring_core import Member, MembershipView
from knapweedspring_node._calls._load import GateLoad
from knapweedspring_node._calls._node_health import FailureKind, NodeHealth
from knapweedspring_node._calls._rank import Rank

__all__ = ["FailureKind", "RoutingPolicy", "UpstreamPicker"]

LOAD_TTL_S = 1.0
MAX_OBSERVED_NODES = 10_000
#: Largest number of nodes considered in one pick; a random sample of a service's
#: nodes is taken when there are more.
MAX_CANDIDATES = 16


@dataclass(frozen=True, slots=True)
class RoutingPolicy:
    """Parameters of the routing rules."""

    #: Whether calls are sent to another data centre when the picked local gate is full.
    spills: bool = True
    #: Share of its limit that a gate in another data centre keeps free for the calls of
    #: its own data centre.
    spill_reserve_share: float = 0.1
    #: Least time left for a call to be sent to another data centre, in seconds.
    spill_min_left_s: float = 0.02
    #: Probability that a call is sent to another data centre when the picked local gate
    #: is full and the load of the gate picked there is unknown.
    spill_unknown_share: float = 0.2


class _ObservedNode:
    """Health and last gate load that this node observed of another node."""

    def __init__(self) -> None:
        self.health = NodeHealth()
        self.load: GateLoad | None = None
        self.load_at = 0.0
        #: Number of calls sent to the node since its last reply or failure.
        self.n_unanswered = 0

    def fresh_load(self, now: float) -> GateLoad | None:
        """Return the load, None when it was never received or is too old."""
        return None if now - self.load_at > LOAD_TTL_S else self.load

    def cost(self, now: float) -> float:
        """Return the expected occupancy of the gate; 0 when its load is not known."""
        load = self.fresh_load(now)
        if load is None:
            return 0.0
        return load.occupancy + self.n_unanswered / max(1, load.limit)


@dataclass(frozen=True, slots=True)
class _ProvidersByDataCentre:
    """Providers of a service by data centre, for one state of the membership view."""

    #: All providers in that state.
    providers: tuple[Member, ...]
    #: Providers in this node's data centre.
    local: tuple[Member, ...]
    #: Providers in other data centres.
    remote: tuple[Member, ...]


class UpstreamPicker:
    """Picks the node, and with it the upstream, that a call is sent to.

    :param view: the membership view.
    :param node_id: id of this node.
    :param data_centre: this node's data centre.
    :param rng: source of the random choices.
    :param clock: monotonic clock, in seconds.
    :param policy: parameters of the routing rules.
    """

    def __init__(
        self,
        view: MembershipView,
        node_id: str,
        data_centre: str,
        rng: random.Random | None = None,
        clock: Callable[[], float] = time.monotonic,
        policy: RoutingPolicy | None = None,
    ) -> None:
        self._view = view
        self._node_id = node_id
        self._data_centre = data_centre
        self._rng = rng or random.Random()
        self._clock = clock
        self._policy = policy or RoutingPolicy()
        self._lock = threading.Lock()
        self._nodes: dict[str, _ObservedNode] = {}
        self._providers_by_service: dict[str, _ProvidersByDataCentre] = {}

    def pick(
        self,
        service: str,
        rank: Rank,
        excluded: frozenset[str],
        time_left_s: float,
    ) -> Member | None:
        """Pick a node for a call.

        :param service: service that is called.
        :param rank: rank of the request.
        :param excluded: nodes that this call was already sent to.
        :param time_left_s: seconds until the request's deadline.
        :return: the node, or None when every node of the service is excluded.
        """
        now = self._clock()
        by_data_centre = self._split_by_data_centre(service)
        chosen = self._less_loaded_of_two(by_data_centre.local, excluded, now)
        if chosen is None:
            chosen = self._less_loaded_of_two(by_data_centre.remote, excluded, now)
        elif by_data_centre.remote and self._is_full(chosen, rank, now):
            chosen = (
                self._pick_for_spill(by_data_centre, rank, excluded, time_left_s, now)
                or chosen
            )
        if chosen is None:
            chosen = self._first_readmitted(by_data_centre.providers, excluded)
        if chosen is not None:
            self._node(chosen.node_id).n_unanswered += 1
        return chosen

    def record_load(self, node_id: str, load: GateLoad) -> None:
        """Record the gate load that a reply carries.

        :param node_id: node of the gate.
        :param load: gate load that the reply carries.
        """
        node = self._node(node_id)
        node.load = load
        node.load_at = self._clock()
        node.n_unanswered = 0

    def record_failure(self, node_id: str, kind: FailureKind) -> bool:
        """Record a failed call.

        :param node_id: node that the call was sent to.
        :param kind: how the call failed.
        :return: whether the failure ejected the node.
        """
        node = self._node(node_id)
        node.n_unanswered = 0
        with self._lock:
            return node.health.count_failure(kind, self._clock())

    def record_success(self, node_id: str, latency_s: float) -> None:
        """Record a call with a complete answer.

        :param node_id: node that the call was sent to.
        :param latency_s: time from the send to the answer, in seconds.
        """
        node = self._node(node_id)
        node.n_unanswered = 0
        health = node.health
        # A success changes almost nothing at a healthy node, so the lock is not taken.
        if health.failure_ratio > 0.001 or not health.is_healthy:
            with self._lock:
                health.count_success(self._clock())

    def _node(self, node_id: str) -> _ObservedNode:
        node = self._nodes.get(node_id)
        if node is None:
            if len(self._nodes) >= MAX_OBSERVED_NODES:
                # Most entries are of replaced nodes; the rest is soon observed again.
                self._nodes.clear()
            node = self._nodes.setdefault(node_id, _ObservedNode())
        return node

    def _split_by_data_centre(self, service: str) -> _ProvidersByDataCentre:
        providers = self._view.providers(service)
        by_data_centre = self._providers_by_service.get(service)
        if by_data_centre is None or by_data_centre.providers is not providers:
            local = tuple(m for m in providers if m.data_centre == self._data_centre)
            remote = tuple(m for m in providers if m.data_centre != self._data_centre)
            by_data_centre = _ProvidersByDataCentre(providers, local, remote)
            self._providers_by_service[service] = by_data_centre
        return by_data_centre

    def _less_loaded_of_two(
        self, members: Sequence[Member], excluded: frozenset[str], now: float
    ) -> Member | None:
        usable = self._usable(members, excluded, now)
        if len(usable) < 2:
            return usable[0] if usable else None
        first, second = self._rng.sample(usable, 2)
        first_cost = self._node(first.node_id).cost(now)
        return first if first_cost <= self._node(second.node_id).cost(now) else second

    def _usable(
        self, members: Sequence[Member], excluded: frozenset[str], now: float
    ) -> list[Member]:
        """Return the members that may be picked for this call.

        A readmitted member is included with the probability of its traffic share.
        Ejects candidates that fail far more often than their peers.
        """
        if len(members) > MAX_CANDIDATES:
            members = self._rng.sample(members, MAX_CANDIDATES)
        candidates = [m for m in members if m.node_id not in excluded]
        healths = [self._node(m.node_id).health for m in candidates]
        if all(health.is_healthy for health in healths):
            return candidates
        mean_ratio = sum(h.failure_ratio for h in healths) / len(healths)
        usable = []
        for member, health in zip(candidates, healths, strict=True):
            if health.fails_more_than_peers(mean_ratio):
                with self._lock:
                    health.eject_for_failure_ratio(now)
            share = health.traffic_share(now)
            if share >= 1.0 or self._rng.random() < share:
                usable.append(member)
        return usable

    def _first_readmitted(
        self, members: Sequence[Member], excluded: frozenset[str]
    ) -> Member | None:
        """Return the member whose ejection ends first, for when no member is usable."""
        candidates = [m for m in members if m.node_id not in excluded]
        if not candidates:
            return None
        self._rng.shuffle(candidates)
        return min(
            candidates,
            key=lambda m: self._node(m.node_id).health.ejection_ends_at,
        )

    def _is_full(self, member: Member, rank: Rank, now: float) -> bool:
        load = self._node(member.node_id).fresh_load(now)
        if load is None or load.free > 0:
            return False
        refused = load.level is not None and not load.level.admits(rank)
        return refused or load.n_waiting > 0

    def _pick_for_spill(
        self,
        by_data_centre: _ProvidersByDataCentre,
        rank: Rank,
        excluded: frozenset[str],
        time_left_s: float,
        now: float,
    ) -> Member | None:
        """Pick a node of another data centre that has room for a call of this rank.

        :return: the node, or None when the call is not to leave its data centre.
        """
        policy = self._policy
        if not policy.spills or time_left_s < policy.spill_min_left_s:
            return None
        member = self._less_loaded_of_two(by_data_centre.remote, excluded, now)
        if member is None:
            return None
        load = self._node(member.node_id).fresh_load(now)
        if load is None:
            return member if self._rng.random() < policy.spill_unknown_share else None
        if load.level is not None:
            # That gate is overloaded too, so only ranks that it admits are sent there.
            return member if load.level.admits(rank) else None
        reserve = load.limit * policy.spill_reserve_share
        return member if load.free > reserve else None
