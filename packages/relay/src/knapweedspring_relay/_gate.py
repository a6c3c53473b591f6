"""Gate: admits all calls to the upstream beside this node and sends them to it."""

import asyncio
from collections.abc import Callable
from typing import Any

import msgspec

from knapweedspring_core import Counters
from knapweedspring_relay._admission import AdmissionQueue, AdmissionState, QueuedCall
from knapweedspring_relay._admission_request import admission_request_of
from knapweedspring_relay._admission_waiter import AdmissionWaiter
from knapweedspring_relay._answer import Answer
from knapweedspring_relay._clock import now_s
from knapweedspring_relay._crash_detector import CrashDetector
from knapweedspring_relay._crash_records import CrashRecords
from knapweedspring_relay._detached_calls import DetachedCalls
from knapweedspring_relay._errors import (
    CallError,
    CallWithdrawn,
    ConnectFailed,
    ConnectionBroke,
)
from knapweedspring_relay._gate_link import LocalGate
from knapweedspring_relay._gate_policy import GatePolicy
from knapweedspring_relay._gate_result import GateResult
from knapweedspring_relay._headers import CallHeaders
from knapweedspring_relay._histograms import LatencyHistograms
from knapweedspring_relay._hop import ChainOrigin, GateReport, HopCall, HopOutcome
from knapweedspring_relay._http_client import ConnectionPool
from knapweedspring_relay._local_upstream import LocalUpstream, UpstreamTracker
from knapweedspring_relay._logs import DecisionLog
from knapweedspring_relay._requests import ForwardedRequest
from knapweedspring_relay._send_checks import NotSent, SendChecks
from knapweedspring_relay._suspect_runs import SuspectRuns
from knapweedspring_relay._unread_answers import UnreadAnswers
from knapweedspring_relay._upstream_caller import UpstreamCaller
from knapweedspring_relay._upstream_notices import UpstreamNotices

__all__ = ["Gate"]

#: Why a gate that stops accepts no calls.
STOPPING_REASON = "the node is stopping"
#: Smoothing factor of the moving failure ratio of calls through this node's entry.
#: After each call, the ratio moves by this share of its distance to the call's outcome
#: (1 for a failure, else 0), so a larger factor makes the ratio follow changes faster.
#: The entry is the part of the node that accepts callers' requests, including the calls
#: that the upstream beside this node makes, and sends each to an upstream through the
#: gate of that upstream.
ENTRY_FAILURE_SMOOTHING = 0.05


