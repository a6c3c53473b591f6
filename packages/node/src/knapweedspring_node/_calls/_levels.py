"""Early refusal at the entry, from the admission levels of deeper gates."""

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
EXPLORE_SHARE = 0.02
RETRY_AFTER_S = 0.5
MAX_SERVICES = 256
MAX_ROUTES = 1_024
MAX_DEEPER = 8
#: Share of a service's calls that must reach a deeper one for its level to count.
REACHED_SHARE = 0.5
#: Answers after which older ones count half.
MAX_ANSWERS = 64

_NAME = re.compile(r"[A-Za-z0-9._-]{1,64}\Z")


@dataclass(frozen=True, slots=True)
class _Sighting:
    """What was said last of the level of a gate or a service."""

    #: The level; None when every rank is admitted.
    level: Level | None
    #: When it is to be forgotten, on the monotonic clock.
    expires_at: float


@dataclass(frozen=True, slots=True)
class _RouteKey:
    """Calls that the learned call graph tells apart."""

    #: Service that is called.
    service: str
    #: Class of the whole request.
    class_name: str


class _Route:
    """Deeper services that calls of one service and class were seen to reach."""

    def __init__(self) -> None:
        self._n_answers = 0.0
        self._n_reached: dict[str, float] = {}
        self._sightings: dict[str, _Sighting] = {}

    def count_answer(self) -> None:
        """Count an answer, before the levels that it carries."""
        self._n_answers += 1.0
        if self._n_answers > MAX_ANSWERS:
            self._n_answers /= 2.0
            for service in self._n_reached:
                self._n_reached[service] /= 2.0

    def sight(self, service: str, level: Level, now: float) -> None:
        """Take in the level of a deeper service."""
        if service not in self._n_reached and len(self._n_reached) >= MAX_DEEPER:
            return
        self._n_reached[service] = self._n_reached.get(service, 0.0) + 1.0
        self._sightings[service] = _Sighting(level, now + LEVEL_TTL_S)

    def levels(self, now: float) -> dict[str, Level]:
        """Return the levels in force of the services that most calls reach."""
        found = {}
        for service, sighting in list(self._sightings.items()):
            reached = self._n_reached[service] >= REACHED_SHARE * self._n_answers
            if reached and sighting.expires_at > now and sighting.level is not None:
                found[service] = sighting.level
        return found


class LevelTable:
    """Admission levels of the gates that this node's calls have met.

    An answer carries the level of its gate, and those of the services that its
    call reached in turn. A request is refused at the entry when a service on its
    way would refuse it.

    :param rng: decides which doomed requests go on to explore.
    """

    def __init__(self, rng: random.Random | None = None) -> None:
        self._lock = threading.Lock()
        self._rng = rng or random.Random()
        self._gates: dict[str, dict[str, _Sighting]] = {}
        self._routes: dict[_RouteKey, _Route] = {}
        self._quiet_after = 0.0
        self._passthrough = False

    def set_passthrough(self, passthrough: bool) -> None:
        """Switch early refusal off."""
        self._passthrough = passthrough

    def observe(self, service: str, node: str, level: Level | None, now: float) -> None:
        """Take in the level that rode on an answer.

        :param service: service of the answering gate.
        :param node: node of the gate.
        :param level: its level; None when it admits every rank.
        :param now: monotonic time, in seconds.
        """
        if level is None and now >= self._quiet_after:
            return
        with self._lock:
            if service not in self._gates and len(self._gates) >= MAX_SERVICES:
                self._gates.clear()
            gates = self._gates.setdefault(service, {})
            if level is None and not gates:
                return
            gates[node] = _Sighting(level, now + LEVEL_TTL_S)
            if level is not None:
                self._quiet_after = now + LEVEL_TTL_S

    def take_in(self, service: str, class_name: str, text: str, now: float) -> None:
        """Take in the deeper levels that rode on an answer; see :meth:`carried`.

        :param service: service of the answering gate.
        :param class_name: class of the whole request.
        :param text: value of the ``Kws-Load`` header.
        :param now: monotonic time, in seconds.
        """
        parts = text.split(";", MAX_DEEPER + 1)[1:]
        key = _RouteKey(service, class_name)
        if not parts and key not in self._routes:
            return
        with self._lock:
            if key not in self._routes and len(self._routes) >= MAX_ROUTES:
                self._routes.clear()
            route = self._routes.setdefault(key, _Route())
            route.count_answer()
            for part in parts[:MAX_DEEPER]:
                deeper, _, level_text = part.partition("=")
                level = parse_level(level_text)
                if level is not None and _NAME.match(deeper):
                    route.sight(deeper, level, now)
                    self._quiet_after = now + LEVEL_TTL_S

    def carried(self, children: Iterable[str], class_name: str, now: float) -> str:
        """Return what an answer adds to its load: the levels that its call met.

        :param children: services that the upstream called for the request.
        :param class_name: class of the whole request.
        :param now: monotonic time, in seconds.
        :return: text to append to :meth:`GateLoad.to_header`; mostly empty.
        """
        if now >= self._quiet_after:
            return ""
        with self._lock:
            levels: dict[str, Level] = {}
            for child in children:
                levels.update(self._levels_on_the_way(child, class_name, now))
        named = [name for name in sorted(levels) if _NAME.match(name)][:MAX_DEEPER]
        return "".join(f";{name}={format_level(levels[name])}" for name in named)

    def refuses(
        self, service: str, rank: Rank, now: float, class_name: str = ""
    ) -> Refusal | None:
        """Tell whether a new request would be refused on its way.

        :param service: the service that the request enters by.
        :param rank: rank of the request.
        :param now: monotonic time, in seconds.
        :param class_name: request class, for the learned call graph.
        :return: the ``not-run`` refusal, or None when it may go on.
        """
        if self._passthrough or now >= self._quiet_after:
            return None
        with self._lock:
            levels = self._levels_on_the_way(service, class_name, now)
        for name, level in levels.items():
            there = rank if name == service else replace(rank, started=True)
            if not level.admits(there):
                return self._refusal(name)
        return None

    def _levels_on_the_way(
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
        """Return the lowest level among the service's gates seen lately."""
        gates = self._gates.get(service)
        if not gates:
            return None
        fresh = [seen.level for seen in gates.values() if seen.expires_at > now]
        if len(fresh) < len(gates):
            for node in [n for n, seen in gates.items() if seen.expires_at <= now]:
                del gates[node]
        levels = [level for level in fresh if level is not None]
        if not levels or len(levels) < len(fresh):
            return None
        return min(levels)

    def _refusal(self, service: str) -> Refusal | None:
        if self._rng.random() < EXPLORE_SHARE:
            return None
        retry_after_ms = round(RETRY_AFTER_S * self._rng.uniform(0.5, 1.5) * 1_000)
        detail = f"{service} admits only requests of higher rank at present"
        return Refusal(Outcome.NOT_RUN, Reason.OVERLOADED, retry_after_ms, detail)
