"""Faults of the platform stand-in, and counts of the calls that it receives."""

import threading
from dataclasses import dataclass, field, replace

__all__ = ["CallCounts", "FaultControl", "Faults"]


@dataclass(frozen=True, slots=True)
class Faults:
    """Faults in force; the body of ``POST /-/fault``."""

    #: Every call is aborted without an answer and without effect.
    down: bool = False
    #: Delay before a call takes effect, in ms.
    slow_ms: int = 0
    #: Number of further writes that take effect but get no answer.
    lose_answers_after_effect: int = 0
    #: Data centres whose calls are aborted, as given in header ``X-Data-Centre``.
    cut_off: tuple[str, ...] = ()
    #: Discards the tombstones and the history of changes, so that a watch from an
    #: earlier version is answered 410.
    forget_history: bool = False


@dataclass(frozen=True, slots=True)
class CallCounts:
    """Calls since the stand-in started; a waiting watch counts as one call."""

    #: Number of all calls.
    total: int
    #: Number of calls by operation: ``get``, ``list``, ``watch``, ``put``, ``delete``.
    by_operation: dict[str, int] = field(default_factory=dict)
    #: Number of calls by data centre, as given in header ``X-Data-Centre``.
    by_data_centre: dict[str, int] = field(default_factory=dict)


class FaultControl:
    """Holds the faults in force and counts calls; safe for use from any thread."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._faults = Faults()
        self._by_operation: dict[str, int] = {}
        self._by_data_centre: dict[str, int] = {}

    @property
    def faults(self) -> Faults:
        """Faults in force."""
        return self._faults

    @property
    def counts(self) -> CallCounts:
        """Copy of the counts of calls."""
        with self._lock:
            return CallCounts(
                sum(self._by_operation.values()),
                dict(self._by_operation),
                dict(self._by_data_centre),
            )

    def replace(self, faults: Faults) -> None:
        """Replace the faults in force."""
        with self._lock:
            self._faults = faults

    def count(self, operation: str, data_centre: str) -> None:
        """Count one call.

        :param operation: ``get``, ``list``, ``watch``, ``put`` or ``delete``.
        :param data_centre: data centre of the caller; empty when not given.
        """
        with self._lock:
            n_operation = self._by_operation.get(operation, 0)
            n_data_centre = self._by_data_centre.get(data_centre, 0)
            self._by_operation[operation] = n_operation + 1
            self._by_data_centre[data_centre] = n_data_centre + 1

    def aborts_call(self, data_centre: str) -> bool:
        """Whether calls from this data centre are aborted without an answer."""
        faults = self._faults
        return faults.down or data_centre in faults.cut_off

    def consume_lost_answer(self) -> bool:
        """Decrement the number of answers to lose, if any is left.

        :return: True when the answer to this write must be lost.
        """
        with self._lock:
            n_left = self._faults.lose_answers_after_effect
            if n_left <= 0:
                return False
            self._faults = replace(self._faults, lose_answers_after_effect=n_left - 1)
            return True
