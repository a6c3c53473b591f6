"""What an entry is told of its node."""

from dataclasses import dataclass

__all__ = ["NodeIdentity", "ShutdownTimes"]


@dataclass(frozen=True, slots=True)
class NodeIdentity:
    """Service and name of a node."""

    #: Service on this VM.
    caller_service: str
    #: Name of this node.
    node: str


@dataclass(frozen=True, slots=True)
class ShutdownTimes:
    """Times of a shutdown, on the monotonic clock, in seconds."""

    #: Time from which callers have been sent to other nodes.
    redirected_at: float
    #: Time at which the process ends at the latest.
    ends_at: float

    def may_cut(self, deadline_at: float, arrived_at: float) -> bool:
        """Return whether a late request may still run when the process ends.

        :param deadline_at: deadline of the request, on the monotonic clock, in seconds.
        :param arrived_at: time of its arrival, on the monotonic clock, in seconds.
        """
        return arrived_at >= self.redirected_at and deadline_at >= self.ends_at
