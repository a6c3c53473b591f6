"""Policy of a gate: the parameters of its admission rules."""

from dataclasses import dataclass

__all__ = ["GatePolicy"]


@dataclass(frozen=True, slots=True)
class GatePolicy:
    """Parameters of the admission rules of a gate."""

    #: Share of the limit that only the top class may use.
    headroom_share: float = 0.05
    #: Longest expected wait of a call, as a share of the time until its deadline less
    #: its expected service time.
    wait_share: float = 1.0
    #: Like ``wait_share``, for a call below the measured level, which is unlikely to be
    #: admitted because higher ranks keep arriving.
    wait_share_below_level: float = 0.05
    #: Number of calls that may be queued; each occupies a thread of the server.
    n_waiting_max: int = 1_000
