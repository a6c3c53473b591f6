"""Choice of the upstream for a call, from this node's own observations."""

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
MAX_KNOWN_NODES = 10_000
#: Candidates looked at for one pick, of a service with very many upstreams.
MAX_CANDIDATES = 16


@dataclass(frozen=True, slots=True)
class RoutingPolicy:
    """Proportions of the routing rules."""

    #: Whether calls go to another data centre when the own one is full.
    spills: bool = True
    #: Share of its slots that another data centre keeps for its own calls.
    spill_reserve_share: float = 0.1
    #: Least time left for a call to go to another data centre, in seconds.
    spill_min_left_s: float = 0.02
    #: Chance to try another data centre whose load is unknown.
    spill_unknown_share: float = 0.2


class _KnownNode:
    """What this node has learnt of another one."""

    def __init__(self) -> None:
        self.health = NodeHealth()
        self.load: GateLoad | None = None
        self.load_at = 0.0
        #: Calls sent since the last answer.
        self.n_unanswered = 0

    def fresh_load(self, now: float) -> GateLoad | None:
        """Return the load, None when it was never heard or is too old."""
        return None if now - self.load_at > LOAD_TTL_S else self.load

    def cost(self, now: float) -> float:
        """Return the expected crowding of a call that goes there now."""
        load = self.fresh_load(now)
        if load is None:
            return 0.0
        return load.occupancy + self.n_unanswered / max(1, load.limit)


@dataclass(frozen=True, slots=True)
class _Split:
    """Providers of a service by data centre, for one snapshot of the view."""

    #: The snapshot.
    providers: tuple[Member, ...]
    #: Those of this node's data centre.
    local: tuple[Member, ...]
    #: All others.
    remote: tuple[Member, ...]


class UpstreamPicker:
    """Picks the node beside an upstream that a call goes to.

    :param view: the membership view.
    :param node_id: this node.
    :param data_centre: this node's data centre.
    :param rng: source of the random choices.
    :param clock: monotonic clock, in seconds.
    :param policy: proportions of the rules.
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
        self._nodes: dict[str, _KnownNode] = {}
        self._splits: dict[str, _Split] = {}

    def pick(
        self,
        service: str,
        rank: Rank,
        excluded: frozenset[str],
        time_left_s: float,
    ) -> Member | None:
        """Pick a node for a call.

        :param service: the service called.
        :param rank: rank of the request.
        :param excluded: nodes that refused this call already.
        :param time_left_s: seconds until the request's deadline.
        :return: the node, or None when no candidate is left.
        """
        now = self._clock()
        split = self._split(service)
        chosen = self._better_of_two(split.local, excluded, now)
        if chosen is None:
            chosen = self._better_of_two(split.remote, excluded, now)
        elif split.remote and self._is_full(chosen, rank, now):
            chosen = self._spill(split, rank, excluded, time_left_s, now) or chosen
        if chosen is None:
            chosen = self._least_bad(split.providers, excluded)
        if chosen is not None:
            self._known(chosen.node_id).n_unanswered += 1
        return chosen

    def observe(self, node_id: str, load: GateLoad) -> None:
        """Take in the load that rode on an answer."""
        known = self._known(node_id)
        known.load = load
        known.load_at = self._clock()
        known.n_unanswered = 0

    def failed(self, node_id: str, kind: FailureKind) -> bool:
        """Take in a failed call.

        :return: whether the node is set aside by it.
        """
        known = self._known(node_id)
        known.n_unanswered = 0
        with self._lock:
            return known.health.count_failure(kind, self._clock())

    def succeeded(self, node_id: str, latency_s: float) -> None:
        """Take in a call that was answered whole."""
        known = self._known(node_id)
        known.n_unanswered = 0
        health = known.health
        if health.failure_ratio > 0.001 or not health.is_sound:
            with self._lock:
                health.count_success(self._clock())

    def _known(self, node_id: str) -> _KnownNode:
        known = self._nodes.get(node_id)
        if known is None:
            if len(self._nodes) >= MAX_KNOWN_NODES:
                # Mostly nodes that were replaced; the others are soon learnt anew.
                self._nodes.clear()
            known = self._nodes.setdefault(node_id, _KnownNode())
        return known

    def _split(self, service: str) -> _Split:
        providers = self._view.providers(service)
        split = self._splits.get(service)
        if split is None or split.providers is not providers:
            local = tuple(m for m in providers if m.data_centre == self._data_centre)
            remote = tuple(m for m in providers if m.data_centre != self._data_centre)
            split = _Split(providers, local, remote)
            self._splits[service] = split
        return split

    def _better_of_two(
        self, members: Sequence[Member], excluded: frozenset[str], now: float
    ) -> Member | None:
        usable = self._usable(members, excluded, now)
        if len(usable) < 2:
            return usable[0] if usable else None
        one, other = self._rng.sample(usable, 2)
        one_cost = self._known(one.node_id).cost(now)
        return one if one_cost <= self._known(other.node_id).cost(now) else other

    def _usable(
        self, members: Sequence[Member], excluded: frozenset[str], now: float
    ) -> list[Member]:
        """Return the candidates that nothing speaks against at present."""
        if len(members) > MAX_CANDIDATES:
            members = self._rng.sample(members, MAX_CANDIDATES)
        candidates = [m for m in members if m.node_id not in excluded]
        healths = [self._known(m.node_id).health for m in candidates]
        if all(health.is_sound for health in healths):
            return candidates
        mean_ratio = sum(h.failure_ratio for h in healths) / len(healths)
        usable = []
        for member, health in zip(candidates, healths, strict=True):
            if health.is_faulty_among(mean_ratio):
                with self._lock:
                    health.set_aside_faulty(now)
            share = health.share(now)
            if share >= 1.0 or self._rng.random() < share:
                usable.append(member)
        return usable

    def _least_bad(
        self, members: Sequence[Member], excluded: frozenset[str]
    ) -> Member | None:
        """Return the node that is let back first when all are set aside."""
        candidates = [m for m in members if m.node_id not in excluded]
        if not candidates:
            return None
        self._rng.shuffle(candidates)
        return min(candidates, key=lambda m: self._known(m.node_id).health.back_at)

    def _is_full(self, member: Member, rank: Rank, now: float) -> bool:
        load = self._known(member.node_id).fresh_load(now)
        if load is None or load.free > 0:
            return False
        refused = load.level is not None and not load.level.admits(rank)
        return refused or load.n_waiting > 0

    def _spill(
        self,
        split: _Split,
        rank: Rank,
        excluded: frozenset[str],
        time_left_s: float,
        now: float,
    ) -> Member | None:
        """Return a node of another data centre that has room for this class."""
        policy = self._policy
        if not policy.spills or time_left_s < policy.spill_min_left_s:
            return None
        member = self._better_of_two(split.remote, excluded, now)
        if member is None:
            return None
        load = self._known(member.node_id).fresh_load(now)
        if load is None:
            return member if self._rng.random() < policy.spill_unknown_share else None
        if load.level is not None:
            # That data centre is overloaded too; only ranks that it admits go.
            return member if load.level.admits(rank) else None
        reserve = load.limit * policy.spill_reserve_share
        return member if load.free > reserve else None
