"""Input of a gate's admission decision on one call."""

import msgspec

__all__ = ["AdmissionRequest"]


class AdmissionRequest(msgspec.Struct, frozen=True, gc=False):
    """Properties of a call that decide its admission at a gate."""

    #: Rank by the priority of the call's route, then by the priority at the root of its
    #: chain; 0 is the highest.
    priority: int
    #: Name of the route.
    route: str
    #: Deadline of the call, on the monotonic clock, in seconds.
    deadline_at: float
    #: Longest time that the call may wait for a slot, in seconds.
    max_wait_s: float
