"""Guards against an entry of another writer that lessens what a data centre borrows."""

from dataclasses import replace

from knapweedspring_relay._hop_frames import QuotaLoan, QuotaLoanRequestFrame
from knapweedspring_relay._knowledge import GateEntry, SourceSelector, UpstreamState
from knapweedspring_relay._quotas._borrowing import REQUEST_PERIOD_S, Borrowing

ENTRY = GateEntry(
    "a", "10.0.0.1:1", "10.0.0.1:2", "dc-2", "svc", "i", 1, 1, UpstreamState.READY
)


class Coordinator:
    def __init__(self):
        self.ended = []

    def wanted_loans(self, n_lenders, now):
        return (QuotaLoan("w", 6.0 / n_lenders, 0.0),)

    def end_borrowing(self, link, now):
        self.ended.append(link.node)


class Link:
    def __init__(self, node, address, *_):
        self.node = node
        self.address = address
        self.sent = []
        self.is_closed = False

    def silent_s(self, now):
        return 0.0

    def send(self, frame):
        self.sent.append(frame)

    def close(self):
        self.is_closed = True


def test_data_centre_that_no_entry_names_any_more_is_not_asked():
    now, links = 0.0, []

    def open_link(*arguments):
        links.append(Link(*arguments))
        return links[-1]

    coordinator = Coordinator()
    borrowing = Borrowing(
        "dc-1",
        coordinator,
        lambda name: SourceSelector("n", name),
        lambda: now,
        open_link,
    )
    stray = [replace(ENTRY, node=f"s{n}", data_centre=f"odd-{n}") for n in range(2)]
    borrowing.update_entries((ENTRY, *stray))
    borrowing.check(True)
    assert borrowing.n_lenders == 3
    borrowing.update_entries((ENTRY,))
    assert borrowing.n_lenders == 1
    assert sorted(coordinator.ended) == ["s0", "s1"]
    assert [link.is_closed for link in links] == [link.node != "a" for link in links]
    now += 2 * REQUEST_PERIOD_S
    borrowing.check(True)
    (link,) = (link for link in links if link.node == "a")
    assert link.sent == [QuotaLoanRequestFrame((QuotaLoan("w", 6.0, 0.0),))]
