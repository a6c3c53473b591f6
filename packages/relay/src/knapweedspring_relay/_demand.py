"""What a call asks of a gate."""

import msgspec

__all__ = ["Demand"]


class Demand(msgspec.Struct, frozen=True, gc=False):
    """What a call asks of a gate."""

    #: Rank; 0 is the highest.
    priority: int
    #: Name of the route.
    route: str
    #: End of the call, on the monotonic clock, in seconds.
    deadline_at: float
    #: Longest time that it may wait for a slot, in seconds.
    max_wait_s: float
