"""Connection over which a node asks the coordinator for units of quotas."""

from collections.abc import Callable

from knapweedspring_relay._hop_frames import (
    Frame,
    QuotaGrantFrame,
    QuotaLeaseAckFrame,
    QuotaLeaseFrame,
    require_finite,
)
from knapweedspring_relay._peer_link import PeerLink

__all__ = ["CoordinatorLink"]


class CoordinatorLink(PeerLink):
    """Lends the shares of a node to a coordinator and receives its answers.

    :param node: name of the coordinator's node.
    :param address: address of its gate, as ``ip:port``.
    :param lender: name of the node that lends its shares.
    :param on_grant: called with each answer to a question.
    :param on_end: called with the link and a reason when it has ended.
    """

    def __init__(
        self,
        node: str,
        address: str,
        lender: str,
        on_grant: Callable[[QuotaGrantFrame], None],
        on_end: Callable[["CoordinatorLink", str], None],
    ) -> None:
        super().__init__(node, address)
        self._lender = lender
        self._on_grant = on_grant
        self._on_end = on_end
        self._is_open = False
        self._awaits_ack = False
        self._has_worked = False

    @property
    def has_worked(self) -> bool:
        """Whether the coordinator has confirmed a lease."""
        return self._has_worked

    @property
    def may_renew(self) -> bool:
        """Whether a lease may be sent: the previous one has been confirmed."""
        return self._is_open and not self._awaits_ack

    def lend(self, idle_s: float) -> None:
        """Send a lease; shares are lent until it ends or is released.

        :param idle_s: time for which the shares were held without use, in seconds.
        """
        self._awaits_ack = True
        self.send(QuotaLeaseFrame(self._lender, idle_s=idle_s))

    def release(self) -> None:
        """Take the shares back and close the connection."""
        self.send(QuotaLeaseFrame(self._lender, is_release=True))
        self.close_when_sent()

    def handle_open(self) -> None:
        """Note that leases can be sent."""
        self._is_open = True

    def handle_frame(self, frame: Frame) -> None:
        """Handle the confirmation of a lease, or the answer to a question."""
        if isinstance(frame, QuotaLeaseAckFrame):
            self._awaits_ack = False
            self._has_worked = True
        elif isinstance(frame, QuotaGrantFrame):
            require_finite(frame.retry_after_s, *frame.delays_s)
            self._on_grant(frame)

    def handle_end(self, reason: str) -> None:
        """Report the end of the link."""
        self._on_end(self, reason)
