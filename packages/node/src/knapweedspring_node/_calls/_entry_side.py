"""The entry side of a call: its class, request id, ticket and retry budget."""

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
from knapweedspring_node._calls._attempts import CallRunner
from knapweedspring_node._calls._budget import RetryBudget
from knapweedspring_node._calls._classify import ClassifiedCall, classify
from knapweedspring_node._calls._context import request_draw
from knapweedspring_node._calls._in_flight import (
    InFlightTable,
    ParentState,
    RunningCall,
)
from knapweedspring_node._calls._levels import LevelTable
from knapweedspring_node._calls._plan import CallPlan
from knapweedspring_node._calls._rank import Rank
from knapweedspring_node._calls._remote import RemoteNodes
from knapweedspring_node._calls._reply import RefusedReply, Reply, refuse
from knapweedspring_node._calls._request import (
    CallFingerprint,
    CallRequest,
    DetachedCallerConnection,
)
from knapweedspring_node._calls._roots import RootRequestTable
from knapweedspring_node._calls._tickets import ClaimState, Ticket, TicketTable
from knapweedspring_node._calls._workers import WorkerGuard

__all__ = ["TICKETS_SERVICE", "EntrySide"]

#: Reserved service name: ``POST /tickets/<service>`` issues a ticket.
TICKETS_SERVICE = "tickets"
#: Delay that advises an immediate retry; 0 would advise against a retry.
IMMEDIATE_RETRY_AFTER_MS = 1
#: Longest time to look up the owner of a ticket or request id. Covers the time until
#: the membership view includes a node that has just started.
OWNER_LOOKUP_TIMEOUT_S = 1.5
OWNER_LOOKUP_INTERVAL_S = 0.02


