"""Drain: a closing gate starts nothing new and cuts nothing that it started.

One node that leaves, the upstream beside it, three requests at its gate (the first
makes a call of its own through the node), and one ticket that the node owns.

Bounds: three requests, one child call, one live ticket, one change of mind. The
senders' views may be stale at any time, so requests also reach a closing gate. A
request's connection may break when the process ends.

Properties: ``nothing starts after the close``; ``nothing is cut``: neither a
request, nor its child call, nor a live ticket is given up by a stop whose
deadline was not hit, and a hit deadline is reported; ``not-run is honest``.

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

    #: Whether the gate is open is decided in one step with the start.
    CHECK_AND_START_TOGETHER = auto()
    #: Requests that wait when the gate closes are refused, not started.
    CLOSE_REFUSES_WAITING = auto()
    #: The process waits for started requests.
    EXIT_WAITS_FOR_REQUESTS = auto()
    #: The process waits until answers have been sent whole.
    EXIT_WAITS_FOR_ANSWERS = auto()
    #: The process waits for live tickets that it owns.
    EXIT_WAITS_FOR_TICKETS = auto()
    #: A closing node still carries the calls of requests that it started.
    CHILD_CALLS_GO_ON = auto()
    #: A stop deadline that is hit is reported.
    DEADLINE_IS_REPORTED = auto()
    #: A sender whose connection broke without an answer says ``unknown``.
    BROKEN_OFF_IS_UNKNOWN = auto()


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
    #: Found the gate open, not yet started; only without the one-step rule.
    CHECKED = auto()
    STARTED = auto()
    #: The upstream is done, the answer is not yet sent whole.
    ENDED = auto()
    ANSWERED = auto()
    NOT_RUN = auto()
    UNKNOWN = auto()
    CUT = auto()


class Child(Enum):
    """State of the call that the first request makes."""

    NONE = auto()
    ASKED = auto()
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
    """State of the whole."""

    node: Node
    requests: tuple[Request, ...]
    #: Requests that the upstream got a byte of.
    ran: frozenset[int]
    child: Child
    ticket: Ticket
    #: The stop deadline passed before the drain was complete.
    deadline_hit: bool
    #: Operators were told so.
    reported: bool
    #: An operator took the intent to leave back once.
    reopened: bool
    #: A request was started by a gate that was not open.
    started_late: bool


class DrainSpecification(Specification[DrainState]):
    """A node's planned stop.

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
        """Return the promises of a planned stop."""
        return (
            Property(
                "nothing starts after the close", lambda state: not state.started_late
            ),
            Property("nothing is cut", _nothing_is_cut),
            Property("not-run is honest", _not_run_is_honest),
        )

    def steps(self, state: DrainState) -> Iterator[Step]:
        """Yield what senders, gate, upstream, owner and operator may do."""
        for index, request in enumerate(state.requests):
            if state.node is not Node.EXITED:
                yield from self._gate_steps(state, index, request)
            yield from self._sender_steps(state, index, request)
        if state.node is not Node.EXITED:
            yield from self._child_steps(state)
            yield from _ticket_steps(state)
        if state.node is Node.OPEN:
            yield self._close(state)
        if state.node is Node.CLOSING:
            yield from self._stop_steps(state)

    def _gate_steps(
        self, state: DrainState, index: int, request: Request
    ) -> Iterator[Step]:
        if request in (Request.ARRIVED, Request.WAITING):
            yield from self._admission_steps(state, index, request)
        if request is Request.CHECKED:
            yield _start(state, index)
        if request is Request.STARTED and (index or state.child is not Child.ASKED):
            yield Step(f"upstream:end {index}", _put(state, index, Request.ENDED))
        if request is Request.ENDED:
            answered = _put(state, index, Request.ANSWERED)
            yield Step(f"gate:finished {index}", answered)

    def _admission_steps(
        self, state: DrainState, index: int, request: Request
    ) -> Iterator[Step]:
        refused = _put(state, index, Request.NOT_RUN)
        yield Step(f"gate:refused {index}", refused)
        late = request is Request.WAITING and not self.has(
            DrainRule.CLOSE_REFUSES_WAITING
        )
        if state.node is not Node.OPEN and not late:
            return
        if request is Request.ARRIVED:
            waiting = _put(state, index, Request.WAITING)
            yield Step(f"gate:queued {index}", waiting)
        if self.has(DrainRule.CHECK_AND_START_TOGETHER):
            yield _start(state, index)
        else:
            yield Step(f"gate:checked {index}", _put(state, index, Request.CHECKED))

    def _sender_steps(
        self, state: DrainState, index: int, request: Request
    ) -> Iterator[Step]:
        if request is Request.NOT_SENT:
            if state.node is Node.EXITED:
                # No connection, so no byte was sent.
                refused = _put(state, index, Request.NOT_RUN)
                yield Step(f"sender:no-connection {index}", refused)
            else:
                arrived = _put(state, index, Request.ARRIVED)
                yield Step(f"sender:sent {index}", arrived)
        if state.node is Node.EXITED and request is Request.CUT:
            outcome = Request.UNKNOWN
            if not self.has(DrainRule.BROKEN_OFF_IS_UNKNOWN):
                outcome = Request.NOT_RUN
            yield Step(f"sender:broken-off {index}", _put(state, index, outcome))

    def _child_steps(self, state: DrainState) -> Iterator[Step]:
        if state.requests[0] is not Request.STARTED:
            return
        if state.child is Child.NONE:
            yield Step("upstream:child-call", state._replace(child=Child.ASKED))
        if state.child is Child.ASKED:
            goes_on = state.node is Node.OPEN or self.has(DrainRule.CHILD_CALLS_GO_ON)
            child = Child.DONE if goes_on else Child.REFUSED
            yield Step(f"child:{child.name.lower()}", state._replace(child=child))

    def _close(self, state: DrainState) -> Step:
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
            yield Step("node:exit", _exit(state))
            return
        hit = state._replace(
            deadline_hit=True, reported=self.has(DrainRule.DEADLINE_IS_REPORTED)
        )
        yield Step("node:exit at the stop deadline", _exit(hit))

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
        # The owner sends it to another upstream once its own gate is closed.
        yield Step("ticket:used", state._replace(ticket=Ticket.USED))
        yield Step("ticket:expired", state._replace(ticket=Ticket.EXPIRED))


