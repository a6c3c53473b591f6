"""Context and ids that a call carries from node to node."""

import zlib
from dataclasses import dataclass

__all__ = ["HopContext", "RequestId", "RunKey", "request_draw"]


@dataclass(frozen=True, slots=True)
class RequestId:
    """Id of a root request, issued by its entry node."""

    #: Name of the node that issued the id and keeps the retry budget of the request.
    node_id: str
    #: Random number that identifies that node's process; differs after a restart.
    epoch: int
    #: Number of the id among the ids that the process issued, 1 for the first.
    sequence: int


@dataclass(frozen=True, slots=True, order=True)
class RunKey:
    """Key of one run that must not happen twice.

    Two hops with the same key are attempts at the same run.
    """

    #: Node that made the key: the owner of the ticket, or for a child call without a
    #: ticket, the node on whose VM the upstream made the call.
    owner: str
    #: Epoch of the owner's process.
    epoch: int
    #: Number of the key among the keys that the process made, 1 for the first.
    sequence: int

    def __str__(self) -> str:
        return f"{self.owner}.{self.epoch:x}.{self.sequence:x}"


@dataclass(frozen=True, slots=True)
class HopContext:
    """Context of one attempt, sent by the entry side of a hop to its gate side."""

    #: Id of the root request, as text.
    request_id: str
    #: Request class of the root request.
    class_name: str
    #: Priority of the root request.
    priority: int
    #: Hash of the request id, the same at each hop; see :func:`request_draw`.
    draw: int
    #: Whether an upstream has already started to run the root request.
    started: bool
    #: Number of hops between the root request and this one.
    depth: int
    #: Time left for the root request, in ms.
    time_left_ms: int
    #: Retry tokens lent to this hop.
    n_tokens: int
    #: Whether the call may run more than once.
    repeatable: bool
    #: Number of the attempt at this call, 1 for the first.
    attempt: int = 1
    #: Key of the run of a call that is not repeatable, else None.
    run_key: RunKey | None = None
    #: Epoch of the gate process that the attempt is addressed to; 0 when not known.
    gate_epoch: int = 0


def request_draw(request_id: str) -> int:
    """Return the hash of a request id, which orders the requests of a class.

    The order is random, and the same at each hop of the request.
    """
    return zlib.crc32(request_id.encode())