class EntrySide:
    """Routes calls from callers and from the upstreams on this VM.

    :param store: declarations in force.
    :param view: membership view; finds the owners of tickets and request ids.
    :param in_flight: calls that the upstreams on this VM are running.
    :param root_requests: ids and retry budgets of root requests.
    :param tickets: tickets that this process issued.
    :param levels: admission levels, for early refusals.
    :param workers: refuses new root requests while most workers are in use.
    :param call_runner: runs planned calls.
    :param remote: forwards calls to other nodes.
    :param is_draining: returns whether this node refuses new root requests.
    """

    def __init__(
        self,
        store: DeclarationStore,
        view: MembershipView,
        in_flight: InFlightTable,
        root_requests: RootRequestTable,
        tickets: TicketTable,
        levels: LevelTable,
        workers: WorkerGuard,
        call_runner: CallRunner,
        remote: RemoteNodes,
        events: EventLog,
        counters: Counters,
        is_draining: Callable[[], bool],
    ) -> None:
        self._store = store
        self._view = view
        self._in_flight = in_flight
        self._root_requests = root_requests
        self._tickets = tickets
        self._levels = levels
        self._workers = workers
        self._call_runner = call_runner
        self._remote = remote
        self._events = events
        self._counters = counters
        self._is_draining = is_draining

    def handle(self, request: CallRequest, forwarded: bool) -> Reply:
        """Route a call and return its answer or a refusal.

        :param forwarded: whether another node forwarded the call to this node as the
            owner of its ticket or request id; such a call is not forwarded again.
        """
        if request.service == TICKETS_SERVICE:
            return self._issue_ticket(request)
        state, parent = self._in_flight.find(request.kws_header(Header.CONTEXT))
        if state is ParentState.ENDED:
            detail = "the request that this call was made for is over"
            return refuse(Outcome.NOT_RUN, Reason.PARENT_ENDED, detail)
        classified = classify(self._store, request)
        if isinstance(classified, Err):
            return RefusedReply(classified.err_value)
        if parent is not None:
            parent.record_child_arrival()
            try:
                return self._handle_child(request, parent, classified.ok_value)
            finally:
                parent.record_child_reply()
        return self._handle_root(request, classified.ok_value, forwarded)

    def _issue_ticket(self, request: CallRequest) -> Reply:
        service = request.target.strip("/")
        if request.method != "POST" or self._store.service(service) is None:
            detail = "POST /tickets/<declared service>"
            return refuse(Outcome.NOT_RUN, Reason.BAD_REQUEST, detail)
        if self._is_draining():
            return _refuse_draining()
        return self._refuse_with_ticket(service, "present this ticket with the request")

    def _refuse_with_ticket(self, service: str, detail: str) -> RefusedReply:
        refusal = Refusal(
            Outcome.NOT_RUN, Reason.TICKET_REQUIRED, IMMEDIATE_RETRY_AFTER_MS, detail
        )
        self._counters.add("tickets_issued")
        issued = self._tickets.issue(service)
        self._events.trace("ticket:issued", ticket=str(issued.key), service=service)
        return RefusedReply(refusal, ticket=issued.text)

    # Root requests.

    def _handle_root(
        self, request: CallRequest, classified: ClassifiedCall, forwarded: bool
    ) -> Reply:
        deadline_at = _deadline_at(request, classified)
        if not classified.declaration.repeatable:
            return self._handle_ticketed(
                request, classified, deadline_at, forwarded, None
            )
        request_id_text = request.kws_header(Header.REQUEST_ID)
        if request_id_text:
            return self._handle_repeat(
                request, classified, deadline_at, forwarded, request_id_text
            )
        if self._is_draining():
            return _refuse_draining()
        n_tokens = classified.declaration.retry_budget
        request_id, budget = self._root_requests.issue(n_tokens)
        plan = _root_plan(request, classified, request_id, budget, deadline_at)
        return self._run_root(plan)

    def _handle_repeat(
        self,
        request: CallRequest,
        classified: ClassifiedCall,
        deadline_at: float,
        forwarded: bool,
        request_id_text: str,
    ) -> Reply:
        """Run a caller's repeat, charged to the budget of its root request.

        :param request_id_text: id of the request that is repeated, as text.
        """
        verified = self._root_requests.verify(request_id_text)
        if isinstance(verified, Err):
            detail = f"{Header.REQUEST_ID}: {verified.err_value.detail}"
            return refuse(Outcome.NOT_RUN, Reason.BAD_REQUEST, detail)
        request_id = verified.ok_value
        if not self._root_requests.owns(request_id):
            return self._forward_to_owner(
                request, request_id.node_id, deadline_at, forwarded
            )
        charged = self._root_requests.charge_repeat(request_id)
        if isinstance(charged, Err):
            # An earlier call with this id may have run.
            return refuse(Outcome.UNKNOWN, Reason.BUDGET_SPENT, "no retry is left")
        budget = charged.ok_value
        plan = _root_plan(request, classified, request_id_text, budget, deadline_at)
        reply = self._run_root(plan)
        if isinstance(reply, RefusedReply):
            return reply.with_outcome(_outcome_of_repeat(reply.outcome))
        return reply

    def _run_root(self, plan: CallPlan) -> Reply:
        refusal = self._workers.check_refusal(plan.rank) or self._levels.check_refusal(
            plan.request.service, plan.rank, time.monotonic(), plan.class_name
        )
        if refusal is not None:
            self._counters.add("early_refusals", plan.class_name)
            return RefusedReply(refusal, request_id=plan.request_id)
        reply = self._call_runner.run(plan)
        self._events.trace(
            "call:settled",
            request=plan.request_id,
            service=plan.request.service,
            request_class=plan.class_name,
            outcome=reply.outcome,
        )
        return _with_request_id(reply, plan.request_id)

    # Requests that run at most once.

    def _handle_ticketed(
        self,
        request: CallRequest,
        classified: ClassifiedCall,
        deadline_at: float,
        forwarded: bool,
        parent: RunningCall | None,
    ) -> Reply:
        ticket_text = request.kws_header(Header.TICKET)
        if not ticket_text:
            if self._is_draining() and parent is None:
                return _refuse_draining()
            detail = f"requests of class {classified.class_name} need a ticket"
            return self._refuse_with_ticket(request.service, detail)
        verified = self._tickets.verify(ticket_text, request.service)
        if isinstance(verified, Err):
            return RefusedReply(verified.err_value)
        ticket = verified.ok_value
        if not self._tickets.owns(ticket):
            return self._forward_to_owner(
                request, ticket.key.owner, deadline_at, forwarded
            )
        n_tokens = classified.declaration.retry_budget
        claimed = self._tickets.claim(
            ticket, request.fingerprint, n_tokens, deadline_at
        )
        if isinstance(claimed, Err):
            return RefusedReply(claimed.err_value)
        claim = claimed.ok_value
        if claim.state is ClaimState.FINISHED and claim.reply is not None:
            return claim.reply
        return self._run_ticket(
            request, classified, deadline_at, ticket, claim.budget, parent
        )

    def _run_ticket(
        self,
        request: CallRequest,
        classified: ClassifiedCall,
        deadline_at: float,
        ticket: Ticket,
        budget: RetryBudget,
        parent: RunningCall | None,
    ) -> Reply:
        """Run the request of a claimed ticket; always record an outcome."""
        reply: Reply = refuse(Outcome.UNKNOWN, Reason.INTERNAL_ERROR)
        key = ticket.key
        request_id = str(key)
        try:
            plan = CallPlan(
                request=_with_detached_caller(request),
                request_id=request_id if parent is None else parent.hop.request_id,
                class_name=classified.class_name,
                rank=_request_rank(classified, request_id, parent),
                depth=0 if parent is None else parent.hop.depth + 1,
                deadline_at=deadline_at,
                repeatable=False,
                budget=budget if parent is None else parent.budget,
                run_key=key,
            )
            reply = (
                self._run_root(plan) if parent is None else self._call_runner.run(plan)
            )
            return reply
        finally:
            self._tickets.record_outcome(ticket, reply)
            self._events.trace(
                "ticket:outcome",
                request=request_id,
                ticket=request_id,
                outcome=reply.outcome,
            )

    def _forward_to_owner(
        self, request: CallRequest, owner_id: str, deadline_at: float, forwarded: bool
    ) -> Reply:
        """Forward a call to the node that owns its ticket or request id."""
        owner = None if forwarded else self._find_owner(owner_id, deadline_at)
        if owner is None:
            # The owner is no longer a member, or was an earlier process of this node.
            detail = f"{owner_id} does not hold this ticket or id any more"
            return refuse(Outcome.UNKNOWN, Reason.OWNER_UNREACHABLE, detail)
        self._counters.add("calls_forwarded")
        return self._remote.forward(owner, request, deadline_at)

    def _find_owner(self, owner_id: str, deadline_at: float) -> Member | None:
        """Look up the owner of a ticket or request id in the membership view.

        Waits for a member that the view does not include yet.

        A node that has just started may issue tickets before the membership views
        of its peers include it.

        :return: the owner, or None when the view still lacks it after the wait.
        """
        lookup_ends_at = min(time.monotonic() + OWNER_LOOKUP_TIMEOUT_S, deadline_at)
        owner = self._view.find_member(owner_id)
        while owner is None and time.monotonic() < lookup_ends_at:
            time.sleep(OWNER_LOOKUP_INTERVAL_S)
            owner = self._view.find_member(owner_id)
        return owner

    # Child calls: calls that an upstream makes while it runs a request.

    def _handle_child(
        self, request: CallRequest, parent: RunningCall, classified: ClassifiedCall
    ) -> Reply:
        deadline_at = parent.deadline_at
        if request.deadline_ms is not None:
            own_deadline_at = time.monotonic() + request.deadline_ms / 1_000
            deadline_at = min(deadline_at, own_deadline_at)
        if parent.hop.repeatable and not classified.declaration.repeatable:
            # The parent may run again; only a ticket limits the child call to one run.
            return self._handle_ticketed(
                request, classified, deadline_at, False, parent
            )
        child_fingerprint = request.fingerprint
        registered = parent.register_child(child_fingerprint, parent.hop.repeatable)
        if isinstance(registered, Err):
            return RefusedReply(registered.err_value)
        return self._run_child(request, parent, child_fingerprint, deadline_at)

    def _run_child(
        self,
        request: CallRequest,
        parent: RunningCall,
        child_fingerprint: CallFingerprint,
        deadline_at: float,
    ) -> Reply:
        hop = parent.hop
        budget = RetryBudget(parent.budget.lend_tokens())
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
            reply = self._call_runner.run(plan)
            outcome = reply.outcome
            return _with_request_id(reply, hop.request_id)
        finally:
            parent.budget.return_tokens(budget.close())
            parent.record_child_outcome(child_fingerprint, outcome)


