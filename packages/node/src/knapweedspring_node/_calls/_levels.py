"""Early refusal of requests, based on the admission levels of gates on their path.

A deeper service is a service further down the call chain: an upstream of the called
service calls it, directly or through other services.
"""

import random
import re
import threading
from collections.abc import Iterable
from dataclasses import dataclass, replace

from knapweedspring_core import Outcome, Reason, Refusal
from knapweedspring_node._calls._load import format_level, parse_level
from knapweedspring_node._calls._rank import Level, Rank

__all__ = ["LevelTable"]

LEVEL_TTL_S = 1.0
#: Share of the requests below a level that proceed nevertheless, so that their replies
#: carry current levels.
EXPLORE_SHARE = 0.02
RETRY_AFTER_S = 0.5
MAX_SERVICES = 256
MAX_ROUTES = 1_024
MAX_DEEPER_SERVICES = 8
#: The level of a deeper service applies when at least this share of the replies to
#: calls of a service and class carry it.
REACHED_SHARE = 0.5
#: Number of replies above which all counts are halved, so that older replies weigh
#: less.
MAX_COUNTED_REPLIES = 64

_NAME = re.compile(r"[A-Za-z0-9._-]{1,64}\Z")


@dataclass(frozen=True, slots=True)
class _ObservedLevel:
    """Level last reported for a gate or a service."""

    #: The level; None when every rank is admitted.
    level: Level | None
    #: When the observation expires, on the monotonic clock, in seconds.
    expires_at: float


@dataclass(frozen=True, slots=True)
class _RouteKey:
    """Key of the learned call graph: service and request class."""

    #: Service that is called.
    service: str
    #: Class of the root request.
    class_name: str


class _Route:
    """Deeper services that calls of one service and request class reach."""

    def __init__(self) -> None:
        self._n_replies = 0.0
        self._n_reached: dict[str, float] = {}
        self._observed_levels: dict[str, _ObservedLevel] = {}

    def count_reply(self) -> None:
        """Count a reply; call this before recording the levels that it carries."""
        self._n_replies += 1.0
        if self._n_replies > MAX_COUNTED_REPLIES:
            self._n_replies /= 2.0
            for service in self._n_reached:
                self._n_reached[service] /= 2.0

    def record_level(self, service: str, level: Level, now: float) -> None:
        """Record the level of a deeper service that a reply carries.

        :param service: the deeper service.
        :param level: admission level of the deeper service.
        :param now: monotonic time, in seconds.
        """
        if (
            service not in self._n_reached
            and len(self._n_reached) >= MAX_DEEPER_SERVICES
        ):
            return
        self._n_reached[service] = self._n_reached.get(service, 0.0) + 1.0
        self._observed_levels[service] = _ObservedLevel(level, now + LEVEL_TTL_S)

    def levels(self, now: float) -> dict[str, Level]:
        """Return the unexpired levels of the deeper services that most calls reach."""
        current_levels = {}
        for service, observed in list(self._observed_levels.items()):
            reached = self._n_reached[service] >= REACHED_SHARE * self._n_replies
            if reached and observed.expires_at > now and observed.level is not None:
                current_levels[service] = observed.level
        return current_levels


