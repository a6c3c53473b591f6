"""Choice of the upstream for a call, from this node's own observations."""

import random
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from knapweedspring_core import Member, MembershipView
from knapweedspring_node._calls._load import GateLoad
from knapweedspring_node._calls._rank import Rank

__all__ = ["FailureKind", "UpstreamPicker"]

LOAD_TTL_S = 1.0
N_FAILURES_TO_SET_ASIDE = 3
SET_ASIDE_S = 0.5


class FailureKind(StrEnum):
    """How a call to a node failed."""

    CONNECT = "connect"
    BROKE_OFF = "broke-off"
    TIMEOUT = "timeout"
    ERROR = "error"


@dataclass(frozen=True, slots=True)
class _SeenLoad:
    """A gate's load and when it was heard."""

    #: What the gate said.
    load: GateLoad
    #: Monotonic time, in seconds.
    at: float


class UpstreamPicker:
    """Picks the node beside an upstream that a call goes to.

    :param view: the membership view.
    :param node_id: this node.
    :param data_centre: this node's data centre.
    :param rng: source of the random choices.
    :param clock: monotonic clock, in seconds.
    """

    def __init__(
        self,
        view: MembershipView,
        node_id: str,
        data_centre: str,
        rng: random.Random | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._view = view
        self._node_id = node_id
        self._data_centre = data_centre
        self._rng = rng or random.Random()
        self._clock = clock
        self._lock = threading.Lock()
        self._loads: dict[str, _SeenLoad] = {}
        self._n_failures: dict[str, int] = {}
        self._set_aside_until: dict[str, float] = {}

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
        candidates = [
            member
            for member in self._view.providers(service)
            if member.node_id not in excluded
        ]
        usable = [member for member in candidates if self._is_usable(member, now)]
        usable = usable or candidates
        local = [member for member in usable if member.data_centre == self._data_centre]
        return self._better_of_two(local or usable, now)

    def observe(self, node_id: str, load: GateLoad) -> None:
        """Take in the load that rode on an answer."""
        self._loads[node_id] = _SeenLoad(load, self._clock())

    def failed(self, node_id: str, kind: FailureKind) -> None:
        """Take in a failed call."""
        with self._lock:
            n_failures = self._n_failures.get(node_id, 0) + 1
            self._n_failures[node_id] = n_failures
            if kind is FailureKind.CONNECT or n_failures >= N_FAILURES_TO_SET_ASIDE:
                self._set_aside_until[node_id] = self._clock() + SET_ASIDE_S

    def succeeded(self, node_id: str, latency_s: float) -> None:
        """Take in a call that was answered whole."""
        if self._n_failures.get(node_id):
            with self._lock:
                self._n_failures.pop(node_id, None)
                self._set_aside_until.pop(node_id, None)

    def _is_usable(self, member: Member, now: float) -> bool:
        return self._set_aside_until.get(member.node_id, 0.0) <= now

    def _better_of_two(self, members: list[Member], now: float) -> Member | None:
        if len(members) < 2:
            return members[0] if members else None
        one, other = self._rng.sample(members, 2)
        if self._occupancy(one, now) <= self._occupancy(other, now):
            return one
        return other

    def _occupancy(self, member: Member, now: float) -> float:
        seen = self._loads.get(member.node_id)
        if seen is None or now - seen.at > LOAD_TTL_S:
            return 0.0
        return seen.load.occupancy
