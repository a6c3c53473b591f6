"""Obtains units of quotas for the requests that callers send to this node."""

import asyncio
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

from knapweedspring_core import Counters
from knapweedspring_relay._clock import now_s
from knapweedspring_relay._hop_frames import (
    QuotaGrantFrame,
    QuotaRequestFrame,
    QuotaReturnFrame,
)
from knapweedspring_relay._quotas._coordinator import LEASE_S, QuotaCoordinator
from knapweedspring_relay._quotas._lending import Lending, LendingObserver
from knapweedspring_relay._quotas._own_shares import OwnShares

__all__ = ["QuotaClient", "UnitDecision"]

#: Time after which a question without an answer is asked again, in seconds. A
#: coordinator answers within a round trip, or a few while its VM is slow.
ANSWER_TIMEOUT_S = 0.5


class UnitDecision(NamedTuple):
    """Whether a request may start."""

    #: Whether the request got a unit.
    is_granted: bool
    #: Time after which a request without a unit may try again, in seconds.
    retry_after_s: float = 0.0


class _Unit(NamedTuple):
    """Decision on one waiting request."""

    #: Time until the unit comes due, in seconds; None when there is no unit.
    delay_s: float | None
    #: Time after which a further unit would be granted, in seconds.
    retry_after_s: float = 0.0


@dataclass(slots=True)
class _Waiter:
    """A request that waits for a unit."""

    #: Longest time until the unit comes due, in seconds.
    max_delay_s: float
    #: Set to the decision.
    decision: "asyncio.Future[_Unit]"


class _Question(NamedTuple):
    """A question that the coordinator has not answered."""

    #: Name of the workspace.
    workspace: str
    #: The requests that it asks for.
    waiters: tuple[_Waiter, ...]
    #: Time at which it was sent, on the monotonic clock, in seconds.
    sent_at: float


class QuotaClient(LendingObserver):
    """Obtains units from the coordinator, or from this node's own shares.

    Requests of a workspace that arrive while a question is open are asked for together
    in the next one.

    :param lending: lends the shares of this node to a coordinator.
    :param coordinator: the coordinator on this node.
    :param own_shares: shares of this node while they are not lent.
    :param counters: counts granted and denied units.
    """

    def __init__(
        self,
        lending: Lending,
        coordinator: QuotaCoordinator,
        own_shares: OwnShares,
        counters: Counters,
    ) -> None:
        self._lending = lending
        self._coordinator = coordinator
        self._own_shares = own_shares
        self._counters = counters
        self._waiting: dict[str, deque[_Waiter]] = {}
        self._asking: set[str] = set()
        self._questions: dict[int, _Question] = {}
        self._last_question = 0
        lending.observe(self)

    async def acquire(
        self, workspace: str, max_delay_s: float, max_wait_s: float
    ) -> UnitDecision:
        """Obtain a unit for a request and wait until it comes due.

        :param workspace: name of the workspace, which has a quota.
        :param max_delay_s: longest time until the unit comes due, in seconds.
        :param max_wait_s: longest time until the decision, in seconds.
        """
        loop = asyncio.get_running_loop()
        waiter = _Waiter(max_delay_s, loop.create_future())
        self._waiting.setdefault(workspace, deque()).append(waiter)
        self._ask_for_waiting(workspace)
        try:
            async with asyncio.timeout(max_wait_s):
                unit = await waiter.decision
        except TimeoutError:
            self._counters.add("quota_units", "undecided")
            return UnitDecision(False, LEASE_S)
        if unit.delay_s is None:
            self._counters.add("quota_units", "denied")
            return UnitDecision(False, unit.retry_after_s)
        self._counters.add("quota_units", "delayed" if unit.delay_s else "granted")
        if unit.delay_s > 0.0:
            await asyncio.sleep(unit.delay_s)
        return UnitDecision(True)

    def give_back(self, workspace: str) -> None:
        """Return the unit of a request that did not run.

        :param workspace: name of the workspace.
        """
        link = self._lending.link
        if self._lending.is_lent_here:
            self._coordinator.give_back(workspace, 1, now_s())
        elif link is not None:
            link.send(QuotaReturnFrame(workspace, 1))

    def check(self) -> None:
        """Ask again for requests whose questions got no answer; called often."""
        now = now_s()
        if any(now - q.sent_at > ANSWER_TIMEOUT_S for q in self._questions.values()):
            self._requeue_unanswered()
        for workspace in tuple(self._waiting):
            self._ask_for_waiting(workspace)

    def handle_grant(self, frame: QuotaGrantFrame) -> None:
        """Pass the units of an answer on to the requests that wait for them."""
        question = self._questions.pop(frame.question, None)
        if question is None:
            # The requests were asked for again.
            return
        self._asking.discard(question.workspace)
        if frame.is_known:
            units = [_Unit(delay_s) for delay_s in frame.delays_s]
        else:
            # The coordinator has an older configuration.
            units = [_Unit(0.0) for _ in self._take_own(question)]
        self._decide(question, units, frame.retry_after_s)
        self._ask_for_waiting(question.workspace)

    def handle_switch(self) -> None:
        """Ask again for requests whose questions the coordinator did not answer."""
        self._requeue_unanswered()

    def _requeue_unanswered(self) -> None:
        for question in self._questions.values():
            queue = self._waiting.setdefault(question.workspace, deque())
            queue.extendleft(reversed(question.waiters))
        self._questions.clear()
        self._asking.clear()

    def _ask_for_waiting(self, workspace: str) -> None:
        """Ask for the waiting requests of a workspace unless a question is open."""
        if workspace in self._asking:
            return
        queue = self._waiting.pop(workspace, None)
        waiters = tuple(w for w in queue or () if not w.decision.done())
        if waiters:
            self._ask(_Question(workspace, waiters, now_s()))

    def _ask(self, question: _Question) -> None:
        workspace, n_units = question.workspace, len(question.waiters)
        max_delay_s = min(waiter.max_delay_s for waiter in question.waiters)
        link = self._lending.link
        if self._lending.is_lent_here:
            grant = self._coordinator.grant(
                workspace, n_units, max_delay_s, question.sent_at
            )
            if grant is None:
                self._decide(question, [_Unit(0.0)] * n_units, 0.0)
            else:
                units = [_Unit(delay_s) for delay_s in grant.delays_s]
                self._decide(question, units, grant.retry_after_s)
        elif link is not None:
            self._last_question = number = self._last_question + 1
            self._questions[number] = question
            self._asking.add(workspace)
            link.send(QuotaRequestFrame(number, workspace, n_units, max_delay_s))
        else:
            # Requests that get no unit wait until a coordinator is found.
            taken = self._take_own(question)
            for waiter in taken:
                waiter.decision.set_result(_Unit(0.0))
            left = question.waiters[len(taken) :]
            if left:
                self._waiting[workspace] = deque(left)

    def _take_own(self, question: _Question) -> tuple[_Waiter, ...]:
        """Return the first requests for which this node's own share has units."""
        n_taken = 0
        if not self._lending.is_lending:
            now = now_s()
            for _ in question.waiters:
                if not self._own_shares.try_take(question.workspace, now):
                    break
                n_taken += 1
        return question.waiters[:n_taken]

    def _decide(
        self, question: _Question, units: Iterable[_Unit], retry_after_s: float
    ) -> None:
        """Give the units to the first requests, and deny one to the others."""
        remaining = iter(units)
        for waiter in question.waiters:
            if waiter.decision.done():
                # The caller has left.
                continue
            unit = next(remaining, _Unit(None, retry_after_s))
            waiter.decision.set_result(unit)
        for _ in remaining:
            self.give_back(question.workspace)
