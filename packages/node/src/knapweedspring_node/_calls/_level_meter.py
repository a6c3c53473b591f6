"""Measures the lowest rank that a gate admits."""

from knapweedspring_node._calls._rank import DRAW_BITS, Level, Rank

__all__ = ["LevelMeter"]

WINDOW_S = 0.1
MIN_OFFERS = 20
#: A window with few offers stays open this long.
WINDOW_MAX_S = 0.5
#: Share of the offers that find no free slot while a gate still has room.
ROOMY_SHARE = 0.2
#: What earlier windows still count, so that a window without a finished call
#: does not look like an upstream without capacity.
KEPT_SHARE = 0.75
MIN_KEPT_S = 1e-4
MAX_FADES = 20.0
#: Classes are told apart at this fineness: 16 steps each.
DRAW_BITS_KEPT = 4

_DRAW_SHIFT = DRAW_BITS - DRAW_BITS_KEPT
_DRAW_STEP = 1 << _DRAW_SHIFT


class LevelMeter:
    """Compares what was offered with what was admitted, window by window.

    In a window with refusals the level is the rank that the admitted calls would
    reach down to if they had been the best of the offers. In a window without, it
    steps down, since the callers that know the level hold back; and it ends in a
    window in which nearly every call found a free slot.

    Calls are weighed by their work, the time that they hold a slot: counted by
    number, a few long calls of a low class would look like lost capacity and raise
    the level above the short calls of the class before it.

    Not thread-safe: the gate's lock guards it.
    """

    def __init__(self) -> None:
        self._level: Level | None = None
        self._opened_at = 0.0
        self._offers: dict[Level, float] = {}
        self._n_offers = 0
        self._admitted_s = 0.0
        self._n_blocked = 0
        self._n_refused = 0

    def level(self, now: float) -> Level | None:
        """Return the level, None when every rank is admitted."""
        self._roll(now)
        return self._level

    def count_offer(self, rank: Rank, work_s: float, now: float) -> None:
        """Count a call that asks to run.

        :param rank: its rank.
        :param work_s: time that it is expected to hold a slot.
        :param now: monotonic time, in seconds.
        """
        self._roll(now)
        draw = rank.draw >> _DRAW_SHIFT << _DRAW_SHIFT
        step = Level(rank.priority, rank.started, draw)
        self._offers[step] = self._offers.get(step, 0.0) + work_s
        self._n_offers += 1

    def count_blocked(self) -> None:
        """Count a call that found no free slot."""
        self._n_blocked += 1

    def count_admission(self, work_s: float) -> None:
        """Count a call that takes a slot."""
        self._admitted_s += work_s

    def count_refusal(self) -> None:
        """Count a call that was refused for want of capacity."""
        self._n_refused += 1

    def _roll(self, now: float) -> None:
        age_s = now - self._opened_at
        if age_s < WINDOW_S:
            return
        if self._n_offers < MIN_OFFERS and age_s < WINDOW_MAX_S:
            return
        if self._n_blocked <= ROOMY_SHARE * self._n_offers:
            self._level = None
        elif self._n_refused:
            self._level = self._level_of_admitted()
        elif self._level is not None:
            self._level = self._next_step_below(self._level)
        self._opened_at = now
        self._n_offers = 0
        self._n_blocked = 0
        self._n_refused = 0
        self._fade(KEPT_SHARE ** min(MAX_FADES, age_s / WINDOW_S))

    def _fade(self, kept_share: float) -> None:
        kept = {step: work_s * kept_share for step, work_s in self._offers.items()}
        self._offers = {s: work_s for s, work_s in kept.items() if work_s > MIN_KEPT_S}
        self._admitted_s *= kept_share

    def _level_of_admitted(self) -> Level | None:
        left_s = self._admitted_s
        for step in sorted(self._offers, reverse=True):
            left_s -= self._offers[step]
            if left_s < 0.0:
                return Level(step.priority, step.started, step.draw + _DRAW_STEP)
        return None

    def _next_step_below(self, level: Level) -> Level | None:
        """Open the level by one step among the ranks that are offered."""
        return max((step for step in self._offers if step < level), default=None)