def _deadline_at(request: CallRequest, classified: ClassifiedCall) -> float:
    deadline_ms = request.deadline_ms
    if deadline_ms is None:
        deadline_ms = classified.declaration.deadline_ms
    return time.monotonic() + deadline_ms / 1_000


def _request_rank(
    classified: ClassifiedCall, request_id: str, parent: RunningCall | None
) -> Rank:
    if parent is not None:
        return Rank(parent.hop.priority, True, parent.hop.draw)
    return Rank(classified.declaration.priority, False, request_draw(request_id))


def _root_plan(
    request: CallRequest,
    classified: ClassifiedCall,
    request_id: str,
    budget: RetryBudget,
    deadline_at: float,
) -> CallPlan:
    return CallPlan(
        request=request,
        request_id=request_id,
        class_name=classified.class_name,
        rank=_request_rank(classified, request_id, None),
        depth=0,
        deadline_at=deadline_at,
        repeatable=True,
        budget=budget,
    )


def _with_detached_caller(request: CallRequest) -> CallRequest:
    """Return a request whose run goes on after its caller disconnects.

    The outcome of a cancelled run would stay unknown. The answer of a finished run
    is stored for the caller's repeat.
    """
    if not request.body.is_buffered:
        return request
    return replace(
        request, caller_connection=DetachedCallerConnection(request.caller_connection)
    )


def _with_request_id(reply: Reply, request_id: str) -> Reply:
    return replace(reply, request_id=request_id)


def _outcome_of_repeat(outcome: Outcome) -> Outcome:
    """Return the outcome of a repeat, ``unknown`` in place of ``not-run``.

    An earlier call with the same request id may have run.
    """
    return Outcome.UNKNOWN if outcome is Outcome.NOT_RUN else outcome


def _refuse_draining() -> RefusedReply:
    detail = "this node is leaving; use another one"
    return refuse(Outcome.NOT_RUN, Reason.DRAINING, detail, IMMEDIATE_RETRY_AFTER_MS)
