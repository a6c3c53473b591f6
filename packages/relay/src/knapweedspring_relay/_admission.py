"""Admission of calls at a gate: which calls run, wait or are refused.

The module uses neither the network nor the clock: methods get the time as an argument.
"""

import bisect
import math
from collections.abc import Callable
from enum import StrEnum

from knapweedspring_core import CallPacer
from knapweedspring_relay._admission_request import AdmissionRequest

__all__ = ["AdmissionQueue", "AdmissionState", "QueuedCall"]

#: Share of the declared slots that calls may use. Health checks and new connections
#: use slots too, and some upstreams slow down when their last slots are in use.
USABLE_SLOTS_SHARE = 0.95
#: Share of the usable slots that gates report while the upstream is cold, which means
#: slow after its start.
COLD_SLOTS_SHARE = 0.5
#: Smoothing factor of the moving averages of service times.
SERVICE_TIME_SMOOTHING = 0.1
#: Time after which an average that no call has changed is not used, in seconds. While
#: it refuses all calls, no call could correct it.
SERVICE_TIME_LIFETIME_S = 5.0
#: Time that must be left until a call's deadline, as share of the average service time
#: of its route. A call with less time left is refused.
MIN_SERVICE_TIME_LEFT_SHARE = 0.7
#: Precision of the event loop's timers, in seconds.
TIMER_PRECISION_S = 0.002
#: Number of low bits of an order key that hold the arrival number: enough for 2**48
#: calls, more than any process receives.
ARRIVAL_BITS = 48
#: Maximum number of routes whose service times are kept. The first route beyond it
#: discards the times of all routes.
MAX_ROUTES = 1_024


class AdmissionState(StrEnum):
    """State of a call at a gate."""

    #: The call waits for a slot.
    WAITING = "waiting"
    #: The upstream runs the call.
    RUNNING = "running"
    #: The call was refused.
    REFUSED = "refused"
    #: The call has ended, or its caller left while it waited.
    ENDED = "ended"


class QueuedCall:
    """One call at a gate: waiting, running, refused or ended.

    :param request: properties of the call that decide its admission.
    :param on_decided: called when the waiting call is admitted or refused.
    """

    def __init__(
        self, request: AdmissionRequest, on_decided: Callable[[], None]
    ) -> None:
        self._admission_request = request
        self._on_decided = on_decided
        self.state = AdmissionState.WAITING
        self.reason = ""
        self.entered_at = 0.0
        self.started_at = 0.0
        #: Sort key in the queue, by priority, then by arrival; lower keys come first.
        self.order_key = 0

    @property
    def admission_request(self) -> AdmissionRequest:
        """Properties of the call that decide its admission."""
        return self._admission_request

    def record_decision(self, state: AdmissionState, reason: str = "") -> None:
        """Record the decision on a waiting call and call ``on_decided``.

        :param state: ``RUNNING`` or ``REFUSED``.
        :param reason: why the call was refused; empty when it was admitted.
        """
        self.state = state
        self.reason = reason
        self._on_decided()


class MovingAverage:
    """Moving average of service times, which expires when none is added."""

    def __init__(self) -> None:
        self._mean_s = 0.0
        self._added_at = -SERVICE_TIME_LIFETIME_S

    def value(self, now: float) -> float:
        """Return the average in seconds; 0 when no time was added lately.

        :param now: monotonic time, in seconds.
        """
        if now - self._added_at > SERVICE_TIME_LIFETIME_S:
            return 0.0
        return self._mean_s

    def add(self, service_s: float, now: float) -> None:
        """Add a service time.

        :param service_s: the time, in seconds.
        :param now: monotonic time, in seconds.
        """
        mean_s = self.value(now)
        if mean_s == 0.0:
            mean_s = service_s
        self._mean_s = mean_s + SERVICE_TIME_SMOOTHING * (service_s - mean_s)
        self._added_at = now


