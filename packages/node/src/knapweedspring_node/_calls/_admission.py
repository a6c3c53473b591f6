"""The gate beside an upstream: it alone admits, queues and refuses its calls."""

import random
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from result import Err, Ok, Result

from knapweedspring_core import Counters, EventLog, Outcome, Reason, Refusal
from knapweedspring_node._calls._gate_policy import GatePolicy
from knapweedspring_node._calls._level_meter import LevelMeter
from knapweedspring_node._calls._limit import AdaptiveLimit, ConcurrencyLimit
from knapweedspring_node._calls._load import GateLoad
from knapweedspring_node._calls._queue import Waiter, WaitQueue
from knapweedspring_node._calls._rank import Level, Rank
from knapweedspring_node._calls._service_times import ServiceTimes

__all__ = ["Admission", "Ask", "Gate", "GateLoad", "GatePolicy", "Rank"]

POLL_INTERVAL_S = 0.05
#: A long queue polls more slowly, to keep the interpreter for calls that run.
POLL_INTERVAL_PER_WAITING_S = 0.001
RETRY_AFTER_MIN_S = 0.1
RETRY_AFTER_MAX_S = 2.0
WORK_MIN_S = 0.001

_SHED_REASONS = frozenset({Reason.OVERLOADED, Reason.DISPLACED, Reason.DEADLINE})


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

    def __init__(
        self, gate: "Gate", ask: Ask, admitted_at: float, waited_s: float
    ) -> None:
        self._gate = gate
        self._ask = ask
        self._admitted_at = admitted_at
        self._waited_s = waited_s
        self._finished = threading.Lock()

    @property
    def admitted_at(self) -> float:
        """When the slot was taken, on the monotonic clock, in seconds."""
        return self._admitted_at

    @property
    def ask(self) -> Ask:
        """The call that was admitted."""
        return self._ask

    @property
    def waited_s(self) -> float:
        """Seconds that the call waited for its slot."""
        return self._waited_s

    def finish(
        self, service_s: float, succeeded: bool, own_s: float | None = None
    ) -> None:
        """Free the slot; only the first of several calls counts.

        :param service_s: seconds that the upstream took for the call.
        :param succeeded: whether its answer was whole and not an error.
        :param own_s: the same without its own calls; by default it made none.
        """
        if self._finished.acquire(blocking=False):
            own_s = service_s if own_s is None else own_s
            self._gate.release(self, service_s, succeeded, own_s)


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
    :param policy: proportions of the rules.
    :param limit: limit below the slots; adaptive by default.
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
        policy: GatePolicy | None = None,
        limit: ConcurrencyLimit | None = None,
        rng: random.Random | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._lock = threading.Lock()
        self._queue = WaitQueue()
        self._slots = min(slots, connections)
        self._top_priority = top_priority
        self._counters = counters
        self._events = events
        self._policy = policy or GatePolicy()
        self._limit = limit or AdaptiveLimit(self._slots)
        self._rng = rng or random.Random()
        self._clock = clock
        self._service_times = ServiceTimes()
        self._meter = LevelMeter()
        self._n_in_flight = 0
        self._sum_admitted_at = 0.0
        self._closed = False
        self._sheds = False
        self._passthrough = False

    @property
    def closed(self) -> bool:
        """Whether new calls are refused because the upstream drains."""
        return self._closed

    @property
    def limit(self) -> int:
        """Calls that may run at the same time."""
        if self._passthrough:
            return self._slots
        return min(self._slots, self._limit.value)

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
        level = None if self._passthrough else self._current_level()
        return GateLoad(free, limit, len(self._queue), level)

    def set_passthrough(self, passthrough: bool) -> None:
        """Switch overload control off: order of arrival and the declared slots."""
        self._passthrough = passthrough

    def resize(self, slots: int, connections: int) -> None:
        """Take over slots and connections that the upstream announced anew."""
        with self._lock:
            self._slots = min(slots, connections)
            self._limit.resize(self._slots)
            self._start_waiting(self._clock())

    def close(self) -> None:
        """Refuse new and waiting calls as not run; running ones finish.

        Action ``gate:closed`` of the specification.
        """
        with self._lock:
            self._closed = True
            for waiter in self._queue:
                self._refuse_waiting(waiter, Reason.DRAINING)
        self._events.record("gate:closed", n_in_flight=self._n_in_flight)

    def reopen(self) -> None:
        """Admit calls again, slowly at first.

        Action ``gate:reopened`` of the specification.
        """
        with self._lock:
            self._closed = False
            self._limit.restart()
        self._events.record("gate:reopened")

    def admit(self, ask: Ask) -> Result[Admission, Refusal]:
        """Block until the call may run or is refused.

        :param ask: the call.
        :return: the admission, to be finished exactly once, or a refusal whose
            outcome is always ``not-run``.
        """
        asked_at = self._clock()
        with self._lock:
            self._meter.count_offer(ask.rank, self._work_s(ask.class_name), asked_at)
            if self._closed:
                return Err(self._refusal(Reason.DRAINING, ask.class_name))
            if ask.deadline_at <= asked_at:
                return Err(self._refusal(Reason.DEADLINE, ask.class_name))
            if self._goes_at_once(ask.rank):
                self._take_slot(ask.class_name, asked_at)
                return Ok(Admission(self, ask, asked_at, 0.0))
            self._meter.count_blocked()
            waiter = Waiter(ask.rank, ask.class_name, ask.deadline_at)
            if not self._may_wait(waiter, asked_at):
                return Err(self._refusal(Reason.OVERLOADED, ask.class_name))
            self._queue.push(waiter, in_order_of_arrival=self._passthrough)
            if not self._passthrough:
                self._displace_hopeless(asked_at)
        try:
            self._wait(waiter, ask)
        except BaseException:
            self._abandon(waiter)
            raise
        if waiter.refusal is not None:
            return Err(waiter.refusal)
        admitted_at = waiter.admitted_at
        return Ok(Admission(self, ask, admitted_at, admitted_at - asked_at))

    def release(
        self, admission: Admission, service_s: float, succeeded: bool, own_s: float
    ) -> None:
        """Free a slot; called by :meth:`Admission.finish` only."""
        class_name = admission.ask.class_name
        now = self._clock()
        with self._lock:
            self._free_slot(admission.admitted_at)
            self._service_times.record(class_name, service_s, succeeded)
            self._limit.record(class_name, own_s, service_s, succeeded, now)
            self._start_waiting(now)

    def _current_level(self) -> Level | None:
        with self._lock:
            level = self._level(self._clock())
            changed = self._sheds != (level is not None)
            self._sheds = level is not None
        if changed:
            kind = "gate:sheds" if level is not None else "gate:admits-all"
            self._events.record(kind, limit=self.limit, n_waiting=len(self._queue))
        return level

    def _level(self, now: float) -> Level | None:
        """Return the measured level, at most the lowest rank of the top class.

        A gate with few slots measures coarsely, and only the time that is left
        may shed the top class.
        """
        level = self._meter.level(now)
        if level is None:
            return None
        return min(level, Level(self._top_priority(), False, 0))

    def _goes_at_once(self, rank: Rank) -> bool:
        first = self._queue.first
        if first is not None and (self._passthrough or first.rank >= rank):
            return False
        return self._has_slot_for(rank)

    def _has_slot_for(self, rank: Rank) -> bool:
        limit = self.limit
        if not self._passthrough and rank.priority < self._top_priority():
            limit = max(1, limit - int(limit * self._policy.headroom_share))
        return self._n_in_flight < limit

    def _work_s(self, class_name: str) -> float:
        return max(WORK_MIN_S, self._service_times.of_class(class_name))

    def _take_slot(self, class_name: str, now: float) -> None:
        self._n_in_flight += 1
        self._sum_admitted_at += now
        self._meter.count_admission(self._work_s(class_name))
        self._counters.add("calls_admitted", class_name)

    def _free_slot(self, admitted_at: float) -> None:
        self._n_in_flight -= 1
        self._sum_admitted_at -= admitted_at
        if self._n_in_flight == 0:
            # Rounding errors of the running sum end here.
            self._sum_admitted_at = 0.0

    def _start_waiting(self, now: float) -> None:
        while (first := self._queue.first) and self._has_slot_for(first.rank):
            self._queue.pop_first()
            self._take_slot(first.class_name, now)
            first.admit(now)

    def _may_wait(self, waiter: Waiter, now: float) -> bool:
        if self._passthrough:
            return True
        n_ahead = self._queue.n_ahead_of(waiter.rank)
        if n_ahead >= self._policy.n_waiting_max:
            return False
        return not self._is_hopeless(waiter, n_ahead, now, self._policy.wait_share)

    def _expected_wait_s(self, n_ahead: int, now: float) -> float:
        """Estimate the wait behind ``n_ahead`` calls.

        Right after a slow-down began, only the age of the calls in flight shows it.
        """
        mean_s = self._service_times.mean_s
        if self._n_in_flight:
            mean_s = max(mean_s, now - self._sum_admitted_at / self._n_in_flight)
        return (n_ahead + 1) * mean_s / self.limit

    def _is_hopeless(
        self, waiter: Waiter, n_ahead: int, now: float, wait_share: float = 1.0
    ) -> bool:
        """Tell whether a call behind ``n_ahead`` others would be admitted too late."""
        needed_s = self._service_times.of_class(waiter.class_name)
        left_s = waiter.deadline_at - now - needed_s
        wait_s = self._expected_wait_s(n_ahead, now)
        if wait_s > left_s * wait_share:
            return True
        share_below = self._policy.wait_share_below_level
        if wait_s <= left_s * share_below:
            return False
        level = self._level(now)
        return level is not None and not level.admits(waiter.rank)

    def _displace_hopeless(self, now: float) -> None:
        """Refuse the last calls when those before them leave no time for them."""
        while (last := self._queue.last) is not None:
            n_ahead = len(self._queue) - 1
            too_many = len(self._queue) > self._policy.n_waiting_max
            if not too_many and not self._is_hopeless(last, n_ahead, now):
                return
            self._refuse_waiting(last, Reason.DISPLACED)

    def _wait(self, waiter: Waiter, ask: Ask) -> None:
        """Block until a decision, the deadline, or the caller's leaving."""
        while True:
            left_s = ask.deadline_at - self._clock()
            interval_s = POLL_INTERVAL_PER_WAITING_S * len(self._queue)
            interval_s = max(POLL_INTERVAL_S, interval_s)
            if waiter.wait(max(0.0, min(interval_s, left_s))):
                return
            if ask.has_left():
                self._give_up(waiter, Reason.CALLER_LEFT)
            else:
                self._reconsider(waiter)

    def _abandon(self, waiter: Waiter) -> None:
        """Take back the place or slot of a call whose thread failed."""
        now = self._clock()
        with self._lock:
            if not waiter.decided:
                self._queue.remove(waiter)
            elif waiter.refusal is None:
                self._free_slot(waiter.admitted_at)
                self._start_waiting(now)

    def _reconsider(self, waiter: Waiter) -> None:
        """Refuse a waiting call as soon as it can no longer finish in time."""
        now = self._clock()
        if now >= waiter.deadline_at:
            self._give_up(waiter, Reason.DEADLINE)
            return
        with self._lock:
            if waiter.decided or self._passthrough:
                return
            if self._is_hopeless(waiter, self._queue.n_ahead(waiter), now):
                self._refuse_waiting(waiter, Reason.OVERLOADED)

    def _give_up(self, waiter: Waiter, reason: Reason) -> None:
        with self._lock:
            if not waiter.decided:
                self._refuse_waiting(waiter, reason)

    def _refuse_waiting(self, waiter: Waiter, reason: Reason) -> None:
        self._queue.remove(waiter)
        waiter.refuse(self._refusal(reason, waiter.class_name))

    def _refusal(self, reason: Reason, class_name: str) -> Refusal:
        """Count a refusal; the caller comes back when the queue has moved on."""
        if reason in _SHED_REASONS:
            self._counters.add("calls_shed", class_name)
            self._meter.count_refusal()
        base_s = self._expected_wait_s(len(self._queue), self._clock())
        base_s = min(RETRY_AFTER_MAX_S, max(RETRY_AFTER_MIN_S, base_s))
        retry_after_ms = round(base_s * self._rng.uniform(0.5, 1.5) * 1_000)
        return Refusal(Outcome.NOT_RUN, reason, retry_after_ms)
