"""Entry: receives callers' requests and sends each to an upstream through its gate."""

import asyncio
import random
from collections.abc import Callable

from knapweedspring_core import Counters
from knapweedspring_relay._answer import Answer
from knapweedspring_relay._attempt_results import (
    attempt_result_of,
    result_without_report,
)
from knapweedspring_relay._balancer import AttemptResult, Balancer
from knapweedspring_relay._call_recorder import CallRecorder
from knapweedspring_relay._chain_health import LOW_PRIORITY, ChainHealth
from knapweedspring_relay._clock import now_s
from knapweedspring_relay._configuration import CallLimits, RouteTable
from knapweedspring_relay._crash_records import CrashRecords
from knapweedspring_relay._destination_splitter import DestinationSplitter
from knapweedspring_relay._entry_settings import NodeIdentity, ShutdownTimes
from knapweedspring_relay._errors import CallError, CallWithdrawn, ConnectFailed
from knapweedspring_relay._gate import Gate
from knapweedspring_relay._gate_link import GateLink
from knapweedspring_relay._gate_result import GateResult
from knapweedspring_relay._headers import CallHeaders
from knapweedspring_relay._hop import HopCall, HopOutcome
from knapweedspring_relay._hop_client import HopPool, RemoteGate
from knapweedspring_relay._http_server import Exchange, RequestHandler
from knapweedspring_relay._knowledge import GateEntry
from knapweedspring_relay._messages import to_forwarded_request
from knapweedspring_relay._pending_requests import (
    STOPPING_REASON,
    PendingRequest,
    PendingRequests,
)
from knapweedspring_relay._quotas import Quotas
from knapweedspring_relay._refusals import Refusals
from knapweedspring_relay._relaying import relay_answer
from knapweedspring_relay._request_fingerprint import RequestFingerprinter
from knapweedspring_relay._request_intake import RequestIntake
from knapweedspring_relay._request_state import Offer, RequestState
from knapweedspring_relay._requests import ForwardedRequest
from knapweedspring_relay._retry_budget import RetryBudget
from knapweedspring_relay._workspace_access import WorkspaceAccess
from knapweedspring_relay._workspace_keys import Caller

