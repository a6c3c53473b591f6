"""Faults of the platform stand-in, and the count of the calls that it gets."""

import threading
from dataclasses import dataclass, field, replace

__all__ = ["CallCounts", "FaultControl", "Faults"]


@dataclass(frozen=True, slots=True)
class Faults:
    """What goes wrong at present; the body of ``POST /-/fault``."""

    #: Every call is broken off without an answer and without effect.
    down: bool = False
    #: Delay before a call takes effect, in ms.
    slow_ms: int = 0
    #: So many of the next writes take effect and get no answer.
    lose_answers_after_effect: int = 0
    #: Data centres whose calls are broken off, by header ``X-Data-Centre``.
    cut_off: tuple[str, ...] = ()
    #: Forget tombstones and history, so that older watches are answered 410.
    forget_history: bool = False


@dataclass(frozen=True, slots=True)
class CallCounts:
    """Calls since the start; a waiting watch counts as one."""

    #: All calls.
    total: int
    #: Calls by operation: ``get``, ``list``, ``watch``, ``put``, ``delete``.
    by_operation: dict[str, int] = field(default_factory=dict)
    #: Calls by data centre, as the callers named it.
    by_data_centre: dict[str, int] = field(default_factory=dict)


class FaultControl:
    """Holds the faults in effect and counts calls; safe from any thread."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._faults = Faults()
        self._by_operation: dict[str, int] = {}
        self._by_data_centre: dict[str, int] = {}

    @property
    def faults(self) -> Faults:
        """The faults in effect."""
        return self._faults

    @property
    def counts(self) -> CallCounts:
        """A copy of the counts."""
        with self._lock:
            return CallCounts(
                sum(self._by_operation.values()),
                dict(self._by_operation),
                dict(self._by_data_centre),
            )

    def replace(self, faults: Faults) -> None:
        """Put these faults into effect in place of those before."""
        with self._lock:
            self._faults = faults

    def count(self, operation: str, data_centre: str) -> None:
        """Count one call."""
        with self._lock:
            n_operation = self._by_operation.get(operation, 0)
            n_data_centre = self._by_data_centre.get(data_centre, 0)
            self._by_operation[operation] = n_operation + 1
            self._by_data_centre[data_centre] = n_data_centre + 1

    def breaks_off(self, data_centre: str) -> bool:
        """Tell whether a call from this data centre gets no answer."""
        faults = self._faults
        return faults.down or data_centre in faults.cut_off

    def take_lost_answer(self) -> bool:
        """Use up one of the answers to lose.

        :return: True when the answer of this write is to be lost.
        """
        with self._lock:
            left = self._faults.lose_answers_after_effect
            if left <= 0:
                return False
            self._faults = replace(self._faults, lose_answers_after_effect=left - 1)
            return True
