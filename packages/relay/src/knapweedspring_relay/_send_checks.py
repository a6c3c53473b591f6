"""Decides at each step whether a call may still be sent to the upstream."""

from knapweedspring_relay._admission_request import AdmissionRequest
from knapweedspring_relay._gate_policy import GatePolicy
from knapweedspring_relay._hop import HopCall, HopOutcome
from knapweedspring_relay._local_upstream import LocalUpstream, UpstreamTracker
from knapweedspring_relay._suspect_runs import SuspectRuns

__all__ = ["MIN_LEFT_S", "NotSent", "SendChecks"]

#: A call is admitted, and sent, only if more than this time is left until its deadline,
#: in seconds.
MIN_LEFT_S = 0.005


class NotSent:
    """Why a call is not sent.

    :param outcome: outcome of the call.
    :param reason: reason, for logs.
    """

    def __init__(self, outcome: HopOutcome, reason: str) -> None:
        self.outcome = outcome
        self.reason = reason


class SendChecks:
    """Checks a call when it arrives, and again after each wait until it is sent.

    While a call waits for a slot or a connection, the process that it was checked
    against may be replaced by one of another service at the same address, may drain for
    too long, or may be known to end under the request; and the time left gets shorter.

    :param tracker: tracks the state of the upstream.
    :param suspects: runs of requests that may end the upstream.
    :param policy: how long calls wait.
    :param drain_s: time for which a draining upstream continues to serve, in seconds.
    """

    def __init__(
        self,
        tracker: UpstreamTracker,
        suspects: SuspectRuns,
        policy: GatePolicy,
        drain_s: float,
    ) -> None:
        self._tracker = tracker
        self._suspects = suspects
        self._max_drain_wait_s = policy.drain_share * drain_s

    def check_arrival(self, call: HopCall, now: float) -> NotSent | None:
        """Check a call that arrives; None when the gate accepts it.

        :param call: description of the call.
        :param now: monotonic time, in seconds.
        """
        upstream = self._tracker.current
        if upstream is None:
            return NotSent(HopOutcome.CLOSED, "no upstream is known")
        if upstream.service != call.service:
            return NotSent(HopOutcome.CLOSED, "the upstream runs another service")
        if call.instance and call.instance != upstream.instance:
            return NotSent(HopOutcome.CLOSED, "another upstream was expected")
        if not upstream.is_ready:
            return NotSent(HopOutcome.CLOSED, "the upstream is draining")
        if call.left_s <= MIN_LEFT_S:
            return NotSent(HopOutcome.REFUSED, "too little time is left")
        return self._check_crashes(call, now)

    def check_admitted(
        self, call: HopCall, checked: LocalUpstream, now: float
    ) -> NotSent | None:
        """Check a call that got a slot; None when it may be sent.

        :param call: description of the call.
        :param checked: the process that was checked when the call arrived.
        :param now: monotonic time, in seconds.
        """
        return self.check_process(checked) or self._check_crashes(call, now)

    def check_connected(
        self,
        call: HopCall,
        request: AdmissionRequest,
        checked: LocalUpstream,
        now: float,
    ) -> NotSent | None:
        """Check a call whose connection is established; None when it may be sent.

        :param call: description of the call.
        :param request: the call as the admission queue sees it.
        :param checked: the process that was checked when the call arrived.
        :param now: monotonic time, in seconds.
        """
        problem = self.check_process(checked)
        if problem is not None:
            return problem
        if self.is_drain_wait_over(now):
            return NotSent(HopOutcome.REFUSED, "the upstream is draining")
        if request.deadline_at - now <= MIN_LEFT_S:
            return NotSent(HopOutcome.REFUSED, "too little time is left")
        reason = self._suspects.crash_reason(call, now)
        return NotSent(HopOutcome.REFUSED, reason) if reason else None

    def check_process(self, checked: LocalUpstream) -> NotSent | None:
        """Check that a process has not been replaced or given up; None if so.

        :param checked: the process that was checked when a call arrived.
        """
        current = self._tracker.current
        if current is None:
            return NotSent(HopOutcome.CLOSED, "no upstream is known")
        if not current.is_same_process(checked):
            return NotSent(HopOutcome.CLOSED, "another process replaced the upstream")
        return None

    def is_drain_wait_over(self, now: float) -> bool:
        """Return whether the upstream drains for too long to be sent queued calls.

        :param now: monotonic time, in seconds.
        """
        upstream = self._tracker.current
        if upstream is None or upstream.draining_at is None:
            return False
        return now - upstream.draining_at > self._max_drain_wait_s

    def _check_crashes(self, call: HopCall, now: float) -> NotSent | None:
        reason = self._suspects.refusal_reason(call, now)
        return NotSent(HopOutcome.REFUSED, reason) if reason else None
