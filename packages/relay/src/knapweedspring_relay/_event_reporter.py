"""Reports events of the process that no other part writes to log and counters."""

import traceback

from knapweedspring_core import Counters
from knapweedspring_relay._crash_records import CrashRecord
from knapweedspring_relay._hop import HopCall
from knapweedspring_relay._logs import DecisionLog
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
