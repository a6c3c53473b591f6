"""Entry side: takes callers' requests and finds an upstream for each."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from knapweedspring_core import Counters
from knapweedspring_relay._answer import Answer
from knapweedspring_relay._balancer import Balancer, CallResult
from knapweedspring_relay._chain_health import LOW_RANK, ChainHealth
from knapweedspring_relay._clock import now_s
from knapweedspring_relay._configuration import (
    CallLimits,
    Route,
    RouteTable,
)
from knapweedspring_relay._directory import GateEntry
from knapweedspring_relay._errors import CallError, ConnectFailed
from knapweedspring_relay._gate import Gate, GateLink
from knapweedspring_relay._gate_answer import GateAnswer
from knapweedspring_relay._headers import CallHeaders
from knapweedspring_relay._histograms import LatencyHistograms
from knapweedspring_relay._hop import GateReport, HopCall, HopOutcome
from knapweedspring_relay._hop_client import HopPool, RemoteGate
from knapweedspring_relay._http_server import Exchange, RequestHandler
from knapweedspring_relay._journey import Journey
from knapweedspring_relay._logs import DecisionLog
from knapweedspring_relay._messages import forward
from knapweedspring_relay._relaying import relay_answer
from knapweedspring_relay._requests import ForwardedRequest, Header, Request
from knapweedspring_relay._retry_budget import RetryBudget
from knapweedspring_relay._splitter import Splitter

__all__ = ["Entry", "EntryPolicy"]

#: Gates that one request is offered to before it is refused.
MAX_GATES = 3
#: Sends of one request to servers that shed it. Some shed at random, and a whole chain
#: needs each of its calls.
MAX_SENDS = 4
#: Wait for a deadline that no caller stated, in seconds.
DEFAULT_DEADLINE_S = 30.0
#: Time past the deadline in which an answer that is ready is still passed on.
LATE_ANSWER_S = 0.1
#: Shortest time worth another send, as share of the route's goal.
MIN_RETRY_LEFT_SHARE = 0.1
#: Share of the calls through the entry beside an upstream, its own among them, above
#: whose failure its failures are taken for those of a deeper service: another run would
#: only load that one more.
DEEPER_FAILURE_RATIO = 0.05
#: Bounds of Retry-After as shares of the goal: callers come back spread out, and
#: early enough for their answer to be of use.
RETRY_AFTER_MIN_SHARE = 0.15
RETRY_AFTER_MAX_SHARE = 0.4
#: The same as shares of the time left, for requests refused while whole chains fail.
RETRY_LATER_MIN_SHARE = 0.2
RETRY_LATER_MAX_SHARE = 0.33
#: Retry-After of a node that has no configuration yet, in seconds.
RETRY_AFTER_START_S = 0.5


@dataclass(frozen=True, slots=True)
class EntryPolicy:
    """What distinguishes this node's requests."""

    #: Service on this VM.
    caller_service: str
    #: Name of this node.
    node: str


