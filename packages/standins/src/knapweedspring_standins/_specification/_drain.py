"""Specification of a drain: a closing gate starts no request and aborts none.

The model has one node that leaves, the upstream beside it, three requests at its
gate (the first makes a call of its own through the node), and one ticket that the
node owns.

Bounds: three requests, one child call, one live ticket, one withdrawal of the intent
to leave. The senders' membership views may be stale at any time, so requests also
reach a closing gate. The end of the process closes its connections.

Properties: ``nothing starts after the close``; ``nothing is cut``: a stop that does
not hit its deadline aborts no request, no child call and no live ticket, and a stop
that hits its deadline is reported; ``not-run is honest``: a request that is answered
``not-run`` did not reach the upstream.

States: 8,922.
"""

from collections.abc import Iterator
from enum import Enum, auto
from typing import NamedTuple

from knapweedspring_standins._specification._checking import (
    Property,
    Specification,
    Step,
)

__all__ = ["DrainRule", "DrainSpecification", "DrainState"]

N_REQUESTS = 3


class DrainRule(Enum):
    """Rules of the protocol, each needed by a property."""

    #: The gate checks that it is open and starts the request in one atomic step.
    CHECK_AND_START_TOGETHER = auto()
    #: Requests that are queued when the gate closes are refused, not started.
    CLOSE_REFUSES_WAITING = auto()
    #: The process exits only after started requests have ended.
    EXIT_WAITS_FOR_REQUESTS = auto()
    #: The process exits only after answers have been sent completely.
    EXIT_WAITS_FOR_ANSWERS = auto()
    #: The process exits only after the tickets that it owns are used or expired.
    EXIT_WAITS_FOR_TICKETS = auto()
    #: A closing node still forwards the child calls of requests that it started.
    CHILD_CALLS_CONTINUE = auto()
    #: A stop deadline that is hit is reported to operators.
    DEADLINE_IS_REPORTED = auto()
    #: A sender whose connection closes before an answer reports ``unknown``.
    CLOSED_CONNECTION_IS_UNKNOWN = auto()


class Node(Enum):
    """State of the leaving node."""

    OPEN = auto()
    CLOSING = auto()
    EXITED = auto()


class Request(Enum):
    """State of one request at the gate."""

    NOT_SENT = auto()
    ARRIVED = auto()
    WAITING = auto()
    #: Passed the check that the gate is open, not yet started. Only reached without
    #: ``CHECK_AND_START_TOGETHER``.
    CHECKED = auto()
    STARTED = auto()
    #: The upstream has finished; the answer has not been sent completely.
    ENDED = auto()
    ANSWERED = auto()
    NOT_RUN = auto()
    UNKNOWN = auto()
    #: The connection of the request closed without an answer when the process ended.
    ABORTED = auto()


class Child(Enum):
    """State of the call that the first request makes."""

    NONE = auto()
    PENDING = auto()
    DONE = auto()
    REFUSED = auto()


class Ticket(Enum):
    """State of the ticket that the node owns."""

    LIVE = auto()
    USED = auto()
    EXPIRED = auto()
    LOST = auto()


IN_FLIGHT = (Request.STARTED, Request.ENDED)


class DrainState(NamedTuple):
    """State of the node, its requests, their child call and the ticket."""

    node: Node
    requests: tuple[Request, ...]
    #: Indexes of the requests of which the upstream received at least one byte.
    ran: frozenset[int]
    child: Child
    ticket: Ticket
    #: Whether the stop deadline passed before the drain was complete.
    deadline_hit: bool
    #: Whether operators were informed of the deadline that was hit.
    reported: bool
    #: Whether an operator has withdrawn the intent to leave; it happens at most once.
    reopened: bool
    #: Whether the gate started a request while it was not open.
    started_late: bool


