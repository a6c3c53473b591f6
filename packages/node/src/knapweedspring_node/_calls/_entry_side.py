"""The entry side of a call: its class, its identity, its ticket, its budget."""

import time
from collections.abc import Callable
from dataclasses import replace

from result import Err

from knapweedspring_core import (
    Counters,
    DeclarationStore,
    EventLog,
    Header,
    Member,
    MembershipView,
    Outcome,
    Reason,
    Refusal,
)
from knapweedspring_node._calls._attempts import Attempts
from knapweedspring_node._calls._budget import RetryBudget
from knapweedspring_node._calls._classify import Classified, classify
from knapweedspring_node._calls._context import request_draw
from knapweedspring_node._calls._in_flight import (
    InFlightTable,
    ParentState,
    RunningCall,
)
from knapweedspring_node._calls._levels import LevelTable
from knapweedspring_node._calls._plan import CallPlan
from knapweedspring_node._calls._rank import Rank
from knapweedspring_node._calls._remote import RemoteGates
from knapweedspring_node._calls._reply import Refused, Reply, refuse
from knapweedspring_node._calls._request import (
    CallRequest,
    CallSignature,
    DetachedCallerConnection,
)
from knapweedspring_node._calls._roots import RootRequestTable
from knapweedspring_node._calls._tickets import ClaimState, Ticket, TicketTable
from knapweedspring_node._calls._workers import WorkerGuard

__all__ = ["TICKETS_SERVICE", "EntrySide"]

#: Reserved service name: ``POST /tickets/<service>`` issues a ticket.
TICKETS_SERVICE = "tickets"
TICKET_RETRY_AFTER_MS = 1
#: Seconds in which peers hear of a node that has just started.
OWNER_WAIT_S = 1.5
OWNER_POLL_S = 0.02


