"""Attempts at one call: choosing an upstream, trying it, and trying again."""

import random
import time
from collections.abc import Callable
from dataclasses import dataclass, replace

from knapweedspring_core import (
    Counters,
    EventLog,
    Member,
    Outcome,
    Reason,
    Refusal,
)
from knapweedspring_node._calls._budget import (
    RetryRatio,
    backoff_max_s,
    backoff_s,
    may_retry,
)
from knapweedspring_node._calls._gate_side import GateSide
from knapweedspring_node._calls._levels import LevelTable
from knapweedspring_node._calls._load import GateLoad
from knapweedspring_node._calls._plan import CallPlan
from knapweedspring_node._calls._remote import RemoteGates
from knapweedspring_node._calls._reply import Refused, Relayed, Reply, refuse
from knapweedspring_node._calls._revocation import Revoker, RevokeResult
from knapweedspring_node._calls._routing import FailureKind, UpstreamPicker
from knapweedspring_node._calls._service_times import ServiceTimes

__all__ = ["Attempts"]

#: Attempts beyond the first under the passthrough policy, at each hop.
PASSTHROUGH_RETRIES = 3
#: A gate's new process is learnt from its refusal; more changes mean a fault.
MAX_EPOCH_CHANGES = 3
#: Lets the gate's own answer at the deadline arrive before this node gives up.
HOP_MARGIN_MS = 3

STATUS_ERROR = 500

_FINAL_REASONS = frozenset(
    {Reason.DEADLINE, Reason.CALLER_LEFT, Reason.BUDGET_SPENT, Reason.TICKET_SPENT}
)
_FAILURE_KINDS = {
    Reason.PEER_UNREACHABLE: FailureKind.CONNECT,
    Reason.PEER_BROKE_OFF: FailureKind.BROKE_OFF,
    Reason.UPSTREAM_UNREACHABLE: FailureKind.CONNECT,
    Reason.UPSTREAM_BROKE_OFF: FailureKind.BROKE_OFF,
    Reason.DEADLINE: FailureKind.TIMEOUT,
}


@dataclass(frozen=True, slots=True)
class _Sent:
    """One attempt and what came of it."""

    #: The reply.
    reply: Reply
    #: Process of the gate that the attempt was meant for.
    gate_epoch: int


