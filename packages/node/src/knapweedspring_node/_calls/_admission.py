"""Admission control of an upstream: its gate admits, queues or refuses every call."""

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
from knapweedspring_node._calls._queue import AdmissionQueue, QueuedCall
from knapweedspring_node._calls._rank import Level, Rank
from knapweedspring_node._calls._service_times import ServiceTimes

__all__ = ["Admission", "AdmissionRequest", "Gate", "GateLoad", "GatePolicy", "Rank"]

POLL_INTERVAL_S = 0.05
#: Least poll interval per queued call, so that the polling of a long queue leaves
#: interpreter time to running calls.
POLL_INTERVAL_PER_QUEUED_CALL_S = 0.001
RETRY_AFTER_MIN_S = 0.1
RETRY_AFTER_MAX_S = 2.0
#: Least work counted for a call, so that calls count in the level measurement before
#: the first service time is recorded.
WORK_MIN_S = 0.001

_SHED_REASONS = frozenset({Reason.OVERLOADED, Reason.DISPLACED, Reason.DEADLINE})


def _never_disconnected() -> bool:
    return False


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """Request of a call for admission to a gate."""

    #: Precedence among the queued calls.
    rank: Rank
    #: Request class, for expected service times and counters.
    class_name: str
    #: Deadline of the request, on the monotonic clock, in seconds.
    deadline_at: float
    #: Returns whether the caller has disconnected; polled while the call is queued.
    is_disconnected: Callable[[], bool] = _never_disconnected


class Admission:
    """Slot that one admitted call occupies until :meth:`finish` frees it."""

    def __init__(
        self,
        gate: "Gate",
        request: AdmissionRequest,
        admitted_at: float,
        waited_s: float,
    ) -> None:
        self._gate = gate
        self._request = request
        self._admitted_at = admitted_at
        self._waited_s = waited_s
        # Used as an atomic flag: only the first call of finish acquires it.
        self._finished = threading.Lock()

    @property
    def admitted_at(self) -> float:
        """When the call was admitted, on the monotonic clock, in seconds."""
        return self._admitted_at

    @property
    def request(self) -> AdmissionRequest:
        """The admission request of the call."""
        return self._request

    @property
    def waited_s(self) -> float:
        """Time that the call was queued, in seconds."""
        return self._waited_s

    def finish(
        self, service_s: float, succeeded: bool, own_s: float | None = None
    ) -> None:
        """Free the slot and record the call; does nothing when called again.

        :param service_s: time that the upstream took for the call, in seconds.
        :param succeeded: whether the answer was complete and not an error.
        :param own_s: ``service_s`` without the time in which the upstream waited for
            child calls, in seconds; None when the upstream made no child calls.
        """
        if self._finished.acquire(blocking=False):
            own_s = service_s if own_s is None else own_s
            self._gate.release(self, service_s, succeeded, own_s)


