"""Records how requests at an entry ended: counters, latencies and log lines."""

from knapweedspring_core import Counters
from knapweedspring_relay._clock import now_s
from knapweedspring_relay._gate import Gate
from knapweedspring_relay._histograms import LatencyHistograms
from knapweedspring_relay._logs import DecisionLog
from knapweedspring_relay._request_state import RequestState
from knapweedspring_relay._requests import Request
from knapweedspring_relay._workspace_keys import Caller

__all__ = ["CallRecorder"]

#: Outcomes that say nothing about the services further down the chain.
OUTCOMES_OF_CALLERS = frozenset(
    {
        "caller-left",
        "refused-early",
        "refused-crash",
        "refused-stopping",
        "over-quota",
        "key-withdrawn",
    }
)


class CallRecorder:
    """Records the end of requests.

    :param gate: the gate of this node, which is told of failures.
    :param log: decision log.
    :param counters: counts outcomes.
    :param latencies: records the time to an answer.
    """

    def __init__(
        self,
        gate: Gate,
        log: DecisionLog,
        counters: Counters,
        latencies: LatencyHistograms,
    ) -> None:
        self._gate = gate
        self._log = log
        self._counters = counters
        self._latencies = latencies

    def record_end(
        self, state: RequestState, request: Request, outcome: str, status: int
    ) -> None:
        """Record the end of a request that had a route.

        :param state: state of the request.
        :param request: the request.
        :param outcome: outcome, for counters and logs.
        :param status: status of the answer; 0 when there was none.
        """
        now = now_s()
        latency_s = now - request.arrived_at
        failed = outcome != "answered" or status >= 500
        if outcome not in OUTCOMES_OF_CALLERS:
            self._gate.count_entry_call(failed)
        self._counters.add("calls", f"{outcome}-{status}")
        self._latencies.record(f"route:{state.route.name}", latency_s)
        if self._log.admits_call_line(failed):
            self._log.write_call(
                failed,
                "entry:call",
                request_id=state.request_id,
                fingerprint=state.fingerprint.hex(),
                route=state.route.name,
                configuration=state.version,
                service=state.service,
                gate=state.last_node,
                n_offers=state.n_offers,
                n_sent=state.n_sent,
                outcome=outcome,
                workspace=state.origin.workspace,
                root_priority=state.origin.priority,
                status=status,
                reason=state.last_reason if failed else "",
                latency_ms=round(latency_s * 1_000, 1),
                left_ms=round((state.deadline_at - now) * 1_000),
            )

    def record_unrouted(
        self,
        request_id: bytes | None,
        status: int,
        reason: str,
        version: int,
        caller: Caller | None = None,
    ) -> None:
        """Record a request that was refused before it got a route.

        :param request_id: id of the request; None when it has none.
        :param status: status of the answer.
        :param reason: why it was refused.
        :param version: version of the configuration in force; 0 when there is none.
        :param caller: who sent the request, if its key was read.
        """
        self._counters.add("calls", f"unrouted-{status}")
        self._log.write_call(
            True,
            "entry:call",
            request_id=(request_id or b"").decode("latin-1"),
            outcome="unrouted",
            status=status,
            reason=reason,
            configuration=version,
            key=caller.logged_key if caller is not None else "",
        )