class DrainSpecification(Specification[DrainState]):
    """Planned stop of a node.

    >>> DrainSpecification().initial.node
    <Node.OPEN: 1>
    """

    @property
    def initial(self) -> DrainState:
        """Return the state of a node that serves."""
        return DrainState(
            Node.OPEN,
            (Request.NOT_SENT,) * N_REQUESTS,
            ran=frozenset(),
            child=Child.NONE,
            ticket=Ticket.LIVE,
            deadline_hit=False,
            reported=False,
            reopened=False,
            started_late=False,
        )

    @property
    def properties(self) -> tuple[Property[DrainState], ...]:
        """Return the guarantees of a planned stop."""
        return (
            Property(
                "nothing starts after the close", lambda state: not state.started_late
            ),
            Property("nothing is cut", _nothing_is_aborted),
            Property("not-run is honest", _not_run_is_honest),
        )

    def steps(self, state: DrainState) -> Iterator[Step]:
        """Yield the steps of senders, gate, upstream, ticket owner and operator."""
        for index, request in enumerate(state.requests):
            if state.node is not Node.EXITED:
                yield from self._gate_steps(state, index, request)
            yield from self._sender_steps(state, index, request)
        if state.node is not Node.EXITED:
            yield from self._child_steps(state)
            yield from _ticket_steps(state)
        if state.node is Node.OPEN:
            yield self._close_step(state)
        if state.node is Node.CLOSING:
            yield from self._stop_steps(state)

    def _gate_steps(
        self, state: DrainState, index: int, request: Request
    ) -> Iterator[Step]:
        if request in (Request.ARRIVED, Request.WAITING):
            yield from self._admission_steps(state, index, request)
        if request is Request.CHECKED:
            yield _start_step(state, index)
        if request is Request.STARTED and (index or state.child is not Child.PENDING):
            yield Step(
                f"upstream:end {index}", _with_request(state, index, Request.ENDED)
            )
        if request is Request.ENDED:
            answered = _with_request(state, index, Request.ANSWERED)
            yield Step(f"gate:finished {index}", answered)

    def _admission_steps(
        self, state: DrainState, index: int, request: Request
    ) -> Iterator[Step]:
        refused = _with_request(state, index, Request.NOT_RUN)
        yield Step(f"gate:refused {index}", refused)
        late = request is Request.WAITING and not self.has(
            DrainRule.CLOSE_REFUSES_WAITING
        )
        if state.node is not Node.OPEN and not late:
            return
        if request is Request.ARRIVED:
            waiting = _with_request(state, index, Request.WAITING)
            yield Step(f"gate:queued {index}", waiting)
        if self.has(DrainRule.CHECK_AND_START_TOGETHER):
            yield _start_step(state, index)
        else:
            yield Step(
                f"gate:checked {index}", _with_request(state, index, Request.CHECKED)
            )

    def _sender_steps(
        self, state: DrainState, index: int, request: Request
    ) -> Iterator[Step]:
        if request is Request.NOT_SENT:
            if state.node is Node.EXITED:
                # The connection cannot be opened, so no byte was sent.
                refused = _with_request(state, index, Request.NOT_RUN)
                yield Step(f"sender:no-connection {index}", refused)
            else:
                arrived = _with_request(state, index, Request.ARRIVED)
                yield Step(f"sender:sent {index}", arrived)
        if state.node is Node.EXITED and request is Request.ABORTED:
            outcome = Request.UNKNOWN
            if not self.has(DrainRule.CLOSED_CONNECTION_IS_UNKNOWN):
                outcome = Request.NOT_RUN
            yield Step(
                f"sender:broken-off {index}", _with_request(state, index, outcome)
            )

    def _child_steps(self, state: DrainState) -> Iterator[Step]:
        if state.requests[0] is not Request.STARTED:
            return
        if state.child is Child.NONE:
            yield Step("upstream:child-call", state._replace(child=Child.PENDING))
        if state.child is Child.PENDING:
            continues = state.node is Node.OPEN or self.has(
                DrainRule.CHILD_CALLS_CONTINUE
            )
            child = Child.DONE if continues else Child.REFUSED
            yield Step(f"child:{child.name.lower()}", state._replace(child=child))

    def _close_step(self, state: DrainState) -> Step:
        closing = state._replace(node=Node.CLOSING)
        if self.has(DrainRule.CLOSE_REFUSES_WAITING):
            requests = tuple(
                Request.NOT_RUN if request is Request.WAITING else request
                for request in state.requests
            )
            closing = closing._replace(requests=requests)
        return Step("gate:closed", closing)

    def _stop_steps(self, state: DrainState) -> Iterator[Step]:
        if not state.reopened:
            reopened = state._replace(node=Node.OPEN, reopened=True)
            yield Step("gate:reopened", reopened)
        if self._is_drained(state):
            yield Step("node:exit", _exited(state))
            return
        at_deadline = state._replace(
            deadline_hit=True, reported=self.has(DrainRule.DEADLINE_IS_REPORTED)
        )
        yield Step("node:exit at the stop deadline", _exited(at_deadline))

    def _is_drained(self, state: DrainState) -> bool:
        awaited = set()
        if self.has(DrainRule.EXIT_WAITS_FOR_REQUESTS):
            awaited |= {Request.CHECKED, Request.STARTED}
        if self.has(DrainRule.EXIT_WAITS_FOR_ANSWERS):
            awaited.add(Request.ENDED)
        if awaited.intersection(state.requests):
            return False
        live = state.ticket is Ticket.LIVE
        return not (live and self.has(DrainRule.EXIT_WAITS_FOR_TICKETS))


def _ticket_steps(state: DrainState) -> Iterator[Step]:
    if state.ticket is Ticket.LIVE:
        # After its gate closed, the owner may still use the ticket at another upstream.
        yield Step("ticket:used", state._replace(ticket=Ticket.USED))
        yield Step("ticket:expired", state._replace(ticket=Ticket.EXPIRED))


def _nothing_is_aborted(state: DrainState) -> bool:
    if state.child is Child.REFUSED:
        return False
    if state.deadline_hit:
        return state.reported
    # A request that arrived but was not started was not in flight, so the stop did not
    # abort it.
    aborted = any(
        index in state.ran and request in (Request.ABORTED, Request.UNKNOWN)
        for index, request in enumerate(state.requests)
    )
    return not aborted and state.ticket is not Ticket.LOST


def _not_run_is_honest(state: DrainState) -> bool:
    return not any(state.requests[index] is Request.NOT_RUN for index in state.ran)


def _start_step(state: DrainState, index: int) -> Step:
    started = _with_request(state, index, Request.STARTED)
    late = state.started_late or state.node is not Node.OPEN
    after = started._replace(ran=state.ran | {index}, started_late=late)
    return Step(f"gate:started {index}", after)


def _exited(state: DrainState) -> DrainState:
    """Return the state after the process ended.

    Its connections close, and a live ticket is lost.
    """
    unaffected = (Request.NOT_SENT, Request.ANSWERED, Request.NOT_RUN, Request.UNKNOWN)
    requests = tuple(
        request if request in unaffected else Request.ABORTED
        for request in state.requests
    )
    ticket = Ticket.LOST if state.ticket is Ticket.LIVE else state.ticket
    return state._replace(node=Node.EXITED, requests=requests, ticket=ticket)


def _with_request(state: DrainState, index: int, request: Request) -> DrainState:
    requests = list(state.requests)
    requests[index] = request
    return state._replace(requests=tuple(requests))
