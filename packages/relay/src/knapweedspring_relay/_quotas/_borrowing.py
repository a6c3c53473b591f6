"""Borrows unused parts of quotas from the coordinators of other data centres."""

from collections.abc import Callable

from knapweedspring_relay._clock import now_s
from knapweedspring_relay._hop_frames import (
    Frame,
    QuotaLoan,
    QuotaLoanFrame,
    QuotaLoanRequestFrame,
    require_finite,
)
from knapweedspring_relay._knowledge import GateEntry, SourceSelector
from knapweedspring_relay._peer_link import PeerLink
from knapweedspring_relay._quotas._coordinator import QuotaCoordinator

__all__ = ["Borrowing"]

#: Time between two requests for loans, in seconds; a loan holds for two of them.
REQUEST_PERIOD_S = 0.25
#: Time without an answer after which another node of the data centre is asked, in
#: seconds.
MAX_SILENT_S = 0.8


class LenderLink(PeerLink):
    """Connection to the coordinator of another data centre.

    :param node: name of the coordinator's node.
    :param address: address of its gate, as ``ip:port``.
    :param on_loans: called with the link and the loans.
    :param on_end: called with the link when it has ended.
    """

    def __init__(
        self,
        node: str,
        address: str,
        on_loans: Callable[["LenderLink", tuple[QuotaLoan, ...]], None],
        on_end: Callable[["LenderLink"], None],
    ) -> None:
        super().__init__(node, address)
        self._on_loans = on_loans
        self._on_end = on_end

    def handle_open(self) -> None:
        """Do nothing: the next check sends a request."""

    def handle_frame(self, frame: Frame) -> None:
        """Pass loans on."""
        if isinstance(frame, QuotaLoanFrame):
            for loan in frame.loans:
                require_finite(loan.rate_per_s, loan.depth)
            self._on_loans(self, frame.loans)

    def handle_end(self, reason: str) -> None:
        """Report the end of the link."""
        self._on_end(self)


class Borrowing:
    """Asks other data centres for the parts that this one could use.

    A data centre that needs nothing keeps no connection.

    :param data_centre: this node's data centre.
    :param coordinator: the coordinator on this node.
    :param make_selector: makes the ranking of the nodes of a data centre.
    :param clock: returns the monotonic time, in seconds.
    :param open_link: opens a connection to a coordinator; see :class:`LenderLink` for
        the arguments.
    """

    def __init__(
        self,
        data_centre: str,
        coordinator: QuotaCoordinator,
        make_selector: Callable[[str], SourceSelector],
        clock: Callable[[], float] = now_s,
        open_link: Callable[..., LenderLink] = LenderLink,
    ) -> None:
        self._clock = clock
        self._open_link = open_link
        self._data_centre = data_centre
        self._coordinator = coordinator
        self._make_selector = make_selector
        self._selectors: dict[str, SourceSelector] = {}
        self._links: dict[str, LenderLink] = {}
        self._requested_at = float("-inf")

    @property
    def n_lenders(self) -> int:
        """Number of coordinators that this node is connected to."""
        return len(self._links)

    def update_entries(self, entries: tuple[GateEntry, ...]) -> None:
        """Update the rankings after a change of the directory.

        :param entries: entries of the directory.
        """
        names = {entry.data_centre for entry in entries} - {self._data_centre}
        for name in self._selectors.keys() - names:
            # What is missing is asked of each data centre in equal parts.
            del self._selectors[name]
            link = self._links.pop(name, None)
            if link is not None:
                link.close()
                self._coordinator.end_borrowing(link, self._clock())
        for name in names - self._selectors.keys():
            self._selectors[name] = self._make_selector(name)
        for selector in self._selectors.values():
            selector.set_entries(entries)

    def check(self, is_coordinating: bool) -> None:
        """Ask for loans if this node coordinates and lacks some; called often.

        :param is_coordinating: whether this node is the coordinator.
        """
        now = self._clock()
        for link in tuple(self._links.values()):
            if link.silent_s(now) > MAX_SILENT_S:
                link.close()
                self._handle_end(link)
        if now - self._requested_at < REQUEST_PERIOD_S:
            return
        self._requested_at = now
        names = sorted(self._selectors)
        wanted = self._coordinator.wanted_loans(len(names), now)
        if not is_coordinating or not wanted:
            self.stop()
            return
        for name in names:
            self._request(name, wanted, now)

    def stop(self) -> None:
        """Stop to use loans and close the connections."""
        for link in tuple(self._links.values()):
            link.close()
            self._coordinator.end_borrowing(link, self._clock())
        self._links.clear()

    def _request(
        self, data_centre: str, wanted: tuple[QuotaLoan, ...], now: float
    ) -> None:
        entry = self._selectors[data_centre].choose(False, now).source
        if entry is None:
            return
        link = self._links.get(data_centre)
        if link is not None and link.address != entry.gate_address:
            link.close()
            self._coordinator.end_borrowing(link, now)
            link = None
        if link is None:
            self._links[data_centre] = self._open_link(
                entry.node, entry.gate_address, self._handle_loans, self._handle_end
            )
        else:
            link.send(QuotaLoanRequestFrame(wanted))

    def _handle_loans(self, link: LenderLink, loans: tuple[QuotaLoan, ...]) -> None:
        self._coordinator.receive_loans(link, loans, self._clock())
        for name, known in self._links.items():
            if known is link:
                self._selectors[name].record_success(link.node)

    def _handle_end(self, link: LenderLink) -> None:
        now = self._clock()
        self._coordinator.end_borrowing(link, now)
        for name, known in tuple(self._links.items()):
            if known is link:
                del self._links[name]
                self._selectors[name].record_failure(link.node, now)
