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

    #: Time from which the gate refuses calls.
    gate_closes_at: float
    #: Time from which callers have been sent to other nodes.
    redirected_at: float
    #: Time from which requests that no upstream has got are refused.
    withdrawn_at: float
    #: Time at which requests without an answer are answered.
    ends_at: float
    #: Time at which the process ends at the latest, with unsent bytes or without.
    closes_at: float

    def may_cut(self, deadline_at: float, arrived_at: float, now: float) -> bool:
        """Return whether a request that starts late may run when the process ends.

        :param deadline_at: deadline of the request, on the monotonic clock, in seconds.
        :param arrived_at: time of its arrival, on the monotonic clock, in seconds.
        :param now: current time on the monotonic clock, in seconds. It is later than
            the arrival when an earlier request of the connection was answered first.
        """
        is_late = arrived_at >= self.redirected_at or now >= self.withdrawn_at
        return is_late and deadline_at >= self.ends_at
