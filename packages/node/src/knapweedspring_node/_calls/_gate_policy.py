"""Policy of a gate: the parameters of its admission rules."""

from dataclasses import dataclass

__all__ = ["GatePolicy"]


@dataclass(frozen=True, slots=True)
class GatePolicy:
    """Parameters of the admission rules of a gate."""

    #: Share of the limit that only the top class may use.
    headroom_share: float = 0.05
    #: Share of the time left after the expected service time that a call may wait.
    wait_share: float = 1.0
    #: The same for a call below the measured level, which is unlikely to be admitted
    #: because higher ranks keep arriving.
    wait_share_below_level: float = 0.05
    #: Calls that may be queued; each occupies a thread of the server.
    n_waiting_max: int = 1_000