__all__ = ["Entry"]

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
#: Longest time that a request waits for a unit of its workspace's quota to come due,
#: and longest time until the decision while no coordinator answers, as shares of the
#: route's goal. A short wait serves the caller sooner than a refusal and a return.
MAX_UNIT_DELAY_SHARE = 0.3
MAX_UNIT_WAIT_SHARE = 0.6


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
    :param access: decides whether the key of a request allows its route.
    :param quotas: limits the requests of workspaces.
    :param recorder: records how requests ended.
    :param counters: counts unreachable gates.
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
        access: WorkspaceAccess,
        quotas: Quotas,
        recorder: CallRecorder,
        counters: Counters,
        rng: random.Random,
    ) -> None:
        self._identity = identity
        self._headers = headers
        self._table = table
        self._balancer = balancer
        self._gate = gate
        self._pool = pool
        self._budget = budget
        self._on_peer_version = on_peer_version
        self._crashes = crashes
        self._access = access
        self._quotas = quotas
        self._recorder = recorder
        self._counters = counters
        self._rng = rng
        self._refusals = Refusals(headers, rng)
        self._chain_health = ChainHealth()
        self._fingerprinter = RequestFingerprinter(headers)
        self._intake = RequestIntake(headers, gate, splitter, self._fingerprinter)
        self._pending = PendingRequests()
        self._shutdown: ShutdownTimes | None = None

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

    def begin_shutdown(self, times: ShutdownTimes) -> None:
        """Refuse requests that the process may not live to answer.

        :param times: times of the shutdown.
        """
        self._shutdown = times

    def withdraw_requests(self) -> None:
        """Withdraw requests that no upstream has got and that outlast the process."""
        if self._shutdown is not None:
            self._pending.withdraw(self._shutdown.ends_at)

    def end_requests(self) -> None:
        """Answer the requests that still have no answer when the process ends."""
        self._pending.end_all()

    async def handle(self, exchange: Exchange) -> None:
        """Route a caller's request and answer it.

        :param exchange: the request and its connection.
        """
        pending = self._pending.add(exchange)
        try:
            await self._handle_pending(exchange, pending)
        except asyncio.CancelledError:
            if not pending.is_ended:
                if pending.state is not None:
                    self._record_request_end(pending.state, exchange, "caller-left", 0)
                raise
            self._answer_at_end(exchange, pending.state)
        finally:
            self._pending.remove(pending)

    def _answer_at_end(self, exchange: Exchange, state: RequestState | None) -> None:
        """Answer a request that was ended by the shutdown."""
        if state is None:
            self._refuse_unrouted(exchange, 503, STOPPING_REASON)
        else:
            self._send_failure_answer(state, exchange)

    async def _handle_pending(
        self, exchange: Exchange, pending: PendingRequest
    ) -> None:
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
        access = await self._access.decide(request, table, route)
        if access.status:
            self._refuse_unrouted(exchange, access.status, access.reason, access.caller)
            return
        pending.state = state = self._intake.make_state(
            request, route, table.configuration.version, access.caller
        )
        shutdown, arrived_at = self._shutdown, request.arrived_at
        if shutdown and shutdown.may_cut(state.deadline_at, arrived_at, now_s()):
            state.is_withdrawn = True
            state.last_reason = STOPPING_REASON
            self._send_failure_answer(state, exchange)
            return
        if self._is_refused_early(state, request.arrived_at):
            self._refuse_early(state, exchange)
            return
        dropped = self._access.dropped_headers(table)
        if await self._obtain_unit(state, exchange):
            await self._run_request(state, exchange, dropped)

    async def _obtain_unit(self, state: RequestState, exchange: Exchange) -> bool:
        """Obtain a unit of the workspace's quota, or refuse the request.

        :return: whether the request may start.
        """
        workspace = state.workspace
        if workspace is None or workspace.quota is None:
            return True
        goal_s = state.route.goal_s
        decision = await self._quotas.acquire(
            workspace, MAX_UNIT_DELAY_SHARE * goal_s, MAX_UNIT_WAIT_SHARE * goal_s
        )
        state.holds_unit = decision.is_granted
        if not decision.is_granted:
            state.last_reason = "the workspace has used its quota"
            self._refusals.send_over_quota(state, exchange, decision.retry_after_s)
            self._record_request_end(state, exchange, "over-quota", 429)
        return decision.is_granted

    def _is_refused_early(self, state: RequestState, now: float) -> bool:
        """Return whether to refuse a request before it starts.

        A call that a running request makes is never refused before it starts.
        """
        if state.is_chain_call:
            return False
        share = self._chain_health.refused_share(state.route, now)
        return share > 0.0 and self._rng.random() < share

    async def _run_request(
        self, state: RequestState, exchange: Exchange, dropped: frozenset[bytes]
    ) -> None:
        """Offer the request to gates until its outcome is final."""
        request = to_forwarded_request(exchange.request, dropped)
        self._budget.count_request(state.service, now_s())
        while True:
            entry = self._next_gate(state)
            if entry is None:
                self._send_failure_answer(state, exchange)
                return
            try:
                gate_result = await self._offer_to_gate(state, entry, request)
            except asyncio.CancelledError:
                detached = self._gate.detached_call(request)
                if detached is not None:
                    exchange.hold_body_until(detached)
                raise
            if gate_result is None:
                continue
            try:
                is_final = await self._handle_outcome(state, exchange, gate_result)
            finally:
                # An answer that is not passed on keeps its slot until it is abandoned.
                gate_result.abandon_answer()
            if is_final:
                return

    def _next_gate(self, state: RequestState) -> GateEntry | None:
        now = now_s()
        if state.deadline_at <= now:
            return None
        if self._crashes.is_refused(state.fingerprint, now):
            state.is_refused_for_crashes = True
            state.last_reason = "the request ran on several upstreams that ended"
            return None
        if self._access.is_withdrawn(state.key_digest):
            state.is_key_withdrawn = True
            state.last_reason = "the key was taken away"
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
        if state.is_withdrawn or state.n_offers >= MAX_REFUSED_OFFERS + state.n_sent:
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
        link = self._link_to(entry)
        state.offer = Offer(link, call)
        try:
            gate_result = await link.run(call, request)
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
        except CallWithdrawn as error:
            return result_without_report(HopOutcome.REFUSED, str(error))
        except CallError as error:
            result = AttemptResult.UNREACHABLE
            return result_without_report(
                HopOutcome.LOST, f"connection to the gate: {error}"
            )
        except TimeoutError:
            return result_without_report(HopOutcome.LATE, "deadline")
        finally:
            state.offer = None
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
            self._send_failure_answer(state, exchange)
            return True
        state.may_have_run = True
        if report.outcome is HopOutcome.ANSWERED and answer is not None:
            is_own_failure = report.entry_failure_ratio < DEEPER_FAILURE_RATIO
            failed_deeper = answer.status >= 500 and not is_own_failure
            self._chain_health.record_outcome(state.route, failed_deeper, now_s())
            if answer.status >= 500 and is_own_failure and self._may_retry(state):
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
        is_low_priority = max(route.priority, state.origin.priority) >= LOW_PRIORITY
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
        """Answer a request that no upstream answered."""
        status = self._refusals.send_failure(state, exchange)
        outcome = "failed"
        if state.is_refused_for_crashes:
            outcome = "refused-crash"
        elif state.is_withdrawn and status == 503:
            outcome = "refused-stopping"
        elif status == 401:
            outcome = "key-withdrawn"
        self._record_request_end(state, exchange, outcome, status)

    def _refuse_early(self, state: RequestState, exchange: Exchange) -> None:
        """Refuse a request whose chain would probably fail."""
        state.last_reason = "most requests of the route fail at a deeper service"
        self._refusals.send_early_refusal(state, exchange)
        self._record_request_end(state, exchange, "refused-early", 503)

    def _record_request_end(
        self, state: RequestState, exchange: Exchange, outcome: str, status: int
    ) -> None:
        is_unused = outcome in ("failed", "refused-stopping")
        if state.holds_unit and not state.may_have_run and is_unused:
            state.holds_unit = False
            if state.workspace is not None:
                self._quotas.give_back(state.workspace)
        self._recorder.record_end(state, exchange.request, outcome, status)

    def _refuse_unrouted(
        self,
        exchange: Exchange,
        status: int,
        reason: str,
        caller: Caller | None = None,
    ) -> None:
        request_id = self._refusals.send_unrouted(exchange, status)
        table = self._table()
        version = table.configuration.version if table is not None else 0
        self._recorder.record_unrouted(request_id, status, reason, version, caller)

    def _hop_call(self, state: RequestState, entry: GateEntry, now: float) -> HopCall:
        route = state.route
        return HopCall(
            request_id=state.request_id,
            service=state.service,
            instance=entry.instance,
            left_s=state.deadline_at - now,
            priority=route.priority,
            root_priority=state.origin.priority,
            kind=route.kind,
            route=route.name,
            caller=self._identity.caller_service,
            version=state.version,
            rate_limit=self._balancer.rate_limit(entry),
            fingerprint=state.fingerprint,
            crashes=self._crashes.record_of(state.fingerprint, now),
            workspace=state.origin.workspace,
            workspace_priority=state.origin.workspace_priority,
        )

    def _link_to(self, entry: GateEntry) -> GateLink:
        if entry.node == self._identity.node:
            return self._gate
        return RemoteGate(entry, self._pool)
