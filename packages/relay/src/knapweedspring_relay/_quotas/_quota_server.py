"""Answers the nodes that lend their shares of quotas to this node."""

from abc import ABC, abstractmethod

from knapweedspring_relay._clock import now_s
from knapweedspring_relay._hop_frames import (
    FrameSender,
    QuotaGrantFrame,
    QuotaLeaseAckFrame,
    QuotaLeaseFrame,
    QuotaLoanFrame,
    QuotaLoanRequestFrame,
    QuotaRequestFrame,
    QuotaReturnFrame,
    require_finite,
)
from knapweedspring_relay._logs import DecisionLog
from knapweedspring_relay._quotas._coordinator import QuotaCoordinator

__all__ = ["QuotaFrame", "QuotaHandler", "QuotaServer"]

#: Frames that a coordinator receives.
QuotaFrame = (
    QuotaLeaseFrame | QuotaRequestFrame | QuotaReturnFrame | QuotaLoanRequestFrame
)


class QuotaHandler(ABC):
    """Receives the quota frames of other nodes."""

    @abstractmethod
    def receive(self, sender: FrameSender, frame: QuotaFrame) -> None:
        """Handle a frame of another node.

        :param sender: the connection, for the answer.
        :param frame: the frame.
        :raises FrameError: when a number of the frame cannot be used.
        """

    @abstractmethod
    def remove(self, sender: FrameSender) -> None:
        """End the lease of a node whose connection has ended, if it has one."""


class QuotaServer(QuotaHandler):
    """Passes quota frames of other nodes to the coordinator.

    :param coordinator: grants the units.
    :param log: decision log.
    """

    def __init__(self, coordinator: QuotaCoordinator, log: DecisionLog) -> None:
        self._coordinator = coordinator
        self._log = log

    def receive(self, sender: FrameSender, frame: QuotaFrame) -> None:
        """Handle a frame of another node; see :class:`QuotaHandler`."""
        now = now_s()
        if isinstance(frame, QuotaRequestFrame):
            require_finite(frame.n_units, frame.max_delay_s)
            sender.send(self._answer(frame, now))
        elif isinstance(frame, QuotaReturnFrame):
            require_finite(frame.n_units)
            self._coordinator.give_back(frame.workspace, frame.n_units, now)
        elif isinstance(frame, QuotaLoanRequestFrame):
            require_finite(*(part.rate_per_s for part in frame.wanted))
            loans = self._coordinator.lend(sender, frame.wanted, now)
            sender.send(QuotaLoanFrame(loans))
        elif frame.is_release:
            self._coordinator.end_lease(sender, now)
        else:
            require_finite(frame.idle_s)
            self._coordinator.renew_lease(sender, now, frame.idle_s)
            sender.send(QuotaLeaseAckFrame())

    def remove(self, sender: FrameSender) -> None:
        """End the lease of a node whose connection has ended, if it has one."""
        self._coordinator.end_lease(sender, now_s())
        self._coordinator.end_lending(sender)

    def _answer(self, frame: QuotaRequestFrame, now: float) -> QuotaGrantFrame:
        grant = self._coordinator.grant(
            frame.workspace, frame.n_units, frame.max_delay_s, now
        )
        if grant is None:
            self._log.write_state("quota:unknown", workspace=frame.workspace)
            return QuotaGrantFrame(frame.question, (), 0.0, is_known=False)
        return QuotaGrantFrame(frame.question, grant.delays_s, grant.retry_after_s)
