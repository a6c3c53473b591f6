"""Runs a call: picks a gate for each attempt, sends the call and retries it."""

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
from knapweedspring_node._calls._remote import RemoteNodes
from knapweedspring_node._calls._reply import RefusedReply, RelayedReply, Reply, refuse
from knapweedspring_node._calls._revocation import Revoker, RevokeResult
from knapweedspring_node._calls._routing import FailureKind, UpstreamPicker
from knapweedspring_node._calls._service_times import ServiceTimes

__all__ = ["CallRunner"]

#: Largest number of retries at each hop in passthrough mode.
PASSTHROUGH_RETRIES = 3
#: A gate that has restarted refuses an attempt that carries the epoch of its earlier
#: process. The refusal carries the new epoch, with which the attempt is sent again.
#: After this many sends, the refusal is the reply to the attempt, since so many
#: restarts within one attempt mean a fault.
MAX_SENDS_PER_ATTEMPT = 3
#: Subtracted from the time left at each hop, so that the gate's own answer at the
#: deadline arrives before this node stops waiting.
HOP_MARGIN_MS = 3

#: Lowest HTTP status of an answer that counts as a failure of the node.
MIN_ERROR_STATUS = 500

_FINAL_REASONS = frozenset(
    {Reason.DEADLINE, Reason.CALLER_LEFT, Reason.BUDGET_SPENT, Reason.TICKET_SPENT}
)
#: Reasons with which the reply to an attempt was lost, or is not waited for any more.
_UNANSWERED_REASONS = frozenset({Reason.PEER_BROKE_OFF, Reason.DRAINING})
_FAILURE_KINDS = {
    Reason.PEER_UNREACHABLE: FailureKind.CONNECT,
    Reason.PEER_BROKE_OFF: FailureKind.BROKE_OFF,
    Reason.UPSTREAM_UNREACHABLE: FailureKind.CONNECT,
    Reason.UPSTREAM_BROKE_OFF: FailureKind.BROKE_OFF,
    Reason.DEADLINE: FailureKind.TIMEOUT,
}


@dataclass(frozen=True, slots=True)
class _SentAttempt:
    """Reply to one attempt and the gate process that it was sent to."""

    #: Reply of the gate, or a refusal made by this node.
    reply: Reply
    #: Epoch of the gate process that the attempt was addressed to.
    gate_epoch: int


