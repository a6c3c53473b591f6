"""Reports events of the process that no other part writes to log and counters."""

import traceback

from knapweedspring_core import Counters
from knapweedspring_relay._clock import now_s
from knapweedspring_relay._crash_records import CrashRecord
from knapweedspring_relay._hop import HopCall
from knapweedspring_relay._logs import DecisionLog
from knapweedspring_relay._memory_budget import MemoryAccount
from knapweedspring_relay._requests import Request

__all__ = ["EventReporter"]


class EventReporter:
    """Writes errors that were caught, and requests that are refused after crashes.

    :param request_id_header: name of the header with the id of a request.
    :param log: decision log.
    :param counters: counts the events.
    """

    def __init__(
        self, request_id_header: bytes, log: DecisionLog, counters: Counters
    ) -> None:
        self._request_id_header = request_id_header
        self._log = log
        self._counters = counters

    def report_handler_error(self, request: Request, error: Exception) -> None:
        """Report that the handler of a request raised an error."""
        self._counters.add("handler_failures", type(error).__name__)
        request_id = request.header(self._request_id_header) or b""
        self._log.write_state(
            "handler:failed",
            request_id=request_id.decode("latin-1"),
            target=request.target.decode("latin-1"),
            error=repr(error),
            traceback="".join(traceback.format_exception(error, limit=-6)),
        )

    def report_hop_error(self, call: HopCall, error: Exception) -> None:
        """Report that the handling of a call of another node raised an error."""
        self._counters.add("handler_failures", type(error).__name__)
        self._log.write_state(
            "handler:failed",
            request_id=call.request_id,
            route=call.route,
            error=repr(error),
            traceback="".join(traceback.format_exception(error, limit=-6)),
        )

    def report_ended_connection(
        self, request: Request | None, phase: str, account: MemoryAccount
    ) -> None:
        """Report a connection that was ended since memory or descriptors are short.

        :param request: the request that was being answered, if any.
        :param phase: what the connection was doing.
        :param account: account of the connection.
        """
        request_id = b"" if request is None else request.header(self._request_id_header)
        self._report_ended(request_id or b"", phase, account)

    def report_ended_call(
        self, call: HopCall, phase: str, account: MemoryAccount
    ) -> None:
        """Report a call of another node that was ended since memory is short.

        :param call: the call.
        :param phase: what the node was doing with it.
        :param account: account of the call.
        """
        self._report_ended(call.request_id.encode("latin-1"), phase, account)

    def _report_ended(
        self, request_id: bytes, phase: str, account: MemoryAccount
    ) -> None:
        self._counters.add("peers_ended", phase)
        if not self._log.admits_call_line(True):
            return
        budget = account.budget
        self._log.write_call(
            True,
            "peer:ended",
            request_id=request_id.decode("latin-1"),
            phase=phase,
            n_bytes=account.n_bytes,
            held_s=round(now_s() - account.since, 2),
            n_peer_bytes=budget.n_bytes,
            n_peer_connections=budget.n_connections,
        )

    def report_timer_error(self, error: BaseException) -> None:
        """Report that the callback of a timer raised an error."""
        self._counters.add("timer_failures")
        self._log.write_state("timer:failed", error=repr(error))

    def report_refused_request(self, record: CrashRecord) -> None:
        """Report a request that is refused from now on after crashes."""
        self._counters.add("requests_refused_for_crashes")
        self._log.write_state(
            "request:refused",
            fingerprint=record.fingerprint.hex(),
            instances=[process.instance for process in record.processes],
            age_s=round(record.age_s, 1),
        )
