"""Health of the nodes that calls are sent to, from the results of their calls."""

from enum import StrEnum

__all__ = ["FailureKind", "NodeHealth"]

N_CONNECTION_FAILURES_TO_EJECT = 3
EJECTION_MIN_S = 0.25
EJECTION_MAX_S = 5.0
#: Time in which a node returns to its full share of calls after an ejection.
RAMP_S = 5.0
#: Share of its calls that a node gets when its ejection ends.
RAMP_SHARE_MIN = 0.05
#: Factor by which each success raises the share of a node after an ejection.
RAMP_SHARE_GROWTH = 1.5
FAILURE_RATIO_SMOOTHING = 0.1
#: A node is ejected when its failure ratio exceeds the candidates' mean by this much.
FAILURE_RATIO_EXCESS = 0.4


class FailureKind(StrEnum):
    """How a call to a node failed."""

    #: The connection was not accepted.
    CONNECT = "connect"
    #: The connection was closed before the answer was complete.
    BROKE_OFF = "broke-off"
    #: No answer arrived before the deadline.
    TIMEOUT = "timeout"
    #: The upstream answered with an error of its own.
    ERROR = "error"


class NodeHealth:
    """Health of one node, from the results of the calls sent to it.

    Connection failures eject a node without regard to its peers. Errors and timeouts
    may come from a service further down the call chain; calls then fail at every node.
    Errors and timeouts therefore eject a node only when it fails far more often than
    its peers. After an ejection, the node gets a growing share of its calls.

    Not thread-safe: the picker's lock guards changes.
    """

    def __init__(self) -> None:
        self._n_connection_failures = 0
        self._failure_ratio = 0.0
        self._ejection_s = EJECTION_MIN_S
        self._ejection_ends_at = 0.0
        self._traffic_share = 1.0

    @property
    def ejection_ends_at(self) -> float:
        """When the last ejection ends, on the monotonic clock, in seconds."""
        return self._ejection_ends_at

    @property
    def failure_ratio(self) -> float:
        """Smoothed share of failed calls."""
        return self._failure_ratio

    @property
    def is_healthy(self) -> bool:
        """Whether the node gets its full share of calls and few of them fail."""
        return self._traffic_share >= 1.0 and self._failure_ratio < FAILURE_RATIO_EXCESS

    def traffic_share(self, now: float) -> float:
        """Return the share of its calls that the node should get, 0 to 1.

        :param now: monotonic time, in seconds.
        """
        if self._traffic_share >= 1.0:
            return 1.0
        if now < self._ejection_ends_at:
            return 0.0
        return min(1.0, self._traffic_share + (now - self._ejection_ends_at) / RAMP_S)

    def fails_more_than_peers(self, mean_failure_ratio: float) -> bool:
        """Return whether the node fails far more often than its peers.

        :param mean_failure_ratio: mean failure ratio of the candidates.
        """
        return self._failure_ratio > mean_failure_ratio + FAILURE_RATIO_EXCESS

    def count_success(self, now: float) -> None:
        """Count a call with a complete answer."""
        self._n_connection_failures = 0
        self._failure_ratio -= FAILURE_RATIO_SMOOTHING * self._failure_ratio
        if self._traffic_share < 1.0:
            self._traffic_share = min(1.0, self.traffic_share(now) * RAMP_SHARE_GROWTH)
            if self._traffic_share >= 1.0:
                self._ejection_s = EJECTION_MIN_S

    def count_failure(self, kind: FailureKind, now: float) -> bool:
        """Count a failed call.

        :param kind: how the call failed.
        :param now: monotonic time, in seconds.
        :return: whether the failure ejected the node.
        """
        self._failure_ratio += FAILURE_RATIO_SMOOTHING * (1.0 - self._failure_ratio)
        if kind in (FailureKind.TIMEOUT, FailureKind.ERROR):
            return False
        self._n_connection_failures += 1
        is_probe = self._traffic_share < 1.0
        is_unreachable = kind is FailureKind.CONNECT
        if not (
            is_unreachable
            or is_probe
            or self._n_connection_failures >= N_CONNECTION_FAILURES_TO_EJECT
        ):
            return False
        if now < self._ejection_ends_at:
            return False
        self.eject(now)
        return True

    def eject_for_failure_ratio(self, now: float) -> None:
        """Eject the node for its failure ratio, which restarts at zero."""
        self._failure_ratio = 0.0
        self.eject(now)

    def eject(self, now: float) -> None:
        """Eject the node, so that it gets no calls for a while.

        Each ejection lasts twice as long as the previous ejection, up to a maximum. The
        length starts again at its minimum when the node has returned to its full share
        of calls.
        """
        self._ejection_ends_at = now + self._ejection_s
        self._ejection_s = min(EJECTION_MAX_S, 2.0 * self._ejection_s)
        self._traffic_share = RAMP_SHARE_MIN
