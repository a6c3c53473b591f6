"""Early refusal at the entry, from the admission levels of deeper gates."""

import random
import threading
from dataclasses import dataclass

from knapweedspring_core import Outcome, Reason, Refusal
from knapweedspring_node._calls._rank import Level, Rank

__all__ = ["LevelTable"]

LEVEL_TTL_S = 1.0
EXPLORE_SHARE = 0.02
RETRY_AFTER_S = 0.5


@dataclass(frozen=True, slots=True)
class _Sighting:
    """What one gate said last."""

    #: Its level; None when it admits every rank.
    level: Level | None
    #: When it is to be forgotten, on the monotonic clock.
    expires_at: float


class LevelTable:
    """Admission levels of the gates that this node's calls have met.

    :param rng: decides which doomed requests go on to explore.
    """

    def __init__(self, rng: random.Random | None = None) -> None:
        self._lock = threading.Lock()
        self._rng = rng or random.Random()
        self._sightings: dict[str, dict[str, _Sighting]] = {}
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
        sighting = _Sighting(level, now + LEVEL_TTL_S)
        with self._lock:
            self._sightings.setdefault(service, {})[node] = sighting

    def refuses(
        self, service: str, rank: Rank, now: float, class_name: str = ""
    ) -> Refusal | None:
        """Tell whether a new request would be refused deeper.

        :param service: the service that the request enters by.
        :param rank: rank of the request.
        :param now: monotonic time, in seconds.
        :param class_name: request class, for the learned call graph.
        :return: the ``not-run`` refusal, or None when it may go on.
        """
        if self._passthrough or not self._sightings:
            return None
        level = self._level_of(service, now)
        if level is None or level.admits(rank):
            return None
        if self._rng.random() < EXPLORE_SHARE:
            return None
        retry_after_ms = round(RETRY_AFTER_S * self._rng.uniform(0.5, 1.5) * 1_000)
        return Refusal(Outcome.NOT_RUN, Reason.OVERLOADED, retry_after_ms, service)

    def _level_of(self, service: str, now: float) -> Level | None:
        """Return the lowest level among the service's gates seen lately."""
        with self._lock:
            sightings = self._sightings.get(service, {})
            fresh = [seen.level for seen in sightings.values() if seen.expires_at > now]
        levels = [level for level in fresh if level is not None]
        if not levels or len(levels) < len(fresh):
            return None
        return min(levels)
