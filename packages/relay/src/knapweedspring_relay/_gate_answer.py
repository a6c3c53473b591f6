"""What a gate gives back for a call."""

import msgspec

from knapweedspring_relay._answer import Answer
from knapweedspring_relay._hop import GateReport

__all__ = ["GateAnswer"]


class GateAnswer(msgspec.Struct, frozen=True, gc=False):
    """What a gate gives back for a call."""

    #: What became of the call, and the state of the gate.
    report: GateReport
    #: The upstream's answer; None when there is none to pass on.
    answer: Answer | None
