"""The gate beside an upstream: it alone admits, queues and refuses its calls."""

import random
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from result import Err, Ok, Result

from knapweedspring_core import Counters, EventLog, Outcome, Reason, Refusal
from knapweedspring_node._calls._load import GateLoad
from knapweedspring_node._calls._queue import Waiter, WaitQueue
from knapweedspring_node._calls._rank import Rank

__all__ = ["Admission", "Ask", "Gate", "GateLoad", "Rank"]

POLL_INTERVAL_S = 0.05
RETRY_AFTER_MIN_S = 0.1
RETRY_AFTER_MAX_S = 2.0


def _never_left() -> bool:
    return False


@dataclass(frozen=True, slots=True)
class Ask:
    """A call that asks to run."""

    #: Precedence among the waiting calls.
    rank: Rank
    #: Request class, for expected service times and counters.
    class_name: str
    #: End of the request on the monotonic clock, in seconds.
    deadline_at: float
    #: Whether the caller has disconnected; polled while the call waits.
    has_left: Callable[[], bool] = _never_left


class Admission:
    """Permission to run one call; hand it back with :meth:`finish`."""

    def __init__(self, gate: "Gate", ask: Ask, waited_s: float) -> None:
        self._gate = gate
        self._ask = ask
        self._waited_s = waited_s
        self._finished = threading.Lock()

    @property
    def ask(self) -> Ask:
        """The call that was admitted."""
        return self._ask

    @property
    def waited_s(self) -> float:
        """Seconds that the call waited for its slot."""
        return self._waited_s

    def finish(self, service_s: float, succeeded: bool) -> None:
        """Free the slot; only the first of several calls counts.

        :param service_s: seconds that the upstream worked on the call.
        :param succeeded: whether its answer was whole and not an error.
        """
        if self._finished.acquire(blocking=False):
            self._gate.release(self, service_s, succeeded)


class Gate:
    """Admission control of one upstream.

    >>> from knapweedspring_core import Counters, EventLog
    >>> gate = Gate(30, 250, lambda: 3, Counters(), EventLog("node-1"))
    >>> ask = Ask(Rank(3, False, 0), "spice-order", time.monotonic() + 2.0)
    >>> admission = gate.admit(ask).unwrap()
    >>> admission.finish(0.01, succeeded=True)

    :param slots: requests that the upstream can work on at once, as declared.
    :param connections: connections that the upstream accepts.
    :param top_priority: priority of the most important class in force.
    :param counters: counts admissions and refusals.
    :param events: records changes of state.
    :param rng: source of the jitter of ``Retry-After``.
    :param clock: monotonic clock, in seconds.
    """

    def __init__(
        self,
        slots: int,
        connections: int,
        top_priority: Callable[[], int],
        counters: Counters,
        events: EventLog,
        rng: random.Random | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._lock = threading.Lock()
        self._queue = WaitQueue()
        self._slots = min(slots, connections)
        self._top_priority = top_priority
        self._counters = counters
        self._events = events
        self._rng = rng or random.Random()
        self._clock = clock
        self._n_in_flight = 0
        self._closed = False
        self._passthrough = False

    @property
    def closed(self) -> bool:
        """Whether new calls are refused because the upstream drains."""
        return self._closed

    @property
    def limit(self) -> int:
        """Calls that may run at the same time."""
        return self._slots

    @property
    def n_in_flight(self) -> int:
        """Calls that run."""
        return self._n_in_flight

    @property
    def n_waiting(self) -> int:
        """Calls that wait for a slot."""
        return len(self._queue)

    def load(self) -> GateLoad:
        """Return the load that rides on answers."""
        limit = self.limit
        free = 0 if self._closed else max(0, limit - self._n_in_flight)
        return GateLoad(free, limit, len(self._queue))

    def set_passthrough(self, passthrough: bool) -> None:
        """Switch overload control off: order of arrival and the declared slots."""
        self._passthrough = passthrough

    def resize(self, slots: int, connections: int) -> None:
        """Take over slots and connections that the upstream announced anew."""
        with self._lock:
            self._slots = min(slots, connections)
            self._start_waiting()

    def close(self) -> None:
        """Refuse new and waiting calls as not run; running ones finish."""
        with self._lock:
            self._closed = True
            for waiter in self._queue:
                self._refuse_waiting(waiter, Reason.DRAINING)
        self._events.record("gate:closed", n_in_flight=self._n_in_flight)

    def reopen(self) -> None:
        """Admit calls again."""
        with self._lock:
            self._closed = False
        self._events.record("gate:reopened")

    def admit(self, ask: Ask) -> Result[Admission, Refusal]:
        """Block until the call may run or is refused.

        :param ask: the call.
        :return: the admission, to be finished exactly once, or a refusal whose
            outcome is always ``not-run``.
        """
        asked_at = self._clock()
        with self._lock:
            refusal = self._refusal_on_arrival(ask, asked_at)
            if refusal is not None:
                return Err(refusal)
            if not self._queue and self._has_slot_for(ask.rank):
                self._n_in_flight += 1
                return Ok(Admission(self, ask, 0.0))
            waiter = Waiter(ask.rank, ask.class_name, ask.deadline_at)
            self._queue.push(waiter, in_order_of_arrival=self._passthrough)
        self._wait(waiter, ask)
        if waiter.refusal is not None:
            return Err(waiter.refusal)
        return Ok(Admission(self, ask, self._clock() - asked_at))

    def release(self, admission: Admission, service_s: float, succeeded: bool) -> None:
        """Free a slot; called by :meth:`Admission.finish` only."""
        with self._lock:
            self._n_in_flight -= 1
            self._start_waiting()

    def _has_slot_for(self, rank: Rank) -> bool:
        return self._n_in_flight < self.limit

    def _refusal_on_arrival(self, ask: Ask, now: float) -> Refusal | None:
        if self._closed:
            return self._refusal(Reason.DRAINING)
        if ask.deadline_at <= now:
            return self._refusal(Reason.DEADLINE)
        return None

    def _start_waiting(self) -> None:
        while (first := self._queue.first) and self._has_slot_for(first.rank):
            self._queue.pop_first()
            self._n_in_flight += 1
            first.admit()

    def _wait(self, waiter: Waiter, ask: Ask) -> None:
        """Block until a decision, the deadline, or the caller's leaving."""
        while True:
            left_s = ask.deadline_at - self._clock()
            if waiter.wait(max(0.0, min(POLL_INTERVAL_S, left_s))):
                return
            if ask.has_left():
                self._give_up(waiter, Reason.CALLER_LEFT)
            elif self._clock() >= ask.deadline_at:
                self._give_up(waiter, Reason.DEADLINE)

    def _give_up(self, waiter: Waiter, reason: Reason) -> None:
        with self._lock:
            if not waiter.decided:
                self._refuse_waiting(waiter, reason)

    def _refuse_waiting(self, waiter: Waiter, reason: Reason) -> None:
        self._queue.remove(waiter)
        waiter.refuse(self._refusal(reason))

    def _refusal(self, reason: Reason) -> Refusal:
        self._counters.add("gate_refused", reason)
        base_s = RETRY_AFTER_MIN_S
        retry_after_ms = round(base_s * self._rng.uniform(0.5, 1.5) * 1_000)
        return Refusal(Outcome.NOT_RUN, reason, retry_after_ms)