class LevelTable:
    """Admission levels of the gates that this node's calls reach.

    The reply of a gate carries its level and the levels of the deeper services that
    the call reached. The entry side refuses a request when a service on its path
    would refuse it.

    :param rng: source of the jitter of ``Retry-After`` and of the choice of the
        requests that proceed below a level.
    """

    def __init__(self, rng: random.Random | None = None) -> None:
        self._lock = threading.Lock()
        self._rng = rng or random.Random()
        self._gates: dict[str, dict[str, _ObservedLevel]] = {}
        self._routes: dict[_RouteKey, _Route] = {}
        # After this time every level has expired, so that look-ups need no lock.
        self._all_expired_at = 0.0
        self._passthrough = False

    def set_passthrough(self, passthrough: bool) -> None:
        """Switch early refusal off or on.

        :param passthrough: whether no request is refused early.
        """
        self._passthrough = passthrough

    def record_gate_level(
        self, service: str, node: str, level: Level | None, now: float
    ) -> None:
        """Record the gate's level that a reply carries.

        :param service: service of the replying gate.
        :param node: node of the gate.
        :param level: level of the gate; None when it admits every rank.
        :param now: monotonic time, in seconds.
        """
        if level is None and now >= self._all_expired_at:
            return
        with self._lock:
            if service not in self._gates and len(self._gates) >= MAX_SERVICES:
                self._gates.clear()
            gates = self._gates.setdefault(service, {})
            if level is None and not gates:
                return
            gates[node] = _ObservedLevel(level, now + LEVEL_TTL_S)
            if level is not None:
                self._all_expired_at = now + LEVEL_TTL_S

    def record_deeper_levels(
        self, service: str, class_name: str, text: str, now: float
    ) -> None:
        """Record the levels of deeper services that a reply carries.

        The replying node writes them with :meth:`format_deeper_levels`.

        :param service: service of the replying gate.
        :param class_name: class of the root request.
        :param text: value of the ``Kws-Load`` header.
        :param now: monotonic time, in seconds.
        """
        parts = text.split(";", MAX_DEEPER_SERVICES + 1)[1:]
        key = _RouteKey(service, class_name)
        if not parts and key not in self._routes:
            return
        with self._lock:
            if key not in self._routes and len(self._routes) >= MAX_ROUTES:
                self._routes.clear()
            route = self._routes.setdefault(key, _Route())
            route.count_reply()
            for part in parts[:MAX_DEEPER_SERVICES]:
                deeper, _, level_text = part.partition("=")
                level = parse_level(level_text)
                if level is not None and _NAME.match(deeper):
                    route.record_level(deeper, level, now)
                    self._all_expired_at = now + LEVEL_TTL_S

    def format_deeper_levels(
        self, children: Iterable[str], class_name: str, now: float
    ) -> str:
        """Return the levels of deeper services as header text, appended to a gate load.

        :param children: services that the upstream called for the request.
        :param class_name: class of the root request.
        :param now: monotonic time, in seconds.
        :return: text to append to :meth:`GateLoad.to_header`; empty when no level is
            known.
        """
        if now >= self._all_expired_at:
            return ""
        with self._lock:
            levels: dict[str, Level] = {}
            for child in children:
                levels.update(self._levels_along_path(child, class_name, now))
        valid_names = [name for name in sorted(levels) if _NAME.match(name)][
            :MAX_DEEPER_SERVICES
        ]
        return "".join(f";{name}={format_level(levels[name])}" for name in valid_names)

    def check_refusal(
        self, service: str, rank: Rank, now: float, class_name: str = ""
    ) -> Refusal | None:
        """Return a refusal when a service on the path of a new request would refuse it.

        :param service: first service that the request calls.
        :param rank: rank of the request.
        :param now: monotonic time, in seconds.
        :param class_name: request class, for the learned call graph.
        :return: the ``not-run`` refusal, or None when the request may proceed.
        """
        if self._passthrough or now >= self._all_expired_at:
            return None
        with self._lock:
            levels = self._levels_along_path(service, class_name, now)
        for name, level in levels.items():
            rank_at_service = rank if name == service else replace(rank, started=True)
            if not level.admits(rank_at_service):
                return self._refuse_unless_exploring(name)
        return None

    def _levels_along_path(
        self, service: str, class_name: str, now: float
    ) -> dict[str, Level]:
        levels = {}
        own = self._level_of(service, now)
        if own is not None:
            levels[service] = own
        route = self._routes.get(_RouteKey(service, class_name))
        if route is not None:
            levels.update(route.levels(now))
        return levels

    def _level_of(self, service: str, now: float) -> Level | None:
        """Return the lowest unexpired level among the gates of a service.

        :return: the level; None when no level is known or at least one gate
            admits every rank.
        """
        gates = self._gates.get(service)
        if not gates:
            return None
        fresh = [
            observed.level for observed in gates.values() if observed.expires_at > now
        ]
        if len(fresh) < len(gates):
            for node in [
                n for n, observed in gates.items() if observed.expires_at <= now
            ]:
                del gates[node]
        levels = [level for level in fresh if level is not None]
        if not levels or len(levels) < len(fresh):
            return None
        return min(levels)

    def _refuse_unless_exploring(self, service: str) -> Refusal | None:
        """Return a refusal, or None for the random share that proceeds nevertheless."""
        if self._rng.random() < EXPLORE_SHARE:
            return None
        retry_after_ms = round(RETRY_AFTER_S * self._rng.uniform(0.5, 1.5) * 1_000)
        detail = f"{service} admits only requests of higher rank at present"
        return Refusal(Outcome.NOT_RUN, Reason.OVERLOADED, retry_after_ms, detail)
