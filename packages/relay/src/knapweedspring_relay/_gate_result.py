"""Result of a call at a gate."""

import msgspec

from knapweedspring_relay._answer import Answer
from knapweedspring_relay._hop import GateReport

__all__ = ["GateResult"]


class GateResult(msgspec.Struct, frozen=True, gc=False):
    """Report of a gate on a call, with the upstream's answer if there is one."""

    #: Outcome of the call and load of the gate.
    report: GateReport
    #: The upstream's answer; None when there is none to relay.
    answer: Answer | None
