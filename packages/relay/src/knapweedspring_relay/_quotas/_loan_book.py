"""Parts of quotas that the coordinators of data centres lend to each other.

The module uses no clock: methods get the time as an argument.
"""

from collections.abc import Hashable, Iterable
from typing import NamedTuple

from knapweedspring_relay._hop_frames import QuotaLoan
from knapweedspring_relay._quota_rules import BucketLimits

__all__ = ["LOAN_S", "LoanBook"]

#: Time for which a borrower uses a loan after it has received it, in seconds.
LOAN_S = 0.6
#: Time for which the lender leaves a loan unused after it has sent it, in seconds. The
#: difference covers the time that the loan was under way.
LENT_S = 1.0
#: Largest share of its part of a quota that a data centre lends.
MAX_LENT_SHARE = 0.75
#: Demand up to which a data centre keeps its part, as multiple of its present demand.
KEPT_DEMAND = 1.3


class _Lent(NamedTuple):
    """Loans that were sent to a borrower at one time."""

    #: Loans by workspace.
    loans: dict[str, QuotaLoan]
    #: Time until which they are left unused, on the monotonic clock, in seconds.
    ends_at: float


class _Borrowed(NamedTuple):
    """Loans of one lender."""

    #: Loans by workspace.
    loans: dict[str, QuotaLoan]
    #: Time until which they may be used, on the monotonic clock, in seconds.
    ends_at: float


class LoanBook:
    """Loans that a coordinator gave and received.

    A lender gives a loan before the borrower uses it, and takes it back after the
    borrower has stopped. So no unit is granted twice, whichever messages are lost.
    """

    def __init__(self) -> None:
        #: Loans by borrower; the last ones are in force, and the borrower may still use
        #: earlier ones until these arrive.
        self._lent: dict[Hashable, list[_Lent]] = {}
        self._borrowed: dict[Hashable, _Borrowed] = {}

    def lend(
        self,
        borrower: Hashable,
        wanted: Iterable[QuotaLoan],
        spare: dict[str, BucketLimits],
        now: float,
    ) -> tuple[QuotaLoan, ...]:
        """Lend the wanted parts as far as they are spare, in place of earlier loans.

        :param borrower: identifies the borrower.
        :param wanted: parts that it could use.
        :param spare: parts by workspace that may be lent to it.
        :param now: monotonic time, in seconds.
        :return: the loans.
        """
        loans = {}
        for part in wanted:
            limits = spare.get(part.workspace)
            if limits is None or limits.rate_per_s <= 0.0 or part.rate_per_s <= 0.0:
                continue
            share = min(1.0, part.rate_per_s / limits.rate_per_s)
            lent = limits.scaled(share)
            loans[part.workspace] = QuotaLoan(
                part.workspace, lent.rate_per_s, lent.depth
            )
        if loans or borrower in self._lent:
            self._lent.setdefault(borrower, []).append(_Lent(loans, now + LENT_S))
        return tuple(loans.values())

    def end_lending(self, borrower: Hashable) -> None:
        """Take back the loans of a borrower whose connection has ended."""
        self._lent.pop(borrower, None)

    def receive(self, lender: Hashable, loans: Iterable[QuotaLoan], now: float) -> None:
        """Use the loans of a lender, in place of its earlier ones.

        :param lender: identifies the lender.
        :param loans: all its loans.
        :param now: monotonic time, in seconds.
        """
        self._borrowed[lender] = _Borrowed(
            {loan.workspace: loan for loan in loans}, now + LOAN_S
        )

    def end_borrowing(self, lender: Hashable) -> None:
        """Stop to use the loans of a lender."""
        self._borrowed.pop(lender, None)

    def lent(
        self, workspace: str, now: float, besides: Hashable = None
    ) -> BucketLimits:
        """Return what is lent of a workspace's quota.

        :param workspace: name of the workspace.
        :param now: monotonic time, in seconds.
        :param besides: borrower whose loans do not count; None when all count.
        """
        self._end_overdue(now)
        largest = []
        for borrower, grants in self._lent.items():
            found = [g.loans[workspace] for g in grants if workspace in g.loans]
            if found and borrower is not besides:
                largest.append(max(found, key=lambda loan: loan.rate_per_s))
        return _total(largest)

    def borrowed(self, workspace: str, now: float) -> BucketLimits:
        """Return what is borrowed of a workspace's quota.

        :param workspace: name of the workspace.
        :param now: monotonic time, in seconds.
        """
        self._end_overdue(now)
        return _total(b.loans.get(workspace) for b in self._borrowed.values())

    def lent_workspaces(self, borrower: Hashable) -> set[str]:
        """Return the workspaces of which a borrower has loans."""
        return {name for g in self._lent.get(borrower, ()) for name in g.loans}

    def borrowed_workspaces(self, lender: Hashable) -> set[str]:
        """Return the workspaces of which a lender has lent parts."""
        found = self._borrowed.get(lender)
        return set(found.loans) if found is not None else set()

    def _end_overdue(self, now: float) -> None:
        for borrower, grants in tuple(self._lent.items()):
            if grants[0].ends_at <= now:
                left = [grant for grant in grants if grant.ends_at > now]
                if left:
                    self._lent[borrower] = left
                else:
                    del self._lent[borrower]
        for lender, borrowed in tuple(self._borrowed.items()):
            if borrowed.ends_at <= now:
                del self._borrowed[lender]


def _total(loans: Iterable[QuotaLoan | None]) -> BucketLimits:
    found = [loan for loan in loans if loan is not None]
    return BucketLimits(
        sum(loan.rate_per_s for loan in found), sum(loan.depth for loan in found)
    )