class Gate(LocalGate):
    """Admits calls and sends them to the upstream.

    :param tracker: tracks the state of the upstream.
    :param address: address of the upstream, as ``ip:port``.
    :param pool: connections to the upstream.
    :param headers: names of the headers that upstreams read and write.
    :param drain_s: time for which a draining upstream continues to serve, in seconds.
    :param version: returns the version of the configuration in force.
    :param on_leaving: called with the upstream when one of its answers says that it
        leaves.
    :param crashes: requests that are refused because upstreams ended under them.
    :param on_crash: called with the upstream that ended and the fingerprints of the
        requests that it was running.
    :param log: decision log.
    :param counters: counts outcomes.
    :param latencies: records service times.
    :param policy: how long calls wait.
    """

    def __init__(
        self,
        tracker: UpstreamTracker,
        address: str,
        pool: ConnectionPool,
        headers: CallHeaders,
        drain_s: float,
        version: Callable[[], int],
        on_leaving: Callable[[LocalUpstream], None],
        crashes: CrashRecords,
        on_crash: Callable[[LocalUpstream, tuple[bytes, ...]], None],
        log: DecisionLog,
        counters: Counters,
        latencies: LatencyHistograms,
        policy: GatePolicy | None = None,
    ) -> None:
        self._tracker = tracker
        self._headers = headers
        self._version = version
        self._log = log
        self._counters = counters
        self._latencies = latencies
        self._policy = policy = policy or GatePolicy()
        self._queue = AdmissionQueue()
        self._notices = UpstreamNotices(
            tracker, headers, self._apply_rate_limit, on_leaving, log, counters
        )
        self._crashes = crashes
        self._suspects = SuspectRuns(crashes)
        self._checks = SendChecks(tracker, self._suspects, policy, drain_s)
        self._crash_detector = CrashDetector(pool, address, on_crash, log, counters)
        self._caller = UpstreamCaller(address, pool, headers, self._notices)
        self._pacing_timer: asyncio.TimerHandle | None = None
        self._stopping = False
        self._entry_failure_ratio = 0.0
        self._detached = DetachedCalls()
        self._origins: dict[str, ChainOrigin] = {}
        #: Queued calls by the identity of their descriptions, each with the process
        #: that was checked when it arrived.
        self._waiting_calls: dict[int, tuple[QueuedCall, LocalUpstream]] = {}
        self._unread = UnreadAnswers(self._queue, headers.request_id, log, counters)

    @property
    def queue(self) -> AdmissionQueue:
        """Admission queue of the gate."""
        return self._queue

    @property
    def rate_limit(self) -> float | None:
        """Rate that the upstream accepts, in requests per second; None if unlimited."""
        return self._notices.rate_limit

    @property
    def n_running(self) -> int:
        """Number of calls that the upstream runs."""
        return self._queue.n_running

    def chain_origin(self, request_id: str) -> ChainOrigin | None:
        """Return the root of the chain of a running request.

        :param request_id: id of the request.
        :return: the root; None when the upstream is not running the request.
        """
        return self._origins.get(request_id)

    def apply_upstream_state(self, now: float) -> None:
        """Apply the current state of the upstream to the admission queue.

        :param now: monotonic time, in seconds.
        """
        self._notices.forget_replaced_process(now)
        for queued, checked in tuple(self._waiting_calls.values()):
            problem = self._checks.check_process(checked)
            if problem is not None:
                self._queue.refuse_call(queued, problem.reason)
        upstream = self._tracker.current
        if upstream is not None:
            self._queue.set_upstream(upstream.slots, upstream.cold_ends_at)
            self._admit_waiting_calls(now)

    def stop(self) -> None:
        """Refuse new calls from now on, since the process is about to end."""
        self._stopping = True

    def refuse_unfinishable_calls(self, ends_at: float) -> None:
        """Refuse queued calls that would still run when the process ends.

        :param ends_at: end of the process, on the monotonic clock, in seconds.
        """
        self._queue.refuse_unfinishable(ends_at, now_s(), STOPPING_REASON)

    def withdraw(self, call: HopCall) -> None:
        """Refuse a call if it still waits in the queue; see :class:`GateLink`."""
        waiting = self._waiting_calls.get(id(call))
        if waiting is not None:
            self._queue.refuse_call(waiting[0], "its node is stopping")

    def expire_queued_calls(self) -> None:
        """Refuse queued calls that waited too long or would miss their deadlines.

        Refuses all queued calls once ``GatePolicy.drain_share`` of the upstream's time
        for draining has passed.
        """
        now = now_s()
        self._queue.expire_overdue(now)
        if self._checks.is_drain_wait_over(now):
            self._queue.refuse_waiting("the upstream is draining")
        self._unread.free_slots(now)

    def count_entry_call(self, failed: bool) -> None:
        """Record the outcome of a call through the entry on this VM.

        Such calls include those that the upstream beside this node makes. Their
        failures make the upstream's own answers fail.

        :param failed: whether the call failed.
        """
        target = 1.0 if failed else 0.0
        difference = target - self._entry_failure_ratio
        self._entry_failure_ratio += ENTRY_FAILURE_SMOOTHING * difference

    async def run(self, call: HopCall, request: ForwardedRequest) -> GateResult:
        """Admit a call and send it to the upstream.

        When the caller leaves, a call that may run more than once is cancelled. Any
        other call continues once it was sent, since its effects cannot be undone.

        :param call: description of the call.
        :param request: the HTTP request to send to the upstream.
        :return: the gate's report and the upstream's answer, if any.
        """
        now = now_s()
        self._notices.adopt_limit(call.rate_limit, call.instance, now)
        upstream = self._tracker.current
        if self._stopping:
            problem: NotSent | None = NotSent(HopOutcome.CLOSED, STOPPING_REASON)
        else:
            problem = self._checks.check_arrival(call, now)
        if problem is not None or upstream is None:
            return self._report_not_sent(call, problem, 0.0)
        waiter = self._new_waiter(call, now)
        self._queue.offer_call(waiter.queued, now)
        if waiter.queued.state is AdmissionState.WAITING:
            self._schedule_next_start(now)
            self._unread.free_slots(now)
        if waiter.queued.state is AdmissionState.WAITING:
            await self._wait_for_admission(call, waiter, upstream, now)
        waited_s = now_s() - now
        if waiter.queued.state is not AdmissionState.RUNNING:
            return self._report_refusal(call, waiter.queued.reason, waited_s)
        problem = self._checks.check_admitted(call, upstream, now_s())
        if problem is not None:
            self._free_slot(waiter.queued)
            return self._report_not_sent(call, problem, waited_s)
        if call.kind.is_repeatable:
            return await self._send_admitted_call(
                call, request, waiter.queued, upstream
            )
        return await self._detached.run(
            request, self._send_admitted_call(call, request, waiter.queued, upstream)
        )

    def detached_call(
        self, request: ForwardedRequest
    ) -> "asyncio.Future[GateResult] | None":
        """Return the call that goes on with a request; see :class:`LocalGate`."""
        return self._detached.task_of(request)

    def make_report(
        self,
        outcome: HopOutcome,
        reason: str = "",
        waited_s: float = 0.0,
    ) -> GateReport:
        """Return a report with the outcome of a call and the load of the gate.

        :param outcome: outcome of the call.
        :param reason: reason of the outcome, for logs.
        :param waited_s: time that the call waited at the gate, in seconds.
        """
        upstream = self._tracker.current
        return GateReport(
            outcome=outcome,
            reason=reason,
            n_running=self._queue.n_running,
            n_waiting=self._queue.n_waiting,
            limit=self._queue.sustained_limit(now_s()),
            waited_s=waited_s,
            entry_failure_ratio=self._entry_failure_ratio,
            version=self._version(),
            instance=upstream.instance if upstream is not None else "",
            rate_limit=self._notices.rate_limit,
            is_leaving=upstream is not None and not upstream.is_ready,
        )

    def _apply_rate_limit(self, rate_per_s: float | None, now: float) -> None:
        self._queue.set_rate_limit(rate_per_s, now)
        if self._pacing_timer is not None:
            # It was set for the previous rate.
            self._pacing_timer.cancel()
            self._pacing_timer = None
        self._schedule_next_start(now)

    def _admit_waiting_calls(self, now: float) -> None:
        self._queue.admit_waiting_calls(now)
        self._schedule_next_start(now)

    def _schedule_next_start(self, now: float) -> None:
        """Start the next queued call when the rate limit allows it."""
        if self._pacing_timer is not None:
            return
        delay_s = self._queue.next_start_s(now)
        if delay_s is not None:
            loop = asyncio.get_running_loop()
            self._pacing_timer = loop.call_later(delay_s, self._start_paced_calls)

    def _start_paced_calls(self) -> None:
        self._pacing_timer = None
        self._admit_waiting_calls(now_s())

    def _new_waiter(self, call: HopCall, now: float) -> AdmissionWaiter:
        max_wait_share = self._policy.max_wait_share
        return AdmissionWaiter(admission_request_of(call, now, max_wait_share))

    async def _wait_for_admission(
        self,
        call: HopCall,
        waiter: AdmissionWaiter,
        upstream: LocalUpstream,
        now: float,
    ) -> None:
        loop = asyncio.get_running_loop()
        # Each call has its own timer: scanning the whole queue for each call would cost
        # more the longer the queue is.
        longest_s = self._queue.longest_wait_s(waiter.queued, now)
        timer = loop.call_later(longest_s, self._queue.expire_call, waiter.queued)
        self._waiting_calls[id(call)] = waiter.queued, upstream
        try:
            await waiter.wait_for_decision(loop)
        except asyncio.CancelledError:
            now = now_s()
            self._queue.cancel_call(waiter.queued)
            self._queue.finish_call(waiter.queued, now, was_served=False)
            raise
        finally:
            timer.cancel()
            del self._waiting_calls[id(call)]

    async def _send_admitted_call(
        self,
        call: HopCall,
        request: ForwardedRequest,
        queued: QueuedCall,
        upstream: LocalUpstream,
    ) -> GateResult:
        """Send an admitted call and free its slot, whatever the outcome."""
        answer: Answer | None = None
        is_suspect = self._suspects.begin(call)
        self._origins[call.request_id] = call.origin
        waited_s = queued.started_at - queued.entered_at
        not_sent: NotSent | None = None

        def check_connected(now: float) -> None:
            nonlocal not_sent
            not_sent = self._checks.check_connected(
                call, queued.admission_request, upstream, now
            )
            if self._detached.is_abandoned(request):
                not_sent = NotSent(HopOutcome.REFUSED, "its caller has left")
            if not_sent is not None:
                raise CallWithdrawn(not_sent.reason)

        try:
            deadline_at = queued.admission_request.deadline_at
            answer = await self._caller.call(
                call, request, upstream, deadline_at, check_connected
            )
            return self._report_answer(call, answer, waited_s, queued.started_at)
        except CallWithdrawn:
            return self._report_not_sent(call, not_sent, waited_s)
        except ConnectFailed as error:
            reason = f"the upstream is unreachable: {error}"
            return self._report_failure(call, HopOutcome.CLOSED, reason, waited_s)
        except TimeoutError:
            return self._report_failure(call, HopOutcome.LATE, "deadline", waited_s)
        except CallError as error:
            if isinstance(error, ConnectionBroke):
                check = self._crash_detector.record_broken(upstream, call.fingerprint)
                if call.kind.is_repeatable:
                    # The report then tells the entry whether to try another upstream.
                    await asyncio.wait((check,))
            return self._report_failure(call, HopOutcome.LOST, str(error), waited_s)
        finally:
            self._suspects.end(is_suspect)
            self._origins.pop(call.request_id, None)
            if answer is None:
                self._free_slot(queued)
            elif answer.has_ended:
                self._finish_answered_call(call, queued, upstream, answer)
            else:
                self._unread.add(answer)
                answer.on_end(
                    lambda: self._finish_answered_call(call, queued, upstream, answer)
                )

    def _finish_answered_call(
        self,
        call: HopCall,
        queued: QueuedCall,
        upstream: LocalUpstream,
        answer: Answer,
    ) -> None:
        """Finish a call once its whole answer has arrived or the rest has failed."""
        self._unread.remove(answer)
        if answer.is_broken_off:
            self._crash_detector.record_broken(upstream, call.fingerprint)
        elif answer.is_complete and answer.status < 300:
            self._crashes.record_success(call.fingerprint)
        was_served = answer.status < 500
        self._free_slot(queued, was_served, answer.reader_wait_s(now_s()))

    def _free_slot(
        self, queued: QueuedCall, was_served: bool = False, reader_wait_s: float = 0.0
    ) -> None:
        now = now_s()
        self._queue.finish_call(queued, now, was_served, reader_wait_s)
        self._schedule_next_start(now)

    def _report_answer(
        self, call: HopCall, answer: Answer, waited_s: float, started_at: float
    ) -> GateResult:
        service_s = now_s() - started_at
        names = self._headers
        did_not_run = answer.header(names.not_executed) is not None
        if did_not_run or answer.status == 421:
            reason = f"the upstream answered {answer.status} without running it"
            if answer.status == 421:
                # Another process listens at the upstream's address.
                answer.abandon()
                return self._report_failure(call, HopOutcome.CLOSED, reason, waited_s)
            # A rejection is not passed on; the rest of its body would keep its slot.
            answer.abandon()
            return self._report_failure(call, HopOutcome.SHED, reason, waited_s, answer)
        self._latencies.record(f"upstream:{call.service}", service_s)
        self._counters.add("gate_calls", "answered")
        if self._log.admits_call_line(answer.status >= 500):
            self._log.write_call(
                answer.status >= 500,
                "gate:call",
                request_id=call.request_id,
                service=call.service,
                instance=call.instance,
                configuration=self._version(),
                outcome="answered",
                status=answer.status,
                waited_ms=round(waited_s * 1_000, 1),
                service_ms=round(service_s * 1_000, 1),
                left_ms=round(call.left_s * 1_000),
                n_running=self._queue.n_running,
                n_waiting=self._queue.n_waiting,
            )
        report = self._report_on(call, HopOutcome.ANSWERED, "", waited_s)
        return GateResult(report, answer)

    def _report_not_sent(
        self, call: HopCall, problem: NotSent | None, waited_s: float
    ) -> GateResult:
        assert problem is not None
        return self._report_failure(call, problem.outcome, problem.reason, waited_s)

    def _report_refusal(
        self, call: HopCall, reason: str, waited_s: float
    ) -> GateResult:
        return self._report_failure(call, HopOutcome.REFUSED, reason, waited_s)

    def _report_failure(
        self,
        call: HopCall,
        outcome: HopOutcome,
        reason: str,
        waited_s: float,
        answer: Answer | None = None,
    ) -> GateResult:
        self._counters.add("gate_calls", outcome.value)
        if self._log.admits_call_line(True):
            upstream = self._tracker.current
            self._log.write_call(
                True,
                "gate:call",
                request_id=call.request_id,
                fingerprint=call.fingerprint.hex(),
                service=call.service,
                instance=upstream.instance if upstream is not None else "",
                expected_instance=call.instance,
                configuration=self._version(),
                outcome=outcome.value,
                reason=reason,
                priority=call.priority,
                waited_ms=round(waited_s * 1_000, 1),
                left_ms=round(call.left_s * 1_000),
                n_running=self._queue.n_running,
                n_waiting=self._queue.n_waiting,
                **self._answer_fields(answer),
            )
        return GateResult(self._report_on(call, outcome, reason, waited_s), None)

    def _answer_fields(self, answer: Answer | None) -> dict[str, Any]:
        if answer is None or answer.use is None:
            return {}
        return {
            "connection": answer.use.connection,
            "connection_call": answer.use.call,
            "has_request_id": answer.header(self._headers.request_id) is not None,
        }

    def _report_on(
        self, call: HopCall, outcome: HopOutcome, reason: str, waited_s: float
    ) -> GateReport:
        report = self.make_report(outcome, reason, waited_s)
        crashes = self._crashes.record_of(call.fingerprint, now_s())
        if crashes is None:
            return report
        return msgspec.structs.replace(report, crashes=crashes)
