"""Calls that run at the upstreams of this node, and child calls made for these."""

import itertools
import threading
import time
from enum import Enum, auto

from result import Err, Ok, Result

from knapweedspring_core import Outcome, Reason, Refusal
from knapweedspring_node._calls._budget import RetryBudget
from knapweedspring_node._calls._context import HopContext
from knapweedspring_node._calls._request import CallFingerprint

__all__ = ["InFlightTable", "ParentState", "RunningCall"]

#: Largest number of different child calls that one running call may make; others
#: beyond this number are refused.
MAX_CHILDREN = 1_024


class ParentState(Enum):
    """State of the parent call that a context token identifies."""

    NONE = auto()
    RUNNING = auto()
    ENDED = auto()


class RunningCall:
    """One call that runs at an upstream of this node.

    :param token: context token of the call.
    :param hop: context that the call arrived with.
    :param deadline_at: deadline of the root request, on the monotonic clock, in
        seconds.
    """

    def __init__(self, token: str, hop: HopContext, deadline_at: float) -> None:
        self._token = token
        self._hop = hop
        self._deadline_at = deadline_at
        self._budget = RetryBudget(hop.n_tokens)
        self._lock = threading.Lock()
        self._children: dict[CallFingerprint, Outcome | None] = {}
        self._n_children_started = 0
        self._n_children_running = 0
        self._children_started_at = 0.0
        self._children_outstanding_s = 0.0

    @property
    def token(self) -> str:
        """Context token that the upstream copies into its own calls."""
        return self._token

    @property
    def hop(self) -> HopContext:
        """Context that the call arrived with."""
        return self._hop

    @property
    def deadline_at(self) -> float:
        """Deadline of the root request, on the monotonic clock, in seconds."""
        return self._deadline_at

    @property
    def budget(self) -> RetryBudget:
        """Retry tokens lent to this call, for its child calls as well."""
        return self._budget

    @property
    def n_children_started(self) -> int:
        """Number of child calls started, except those that ended as ``not-run``."""
        return self._n_children_started

    @property
    def child_services(self) -> frozenset[str]:
        """Services that the upstream called for this request."""
        with self._lock:
            return frozenset(child.target.split("/", 2)[1] for child in self._children)

    @property
    def children_outstanding_s(self) -> float:
        """Time in which at least one child call was outstanding, in seconds."""
        return self._children_outstanding_s

    def record_child_arrival(self) -> None:
        """Record that a child call arrived at this node."""
        with self._lock:
            if self._n_children_running == 0:
                self._children_started_at = time.monotonic()
            self._n_children_running += 1

    def record_child_reply(self) -> None:
        """Record that a child call got its reply."""
        with self._lock:
            self._n_children_running -= 1
            if self._n_children_running == 0:
                self._children_outstanding_s += (
                    time.monotonic() - self._children_started_at
                )

    def register_child(
        self, child: CallFingerprint, repeatable: bool
    ) -> Result[None, Refusal]:
        """Register a child call; a repeated child call is a retry and spends a token.

        Action ``upstream:child-call`` of the specification, and its repeat.

        :param child: fingerprint of the child call.
        :param repeatable: whether the child call may run more than once.
        :return: a refusal when the budget is spent, when the parent has made too many
            different child calls, or when the child call must run only once and an
            earlier call with its fingerprint may have run.
        """
        with self._lock:
            if child in self._children:
                refusal = self._refuse_repeat(self._children[child], repeatable)
                if refusal is not None:
                    return Err(refusal)
            elif len(self._children) >= MAX_CHILDREN:
                detail = "too many calls for one request"
                return Err(Refusal(Outcome.NOT_RUN, Reason.BUDGET_SPENT, 0, detail))
            self._children[child] = None
            self._n_children_started += 1
            return Ok(None)

    def record_child_outcome(self, child: CallFingerprint, outcome: Outcome) -> None:
        """Record the outcome of a child call."""
        with self._lock:
            self._children[child] = outcome
            if outcome is Outcome.NOT_RUN:
                self._n_children_started -= 1

    def _refuse_repeat(
        self, earlier: Outcome | None, repeatable: bool
    ) -> Refusal | None:
        may_have_run = earlier is not Outcome.NOT_RUN
        outcome = Outcome.UNKNOWN if may_have_run else Outcome.NOT_RUN
        if may_have_run and not repeatable:
            return Refusal(
                outcome,
                Reason.TICKET_SPENT,
                0,
                "may not run again",
            )
        if not self._budget.spend_token():
            return Refusal(outcome, Reason.BUDGET_SPENT, 0, "no retry is left")
        return None


class InFlightTable:
    """Running calls by context token.

    :param node_id: id of this node; part of each token.
    :param epoch: random number that identifies this process; part of each token.
    """

    def __init__(self, node_id: str, epoch: int) -> None:
        self._prefix = f"{node_id}.{epoch:x}."
        self._sequence = itertools.count(1)
        self._calls: dict[str, RunningCall] = {}

    def __len__(self) -> int:
        return len(self._calls)

    def begin(self, hop: HopContext, deadline_at: float) -> RunningCall:
        """Register a call that is about to be sent to the upstream.

        :param hop: context that the call arrived with.
        :param deadline_at: deadline of the root request, on the monotonic clock, in
            seconds.
        """
        token = f"{self._prefix}{next(self._sequence):x}"
        call = RunningCall(token, hop, deadline_at)
        self._calls[token] = call
        return call

    def end(self, call: RunningCall) -> None:
        """Remove a call whose answer is complete or abandoned."""
        self._calls.pop(call.token, None)

    def find(self, token: str) -> tuple[ParentState, RunningCall | None]:
        """Look up the parent of a child call.

        :param token: value of the context header, or empty.
        :return: the state of the parent, and the parent when it is running. A token
            that this process did not issue is treated like an empty one.
        """
        if not token.startswith(self._prefix):
            return ParentState.NONE, None
        call = self._calls.get(token)
        if call is None:
            return ParentState.ENDED, None
        return ParentState.RUNNING, call
