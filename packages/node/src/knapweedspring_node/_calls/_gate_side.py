"""Gate side of a hop: admission, exchange with the upstream, and the answer."""

import time
from collections.abc import Iterator
from dataclasses import dataclass, replace

from result import Err

from knapweedspring_core import (
    Counters,
    DeclarationStore,
    EventLog,
    Header,
    Outcome,
    Reason,
    Refusal,
)
from knapweedspring_node._calls._admission import Admission, AdmissionRequest, Rank
from knapweedspring_node._calls._context import HopContext
from knapweedspring_node._calls._errors import (
    CallerLeft,
    DeadlinePassed,
    NodeStopping,
    OutboundError,
    PeerUnreachable,
)
from knapweedspring_node._calls._in_flight import InFlightTable, RunningCall
from knapweedspring_node._calls._levels import LevelTable
from knapweedspring_node._calls._outbound import (
    CONNECTION_HEADERS,
    Answer,
    ConnectionPools,
    OutboundCall,
)
from knapweedspring_node._calls._reply import RefusedReply, RelayedReply, Reply
from knapweedspring_node._calls._request import CallRequest
from knapweedspring_node._calls._run_ledger import RunLedger, RunState
from knapweedspring_node._calls._upstreams import LocalUpstream, LocalUpstreams

__all__ = ["GateSide"]

#: Lowest HTTP status of an answer that counts as an error of the upstream.
MIN_ERROR_STATUS = 500
#: HTTP status with which an upstream refuses a call before running it.
STATUS_SHED = 503


@dataclass(slots=True)
class _Run:
    """State of one admitted call while it runs at the upstream."""

    #: The upstream and its gate.
    upstream: LocalUpstream
    #: Slot of the call at the gate.
    admission: Admission
    #: Entry of the call in the in-flight table.
    call: RunningCall
    #: When the exchange with the upstream began, on the monotonic clock, in seconds.
    started_at: float


