"""Input of a gate's admission decision on one call."""

import msgspec

from knapweedspring_relay._hop import HopCall

__all__ = ["AdmissionRequest", "admission_request_of"]

#: Number of priorities that are distinguished among routes, and among the roots of
#: calls of the same route priority. Priorities beyond it count as the lowest of these.
N_PRIORITIES = 8


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


def admission_request_of(
    call: HopCall, now: float, max_wait_share: float
) -> AdmissionRequest:
    """Return the properties of a call that decide its admission.

    :param call: description of the call.
    :param now: current time on the monotonic clock, in seconds.
    :param max_wait_share: share of the time left for which the call may wait.
    """
    priority = min(call.priority, N_PRIORITIES - 1)
    root_priority = min(call.root_priority, N_PRIORITIES - 1)
    route_rank = priority * N_PRIORITIES + root_priority
    return AdmissionRequest(
        priority=call.workspace_priority * N_PRIORITIES**2 + route_rank,
        route=call.route,
        deadline_at=now + call.left_s,
        max_wait_s=max_wait_share * call.left_s,
    )