class Entry(RequestHandler):
    """Routes each request, chooses gates, repeats what may be repeated.

    :param policy: what distinguishes this node.
    :param headers: names of the callers' headers.
    :param table: returns the routes in force; None before the first configuration.
    :param balancer: chooses gates.
    :param gate: the gate of this node.
    :param pool: connections to other nodes.
    :param budget: second sends that this node may make.
    :param splitter: distributes requests among a route's destinations.
    :param on_version: told of the configuration version that a gate goes by.
    :param log: decision log.
    :param counters: counts outcomes.
    :param latencies: records the time to an answer.
    :param rng: spreads the return of refused callers.
    """

    def __init__(
        self,
        policy: EntryPolicy,
        headers: CallHeaders,
        table: Callable[[], RouteTable | None],
        balancer: Balancer,
        gate: Gate,
        pool: HopPool,
        budget: RetryBudget,
        splitter: Splitter,
        on_version: Callable[[int], None],
        log: DecisionLog,
        counters: Counters,
        latencies: LatencyHistograms,
        rng: random.Random,
    ) -> None:
        self._policy = policy
        self._headers = headers
        self._table = table
        self._balancer = balancer
        self._gate = gate
        self._pool = pool
        self._budget = budget
        self._splitter = splitter
        self._on_version = on_version
        self._log = log
        self._counters = counters
        self._latencies = latencies
        self._rng = rng
        self._chain_health = ChainHealth()

    @property
    def limits(self) -> CallLimits:
        """The declared limits for callers."""
        table = self._table()
        return table.configuration.limits if table is not None else CallLimits()

    def set_policy(self, policy: EntryPolicy) -> None:
        """Take over changed settings."""
        self._policy = policy

    async def handle(self, exchange: Exchange) -> None:
        """Answer a caller."""
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
        journey = self._begin(request, route, table.configuration.version)
        if self._is_refused_early(journey, request.arrived_at):
            self._refuse_early(journey, exchange)
            return
        try:
            await self._travel(journey, exchange)
        except asyncio.CancelledError:
            self._note(journey, exchange, "caller-left", 0)
            raise

    def _begin(self, request: Request, route: Route, version: int) -> Journey:
        stated_s = _stated_deadline_s(request.header(self._headers.deadline_ms))
        left_s = min(stated_s, route.timeout_s)
        header = request.header(self._headers.request_id) or b""
        request_id = header.decode("latin-1")
        return Journey(
            route=route,
            service=self._splitter.choose(route),
            request_id=request_id,
            chain_priority=self._chain_priority(request_id),
            deadline_at=request.arrived_at + left_s,
            version=version,
        )

    def _chain_priority(self, request_id: str) -> int | None:
        """Return the rank of the chain that a request is a call of, if it is one.

        A call of the upstream here belongs to the chain of the request that the
        upstream is running.
        """
        parent_id = self._headers.parent_of(request_id)
        return None if parent_id is None else self._gate.root_priority(parent_id)

    def _is_refused_early(self, journey: Journey, now: float) -> bool:
        """Tell whether a request should not begin; calls of running ones always do."""
        if journey.chain_priority is not None:
            return False
        share = self._chain_health.refused_share(journey.route, now)
        return share > 0.0 and self._rng.random() < share

    async def _travel(self, journey: Journey, exchange: Exchange) -> None:
        """Offer the request to gates until one gives its final outcome."""
        request = forward(exchange.request, self._headers.set_by_system)
        self._budget.count_request(journey.service, now_s())
        while True:
            entry = self._next_gate(journey)
            if entry is None:
                self._give_up(journey, exchange)
                return
            answered = await self._offer(journey, entry, request)
            if answered is None:
                continue
            if await self._conclude(journey, exchange, answered):
                return

    def _next_gate(self, journey: Journey) -> GateEntry | None:
        now = now_s()
        if journey.deadline_at <= now:
            return None
        entry = self._pick(journey, now)
        if entry is not None:
            journey.n_offers += 1
            journey.excluded |= {entry.node}
            journey.last_node = entry.node
        return entry

    def _pick(self, journey: Journey, now: float) -> GateEntry | None:
        """Return the gate that comes next; None when none is left.

        A request that as many servers have shed as its route allows goes to one of
        these again, since it has run on none.
        """
        if journey.n_offers >= MAX_GATES + journey.n_sent:
            return None
        if len(journey.sent_to) < journey.route.max_attempts:
            return self._balancer.pick(
                journey.service, journey.route, journey.excluded, now
            )
        others = journey.sent_to - {journey.last_node}
        return self._balancer.pick_among(
            journey.service, journey.route, others or journey.sent_to, now
        )

    async def _offer(
        self, journey: Journey, entry: GateEntry, request: ForwardedRequest
    ) -> GateAnswer | None:
        """Offer the request to a gate.

        :return: its outcome; None when the gate could not be reached.
        """
        now = now_s()
        call = self._hop_call(journey, entry, now)
        result, report = CallResult.NOTHING, None
        self._balancer.started(entry)
        try:
            answered = await self._link(entry).run(call, request)
            report = answered.report
            result = _result_of(answered)
            self._on_version(report.version)
            if result is CallResult.GOOD:
                ended = now_s()
                self._balancer.answered(entry, journey.route, ended - now, ended)
            return answered
        except ConnectFailed as error:
            result = CallResult.UNREACHABLE
            journey.last_reason = f"gate unreachable: {error}"
            self._counters.add("gates_unreachable", entry.node)
            return None
        except CallError as error:
            result = CallResult.UNREACHABLE
            return self._lost(HopOutcome.LOST, f"connection to the gate: {error}")
        except TimeoutError:
            return self._lost(HopOutcome.LATE, "deadline")
        finally:
            self._balancer.finished(entry, result, report, now_s())

    async def _conclude(
        self, journey: Journey, exchange: Exchange, answered: GateAnswer
    ) -> bool:
        """Take in the outcome of an offer.

        :return: whether the request is done; False for another offer.
        """
        report, answer = answered.report, answered.answer
        journey.last_reason = report.reason
        if report.outcome in (HopOutcome.REFUSED, HopOutcome.CLOSED):
            return False
        journey.n_sent += 1
        journey.sent_to |= {journey.last_node}
        if report.outcome is HopOutcome.SHED:
            if self._may_repeat(journey):
                return False
            _abandon(answer)
            self._give_up(journey, exchange)
            return True
        journey.may_have_run = True
        if report.outcome is HopOutcome.ANSWERED and answer is not None:
            is_own_failure = report.entry_failure_ratio < DEEPER_FAILURE_RATIO
            failed_deeper = answer.status >= 500 and not is_own_failure
            self._chain_health.note(journey.route, failed_deeper, now_s())
            if answer.status >= 500 and is_own_failure and self._may_repeat(journey):
                answer.abandon()
                return False
            await self._deliver(journey, exchange, answer)
            return True
        if report.outcome is HopOutcome.LOST and self._may_repeat(journey):
            return False
        self._give_up(journey, exchange)
        return True

    def _may_repeat(self, journey: Journey) -> bool:
        """Tell whether the request may go to another server, and pay for it."""
        route = journey.route
        now = now_s()
        if journey.may_have_run and not route.kind.is_repeatable:
            return False
        if journey.n_sent >= MAX_SENDS:
            return False
        if journey.may_have_run and journey.n_sent >= route.max_attempts:
            return False
        if journey.deadline_at - now < MIN_RETRY_LEFT_SHARE * route.goal_s:
            return False
        if self._pick(journey, now) is None:
            return False
        is_low_rank = max(route.priority, journey.root_priority) >= LOW_RANK
        return self._budget.take(
            journey.service, is_low_rank, journey.may_have_run, now
        )

    async def _deliver(
        self, journey: Journey, exchange: Exchange, answer: Answer
    ) -> None:
        if answer.is_complete:
            is_whole = await relay_answer(exchange, answer)
        else:
            is_whole = await self._stream(journey, exchange, answer)
        self._note(
            journey, exchange, "answered" if is_whole else "broke-off", answer.status
        )

    async def _stream(
        self, journey: Journey, exchange: Exchange, answer: Answer
    ) -> bool:
        left_s = journey.deadline_at - now_s() + LATE_ANSWER_S
        try:
            async with asyncio.timeout(max(LATE_ANSWER_S, left_s)):
                return await relay_answer(exchange, answer)
        except TimeoutError:
            answer.abandon()
            exchange.abort()
            return False

    def _give_up(self, journey: Journey, exchange: Exchange) -> None:
        """Answer a request that no upstream answered."""
        if journey.may_have_run:
            status = 504 if journey.last_reason == "deadline" else 502
            exchange.answer(status, self._id_header(journey))
        else:
            self._answer_503(journey, exchange, self._retry_after_s(journey))
            status = 503
        self._note(journey, exchange, "failed", status)

    def _refuse_early(self, journey: Journey, exchange: Exchange) -> None:
        """Refuse a request whose chain would most likely fail."""
        journey.last_reason = "most requests of the route fail at a deeper service"
        share = self._rng.uniform(RETRY_LATER_MIN_SHARE, RETRY_LATER_MAX_SHARE)
        left_s = max(0.0, journey.deadline_at - now_s())
        self._answer_503(journey, exchange, share * left_s)
        self._note(journey, exchange, "refused-early", 503)

    def _answer_503(
        self, journey: Journey, exchange: Exchange, retry_after_s: float
    ) -> None:
        retry_after = (b"retry-after", b"%.3f" % retry_after_s)
        exchange.answer(503, [*self._id_header(journey), retry_after])

    def _retry_after_s(self, journey: Journey) -> float:
        share = self._rng.uniform(RETRY_AFTER_MIN_SHARE, RETRY_AFTER_MAX_SHARE)
        return share * journey.route.goal_s

    def _note(
        self, journey: Journey, exchange: Exchange, outcome: str, status: int
    ) -> None:
        """Count, log and learn from the end of a request."""
        now = now_s()
        latency_s = now - exchange.request.arrived_at
        failed = outcome != "answered" or status >= 500
        if outcome not in ("caller-left", "refused-early"):
            self._gate.count_entry_call(failed)
        self._counters.add("calls", f"{outcome}-{status}")
        self._latencies.record(f"route:{journey.route.name}", latency_s)
        if self._log.has_room(failed):
            self._log.call(
                failed,
                "entry:call",
                request_id=journey.request_id,
                route=journey.route.name,
                configuration=journey.version,
                service=journey.service,
                gate=journey.last_node,
                n_offers=journey.n_offers,
                n_sent=journey.n_sent,
                outcome=outcome,
                root_priority=journey.root_priority,
                status=status,
                reason=journey.last_reason if failed else "",
                latency_ms=round(latency_s * 1_000, 1),
                left_ms=round((journey.deadline_at - now) * 1_000),
            )

    def _refuse_unrouted(self, exchange: Exchange, status: int, reason: str) -> None:
        headers: list[Header] = []
        if status == 503:
            headers.append((b"retry-after", b"%.3f" % RETRY_AFTER_START_S))
        request_id = exchange.request.header(self._headers.request_id)
        if request_id is not None:
            headers.append((self._headers.request_id, request_id))
        exchange.answer(status, headers)
        table = self._table()
        self._counters.add("calls", f"unrouted-{status}")
        self._log.call(
            True,
            "entry:call",
            request_id=(request_id or b"").decode("latin-1"),
            outcome="unrouted",
            status=status,
            reason=reason,
            configuration=table.configuration.version if table is not None else 0,
        )

    def _hop_call(self, journey: Journey, entry: GateEntry, now: float) -> HopCall:
        route = journey.route
        return HopCall(
            request_id=journey.request_id,
            service=journey.service,
            instance=entry.instance,
            left_s=journey.deadline_at - now,
            priority=route.priority,
            root_priority=journey.root_priority,
            kind=route.kind,
            route=route.name,
            caller=self._policy.caller_service,
            version=journey.version,
        )

    def _link(self, entry: GateEntry) -> GateLink:
        if entry.node == self._policy.node:
            return self._gate
        return RemoteGate(entry, self._pool)

    def _lost(self, outcome: HopOutcome, reason: str) -> GateAnswer:
        report = GateReport(outcome, reason, 0, 0, 0, 0.0, 0.0, 0, "")
        return GateAnswer(report, None)

    def _id_header(self, journey: Journey) -> list[Header]:
        return [(self._headers.request_id, journey.request_id.encode("latin-1"))]


def _result_of(answered: GateAnswer) -> CallResult:
    """Return what an outcome says of the gate."""
    if answered.report.outcome is HopOutcome.REFUSED:
        return CallResult.REFUSED
    if answered.report.outcome is HopOutcome.CLOSED:
        return CallResult.CLOSED
    if answered.report.outcome is not HopOutcome.ANSWERED:
        return CallResult.FAILED
    is_failure = answered.answer is not None and answered.answer.status >= 500
    return CallResult.FAILED if is_failure else CallResult.GOOD


def _abandon(answer: Answer | None) -> None:
    if answer is not None:
        answer.abandon()


def _stated_deadline_s(value: bytes | None) -> float:
    """Return a caller's deadline in seconds; a usual one when it is not stated."""
    if value is None or not value.strip().isdigit():
        return DEFAULT_DEADLINE_S
    return int(value) / 1_000
