"""Health of the nodes that calls go to, from the outcomes of this node's calls."""

from enum import StrEnum

__all__ = ["FailureKind", "NodeHealth"]

N_BROKEN_TO_SET_ASIDE = 3
SET_ASIDE_MIN_S = 0.25
SET_ASIDE_MAX_S = 5.0
#: A node that is let back reaches its full share of calls after this time.
RAMP_S = 5.0
RAMP_SHARE_MIN = 0.05
RAMP_SHARE_GROWTH = 1.5
RATIO_STEP = 0.1
#: Share of failed calls above that of its peers that makes a node faulty.
FAULTY_RATIO_EXCESS = 0.4


class FailureKind(StrEnum):
    """How a call to a node failed."""

    #: Nothing accepted the connection.
    CONNECT = "connect"
    #: The connection broke before the answer was whole.
    BROKE_OFF = "broke-off"
    #: No answer before the deadline.
    TIMEOUT = "timeout"
    #: The upstream answered with an error of its own.
    ERROR = "error"


class NodeHealth:
    """Outcomes of the calls to one node.

    A node that does not answer at all is set aside by itself. Errors and
    timeouts alone prove nothing, since a service below may cause them at every
    node: they count only where the node fails more often than its peers.

    Not thread-safe: the picker's lock guards changes.
    """

    def __init__(self) -> None:
        self._n_broken = 0
        self._failure_ratio = 0.0
        self._set_aside_s = SET_ASIDE_MIN_S
        self._back_at = 0.0
        self._share = 1.0

    @property
    def back_at(self) -> float:
        """When the node is let back, on the monotonic clock, in seconds."""
        return self._back_at

    @property
    def failure_ratio(self) -> float:
        """Smoothed share of the calls that failed."""
        return self._failure_ratio

    @property
    def is_sound(self) -> bool:
        """Whether nothing speaks against the node."""
        return self._share >= 1.0 and self._failure_ratio < FAULTY_RATIO_EXCESS

    def share(self, now: float) -> float:
        """Return the share of its calls that the node should get, 0 to 1."""
        if self._share >= 1.0:
            return 1.0
        if now < self._back_at:
            return 0.0
        return min(1.0, self._share + (now - self._back_at) / RAMP_S)

    def is_faulty_among(self, mean_failure_ratio: float) -> bool:
        """Tell whether the node fails far more often than its peers."""
        return self._failure_ratio > mean_failure_ratio + FAULTY_RATIO_EXCESS

    def count_success(self, now: float) -> None:
        """Take in a call that was answered whole."""
        self._n_broken = 0
        self._failure_ratio -= RATIO_STEP * self._failure_ratio
        if self._share < 1.0:
            self._share = min(1.0, self.share(now) * RAMP_SHARE_GROWTH)
            if self._share >= 1.0:
                self._set_aside_s = SET_ASIDE_MIN_S

    def count_failure(self, kind: FailureKind, now: float) -> bool:
        """Take in a failed call.

        :return: whether the node is set aside by it.
        """
        self._failure_ratio += RATIO_STEP * (1.0 - self._failure_ratio)
        if kind in (FailureKind.TIMEOUT, FailureKind.ERROR):
            return False
        self._n_broken += 1
        is_probe = self._share < 1.0
        unreachable = kind is FailureKind.CONNECT
        if not (unreachable or is_probe or self._n_broken >= N_BROKEN_TO_SET_ASIDE):
            return False
        if now < self._back_at:
            return False
        self.set_aside(now)
        return True

    def set_aside_faulty(self, now: float) -> None:
        """Set the node aside for its errors, and judge it anew afterwards."""
        self._failure_ratio = 0.0
        self.set_aside(now)

    def set_aside(self, now: float) -> None:
        """Give the node no calls for a while, twice as long each time."""
        self._back_at = now + self._set_aside_s
        self._set_aside_s = min(SET_ASIDE_MAX_S, 2.0 * self._set_aside_s)
        self._share = RAMP_SHARE_MIN
