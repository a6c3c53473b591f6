"""Result of a call at a gate."""

import asyncio

import msgspec

from knapweedspring_relay._answer import Answer
from knapweedspring_relay._hop import GateReport

__all__ = ["GateResult", "abandon_result"]


class GateResult(msgspec.Struct, frozen=True, gc=False):
    """Report of a gate on a call, with the upstream's answer if there is one."""

    #: Outcome of the call and load of the gate.
    report: GateReport
    #: The upstream's answer; None when there is none to relay.
    answer: Answer | None

    def abandon_answer(self) -> None:
        """Abandon an answer that is not passed on, so that its slot is freed."""
        if self.answer is not None:
            self.answer.abandon()


def abandon_result(task: "asyncio.Future[GateResult]") -> None:
    """Abandon an answer that has no caller any more, so that its slot is freed.

    :param task: call that has ended.
    """
    if not task.cancelled() and task.exception() is None:
        task.result().abandon_answer()