class CallRunner:
    """Runs planned calls, with at most one attempt at each gate.

    The attempts end with the first answer, with a refusal that may not be retried, or
    when no gate is left.

    :param node_id: id of this node; its own gate is called in process.
    :param picker: picks the gate of each attempt.
    :param levels: receives the admission levels that replies carry.
    :param gate_side: runs attempts at the gate of this node.
    :param remote: sends attempts to the gates of other nodes.
    :param revoker: revokes runs whose reply was lost.
    :param retry_ratio: bounds the retries of this node to a share of its calls.
    :param top_priority: returns the highest priority of the classes in force.
    :param is_stopping: returns whether the process is about to end.
    :param rng: source of the jitter of backoff pauses and of ``Retry-After``.
    """

    def __init__(
        self,
        node_id: str,
        picker: UpstreamPicker,
        levels: LevelTable,
        gate_side: GateSide,
        remote: RemoteNodes,
        revoker: Revoker,
        retry_ratio: RetryRatio,
        top_priority: Callable[[], int],
        is_stopping: Callable[[], bool],
        events: EventLog,
        counters: Counters,
        rng: random.Random,
    ) -> None:
        self._node_id = node_id
        self._picker = picker
        self._levels = levels
        self._gate_side = gate_side
        self._remote = remote
        self._revoker = revoker
        self._retry_ratio = retry_ratio
        self._top_priority = top_priority
        self._is_stopping = is_stopping
        self._events = events
        self._counters = counters
        self._rng = rng
        self._gate_epochs: dict[str, int] = {}
        # Keyed by service. Updates take no lock: a lost update only delays the
        # smoothed value.
        self._latencies = ServiceTimes()
        self._passthrough = False

    def set_passthrough(self, passthrough: bool) -> None:
        """Switch passthrough mode on or off.

        :param passthrough: whether to make a fixed number of retries at each hop,
            without budget, ratio or deadline check.
        """
        self._passthrough = passthrough

    def run(self, plan: CallPlan) -> Reply:
        """Send a call until it is answered or may not be retried.

        :param plan: the call and its budget.
        :return: the answer of an upstream, or the last refusal, with the outcome
            ``not-run`` only when every attempt had that outcome.
        """
        self._retry_ratio.count_call()
        excluded: frozenset[str] = frozenset()
        last_refusal: RefusedReply | None = None
        may_have_run = False
        n_retries = 0
        while True:
            member = self._pick_gate(plan, excluded)
            if member is None:
                return self._refuse_no_upstream(last_refusal, may_have_run)
            reply = self._run_attempt(plan, member, n_retries + 1)
            if isinstance(reply, RelayedReply):
                return reply
            may_have_run = may_have_run or reply.outcome is not Outcome.NOT_RUN
            last_refusal = reply
            if not self._grant_retry(plan, reply, n_retries):
                return _combined_refusal(last_refusal, may_have_run)
            n_retries += 1
            excluded |= {member.node_id}
            self._wait_backoff(plan, n_retries)

    def _pick_gate(self, plan: CallPlan, excluded: frozenset[str]) -> Member | None:
        time_left_s = plan.deadline_at - time.monotonic()
        return self._picker.pick(plan.request.service, plan.rank, excluded, time_left_s)

    def _refuse_no_upstream(
        self, last_refusal: RefusedReply | None, may_have_run: bool
    ) -> RefusedReply:
        if last_refusal is not None:
            return _combined_refusal(last_refusal, may_have_run)
        retry_after_ms = int(self._rng.uniform(500, 1_500))
        return refuse(
            Outcome.NOT_RUN,
            Reason.NO_UPSTREAM,
            "no upstream of the service is known",
            retry_after_ms,
        )

    def _run_attempt(self, plan: CallPlan, member: Member, attempt: int) -> Reply:
        """Send one attempt; account for its lent tokens and revoke an unanswered run.

        Action ``ticket:attempt`` of the specification of tickets; tokens are lent and
        returned as in the specification of the retry budget.
        """
        n_lent = plan.budget.lend_tokens()
        started_at = time.monotonic()
        self._trace_attempt(plan, member, attempt)
        sent = self._send(plan, member, attempt, n_lent)
        reply = sent.reply
        plan.budget.return_tokens(min(reply.n_tokens_left, n_lent))
        self._record_reply(plan, member, reply, time.monotonic() - started_at)
        if isinstance(reply, RefusedReply) and reply.outcome is not Outcome.NOT_RUN:
            return self._revoke_unanswered(plan, member, reply, sent.gate_epoch)
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
    ) -> "_SentAttempt":
        """Send an attempt, and again with the new epoch if the gate has restarted."""
        for _ in range(MAX_SENDS_PER_ATTEMPT):
            known_epoch = self._gate_epochs.get(member.node_id, 0)
            reply = self._send_once(plan, member, attempt, n_tokens, known_epoch)
            if reply.gate_epoch:
                self._gate_epochs[member.node_id] = reply.gate_epoch
            if not _is_gate_restarted(reply):
                break
        return _SentAttempt(reply, known_epoch)

    def _send_once(
        self,
        plan: CallPlan,
        member: Member,
        attempt: int,
        n_tokens: int,
        gate_epoch: int,
    ) -> Reply:
        time_left_ms = (
            int((plan.deadline_at - time.monotonic()) * 1_000) - HOP_MARGIN_MS
        )
        if time_left_ms <= 0:
            refusal = Refusal(Outcome.NOT_RUN, Reason.DEADLINE)
            return RefusedReply(refusal, n_tokens_left=n_tokens)
        if member.node_id == self._node_id:
            hop = plan.hop_context(
                attempt, time_left_ms, n_tokens, self._gate_side.epoch
            )
            return self._gate_side.run(plan.request, hop)
        hop = plan.hop_context(attempt, time_left_ms, n_tokens, gate_epoch)
        return self._remote.run(member, plan.request, hop, plan.deadline_at)

    def _record_reply(
        self, plan: CallPlan, member: Member, reply: Reply, latency_s: float
    ) -> None:
        load = GateLoad.from_header(reply.load) if reply.load else None
        if load is not None:
            service, now = plan.request.service, time.monotonic()
            self._picker.record_load(member.node_id, load)
            self._levels.record_gate_level(service, member.node_id, load.level, now)
            self._levels.record_deeper_levels(service, plan.class_name, reply.load, now)
        if isinstance(reply, RefusedReply):
            self._record_refusal(plan, member, reply)
        kind = _failure_kind(reply)
        if kind is not None:
            self._record_failure(member, kind)
        elif isinstance(reply, RelayedReply):
            self._picker.record_success(member.node_id, latency_s)
            self._latencies.record(plan.request.service, latency_s, True)

    def _record_refusal(
        self, plan: CallPlan, member: Member, reply: RefusedReply
    ) -> None:
        self._counters.add("attempts_refused", reply.refusal.reason)
        self._events.trace(
            "call:attempt-refused",
            request=plan.request_id,
            ticket="" if plan.run_key is None else str(plan.run_key),
            gate=member.node_id,
            outcome=reply.outcome,
            reason=reply.refusal.reason,
        )

    def _record_failure(self, member: Member, kind: FailureKind) -> None:
        if self._picker.record_failure(member.node_id, kind):
            self._counters.add("nodes_set_aside", kind)
            self._events.record("routing:set-aside", node=member.node_id, failure=kind)

    def _revoke_unanswered(
        self, plan: CallPlan, member: Member, reply: RefusedReply, gate_epoch: int
    ) -> RefusedReply:
        """Revoke a run whose reply is lost, or comes after the end of this process.

        :param gate_epoch: epoch of the gate process that the attempt was addressed to;
            only this process can confirm that the run never started.
        :return: the refusal, as ``not-run`` when the gate revoked the run.
        """
        key = plan.run_key
        if key is None or reply.refusal.reason not in _UNANSWERED_REASONS:
            return reply
        if member.node_id == self._node_id:
            # The own gate knows that the run has started.
            return reply
        result = self._revoker.revoke(member, key, gate_epoch)
        self._counters.add("revocations", result)
        if result is RevokeResult.NEVER_STARTED:
            return reply.with_outcome(Outcome.NOT_RUN)
        return reply

    def _grant_retry(self, plan: CallPlan, reply: RefusedReply, n_retries: int) -> bool:
        """Decide whether to retry; charge the ratio and the budget for a retry."""
        if reply.refusal.reason in _FINAL_REASONS or not plan.request.body.is_buffered:
            return False
        if self._is_stopping():
            return False
        if reply.outcome is not Outcome.NOT_RUN and not plan.repeatable:
            return False
        if self._passthrough:
            return n_retries < PASSTHROUGH_RETRIES
        if not may_retry(plan.deadline_at, self._expected_retry_s(plan, n_retries + 1)):
            self._counters.add("retries_denied", "deadline")
            return False
        is_top = plan.rank.priority >= self._top_priority()
        if not self._retry_ratio.spend_credit(is_top):
            self._counters.add("retries_denied", "ratio")
            return False
        if not plan.budget.spend_token():
            self._counters.add("retries_denied", "budget")
            return False
        self._counters.add("retries", reply.refusal.reason)
        return True

    def _expected_retry_s(self, plan: CallPlan, n_retries: int) -> float:
        """Return the expected seconds of the backoff and another attempt."""
        latency_s = self._latencies.of_class(plan.request.service)
        return latency_s + backoff_max_s(n_retries) / 2.0

    def _wait_backoff(self, plan: CallPlan, n_retries: int) -> None:
        pause_s = backoff_s(n_retries, self._rng)
        time_left_s = plan.deadline_at - time.monotonic()
        time.sleep(max(0.0, min(pause_s, time_left_s)))


def _failure_kind(reply: Reply) -> FailureKind | None:
    """Return the failure of its node that a reply shows, None when it shows none."""
    if isinstance(reply, RelayedReply):
        return FailureKind.ERROR if reply.status >= MIN_ERROR_STATUS else None
    if reply.refusal.reason is Reason.DEADLINE and reply.outcome is Outcome.NOT_RUN:
        # The call reached the gate too late to run; the gate is not at fault.
        return None
    return _FAILURE_KINDS.get(reply.refusal.reason)


def _is_gate_restarted(reply: Reply) -> bool:
    return (
        isinstance(reply, RefusedReply)
        and reply.refusal.reason is Reason.GATE_RESTARTED
    )


def _combined_refusal(reply: RefusedReply, may_have_run: bool) -> RefusedReply:
    """Return the last refusal with the outcome of all attempts together."""
    if may_have_run and reply.outcome is Outcome.NOT_RUN:
        reply = reply.with_outcome(Outcome.UNKNOWN)
    return replace(reply, load="", n_tokens_left=0)
