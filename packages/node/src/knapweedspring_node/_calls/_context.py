"""Context that travels with a call from node to node."""

import zlib
from dataclasses import dataclass

__all__ = ["HopContext", "RequestId", "RunKey", "draw_of"]


@dataclass(frozen=True, slots=True)
class RequestId:
    """Identity of a whole request, issued by its entry node."""

    #: Node that issued it and keeps its retry budget.
    node_id: str
    #: Start of that node's process, so that a restart is noticed.
    epoch: int
    #: Counter within the process.
    sequence: int


@dataclass(frozen=True, slots=True, order=True)
class RunKey:
    """Identity of one run that must not happen twice.

    Two hops with the same key are attempts at the same run.
    """

    #: Node that owns the ticket, or that the parent ran beside.
    owner: str
    #: Start of the owner's process.
    epoch: int
    #: Counter within the process.
    sequence: int

    def __str__(self) -> str:
        return f"{self.owner}.{self.epoch:x}.{self.sequence:x}"


@dataclass(frozen=True, slots=True)
class HopContext:
    """What the entry side of a hop tells the gate side."""

    #: Text of the whole request's identity.
    request_id: str
    #: Request class of the whole request.
    class_name: str
    #: Priority of the whole request.
    priority: int
    #: Random order within the class, the same at each hop.
    draw: int
    #: Whether the whole request has already run somewhere.
    started: bool
    #: Hops above this one.
    depth: int
    #: Time left for the whole request, in ms.
    time_left_ms: int
    #: Retry tokens lent to this hop.
    n_tokens: int
    #: Whether the call may run again.
    repeatable: bool
    #: Number of the attempt at this call, 1 for the first.
    attempt: int = 1
    #: Identity of the run when it may not.
    run_key: RunKey | None = None
    #: Process of the gate that the run key was sent to; 0 when not yet known.
    gate_epoch: int = 0


def draw_of(request_id: str) -> int:
    """Return the request's place within its class, equal at each hop."""
    return zlib.crc32(request_id.encode())