class Gate:
    """Admission control of one upstream.

    >>> from knapweedspring_core import Counters, EventLog
    >>> gate = Gate(30, 250, lambda: 3, Counters(), EventLog("node-1"))
    >>> deadline_at = time.monotonic() + 2.0
    >>> request = AdmissionRequest(Rank(3, False, 0), "spice-order", deadline_at)
    >>> admission = gate.admit(request).unwrap()
    >>> admission.finish(0.01, succeeded=True)

    :param slots: declared number of calls that the upstream can run at the same time.
    :param connections: number of connections that the upstream accepts.
    :param top_priority: returns the highest priority of the classes in force.
    :param counters: receives the counts of admitted and shed calls.
    :param events: receives an event when the gate closes, reopens, begins to shed or
        stops shedding.
    :param policy: parameters of the admission rules.
    :param limit: concurrency limit up to the slots; adaptive by default.
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
        self._queue = AdmissionQueue()
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
        self._is_shedding = False
        self._passthrough = False

    @property
    def closed(self) -> bool:
        """Whether new calls are refused because the upstream is draining."""
        return self._closed

    @property
    def limit(self) -> int:
        """Number of calls that may run at the same time."""
        if self._passthrough:
            return self._slots
        return min(self._slots, self._limit.value)

    @property
    def n_in_flight(self) -> int:
        """Number of calls that are running."""
        return self._n_in_flight

    @property
    def n_waiting(self) -> int:
        """Number of queued calls."""
        return len(self._queue)

    def load(self) -> GateLoad:
        """Return the gate load that is sent with every reply to another node."""
        limit = self.limit
        free = 0 if self._closed else max(0, limit - self._n_in_flight)
        level = None if self._passthrough else self._current_level()
        return GateLoad(free, limit, len(self._queue), level)

    def set_passthrough(self, passthrough: bool) -> None:
        """Switch overload control off or on.

        :param passthrough: whether calls run in order of arrival, up to the declared
            slots, and no call is refused for overload.
        """
        self._passthrough = passthrough

    def resize(self, slots: int, connections: int) -> None:
        """Apply the slots and connections of a new announcement of the upstream."""
        with self._lock:
            self._slots = min(slots, connections)
            self._limit.resize(self._slots)
            self._start_queued_calls(self._clock())

    def close(self) -> None:
        """Refuse new and queued calls as not run; running calls finish.

        Action ``gate:closed`` of the specification.
        """
        with self._lock:
            self._closed = True
            for queued_call in self._queue:
                self._refuse_queued(queued_call, Reason.DRAINING)
        self._events.record("gate:closed", n_in_flight=self._n_in_flight)

    def reopen(self) -> None:
        """Admit calls again, with a slow start.

        Action ``gate:reopened`` of the specification.
        """
        with self._lock:
            self._closed = False
            self._limit.begin_slow_start()
        self._events.record("gate:reopened")

    def admit(self, request: AdmissionRequest) -> Result[Admission, Refusal]:
        """Block until the call may run or is refused.

        :param request: the admission request of the call.
        :return: the admission, which the caller has to finish, or a refusal, whose
            outcome is always ``not-run``.
        """
        requested_at = self._clock()
        with self._lock:
            self._meter.count_offer(
                request.rank, self._expected_work_s(request.class_name), requested_at
            )
            if self._closed:
                return Err(self._record_refusal(Reason.DRAINING, request.class_name))
            if request.deadline_at <= requested_at:
                return Err(self._record_refusal(Reason.DEADLINE, request.class_name))
            if self._may_start_now(request.rank):
                self._take_slot(request.class_name, requested_at)
                return Ok(Admission(self, request, requested_at, 0.0))
            self._meter.count_blocked()
            queued_call = QueuedCall(
                request.rank, request.class_name, request.deadline_at
            )
            if not self._may_queue(queued_call, requested_at):
                return Err(self._record_refusal(Reason.OVERLOADED, request.class_name))
            self._queue.push(queued_call, in_order_of_arrival=self._passthrough)
            if not self._passthrough:
                self._displace_late_calls(requested_at)
        try:
            self._wait_for_decision(queued_call, request)
        except BaseException:
            self._remove_failed(queued_call)
            raise
        if queued_call.refusal is not None:
            return Err(queued_call.refusal)
        admitted_at = queued_call.admitted_at
        return Ok(Admission(self, request, admitted_at, admitted_at - requested_at))

    def release(
        self, admission: Admission, service_s: float, succeeded: bool, own_s: float
    ) -> None:
        """Free a slot and record the finished call; for :meth:`Admission.finish` only.

        :param admission: the admission of the call.
        :param service_s: time that the upstream took for the call, in seconds.
        :param succeeded: whether the answer was complete and not an error.
        :param own_s: ``service_s`` without the time in which the upstream waited for
            child calls, in seconds.
        """
        class_name = admission.request.class_name
        now = self._clock()
        with self._lock:
            self._free_slot(admission.admitted_at)
            self._service_times.record(class_name, service_s, succeeded)
            self._limit.record(class_name, own_s, service_s, succeeded, now)
            self._start_queued_calls(now)

    def _current_level(self) -> Level | None:
        """Return the admission level that is sent to other nodes.

        Records an event when shedding begins or ends.

        :return: the capped level; None when every rank is admitted.
        """
        with self._lock:
            level = self._capped_level(self._clock())
            changed = self._is_shedding != (level is not None)
            self._is_shedding = level is not None
        if changed:
            kind = "gate:sheds" if level is not None else "gate:admits-all"
            self._events.record(kind, limit=self.limit, n_waiting=len(self._queue))
        return level

    def _capped_level(self, now: float) -> Level | None:
        """Return the measured level, at most the lowest rank of the top class.

        A gate with few slots measures the level coarsely. The cap prevents refusals
        of the top class on account of the level; its calls are still refused when the
        queue is full or the expected wait exceeds the time left.

        :return: the level; None when every rank is admitted.
        """
        level = self._meter.level(now)
        if level is None:
            return None
        return min(level, Level(self._top_priority(), False, 0))

    def _may_start_now(self, rank: Rank) -> bool:
        first = self._queue.first
        if first is not None and (self._passthrough or first.rank >= rank):
            return False
        return self._has_slot_for(rank)

    def _has_slot_for(self, rank: Rank) -> bool:
        limit = self.limit
        if not self._passthrough and rank.priority < self._top_priority():
            limit = max(1, limit - int(limit * self._policy.headroom_share))
        return self._n_in_flight < limit

    def _expected_work_s(self, class_name: str) -> float:
        return max(WORK_MIN_S, self._service_times.of_class(class_name))

    def _take_slot(self, class_name: str, now: float) -> None:
        self._n_in_flight += 1
        self._sum_admitted_at += now
        self._meter.count_admission(self._expected_work_s(class_name))
        self._counters.add("calls_admitted", class_name)

    def _free_slot(self, admitted_at: float) -> None:
        self._n_in_flight -= 1
        self._sum_admitted_at -= admitted_at
        if self._n_in_flight == 0:
            # Discards the rounding errors of the running sum.
            self._sum_admitted_at = 0.0

    def _start_queued_calls(self, now: float) -> None:
        while (first := self._queue.first) and self._has_slot_for(first.rank):
            self._queue.pop_first()
            self._take_slot(first.class_name, now)
            first.admit(now)

    def _may_queue(self, queued_call: QueuedCall, now: float) -> bool:
        if self._passthrough:
            return True
        n_ahead = self._queue.n_ahead_of_rank(queued_call.rank)
        if n_ahead >= self._policy.n_waiting_max:
            return False
        return not self._would_finish_too_late(
            queued_call, n_ahead, now, self._policy.wait_share
        )

    def _expected_wait_s(self, n_ahead: int, now: float) -> float:
        """Estimate the wait behind ``n_ahead`` calls.

        The age of the calls in flight counts as well, since only this age shows a
        slow-down before the first slow call has finished.
        """
        mean_s = self._service_times.mean_s
        if self._n_in_flight:
            mean_s = max(mean_s, now - self._sum_admitted_at / self._n_in_flight)
        return (n_ahead + 1) * mean_s / self.limit

    def _would_finish_too_late(
        self, queued_call: QueuedCall, n_ahead: int, now: float, wait_share: float = 1.0
    ) -> bool:
        """Return whether a call behind ``n_ahead`` others would finish too late.

        A call below the level is unlikely to be admitted, because higher ranks keep
        arriving, so it may wait for only a small share of its time left.
        """
        needed_s = self._service_times.of_class(queued_call.class_name)
        left_s = queued_call.deadline_at - now - needed_s
        wait_s = self._expected_wait_s(n_ahead, now)
        if wait_s > left_s * wait_share:
            return True
        share_below = self._policy.wait_share_below_level
        if wait_s <= left_s * share_below:
            return False
        level = self._capped_level(now)
        return level is not None and not level.admits(queued_call.rank)

    def _displace_late_calls(self, now: float) -> None:
        """Refuse the last call while it would be too late or the queue is too long."""
        while (last := self._queue.last) is not None:
            n_ahead = len(self._queue) - 1
            too_many = len(self._queue) > self._policy.n_waiting_max
            if not too_many and not self._would_finish_too_late(last, n_ahead, now):
                return
            self._refuse_queued(last, Reason.DISPLACED)

    def _wait_for_decision(
        self, queued_call: QueuedCall, request: AdmissionRequest
    ) -> None:
        """Block until the call is admitted or refused.

        This method refuses the call when its deadline passes, its caller disconnects
        or it would finish too late.
        """
        while True:
            left_s = request.deadline_at - self._clock()
            interval_s = POLL_INTERVAL_PER_QUEUED_CALL_S * len(self._queue)
            interval_s = max(POLL_INTERVAL_S, interval_s)
            if queued_call.wait_for_decision(max(0.0, min(interval_s, left_s))):
                return
            if request.is_disconnected():
                self._refuse_if_undecided(queued_call, Reason.CALLER_LEFT)
            else:
                self._refuse_if_too_late(queued_call)

    def _remove_failed(self, queued_call: QueuedCall) -> None:
        """Remove a call whose thread raised while queued; free its slot if admitted."""
        now = self._clock()
        with self._lock:
            if not queued_call.decided:
                self._queue.remove(queued_call)
            elif queued_call.refusal is None:
                self._free_slot(queued_call.admitted_at)
                self._start_queued_calls(now)

    def _refuse_if_too_late(self, queued_call: QueuedCall) -> None:
        """Refuse a queued call that can no longer finish in time."""
        now = self._clock()
        if now >= queued_call.deadline_at:
            self._refuse_if_undecided(queued_call, Reason.DEADLINE)
            return
        with self._lock:
            if queued_call.decided or self._passthrough:
                return
            if self._would_finish_too_late(
                queued_call, self._queue.n_ahead_of_call(queued_call), now
            ):
                self._refuse_queued(queued_call, Reason.OVERLOADED)

    def _refuse_if_undecided(self, queued_call: QueuedCall, reason: Reason) -> None:
        with self._lock:
            if not queued_call.decided:
                self._refuse_queued(queued_call, reason)

    def _refuse_queued(self, queued_call: QueuedCall, reason: Reason) -> None:
        self._queue.remove(queued_call)
        queued_call.refuse(self._record_refusal(reason, queued_call.class_name))

    def _record_refusal(self, reason: Reason, class_name: str) -> Refusal:
        """Count a refusal and return it.

        The refusal advises a retry after about the expected wait of a call that is
        queued last now.
        """
        if reason in _SHED_REASONS:
            self._counters.add("calls_shed", class_name)
            self._meter.count_refusal()
        base_s = self._expected_wait_s(len(self._queue), self._clock())
        base_s = min(RETRY_AFTER_MAX_S, max(RETRY_AFTER_MIN_S, base_s))
        retry_after_ms = round(base_s * self._rng.uniform(0.5, 1.5) * 1_000)
        return Refusal(Outcome.NOT_RUN, reason, retry_after_ms)