class EntrySide:
    """Takes calls in, from callers and from the upstreams on this VM.

    :param is_draining: whether this node takes no new whole requests.
    """

    def __init__(
        self,
        store: DeclarationStore,
        view: MembershipView,
        in_flight: InFlightTable,
        roots: RootRequestTable,
        tickets: TicketTable,
        levels: LevelTable,
        workers: WorkerGuard,
        attempts: Attempts,
        remote: RemoteGates,
        events: EventLog,
        counters: Counters,
        is_draining: Callable[[], bool],
    ) -> None:
        self._store = store
        self._view = view
        self._in_flight = in_flight
        self._roots = roots
        self._tickets = tickets
        self._levels = levels
        self._workers = workers
        self._attempts = attempts
        self._remote = remote
        self._events = events
        self._counters = counters
        self._is_draining = is_draining

    def handle(self, request: CallRequest, forwarded: bool) -> Reply:
        """Route a call and return its answer or an honest refusal.

        :param forwarded: whether a node passed it on to this one as the owner of
            its ticket or identity; it is then not passed on again.
        """
        if request.service == TICKETS_SERVICE:
            return self._issue_ticket(request)
        state, parent = self._in_flight.find(request.layer(Header.CONTEXT))
        if state is ParentState.ENDED:
            detail = "the request that this call was made for is over"
            return refuse(Outcome.NOT_RUN, Reason.PARENT_ENDED, detail)
        classified = classify(self._store, request)
        if isinstance(classified, Err):
            return Refused(classified.err_value)
        if parent is not None:
            parent.enter_child()
            try:
                return self._child(request, parent, classified.ok_value)
            finally:
                parent.leave_child()
        return self._root(request, classified.ok_value, forwarded)

    def _issue_ticket(self, request: CallRequest) -> Reply:
        service = request.target.strip("/")
        if request.method != "POST" or self._store.service(service) is None:
            detail = "POST /tickets/<declared service>"
            return refuse(Outcome.NOT_RUN, Reason.BAD_REQUEST, detail)
        if self._is_draining():
            return _draining()
        return self._with_ticket(service, "present this ticket with the request")

    def _with_ticket(self, service: str, detail: str) -> Refused:
        refusal = Refusal(
            Outcome.NOT_RUN, Reason.TICKET_REQUIRED, TICKET_RETRY_AFTER_MS, detail
        )
        self._counters.add("tickets_issued")
        issued = self._tickets.issue(service)
        self._events.trace("ticket:issued", ticket=str(issued.key), service=service)
        return Refused(refusal, ticket=issued.text)

    # Whole requests.

    def _root(
        self, request: CallRequest, classified: Classified, forwarded: bool
    ) -> Reply:
        deadline_at = _deadline_at(request, classified)
        if not classified.declared.repeatable:
            return self._ticketed(request, classified, deadline_at, forwarded, None)
        repeated = request.layer(Header.REQUEST_ID)
        if repeated:
            return self._repeat(request, classified, deadline_at, forwarded, repeated)
        if self._is_draining():
            return _draining()
        n_tokens = classified.declared.retry_budget
        request_id, budget = self._roots.issue(n_tokens)
        plan = _root_plan(request, classified, request_id, budget, deadline_at)
        return self._run_root(plan)

    def _repeat(
        self,
        request: CallRequest,
        classified: Classified,
        deadline_at: float,
        forwarded: bool,
        text: str,
    ) -> Reply:
        """Charge a caller's repeat to the budget of its whole request."""
        opened = self._roots.verify(text)
        if isinstance(opened, Err):
            detail = f"{Header.REQUEST_ID}: {opened.err_value.detail}"
            return refuse(Outcome.NOT_RUN, Reason.BAD_REQUEST, detail)
        request_id = opened.ok_value
        if not self._roots.owns(request_id):
            return self._forward(request, request_id.node_id, deadline_at, forwarded)
        charged = self._roots.charge_repeat(request_id)
        if isinstance(charged, Err):
            # The earlier call with this id may have run.
            return refuse(Outcome.UNKNOWN, Reason.BUDGET_SPENT, "no retry is left")
        budget = charged.ok_value
        plan = _root_plan(request, classified, text, budget, deadline_at)
        reply = self._run_root(plan)
        if isinstance(reply, Refused):
            return reply.with_outcome(_after_earlier(reply.outcome))
        return reply

    def _run_root(self, plan: CallPlan) -> Reply:
        refusal = self._workers.refuses(plan.rank) or self._levels.refuses(
            plan.request.service, plan.rank, time.monotonic(), plan.class_name
        )
        if refusal is not None:
            self._counters.add("early_refusals", plan.class_name)
            return Refused(refusal, request_id=plan.request_id)
        reply = self._attempts.run(plan)
        self._events.trace(
            "call:settled",
            request=plan.request_id,
            service=plan.request.service,
            request_class=plan.class_name,
            outcome=reply.outcome,
        )
        return _identified(reply, plan.request_id)

    # Requests that run at most once.

    def _ticketed(
        self,
        request: CallRequest,
        classified: Classified,
        deadline_at: float,
        forwarded: bool,
        parent: RunningCall | None,
    ) -> Reply:
        text = request.layer(Header.TICKET)
        if not text:
            if self._is_draining() and parent is None:
                return _draining()
            detail = f"requests of class {classified.name} need a ticket"
            return self._with_ticket(request.service, detail)
        read = self._tickets.verify(text, request.service)
        if isinstance(read, Err):
            return Refused(read.err_value)
        ticket = read.ok_value
        if not self._tickets.owns(ticket):
            return self._forward(request, ticket.key.owner, deadline_at, forwarded)
        n_tokens = classified.declared.retry_budget
        claimed = self._tickets.claim(ticket, request.signature, n_tokens, deadline_at)
        if isinstance(claimed, Err):
            return Refused(claimed.err_value)
        claim = claimed.ok_value
        if claim.state is ClaimState.FINISHED and claim.reply is not None:
            return claim.reply
        return self._run_ticket(
            request, classified, deadline_at, ticket, claim.budget, parent
        )

    def _run_ticket(
        self,
        request: CallRequest,
        classified: Classified,
        deadline_at: float,
        ticket: Ticket,
        budget: RetryBudget,
        parent: RunningCall | None,
    ) -> Reply:
        """Run a claimed ticket; whatever happens, its record is settled."""
        reply: Reply = refuse(Outcome.UNKNOWN, Reason.INTERNAL_ERROR)
        key = ticket.key
        request_id = str(key)
        try:
            plan = CallPlan(
                request=_detached(request),
                request_id=request_id if parent is None else parent.hop.request_id,
                class_name=classified.name,
                rank=_rank(classified, request_id, parent),
                depth=0 if parent is None else parent.hop.depth + 1,
                deadline_at=deadline_at,
                repeatable=False,
                budget=budget if parent is None else parent.budget,
                run_key=key,
            )
            reply = self._run_root(plan) if parent is None else self._attempts.run(plan)
            return reply
        finally:
            self._tickets.record_outcome(ticket, reply)
            self._events.trace(
                "ticket:outcome",
                request=request_id,
                ticket=request_id,
                outcome=reply.outcome,
            )

    def _forward(
        self, request: CallRequest, owner_id: str, deadline_at: float, forwarded: bool
    ) -> Reply:
        """Pass a call on to the node that owns its ticket or identity."""
        owner = None if forwarded else self._find_owner(owner_id, deadline_at)
        if owner is None:
            # Its owner is gone, or is this node's own earlier process.
            detail = f"{owner_id} does not hold this ticket or id any more"
            return refuse(Outcome.UNKNOWN, Reason.OWNER_UNREACHABLE, detail)
        self._counters.add("calls_forwarded")
        return self._remote.forward(owner, request, deadline_at)

    def _find_owner(self, owner_id: str, deadline_at: float) -> Member | None:
        """Look a ticket's owner up.

        A node that has just started may issue tickets before its peers have
        heard of it, so that an unknown owner is waited for.
        """
        give_up_at = min(time.monotonic() + OWNER_WAIT_S, deadline_at)
        owner = self._view.find(owner_id)
        while owner is None and time.monotonic() < give_up_at:
            time.sleep(OWNER_POLL_S)
            owner = self._view.find(owner_id)
        return owner

    # Calls that an upstream makes for a request.

    def _child(
        self, request: CallRequest, parent: RunningCall, classified: Classified
    ) -> Reply:
        deadline_at = parent.deadline_at
        if request.deadline_ms is not None:
            own_deadline_at = time.monotonic() + request.deadline_ms / 1_000
            deadline_at = min(deadline_at, own_deadline_at)
        if parent.hop.repeatable and not classified.declared.repeatable:
            # The parent may run again, so only a ticket keeps this to one run.
            return self._ticketed(request, classified, deadline_at, False, parent)
        child = request.signature
        begun = parent.begin_child(child, parent.hop.repeatable)
        if isinstance(begun, Err):
            return Refused(begun.err_value)
        return self._run_child(request, parent, child, deadline_at)

    def _run_child(
        self,
        request: CallRequest,
        parent: RunningCall,
        child: CallSignature,
        deadline_at: float,
    ) -> Reply:
        hop = parent.hop
        budget = RetryBudget(parent.budget.lend())
        outcome = Outcome.UNKNOWN
        try:
            plan = CallPlan(
                request=request,
                request_id=hop.request_id,
                class_name=hop.class_name,
                rank=Rank(hop.priority, True, hop.draw),
                depth=hop.depth + 1,
                deadline_at=deadline_at,
                repeatable=hop.repeatable,
                budget=budget,
                run_key=None if hop.repeatable else self._tickets.new_run_key(),
            )
            reply = self._attempts.run(plan)
            outcome = reply.outcome
            return _identified(reply, hop.request_id)
        finally:
            parent.budget.give_back(budget.close())
            parent.end_child(child, outcome)


