"""Measurement of a gate's admission level, the lowest rank that it admits."""

from knapweedspring_node._calls._rank import DRAW_BITS, Level, Rank

__all__ = ["LevelMeter"]

WINDOW_S = 0.1
MIN_OFFERS = 20
#: A window with fewer than ``MIN_OFFERS`` offers is extended up to this length.
WINDOW_MAX_S = 0.5
#: Largest share of offers without a free slot at which the gate is not overloaded.
BLOCKED_SHARE_MAX = 0.2
#: Factor by which the work counted so far is reduced for each ``WINDOW_S`` that passes.
#: Earlier windows keep some weight, so that a window without a finished call does not
#: look like an upstream without capacity.
WINDOW_DECAY_FACTOR = 0.75
#: Buckets with less offered work than this after the decay are removed.
DECAYED_WORK_MIN_S = 1e-4
#: Bound on the decay after a time without calls, in window lengths.
DECAY_EXPONENT_MAX = 20.0
#: Number of leading bits of the draw that select the bucket of a call: 16 buckets for
#: each priority, for started and for other requests.
DRAW_BITS_MEASURED = 4

_DRAW_SHIFT = DRAW_BITS - DRAW_BITS_MEASURED
_DRAW_BUCKET_WIDTH = 1 << _DRAW_SHIFT


class LevelMeter:
    """Compares offered with admitted work, window by window; used by the gate.

    After a window with refusals, the level is the lowest rank that would have been
    admitted if the same amount of work had been admitted in order of rank. After a
    window without refusals, the level falls by one bucket: nodes that received the
    level refuse calls below it early, so a level that is too high causes no refusals
    here. After a window in which nearly every call found a free slot, there is no
    level.

    Calls are weighted by their work, the time that they occupy a slot. With plain
    counts, a few long calls of a low class would look like lost capacity and raise
    the level above the short calls of the next higher class.

    Not thread-safe: the gate's lock guards it.
    """

    def __init__(self) -> None:
        self._level: Level | None = None
        self._window_started_at = 0.0
        self._offered_work_s: dict[Level, float] = {}
        self._n_offers = 0
        self._admitted_work_s = 0.0
        self._n_blocked = 0
        self._n_refused = 0

    def level(self, now: float) -> Level | None:
        """Return the level at a monotonic time in seconds.

        :return: the level; None when every rank is admitted.
        """
        self._close_window_if_due(now)
        return self._level

    def count_offer(self, rank: Rank, work_s: float, now: float) -> None:
        """Count a call that is offered to the gate.

        :param rank: rank of the call.
        :param work_s: expected time that the call occupies a slot, in seconds.
        :param now: monotonic time, in seconds.
        """
        self._close_window_if_due(now)
        draw = rank.draw >> _DRAW_SHIFT << _DRAW_SHIFT
        bucket = Level(rank.priority, rank.started, draw)
        self._offered_work_s[bucket] = self._offered_work_s.get(bucket, 0.0) + work_s
        self._n_offers += 1

    def count_blocked(self) -> None:
        """Count an offered call that found no free slot."""
        self._n_blocked += 1

    def count_admission(self, work_s: float) -> None:
        """Count an admitted call.

        :param work_s: expected time that the call occupies a slot, in seconds.
        """
        self._admitted_work_s += work_s

    def count_refusal(self) -> None:
        """Count a call that was refused for lack of capacity."""
        self._n_refused += 1

    def _close_window_if_due(self, now: float) -> None:
        age_s = now - self._window_started_at
        if age_s < WINDOW_S:
            return
        if self._n_offers < MIN_OFFERS and age_s < WINDOW_MAX_S:
            return
        if self._n_blocked <= BLOCKED_SHARE_MAX * self._n_offers:
            self._level = None
        elif self._n_refused:
            self._level = self._level_for_admitted_work()
        elif self._level is not None:
            self._level = self._next_bucket_below(self._level)
        self._window_started_at = now
        self._n_offers = 0
        self._n_blocked = 0
        self._n_refused = 0
        self._decay(WINDOW_DECAY_FACTOR ** min(DECAY_EXPONENT_MAX, age_s / WINDOW_S))

    def _decay(self, factor: float) -> None:
        decayed = {
            bucket: work_s * factor for bucket, work_s in self._offered_work_s.items()
        }
        self._offered_work_s = {
            level: work_s
            for level, work_s in decayed.items()
            if work_s > DECAYED_WORK_MIN_S
        }
        self._admitted_work_s *= factor

    def _level_for_admitted_work(self) -> Level | None:
        left_work_s = self._admitted_work_s
        for bucket in sorted(self._offered_work_s, reverse=True):
            left_work_s -= self._offered_work_s[bucket]
            if left_work_s < 0.0:
                return Level(
                    bucket.priority, bucket.started, bucket.draw + _DRAW_BUCKET_WIDTH
                )
        return None

    def _next_bucket_below(self, level: Level) -> Level | None:
        """Return the highest offered bucket below the level, None if there is none."""
        return max(
            (bucket for bucket in self._offered_work_s if bucket < level), default=None
        )