def _nothing_is_cut(state: DrainState) -> bool:
    if state.child is Child.REFUSED:
        return False
    if state.deadline_hit:
        return state.reported
    # A request that arrived and was never looked at is not work in flight.
    cut = any(
        index in state.ran and request in (Request.CUT, Request.UNKNOWN)
        for index, request in enumerate(state.requests)
    )
    return not cut and state.ticket is not Ticket.LOST


def _not_run_is_honest(state: DrainState) -> bool:
    return not any(state.requests[index] is Request.NOT_RUN for index in state.ran)


def _start(state: DrainState, index: int) -> Step:
    started = _put(state, index, Request.STARTED)
    late = state.started_late or state.node is not Node.OPEN
    after = started._replace(ran=state.ran | {index}, started_late=late)
    return Step(f"gate:started {index}", after)


def _exit(state: DrainState) -> DrainState:
    """End the process: its connections break, its memory is gone."""
    over = (Request.NOT_SENT, Request.ANSWERED, Request.NOT_RUN, Request.UNKNOWN)
    requests = tuple(
        request if request in over else Request.CUT for request in state.requests
    )
    ticket = Ticket.LOST if state.ticket is Ticket.LIVE else state.ticket
    return state._replace(node=Node.EXITED, requests=requests, ticket=ticket)


def _put(state: DrainState, index: int, request: Request) -> DrainState:
    requests = list(state.requests)
    requests[index] = request
    return state._replace(requests=tuple(requests))