class AdmissionQueue:
    """Limits running calls to the upstream's usable slots and queues the others.

    While the upstream names a rate limit, calls start no faster than that.

    Queued calls are ordered by priority, then by arrival. A call is refused at once if
    its expected wait is longer than its longest wait; otherwise it is refused when it
    has waited that long. An early refusal leaves the caller time to offer the call to
    another gate or to retry.
    """

    def __init__(self) -> None:
        self._slots = 0
        self._cold_ends_at = 0.0
        self._n_running = 0
        self._waiting: list[QueuedCall] = []
        self._n_arrived = 0
        self._service_times: dict[str, MovingAverage] = {}
        self._mean_service_time = MovingAverage()
        self._pacer = CallPacer()

    @property
    def n_running(self) -> int:
        """Number of calls that the upstream runs."""
        return self._n_running

    @property
    def n_waiting(self) -> int:
        """Number of queued calls."""
        return len(self._waiting)

    @property
    def needs_slot(self) -> bool:
        """Whether a queued call waits for a slot."""
        return bool(self._waiting) and self._n_running >= self.limit

    @property
    def limit(self) -> int:
        """Number of calls that may run at the same time, at least 1."""
        return max(1, int(self._slots * USABLE_SLOTS_SHARE))

    def set_upstream(self, slots: int, cold_ends_at: float) -> None:
        """Set the capacity that the upstream declares.

        :param slots: number of calls that the upstream runs at the same time.
        :param cold_ends_at: end of the upstream's slow phase after its start, on the
            monotonic clock, in seconds.
        """
        self._slots = slots
        self._cold_ends_at = cold_ends_at

    def set_rate_limit(self, rate_per_s: float | None, now: float) -> None:
        """Set the rate at which the upstream accepts calls.

        :param rate_per_s: calls per second; None when the upstream names no limit.
        :param now: monotonic time, in seconds.
        """
        self._pacer.set_rate(rate_per_s, now)
        self.admit_waiting_calls(now)

    def sustained_limit(self, now: float) -> int:
        """Return how many calls run at the same time when the gate is fully used.

        It is lower than :attr:`limit` while the upstream is cold, so that entries
        prefer warm upstreams, and when the rate limit allows fewer calls.

        :param now: monotonic time, in seconds.
        """
        limit, rate_per_s = self.limit, self._pacer.rate_per_s
        if now < self._cold_ends_at:
            limit = max(1, int(limit * COLD_SLOTS_SHARE))
        if rate_per_s is None:
            return limit
        mean_s = self._mean_service_time.value(now)
        return max(1, min(limit, math.ceil(rate_per_s * mean_s)))

    def mean_service_s(self, route: str, now: float) -> float:
        """Return the average service time of a route.

        :param route: name of the route.
        :param now: monotonic time, in seconds.
        :return: the time in seconds; 0 when no call of the route was served lately.
        """
        average = self._service_times.get(route)
        return 0.0 if average is None else average.value(now)

    def offer_call(self, queued: QueuedCall, now: float) -> None:
        """Admit, queue or refuse a call, and set its state accordingly.

        :param queued: the call.
        :param now: monotonic time, in seconds.
        """
        queued.entered_at = now
        request = queued.admission_request
        if self._would_miss_deadline(request, now):
            queued.state = AdmissionState.REFUSED
            queued.reason = "too little time is left"
            return
        self._n_arrived += 1
        queued.order_key = (request.priority << ARRIVAL_BITS) + self._n_arrived
        if self._may_start(now) and not self._has_call_ahead(request):
            self._start_call(queued, now)
        elif self._expected_wait_s(queued, now) > request.max_wait_s:
            queued.state = AdmissionState.REFUSED
            queued.reason = "the queue is too long"
        else:
            bisect.insort(self._waiting, queued, key=_order_key_of)

    def finish_call(
        self,
        queued: QueuedCall,
        now: float,
        was_served: bool,
        reader_wait_s: float = 0.0,
    ) -> None:
        """Free the slot of a running call and admit queued calls.

        Does nothing for a call that is not running.

        :param queued: the call.
        :param now: monotonic time, in seconds.
        :param was_served: whether its service time counts for the route's average.
        :param reader_wait_s: time for which the upstream waited until its answer was
            read, which is no service time, in seconds.
        """
        if queued.state is not AdmissionState.RUNNING:
            return
        queued.state = AdmissionState.ENDED
        self._n_running -= 1
        if was_served:
            service_s = max(0.0, now - queued.started_at - reader_wait_s)
            self._update_service_time(queued.admission_request.route, service_s, now)
        self.admit_waiting_calls(now)

    def cancel_call(self, queued: QueuedCall) -> None:
        """Remove a waiting call whose caller has left.

        :param queued: the call.
        """
        if queued.state is AdmissionState.WAITING:
            queued.state = AdmissionState.ENDED
            self._remove_waiting(queued)

    def expire_call(self, queued: QueuedCall) -> None:
        """Refuse a call whose longest wait is over, if it still waits.

        :param queued: the call.
        """
        self.refuse_call(queued, "no slot became free in time")

    def refuse_call(self, queued: QueuedCall, reason: str) -> None:
        """Refuse a call if it still waits.

        :param queued: the call.
        :param reason: reason of the refusal.
        """
        if queued.state is AdmissionState.WAITING:
            self._remove_waiting(queued)
            queued.record_decision(AdmissionState.REFUSED, reason)

    def refuse_waiting(self, reason: str) -> None:
        """Refuse all queued calls, for example because the upstream drains.

        :param reason: reason of the refusals.
        """
        waiting, self._waiting = self._waiting, []
        for queued in waiting:
            queued.record_decision(AdmissionState.REFUSED, reason)

    def refuse_unfinishable(self, ends_at: float, now: float, reason: str) -> None:
        """Refuse queued calls that are not expected to end in time.

        :param ends_at: time by which calls must end, on the monotonic clock, in
            seconds.
        :param now: monotonic time, in seconds.
        :param reason: reason of the refusals.
        """
        for queued in tuple(self._waiting):
            service_s = self.mean_service_s(queued.admission_request.route, now)
            if now + self._expected_wait_s(queued, now) + service_s > ends_at:
                self.refuse_call(queued, reason)

    def admit_waiting_calls(self, now: float) -> None:
        """Admit queued calls while slots are free.

        Call this method after a slot may have become free. A queued call that would
        miss its deadline is refused.

        :param now: monotonic time, in seconds.
        """
        while self._waiting and self._may_start(now):
            queued = self._waiting.pop(0)
            if self._would_miss_deadline(queued.admission_request, now):
                queued.record_decision(
                    AdmissionState.REFUSED, "too little time is left"
                )
            else:
                self._start_call(queued, now)
                queued.record_decision(AdmissionState.RUNNING)

    def next_start_s(self, now: float) -> float | None:
        """Return the time until the rate limit lets the next queued call start.

        :param now: monotonic time, in seconds.
        :return: the time in seconds; None when no call waits for the rate limit.
        """
        if not self._waiting or self._n_running >= self.limit:
            return None
        return self._pacer.delay_s(now)

    def longest_wait_s(self, queued: QueuedCall, now: float) -> float:
        """Return how long a call may wait before it is refused, in seconds.

        :param queued: the call.
        :param now: monotonic time, in seconds.
        """
        request = queued.admission_request
        needed_s = MIN_SERVICE_TIME_LEFT_SHARE * self.mean_service_s(request.route, now)
        left_s = max(0.0, request.deadline_at - needed_s - now)
        return min(request.max_wait_s, left_s)

    def expire_overdue(self, now: float) -> None:
        """Refuse queued calls that waited too long or would miss their deadline.

        :param now: monotonic time, in seconds.
        """
        # Timers fire up to a millisecond early; the addition keeps calls from being
        # missed then.
        now += TIMER_PRECISION_S
        overdue = [
            queued
            for queued in self._waiting
            if now - queued.entered_at >= queued.admission_request.max_wait_s
            or self._would_miss_deadline(queued.admission_request, now)
        ]
        for queued in overdue:
            self.expire_call(queued)

    def _may_start(self, now: float) -> bool:
        return self._n_running < self.limit and self._pacer.delay_s(now) == 0.0

    def _start_call(self, queued: QueuedCall, now: float) -> None:
        self._n_running += 1
        self._pacer.record_start(now)
        queued.state = AdmissionState.RUNNING
        queued.started_at = now

    def _remove_waiting(self, queued: QueuedCall) -> None:
        index = bisect.bisect_left(self._waiting, queued.order_key, key=_order_key_of)
        if index < len(self._waiting) and self._waiting[index] is queued:
            del self._waiting[index]

    def _has_call_ahead(self, request: AdmissionRequest) -> bool:
        return bool(self._waiting) and (
            self._waiting[0].admission_request.priority <= request.priority
        )

    def _would_miss_deadline(self, request: AdmissionRequest, now: float) -> bool:
        needed_s = MIN_SERVICE_TIME_LEFT_SHARE * self.mean_service_s(request.route, now)
        return request.deadline_at - now <= needed_s

    def _expected_wait_s(self, queued: QueuedCall, now: float) -> float:
        """Return the expected wait of a call until it may start, in seconds.

        It is estimated from the number of calls ahead in the queue.
        """
        n_ahead = bisect.bisect_left(self._waiting, queued.order_key, key=_order_key_of)
        mean_s = self._mean_service_time.value(now)
        slot_wait_s = (n_ahead + 1) * mean_s / self.limit
        return max(slot_wait_s, self._pacer.delay_s(now, n_ahead))

    def _update_service_time(self, route: str, service_s: float, now: float) -> None:
        average = self._service_times.get(route)
        if average is None:
            if len(self._service_times) >= MAX_ROUTES:
                self._service_times.clear()
            self._service_times[route] = average = MovingAverage()
        average.add(service_s, now)
        self._mean_service_time.add(service_s, now)


def _order_key_of(queued: QueuedCall) -> int:
    return queued.order_key
