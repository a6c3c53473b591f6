"""How long calls wait at a gate."""

from dataclasses import dataclass

__all__ = ["GatePolicy"]


@dataclass(frozen=True, slots=True)
class GatePolicy:
    """How long calls wait at a gate."""

    #: Longest wait of a call, as share of the time left until its deadline. It is long,
    #: because refusing a call that another upstream makes wastes the work done for the
    #: request behind it. The gate cannot distinguish such calls from callers' requests.
    max_wait_share: float = 0.7
    #: Time after the start of draining in which queued calls are still sent, as share
    #: of the time for which a draining upstream continues to serve.
    drain_share: float = 0.4