class Attempts:
    """Runs planned calls.

    :param own_id: name of this node; its own gate is called in process.
    :param top_priority: priority of the most important class in force.
    """

    def __init__(
        self,
        own_id: str,
        picker: UpstreamPicker,
        levels: LevelTable,
        gate_side: GateSide,
        remote: RemoteGates,
        revoker: Revoker,
        ratio: RetryRatio,
        top_priority: Callable[[], int],
        events: EventLog,
        counters: Counters,
        rng: random.Random,
    ) -> None:
        self._own_id = own_id
        self._picker = picker
        self._levels = levels
        self._gate_side = gate_side
        self._remote = remote
        self._revoker = revoker
        self._ratio = ratio
        self._top_priority = top_priority
        self._events = events
        self._counters = counters
        self._rng = rng
        self._epochs: dict[str, int] = {}
        # By service; a lost update between threads is made up by the next one.
        self._latencies = ServiceTimes()
        self._passthrough = False

    def set_passthrough(self, passthrough: bool) -> None:
        """Switch to the baseline: a fixed number of retries at each hop."""
        self._passthrough = passthrough

    def run(self, plan: CallPlan) -> Reply:
        """Try a call until it is answered, refuse for good or out of retries.

        The reply is ``not-run`` only when every attempt was.
        """
        self._ratio.count_call()
        excluded: frozenset[str] = frozenset()
        last: Refused | None = None
        may_have_run = False
        n_retries = 0
        while True:
            member = self._pick(plan, excluded)
            if member is None:
                return self._no_upstream(last, may_have_run)
            reply = self._attempt(plan, member, n_retries + 1)
            if isinstance(reply, Relayed):
                return reply
            may_have_run = may_have_run or reply.outcome is not Outcome.NOT_RUN
            last = reply
            if not self._retries(plan, reply, n_retries):
                return _honest(last, may_have_run)
            n_retries += 1
            excluded |= {member.node_id}
            self._pause(plan, n_retries)

    def _pick(self, plan: CallPlan, excluded: frozenset[str]) -> Member | None:
        time_left_s = plan.deadline_at - time.monotonic()
        return self._picker.pick(plan.request.service, plan.rank, excluded, time_left_s)

    def _no_upstream(self, last: Refused | None, may_have_run: bool) -> Refused:
        if last is not None:
            return _honest(last, may_have_run)
        retry_after_ms = int(self._rng.uniform(500, 1_500))
        return refuse(
            Outcome.NOT_RUN,
            Reason.NO_UPSTREAM,
            "no upstream of the service is known",
            retry_after_ms,
        )

    def _attempt(self, plan: CallPlan, member: Member, attempt: int) -> Reply:
        """Try one upstream, settling the loan of tokens and an uncertain run.

        Actions ``ticket:attempt`` and, for the loan, lend and return of the
        specification.
        """
        n_lent = plan.budget.lend()
        began_at = time.monotonic()
        self._trace_attempt(plan, member, attempt)
        sent = self._send(plan, member, attempt, n_lent)
        reply = sent.reply
        plan.budget.give_back(min(reply.n_tokens_left, n_lent))
        self._observe(plan, member, reply, time.monotonic() - began_at)
        if isinstance(reply, Refused) and reply.outcome is not Outcome.NOT_RUN:
            return self._revoke_uncertain(plan, member, reply, sent.gate_epoch)
        return reply

    def _trace_attempt(self, plan: CallPlan, member: Member, attempt: int) -> None:
        if plan.run_key is not None:
            self._events.trace(
                "ticket:attempt",
                request=plan.request_id,
                ticket=str(plan.run_key),
                attempt=str(attempt),
                gate=member.node_id,
            )

    def _send(
        self, plan: CallPlan, member: Member, attempt: int, n_tokens: int
    ) -> "_Sent":
        for _ in range(MAX_EPOCH_CHANGES):
            epoch = self._epochs.get(member.node_id, 0)
            reply = self._send_once(plan, member, attempt, n_tokens, epoch)
            if reply.gate_epoch:
                self._epochs[member.node_id] = reply.gate_epoch
            if not _is_epoch_change(reply):
                break
        return _Sent(reply, epoch)

    def _send_once(
        self, plan: CallPlan, member: Member, attempt: int, n_tokens: int, epoch: int
    ) -> Reply:
        left_ms = int((plan.deadline_at - time.monotonic()) * 1_000) - HOP_MARGIN_MS
        if left_ms <= 0:
            refusal = Refusal(Outcome.NOT_RUN, Reason.DEADLINE)
            return Refused(refusal, n_tokens_left=n_tokens)
        if member.node_id == self._own_id:
            hop = plan.hop(attempt, left_ms, n_tokens, self._gate_side.epoch)
            return self._gate_side.run(plan.request, hop)
        hop = plan.hop(attempt, left_ms, n_tokens, epoch)
        return self._remote.run(member, plan.request, hop, plan.deadline_at)

    def _observe(
        self, plan: CallPlan, member: Member, reply: Reply, latency_s: float
    ) -> None:
        load = GateLoad.from_header(reply.load) if reply.load else None
        if load is not None:
            service, now = plan.request.service, time.monotonic()
            self._picker.observe(member.node_id, load)
            self._levels.observe(service, member.node_id, load.level, now)
            self._levels.take_in(service, plan.class_name, reply.load, now)
        if isinstance(reply, Refused):
            self._note_refusal(plan, member, reply)
        kind = _failure_kind(reply)
        if kind is not None:
            self._note_failure(member, kind)
        elif isinstance(reply, Relayed):
            self._picker.succeeded(member.node_id, latency_s)
            self._latencies.record(plan.request.service, latency_s, True)

    def _note_refusal(self, plan: CallPlan, member: Member, reply: Refused) -> None:
        self._counters.add("attempts_refused", reply.refusal.reason)
        self._events.trace(
            "call:attempt-refused",
            request=plan.request_id,
            ticket="" if plan.run_key is None else str(plan.run_key),
            gate=member.node_id,
            outcome=reply.outcome,
            reason=reply.refusal.reason,
        )

    def _note_failure(self, member: Member, kind: FailureKind) -> None:
        if self._picker.failed(member.node_id, kind):
            self._counters.add("nodes_set_aside", kind)
            self._events.record("routing:set-aside", node=member.node_id, failure=kind)

    def _revoke_uncertain(
        self, plan: CallPlan, member: Member, reply: Refused, gate_epoch: int
    ) -> Refused:
        """Rule a run out, if its gate can, when the answer about it was lost.

        :param gate_epoch: the process that the lost attempt was meant for; only
            that very process can say that the run never started.
        """
        key = plan.run_key
        if key is None or reply.refusal.reason is not Reason.PEER_BROKE_OFF:
            return reply
        result = self._revoker.revoke(member, key, gate_epoch)
        self._counters.add("revocations", result)
        if result is RevokeResult.NEVER_STARTED:
            return reply.with_outcome(Outcome.NOT_RUN)
        return reply

    def _retries(self, plan: CallPlan, reply: Refused, n_retries: int) -> bool:
        """Decide whether to try again, paying for it."""
        if reply.refusal.reason in _FINAL_REASONS or not plan.request.body.is_buffered:
            return False
        if reply.outcome is not Outcome.NOT_RUN and not plan.repeatable:
            return False
        if self._passthrough:
            return n_retries < PASSTHROUGH_RETRIES
        if not may_retry(plan.deadline_at, self._expected_s(plan, n_retries + 1)):
            self._counters.add("retries_denied", "deadline")
            return False
        is_top = plan.rank.priority >= self._top_priority()
        if not self._ratio.take(is_top):
            self._counters.add("retries_denied", "ratio")
            return False
        if not plan.budget.take():
            self._counters.add("retries_denied", "budget")
            return False
        self._counters.add("retries", reply.refusal.reason)
        return True

    def _expected_s(self, plan: CallPlan, n_retries: int) -> float:
        """Return how long the pause and another attempt would take."""
        latency_s = self._latencies.of_class(plan.request.service)
        return latency_s + backoff_max_s(n_retries) / 2.0

    def _pause(self, plan: CallPlan, n_retries: int) -> None:
        pause_s = backoff_s(n_retries, self._rng)
        left_s = plan.deadline_at - time.monotonic()
        time.sleep(max(0.0, min(pause_s, left_s)))


def _failure_kind(reply: Reply) -> FailureKind | None:
    """Return what a reply says against the node that it came from."""
    if isinstance(reply, Relayed):
        return FailureKind.ERROR if reply.status >= STATUS_ERROR else None
    if reply.refusal.reason is Reason.DEADLINE and reply.outcome is Outcome.NOT_RUN:
        # The gate had no time left for the call; nothing is wrong with it.
        return None
    return _FAILURE_KINDS.get(reply.refusal.reason)


def _is_epoch_change(reply: Reply) -> bool:
    return isinstance(reply, Refused) and reply.refusal.reason is Reason.GATE_RESTARTED


def _honest(reply: Refused, may_have_run: bool) -> Refused:
    """Make the last refusal speak for all attempts."""
    if may_have_run and reply.outcome is Outcome.NOT_RUN:
        reply = reply.with_outcome(Outcome.UNKNOWN)
    return replace(reply, load="", n_tokens_left=0)
