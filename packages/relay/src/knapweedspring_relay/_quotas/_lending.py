"""Chooses the coordinator that a node lends its shares of quotas to."""

from abc import ABC, abstractmethod
from collections.abc import Callable

from knapweedspring_relay._clock import now_s
from knapweedspring_relay._hop_frames import QuotaGrantFrame
from knapweedspring_relay._knowledge import GateEntry, SourceSelector
from knapweedspring_relay._logs import DecisionLog
from knapweedspring_relay._quotas._coordinator import LEASE_S, QuotaCoordinator
from knapweedspring_relay._quotas._coordinator_link import CoordinatorLink
from knapweedspring_relay._quotas._own_shares import OwnShares

__all__ = ["Lending", "LendingObserver"]

#: Time between two renewals of a lease, in seconds.
RENEWAL_PERIOD_S = 0.25
#: Time without a frame of the coordinator after which another one is chosen, in
#: seconds: more than two renewals.
MAX_SILENT_S = 0.6
#: Time past the length of a lease after which it has ended at the coordinator too, in
#: seconds. It covers the time that the renewal was under way.
TRANSIT_ALLOWANCE_S = 0.25


class LendingObserver(ABC):
    """Learns of answers, and of the end of a link whose questions stay unanswered."""

    @abstractmethod
    def handle_grant(self, frame: QuotaGrantFrame) -> None:
        """Handle an answer of the coordinator."""

    @abstractmethod
    def handle_switch(self) -> None:
        """Handle that another coordinator is used, or none."""


class Lending:
    """Lends the shares of a node to one coordinator at a time.

    All nodes of a data centre rank its nodes in the same order and lend to the first
    one that works, which may be the node itself. A lease that was sent holds until it
    has ended at the coordinator; until then the shares are lent to nobody else.

    :param node: name of this node.
    :param selector: ranks the nodes of the data centre.
    :param coordinator: the coordinator on this node.
    :param own_shares: shares of this node while they are not lent.
    :param log: decision log.
    :param clock: returns the monotonic time, in seconds.
    :param open_link: opens a connection to a coordinator; see :class:`CoordinatorLink`
        for the arguments.
    """

    def __init__(
        self,
        node: str,
        selector: SourceSelector,
        coordinator: QuotaCoordinator,
        own_shares: OwnShares,
        log: DecisionLog,
        clock: Callable[[], float] = now_s,
        open_link: Callable[..., CoordinatorLink] = CoordinatorLink,
    ) -> None:
        self._clock = clock
        self._open_link = open_link
        self._node = node
        self._selector = selector
        self._coordinator = coordinator
        self._own_shares = own_shares
        self._log = log
        self._observer: LendingObserver | None = None
        self._link: CoordinatorLink | None = None
        self._is_lent_here = False
        #: End of the lease that was sent last, on the monotonic clock, in seconds.
        self._lent_until = float("-inf")
        self._renewed_at = float("-inf")
        self._is_stopped = False

    @property
    def link(self) -> CoordinatorLink | None:
        """Connection to the coordinator that has a lease; None when none has one."""
        has_lease = self._link is not None and self._clock() < self._lent_until
        return self._link if has_lease else None

    @property
    def is_lent_here(self) -> bool:
        """Whether this node lends its shares to its own coordinator."""
        return self._is_lent_here

    @property
    def is_lending(self) -> bool:
        """Whether the shares of this node are lent to a coordinator."""
        return self._is_lent_here or self._clock() < self._lent_until

    @property
    def coordinator_node(self) -> str:
        """Name of the coordinator's node; empty when there is none."""
        if self._is_lent_here:
            return self._node
        return self._link.node if self._link is not None else ""

    def observe(self, observer: LendingObserver) -> None:
        """Set the receiver of answers.

        :param observer: the receiver.
        """
        self._observer = observer

    def check(self) -> None:
        """Choose the coordinator and renew the lease; called often."""
        if self._is_stopped:
            return
        now = self._clock()
        if self._link is not None and self._link.silent_s(now) > MAX_SILENT_S:
            self._link.close()
            self._handle_end(self._link, "silent")
        choice = self._selector.choose(False, now).source
        if choice is None:
            self._lend_here(now)
        else:
            self._lend_to(choice, now)
        if self._link is not None:
            self._renew(self._link, now)

    def stop(self) -> None:
        """Take the shares back and close the connection."""
        self._is_stopped = True
        self._leave_link(self._clock())

    def _lend_here(self, now: float) -> None:
        self._leave_link(now)
        if not self._is_lent_here and now >= self._lent_until:
            self._is_lent_here = True
            self._log_coordinator()
        if self._is_lent_here:
            idle_s = self._own_shares.idle_s(now)
            self._coordinator.renew_lease(self, now, idle_s)
            self._own_shares.restart(now + LEASE_S)

    def _lend_to(self, entry: GateEntry, now: float) -> None:
        if self._is_lent_here:
            self._is_lent_here = False
            self._coordinator.end_lease(self, now)
            self._own_shares.restart(now)
        link = self._link
        if link is not None and link.address == entry.gate_address:
            return
        self._leave_link(now)
        if now >= self._lent_until:
            self._link = self._open_link(
                entry.node,
                entry.gate_address,
                self._node,
                self._handle_grant,
                self._handle_end,
            )
            self._log_coordinator()

    def _renew(self, link: CoordinatorLink, now: float) -> None:
        if link.has_worked:
            self._selector.record_success(link.node)
        if link.may_renew and now - self._renewed_at >= RENEWAL_PERIOD_S:
            self._renewed_at = now
            link.lend(self._own_shares.idle_s(now))
            self._lent_until = now + LEASE_S + TRANSIT_ALLOWANCE_S
            # If no further renewal follows, the shares are held again from then on.
            self._own_shares.restart(self._lent_until)

    def _leave_link(self, now: float) -> None:
        """Release the present link, if there is one."""
        link, self._link = self._link, None
        if link is None:
            return
        link.release()
        if link.silent_s(now) < MAX_SILENT_S:
            # The coordinator works, so the release reaches it with the next frames.
            self._end_lease(now)
        self._notify_switch()

    def _handle_end(self, link: CoordinatorLink, reason: str) -> None:
        """Handle that the connection failed or was closed by the coordinator."""
        self._log.write_state(
            "quota:coordinator-lost", coordinator=link.node, reason=reason
        )
        now = self._clock()
        self._selector.record_failure(link.node, now)
        if link is not self._link:
            return
        self._link = None
        if reason != "silent":
            # The lease has ended with the connection.
            self._end_lease(now)
        self._notify_switch()

    def _end_lease(self, now: float) -> None:
        self._lent_until = min(self._lent_until, now)
        self._own_shares.restart(now)

    def _handle_grant(self, frame: QuotaGrantFrame) -> None:
        if self._observer is not None:
            self._observer.handle_grant(frame)

    def _notify_switch(self) -> None:
        if self._observer is not None:
            self._observer.handle_switch()

    def _log_coordinator(self) -> None:
        self._log.write_state("quota:coordinator", coordinator=self.coordinator_node)