class GateSide:
    """Runs calls at the upstreams on this VM.

    :param upstreams: upstreams on this VM and their gates.
    :param pools: connections to the upstreams.
    :param in_flight: running calls by context token.
    :param ledger: runs of calls that may not run again.
    :param store: declarations in force.
    :param levels: admission levels of the services that the upstreams call.
    :param events: receives the events of runs.
    :param counters: receives the counts of refusals and failures.
    :param epoch: random number that identifies this process.
    """

    def __init__(
        self,
        upstreams: LocalUpstreams,
        pools: ConnectionPools,
        in_flight: InFlightTable,
        ledger: RunLedger,
        store: DeclarationStore,
        levels: LevelTable,
        events: EventLog,
        counters: Counters,
        epoch: int,
    ) -> None:
        self._upstreams = upstreams
        self._pools = pools
        self._in_flight = in_flight
        self._ledger = ledger
        self._store = store
        self._levels = levels
        self._events = events
        self._counters = counters
        self._epoch = epoch

    @property
    def epoch(self) -> int:
        """Random number that identifies this process."""
        return self._epoch

    def run(self, request: CallRequest, hop: HopContext) -> Reply:
        """Run a call at the upstream of its service, or refuse it.

        :param request: the call; its connection shows whether the caller has
            disconnected.
        :param hop: authenticated context of the call.
        :return: the upstream's answer or a refusal.
        """
        upstream = self._upstreams.find(request.service)
        if upstream is None:
            return self._refuse(hop, None, Refusal(Outcome.NOT_RUN, Reason.NO_UPSTREAM))
        if hop.run_key is not None and hop.gate_epoch != self._epoch:
            refusal = Refusal(Outcome.NOT_RUN, Reason.GATE_RESTARTED)
            return self._refuse(hop, upstream, refusal)
        deadline_at = time.monotonic() + hop.time_left_ms / 1_000
        admission_request = AdmissionRequest(
            rank=Rank(hop.priority, hop.started, hop.draw),
            class_name=hop.class_name,
            deadline_at=deadline_at,
            is_disconnected=request.caller_connection.is_disconnected,
        )
        admitted = upstream.gate.admit(admission_request)
        if isinstance(admitted, Err):
            return self._refuse(hop, upstream, admitted.err_value)
        admission = admitted.ok_value
        address = upstream.announced.address
        if not self._upstreams.serves_at(request.service, address):
            # Another upstream may have its address since the call was queued.
            admission.finish(0.0, succeeded=False)
            refusal = Refusal(Outcome.NOT_RUN, Reason.NO_UPSTREAM)
            return self._refuse(hop, upstream, refusal)
        run_refusal = self._record_start(hop)
        if run_refusal is not None:
            admission.finish(0.0, succeeded=False)
            return self._refuse(hop, upstream, run_refusal)
        call = self._in_flight.begin(hop, deadline_at)
        run = _Run(upstream, admission, call, time.monotonic())
        try:
            return self._exchange(request, run)
        except BaseException:
            self._finish_run(run, succeeded=False)
            raise

    def _record_start(self, hop: HopContext) -> Refusal | None:
        """Record the start of a run that may happen only once.

        :return: the refusal, or None when the run may start.
        """
        if hop.run_key is None:
            return None
        if self._ledger.is_full():
            return Refusal(Outcome.NOT_RUN, Reason.OVERLOADED, 1_000, "ledger is full")
        earlier = self._ledger.start(hop.run_key)
        if earlier is RunState.REVOKED:
            return Refusal(Outcome.NOT_RUN, Reason.REVOKED)
        if earlier is RunState.STARTED:
            return Refusal(Outcome.UNKNOWN, Reason.TICKET_SPENT)
        self._events.trace(
            "gate:started", ticket=str(hop.run_key), attempt=str(hop.attempt)
        )
        return None

    def _exchange(self, request: CallRequest, run: _Run) -> Reply:
        hop = run.call.hop
        address = run.upstream.announced.address
        exchanged = self._pools.exchange(
            OutboundCall(
                address=address,
                method=request.method,
                target=request.target,
                headers=request.headers + _upstream_headers(run.call),
                body=request.body,
                deadline_at=run.call.deadline_at,
                caller_connection=request.caller_connection,
                may_send=lambda: self._upstreams.serves_at(request.service, address),
            )
        )
        if isinstance(exchanged, Err):
            return self._refuse_after_exchange_error(run, exchanged.err_value)
        answer = exchanged.ok_value
        if self._was_shed(request.service, run.call, answer):
            answer.release(False)
            return self._refuse_not_run(run, Reason.UPSTREAM_SHED)
        if not answer.framed:
            answer.release(False)
            self._finish_run(run, succeeded=False)
            return self._refuse_after_send(
                run, Outcome.RAN, Reason.ANSWER_UNFRAMED, hop
            )
        return self._relay_answer(run, answer)

    def _relay_answer(self, run: _Run, answer: Answer) -> RelayedReply:
        n_tokens_left = run.call.budget.close()
        succeeded = answer.status < MIN_ERROR_STATUS
        headers = tuple(
            (name, value)
            for name, value in answer.headers
            if name.lower() not in CONNECTION_HEADERS
            and not name.lower().startswith("kws-")
        )
        relayed = RelayedReply(
            status=answer.status,
            phrase=answer.phrase,
            headers=headers,
            body=answer.body,
            length=answer.length,
            n_tokens_left=n_tokens_left,
            gate_epoch=self._epoch,
        )
        if answer.body is not None:
            answer.release(True)
            self._finish_run(run, succeeded=succeeded)
            return replace(relayed, load=self._load_header(run.upstream, run.call))

        def close(whole: bool) -> None:
            answer.release(whole)
            self._finish_run(run, succeeded=whole and succeeded)

        return replace(
            relayed,
            chunks=_until_deadline(answer.chunks or iter(()), run.call.deadline_at),
            close=close,
            load=self._load_header(run.upstream, run.call),
        )

    def _load_header(self, upstream: LocalUpstream, call: RunningCall) -> str:
        """Return the header text of the gate load and the deeper services' levels."""
        deeper_levels = self._levels.format_deeper_levels(
            call.child_services, call.hop.class_name, time.monotonic()
        )
        return upstream.gate.load().to_header() + deeper_levels

    def _refuse_after_exchange_error(
        self, run: _Run, error: OutboundError
    ) -> RefusedReply:
        self._counters.add("upstream_exchange_failed", type(error).__name__)
        if isinstance(error, PeerUnreachable):
            return self._refuse_not_run(run, Reason.UPSTREAM_UNREACHABLE)
        self._finish_run(run, succeeded=False)
        if isinstance(error, DeadlinePassed):
            reason = Reason.DEADLINE
        elif isinstance(error, CallerLeft):
            reason = Reason.CALLER_LEFT
        elif isinstance(error, NodeStopping):
            reason = Reason.DRAINING
        else:
            reason = Reason.UPSTREAM_BROKE_OFF
        return self._refuse_after_send(run, Outcome.UNKNOWN, reason, run.call.hop)

    def _was_shed(self, service: str, call: RunningCall, answer: Answer) -> bool:
        """Return whether the upstream refused the call before running it.

        A 503 has this meaning only for a service that declares
        ``sheds_before_running``. A call whose child calls have started did run.
        """
        if answer.status != STATUS_SHED or call.n_children_started:
            return False
        declared = self._store.service(service)
        return declared is not None and declared.sheds_before_running

    def _refuse_not_run(self, run: _Run, reason: Reason) -> RefusedReply:
        """Refuse a call that the upstream did not run, so that it may run later."""
        hop = run.call.hop
        if hop.run_key is not None:
            self._ledger.withdraw(hop.run_key)
            self._events.trace("gate:withdrawn", ticket=str(hop.run_key))
        n_tokens_left = run.call.budget.close()
        self._finish_run(run, succeeded=False)
        refusal = Refusal(Outcome.NOT_RUN, reason)
        return self._refuse(hop, run.upstream, refusal, n_tokens_left)

    def _refuse_after_send(
        self, run: _Run, outcome: Outcome, reason: Reason, hop: HopContext
    ) -> RefusedReply:
        n_tokens_left = run.call.budget.close()
        refusal = Refusal(outcome, reason)
        return self._refuse(hop, run.upstream, refusal, n_tokens_left)

    def _finish_run(self, run: _Run, succeeded: bool) -> None:
        self._in_flight.end(run.call)
        key = run.call.hop.run_key
        if key is not None:
            self._events.trace("gate:finished", ticket=str(key))
        service_s = time.monotonic() - run.started_at
        own_s = max(0.0, service_s - run.call.children_outstanding_s)
        run.admission.finish(service_s, succeeded, own_s)

    def _refuse(
        self,
        hop: HopContext,
        upstream: LocalUpstream | None,
        refusal: Refusal,
        n_tokens_left: int | None = None,
    ) -> RefusedReply:
        self._counters.add("gate_refusals", refusal.reason)
        load = "" if upstream is None else upstream.gate.load().to_header()
        return RefusedReply(
            refusal,
            n_tokens_left=hop.n_tokens if n_tokens_left is None else n_tokens_left,
            load=load,
            gate_epoch=self._epoch,
        )


def _upstream_headers(call: RunningCall) -> tuple[tuple[str, str], ...]:
    left_ms = max(int((call.deadline_at - time.monotonic()) * 1_000), 1)
    return (
        (Header.REQUEST_ID.value, call.hop.request_id),
        (Header.REQUEST_CLASS.value, call.hop.class_name),
        (Header.DEADLINE_MS.value, str(left_ms)),
        (Header.CONTEXT.value, call.token),
    )


def _until_deadline(chunks: Iterator[bytes], deadline_at: float) -> Iterator[bytes]:
    for chunk in chunks:
        yield chunk
        if time.monotonic() > deadline_at:
            raise TimeoutError("the deadline passed while the answer was streamed")