def _deadline_at(request: CallRequest, classified: Classified) -> float:
    deadline_ms = request.deadline_ms
    if deadline_ms is None:
        deadline_ms = classified.declared.deadline_ms
    return time.monotonic() + deadline_ms / 1_000


def _rank(classified: Classified, request_id: str, parent: RunningCall | None) -> Rank:
    if parent is not None:
        return Rank(parent.hop.priority, True, parent.hop.draw)
    return Rank(classified.declared.priority, False, request_draw(request_id))


def _root_plan(
    request: CallRequest,
    classified: Classified,
    request_id: str,
    budget: RetryBudget,
    deadline_at: float,
) -> CallPlan:
    return CallPlan(
        request=request,
        request_id=request_id,
        class_name=classified.name,
        rank=_rank(classified, request_id, None),
        depth=0,
        deadline_at=deadline_at,
        repeatable=True,
        budget=budget,
    )


def _detached(request: CallRequest) -> CallRequest:
    """Let a run that may happen once go on when its caller leaves.

    A cancelled run would leave the outcome unknown for good; one that finishes
    is held, and the caller's repeat gets its answer.
    """
    if not request.body.is_buffered:
        return request
    return replace(request, link=DetachedCallerConnection(request.link))


def _identified(reply: Reply, request_id: str) -> Reply:
    return replace(reply, request_id=request_id)


def _after_earlier(outcome: Outcome) -> Outcome:
    """An earlier call with the same id may have run, whatever this one did."""
    return Outcome.UNKNOWN if outcome is Outcome.NOT_RUN else outcome


def _draining() -> Refused:
    detail = "this node is leaving; use another one"
    return refuse(Outcome.NOT_RUN, Reason.DRAINING, detail, TICKET_RETRY_AFTER_MS)
