"""Decides whether a call may run at the upstream after crashes with it in flight."""

from knapweedspring_relay._crash_records import CrashRecords
from knapweedspring_relay._hop import HopCall

__all__ = ["SuspectRuns"]


class SuspectRuns:
    """Runs of requests that may end the upstream.

    A request that is one crash short of being refused runs only while no other such
    request does, so that a further crash shows which of them is the cause.

    :param crashes: crashes by request.
    """

    def __init__(self, crashes: CrashRecords) -> None:
        self._crashes = crashes
        self._is_running = False

    def refusal_reason(self, call: HopCall, now: float) -> str:
        """Return why a call may not run now; empty when it may.

        :param call: the call, with what its sender knows of crashes.
        :param now: monotonic time, in seconds.
        """
        if call.crashes is not None:
            self._crashes.merge(call.crashes, now)
        reason = self.crash_reason(call, now)
        if reason:
            return reason
        if self._is_running and self._crashes.is_likely_cause(call.fingerprint):
            return "another request that may end the upstream is running"
        return ""

    def crash_reason(self, call: HopCall, now: float) -> str:
        """Return why a call may not run beside any others; empty when it may.

        :param call: the call.
        :param now: monotonic time, in seconds.
        """
        if self._crashes.is_refused(call.fingerprint, now):
            return "the request ran on several upstreams that ended"
        return ""

    def begin(self, call: HopCall) -> bool:
        """Record the start of a call.

        :param call: the call.
        :return: whether its request may end the upstream; pass it to :meth:`end`.
        """
        is_suspect = self._crashes.is_likely_cause(call.fingerprint)
        if is_suspect:
            self._is_running = True
        return is_suspect

    def end(self, is_suspect: bool) -> None:
        """Record the end of a call.

        :param is_suspect: the result of :meth:`begin`.
        """
        if is_suspect:
            self._is_running = False
