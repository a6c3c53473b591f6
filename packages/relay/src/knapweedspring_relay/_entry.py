"""Entry: receives callers' requests and sends each to an upstream through its gate."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from knapweedspring_core import Counters
from knapweedspring_relay._answer import Answer
from knapweedspring_relay._attempt_results import (
    attempt_result_of,
    result_without_report,
)
from knapweedspring_relay._balancer import AttemptResult, Balancer
from knapweedspring_relay._chain_health import LOW_PRIORITY, ChainHealth
from knapweedspring_relay._clock import now_s
from knapweedspring_relay._configuration import (
    CallLimits,
    Route,
    RouteTable,
)
from knapweedspring_relay._crash_records import CrashRecords
from knapweedspring_relay._destination_splitter import DestinationSplitter
from knapweedspring_relay._errors import CallError, ConnectFailed
from knapweedspring_relay._gate import Gate
from knapweedspring_relay._gate_link import GateLink
from knapweedspring_relay._gate_result import GateResult
from knapweedspring_relay._headers import CallHeaders
from knapweedspring_relay._histograms import LatencyHistograms
from knapweedspring_relay._hop import HopCall, HopOutcome
from knapweedspring_relay._hop_client import HopPool, RemoteGate
from knapweedspring_relay._http_server import Exchange, RequestHandler
from knapweedspring_relay._knowledge import GateEntry
from knapweedspring_relay._logs import DecisionLog
from knapweedspring_relay._messages import to_forwarded_request
from knapweedspring_relay._relaying import relay_answer
from knapweedspring_relay._request_fingerprint import RequestFingerprinter
from knapweedspring_relay._request_state import RequestState, stated_deadline_s
from knapweedspring_relay._requests import ForwardedRequest, Header, Request
from knapweedspring_relay._retry_budget import RetryBudget

__all__ = ["Entry", "NodeIdentity"]

#: Number of offers of one request that gates may refuse, or not receive because they
#: are unreachable, before the entry answers the caller with a failure.
MAX_REFUSED_OFFERS = 3
#: Maximum number of times that one request is sent to upstreams. An upstream that shed
#: the request may get it again: some upstreams shed at random, and a chain completes
#: only if each of its calls completes.
MAX_SENDS = 4
#: Time past the deadline for which the rest of an answer is still relayed, in seconds.
LATE_ANSWER_GRACE_S = 0.1
#: Least time left until the deadline for a retry, as share of the route's goal.
MIN_RETRY_GOAL_SHARE = 0.1
#: Least failure ratio of the calls through the entry on an upstream's VM at which the
#: upstream's failures are attributed to a service further down the call chain. The
#: calls through that entry include those that the upstream makes. Such failures are
#: not retried: another run would only add load to the failing service.
DEEPER_FAILURE_RATIO = 0.05
#: Bounds of Retry-After as shares of the route's goal. Callers' retries are spread out
#: and come early enough for their answers to be useful.
RETRY_AFTER_MIN_SHARE = 0.15
RETRY_AFTER_MAX_SHARE = 0.4
#: Bounds of Retry-After as shares of the time left, for requests that are refused early
#: while whole chains fail.
EARLY_REFUSAL_RETRY_AFTER_MIN_SHARE = 0.2
EARLY_REFUSAL_RETRY_AFTER_MAX_SHARE = 0.33
#: Retry-After of a request that is refused because upstreams ended under it, in
#: seconds. The refusal lasts longer than any caller waits.
CRASH_RETRY_AFTER_S = 300.0
#: Retry-After of a node that has no configuration yet, in seconds.
UNCONFIGURED_RETRY_AFTER_S = 0.5


@dataclass(frozen=True, slots=True)
class NodeIdentity:
    """Service and name of a node."""

    #: Service on this VM.
    caller_service: str
    #: Name of this node.
    node: str


class Entry(RequestHandler):
    """Routes requests, offers them to gates and retries them where that is allowed.

    :param identity: service and name of this node.
    :param headers: names of the callers' headers.
    :param table: returns the routes in force; None before the first configuration.
    :param balancer: selects gates.
    :param gate: the gate of this node.
    :param pool: connections to other nodes.
    :param budget: limits the retries of this node.
    :param splitter: distributes requests among a route's destinations.
    :param on_peer_version: called with the configuration version in force at a gate.
    :param crashes: requests that are refused because upstreams ended under them.
    :param log: decision log.
    :param counters: counts outcomes.
    :param latencies: records the time to an answer.
    :param rng: samples early refusals and spreads Retry-After values.
    """

    def __init__(
        self,
        identity: NodeIdentity,
        headers: CallHeaders,
        table: Callable[[], RouteTable | None],
        balancer: Balancer,
        gate: Gate,
        pool: HopPool,
        budget: RetryBudget,
        splitter: DestinationSplitter,
        on_peer_version: Callable[[int], None],
        crashes: CrashRecords,
        log: DecisionLog,
        counters: Counters,
        latencies: LatencyHistograms,
        rng: random.Random,
    ) -> None:
        self._identity = identity
        self._headers = headers
        self._table = table
        self._balancer = balancer
        self._gate = gate
        self._pool = pool
        self._budget = budget
        self._splitter = splitter
        self._on_peer_version = on_peer_version
        self._crashes = crashes
        self._log = log
        self._counters = counters
        self._latencies = latencies
        self._rng = rng
        self._chain_health = ChainHealth()
        self._fingerprinter = RequestFingerprinter(headers)

    @property
    def limits(self) -> CallLimits:
        """Limits on the requests of callers, from the configuration in force."""
        table = self._table()
        return table.configuration.limits if table is not None else CallLimits()

    def set_identity(self, identity: NodeIdentity) -> None:
        """Replace the identity of this node after a reload of the settings.

        :param identity: service and name of this node.
        """
        self._identity = identity

    async def handle(self, exchange: Exchange) -> None:
        """Route a caller's request and answer it.

        :param exchange: the request and its connection.
        """
        request = exchange.request
        table = self._table()
        if table is None:
            self._refuse_unrouted(exchange, 503, "no configuration is known yet")
            return
        route = table.match(
            (request.header(b"host") or b"").decode("latin-1"),
            request.target.decode("latin-1"),
        )
        if route is None:
            self._refuse_unrouted(exchange, 404, "no route matches")
            return
        state = self._new_request_state(request, route, table.configuration.version)
        if self._is_refused_early(state, request.arrived_at):
            self._refuse_early(state, exchange)
            return
        try:
            await self._run_request(state, exchange)
        except asyncio.CancelledError:
            self._record_request_end(state, exchange, "caller-left", 0)
            raise

    def _new_request_state(
        self, request: Request, route: Route, version: int
    ) -> RequestState:
        stated_s = stated_deadline_s(request.header(self._headers.deadline_ms))
        left_s = min(stated_s, route.timeout_s)
        header = request.header(self._headers.request_id) or b""
        request_id = header.decode("latin-1")
        return RequestState(
            route=route,
            service=self._splitter.choose_service(route),
            request_id=request_id,
            fingerprint=self._fingerprinter.fingerprint(request),
            chain_priority=self._chain_priority(request_id),
            deadline_at=request.arrived_at + left_s,
            version=version,
        )

    def _chain_priority(self, request_id: str) -> int | None:
        """Return the root priority of the chain that a request belongs to, if known.

        A call made by the upstream beside this node belongs to the chain of the request
        that the upstream is running.
        """
        parent_id = self._headers.parent_of(request_id)
        return None if parent_id is None else self._gate.root_priority(parent_id)

    def _is_refused_early(self, state: RequestState, now: float) -> bool:
        """Return whether to refuse a request before it starts.

        A call that a running request makes is never refused before it starts.
        """
        if state.chain_priority is not None:
            return False
        share = self._chain_health.refused_share(state.route, now)
        return share > 0.0 and self._rng.random() < share

    async def _run_request(self, state: RequestState, exchange: Exchange) -> None:
        """Offer the request to gates until its outcome is final."""
        request = to_forwarded_request(exchange.request, self._headers.set_by_system)
        self._budget.count_request(state.service, now_s())
        while True:
            entry = self._next_gate(state)
            if entry is None:
                self._send_failure_answer(state, exchange)
                return
            gate_result = await self._offer_to_gate(state, entry, request)
            if gate_result is None:
                continue
            if await self._handle_outcome(state, exchange, gate_result):
                return

    def _next_gate(self, state: RequestState) -> GateEntry | None:
        now = now_s()
        if state.deadline_at <= now:
            return None
        if self._crashes.is_refused(state.fingerprint, now):
            state.is_refused_for_crashes = True
            state.last_reason = "the request ran on several upstreams that ended"
            return None
        entry = self._select_gate(state, now)
        if entry is not None:
            state.n_offers += 1
            state.excluded |= {entry.node}
            state.last_node = entry.node
        return entry

    def _select_gate(self, state: RequestState, now: float) -> GateEntry | None:
        """Return the gate for the next offer; None when no gate may get the request.

        A request may have been sent to as many upstreams as its route allows. When all
        of them shed it, none has run it, so it is sent to one of them again.
        """
        if state.n_offers >= MAX_REFUSED_OFFERS + state.n_sent:
            return None
        if len(state.sent_to) < state.route.max_attempts:
            return self._balancer.select_gate(
                state.service, state.route, state.excluded, now
            )
        others = state.sent_to - {state.last_node}
        return self._balancer.select_gate_among(
            state.service, state.route, others or state.sent_to, now
        )

    async def _offer_to_gate(
        self, state: RequestState, entry: GateEntry, request: ForwardedRequest
    ) -> GateResult | None:
        """Offer the request to a gate.

        :return: the result; None when the gate is unreachable.
        """
        now = now_s()
        call = self._hop_call(state, entry, now)
        result, report = AttemptResult.NOTHING, None
        self._balancer.record_attempt_start(entry)
        try:
            gate_result = await self._link_to(entry).run(call, request)
            report = gate_result.report
            result = attempt_result_of(gate_result)
            self._on_peer_version(report.version)
            if report.crashes is not None:
                self._crashes.merge(report.crashes, now_s())
            if result is AttemptResult.GOOD:
                ended = now_s()
                self._balancer.record_answer_latency(
                    entry, state.route, ended - now, ended
                )
            return gate_result
        except ConnectFailed as error:
            result = AttemptResult.UNREACHABLE
            state.last_reason = f"gate unreachable: {error}"
            self._counters.add("gates_unreachable", entry.node)
            return None
        except CallError as error:
            result = AttemptResult.UNREACHABLE
            return result_without_report(
                HopOutcome.LOST, f"connection to the gate: {error}"
            )
        except TimeoutError:
            return result_without_report(HopOutcome.LATE, "deadline")
        finally:
            self._balancer.record_attempt_end(entry, result, report, now_s())

    async def _handle_outcome(
        self, state: RequestState, exchange: Exchange, gate_result: GateResult
    ) -> bool:
        """Answer the request if the outcome of an offer is final.

        :return: whether the request is answered; False if it is to be offered to
            another gate.
        """
        report, answer = gate_result.report, gate_result.answer
        state.last_reason = report.reason
        if report.outcome in (HopOutcome.REFUSED, HopOutcome.CLOSED):
            return False
        state.n_sent += 1
        state.sent_to |= {state.last_node}
        if report.outcome is HopOutcome.SHED:
            if self._may_retry(state):
                return False
            _abandon_answer(answer)
            self._send_failure_answer(state, exchange)
            return True
        state.may_have_run = True
        if report.outcome is HopOutcome.ANSWERED and answer is not None:
            is_own_failure = report.entry_failure_ratio < DEEPER_FAILURE_RATIO
            failed_deeper = answer.status >= 500 and not is_own_failure
            self._chain_health.record_outcome(state.route, failed_deeper, now_s())
            if answer.status >= 500 and is_own_failure and self._may_retry(state):
                answer.abandon()
                return False
            await self._deliver_answer(state, exchange, answer)
            return True
        if report.outcome is HopOutcome.LOST and self._may_retry(state):
            return False
        self._send_failure_answer(state, exchange)
        return True

    def _may_retry(self, state: RequestState) -> bool:
        """Return whether the request may be retried, and spend a retry if so."""
        route = state.route
        now = now_s()
        if state.may_have_run and not route.kind.is_repeatable:
            return False
        if state.n_sent >= MAX_SENDS:
            return False
        if self._crashes.is_refused(state.fingerprint, now):
            return False
        if state.may_have_run and state.n_sent >= route.max_attempts:
            return False
        if state.deadline_at - now < MIN_RETRY_GOAL_SHARE * route.goal_s:
            return False
        if self._select_gate(state, now) is None:
            return False
        is_low_priority = max(route.priority, state.root_priority) >= LOW_PRIORITY
        return self._budget.try_spend(
            state.service, is_low_priority, state.may_have_run, now
        )

    async def _deliver_answer(
        self, state: RequestState, exchange: Exchange, answer: Answer
    ) -> None:
        if answer.is_complete:
            is_whole = await relay_answer(exchange, answer)
        else:
            is_whole = await self._stream_answer(state, exchange, answer)
        if is_whole and answer.status < 300:
            self._crashes.record_success(state.fingerprint)
        self._record_request_end(
            state, exchange, "answered" if is_whole else "broke-off", answer.status
        )

    async def _stream_answer(
        self, state: RequestState, exchange: Exchange, answer: Answer
    ) -> bool:
        left_s = state.deadline_at - now_s() + LATE_ANSWER_GRACE_S
        try:
            async with asyncio.timeout(max(LATE_ANSWER_GRACE_S, left_s)):
                return await relay_answer(exchange, answer)
        except TimeoutError:
            answer.abandon()
            exchange.abort()
            return False

    def _send_failure_answer(self, state: RequestState, exchange: Exchange) -> None:
        """Answer 502, 503 or 504 to a request that no upstream answered."""
        if state.may_have_run:
            status = 504 if state.last_reason == "deadline" else 502
            exchange.send_answer(status, self._request_id_header(state))
        else:
            self._send_503(state, exchange, self._retry_after_s(state))
            status = 503
        outcome = "refused-crash" if state.is_refused_for_crashes else "failed"
        self._record_request_end(state, exchange, outcome, status)

    def _refuse_early(self, state: RequestState, exchange: Exchange) -> None:
        """Refuse a request whose chain would probably fail."""
        state.last_reason = "most requests of the route fail at a deeper service"
        share = self._rng.uniform(
            EARLY_REFUSAL_RETRY_AFTER_MIN_SHARE, EARLY_REFUSAL_RETRY_AFTER_MAX_SHARE
        )
        left_s = max(0.0, state.deadline_at - now_s())
        self._send_503(state, exchange, share * left_s)
        self._record_request_end(state, exchange, "refused-early", 503)

    def _send_503(
        self, state: RequestState, exchange: Exchange, retry_after_s: float
    ) -> None:
        retry_after = (b"retry-after", b"%.3f" % retry_after_s)
        exchange.send_answer(503, [*self._request_id_header(state), retry_after])

    def _retry_after_s(self, state: RequestState) -> float:
        if state.is_refused_for_crashes:
            return CRASH_RETRY_AFTER_S
        share = self._rng.uniform(RETRY_AFTER_MIN_SHARE, RETRY_AFTER_MAX_SHARE)
        return share * state.route.goal_s

    def _record_request_end(
        self, state: RequestState, exchange: Exchange, outcome: str, status: int
    ) -> None:
        """Record the end of a request in counters, latencies, log and failure ratio."""
        now = now_s()
        latency_s = now - exchange.request.arrived_at
        failed = outcome != "answered" or status >= 500
        if outcome not in ("caller-left", "refused-early", "refused-crash"):
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
                root_priority=state.root_priority,
                status=status,
                reason=state.last_reason if failed else "",
                latency_ms=round(latency_s * 1_000, 1),
                left_ms=round((state.deadline_at - now) * 1_000),
            )

    def _refuse_unrouted(self, exchange: Exchange, status: int, reason: str) -> None:
        headers: list[Header] = []
        if status == 503:
            headers.append((b"retry-after", b"%.3f" % UNCONFIGURED_RETRY_AFTER_S))
        request_id = exchange.request.header(self._headers.request_id)
        if request_id is not None:
            headers.append((self._headers.request_id, request_id))
        exchange.send_answer(status, headers)
        table = self._table()
        self._counters.add("calls", f"unrouted-{status}")
        self._log.write_call(
            True,
            "entry:call",
            request_id=(request_id or b"").decode("latin-1"),
            outcome="unrouted",
            status=status,
            reason=reason,
            configuration=table.configuration.version if table is not None else 0,
        )

    def _hop_call(self, state: RequestState, entry: GateEntry, now: float) -> HopCall:
        route = state.route
        return HopCall(
            request_id=state.request_id,
            service=state.service,
            instance=entry.instance,
            left_s=state.deadline_at - now,
            priority=route.priority,
            root_priority=state.root_priority,
            kind=route.kind,
            route=route.name,
            caller=self._identity.caller_service,
            version=state.version,
            rate_limit=self._balancer.rate_limit(entry),
            fingerprint=state.fingerprint,
            crashes=self._crashes.record_of(state.fingerprint, now),
        )

    def _link_to(self, entry: GateEntry) -> GateLink:
        if entry.node == self._identity.node:
            return self._gate
        return RemoteGate(entry, self._pool)

    def _request_id_header(self, state: RequestState) -> list[Header]:
        return [(self._headers.request_id, state.request_id.encode("latin-1"))]


def _abandon_answer(answer: Answer | None) -> None:
    if answer is not None:
        answer.abandon()
