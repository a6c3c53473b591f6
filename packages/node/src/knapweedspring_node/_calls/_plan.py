"""Plan of a call: the properties that the entry side sets for all its attempts."""

from dataclasses import dataclass

from knapweedspring_node._calls._budget import RetryBudget
from knapweedspring_node._calls._context import HopContext, RunKey
from knapweedspring_node._calls._rank import Rank
from knapweedspring_node._calls._request import CallRequest

__all__ = ["CallPlan"]


@dataclass(frozen=True, slots=True)
class CallPlan:
    """One call that this node routes to an upstream."""

    #: The call as it arrived.
    request: CallRequest
    #: Id of the root request.
    request_id: str
    #: Request class of the root request.
    class_name: str
    #: Rank of the root request.
    rank: Rank
    #: Number of hops above the call in the call graph.
    depth: int
    #: Deadline of the root request, on the monotonic clock, in seconds.
    deadline_at: float
    #: Whether the call may run more than once.
    repeatable: bool
    #: Retry tokens for the call and its child calls.
    budget: RetryBudget
    #: Key of the run of a call that may not run again, else None.
    run_key: RunKey | None = None

    def hop_context(
        self, attempt: int, time_left_ms: int, n_tokens: int, gate_epoch: int
    ) -> HopContext:
        """Return the context of one attempt.

        :param attempt: number of the attempt, 1 for the first.
        :param time_left_ms: time until the deadline, in milliseconds.
        :param n_tokens: retry tokens lent to the attempt.
        :param gate_epoch: epoch of the gate's process, 0 when not yet known.
        """
        return HopContext(
            request_id=self.request_id,
            class_name=self.class_name,
            priority=self.rank.priority,
            draw=self.rank.draw,
            started=self.rank.started,
            depth=self.depth,
            time_left_ms=time_left_ms,
            n_tokens=n_tokens,
            repeatable=self.repeatable,
            attempt=attempt,
            run_key=self.run_key,
            gate_epoch=gate_epoch,
        )
