"""Grants units of quotas to the nodes of a data centre.

The module uses neither the network nor the clock: methods get the time as an argument.
"""

from collections.abc import Callable, Hashable, Iterable
from typing import NamedTuple

from knapweedspring_relay._configuration import Quota
from knapweedspring_relay._hop_frames import QuotaLoan
from knapweedspring_relay._quota_rules import BucketLimits, QuotaRules
from knapweedspring_relay._quotas._demand_meter import DemandMeter
from knapweedspring_relay._quotas._loan_book import (
    KEPT_DEMAND,
    MAX_LENT_SHARE,
    LoanBook,
)
from knapweedspring_relay._quotas._token_bucket import TokenBucket

__all__ = ["LEASE_S", "Grant", "QuotaCoordinator"]

#: Time for which a lease holds after its last renewal, in seconds: several periods of
#: the frames that nodes answer with a renewal.
LEASE_S = 0.75
#: Most units granted by one answer, which bounds the work for one question.
MAX_UNITS = 256


class Grant(NamedTuple):
    """Answer to a question for units."""

    #: Time after which each granted unit may be used, in seconds.
    delays_s: tuple[float, ...]
    #: Time after which a further unit would be granted, in seconds.
    retry_after_s: float


class _Lease(NamedTuple):
    """Shares that a node has lent."""

    #: Start and end, on the monotonic clock, in seconds.
    begins_at: float
    ends_at: float


class _DeniedRequests:
    """Denied requests that are expected to return.

    Each is asked to return when the units for those before it have come due, so that
    they do not all return at once.
    """

    def __init__(self) -> None:
        self._n_expected = 0.0
        self._updated_at = 0.0

    def add(self, n_denied: int, rate_per_s: float, now: float) -> float:
        """Add denied requests.

        :param n_denied: number of requests.
        :param rate_per_s: units per second.
        :param now: monotonic time, in seconds.
        :return: time after which they are to return, in seconds.
        """
        if rate_per_s <= 0.0:
            return float("inf")
        n_returned = rate_per_s * (now - self._updated_at)
        n_expected = max(0.0, self._n_expected - n_returned)
        self._n_expected, self._updated_at = n_expected + n_denied, now
        return n_expected / rate_per_s


class QuotaCoordinator:
    """Pools the shares of the nodes of a data centre that lend them to this node.

    Each node owns an equal share of its data centre's part of every quota, and lends
    all of them to one coordinator at a time. So the coordinators of a data centre never
    grant more than its part together, even while nodes disagree on which node is the
    coordinator. A share that changes hands starts without units.

    :param rules: returns how strictly quotas hold.
    :param quota: returns the quota of a workspace; None when it has none.
    :param n_nodes: returns the number of nodes of the data centre.
    """

    def __init__(
        self,
        rules: Callable[[], QuotaRules],
        quota: Callable[[str], Quota | None],
        n_nodes: Callable[[], int],
    ) -> None:
        self._rules = rules
        self._quota = quota
        self._n_nodes = n_nodes
        self._leases: dict[Hashable, _Lease] = {}
        self._buckets: dict[str, TokenBucket] = {}
        self._denied: dict[str, _DeniedRequests] = {}
        self._demand: dict[str, DemandMeter] = {}
        self._loans = LoanBook()

    @property
    def n_leases(self) -> int:
        """Number of nodes that lend their shares."""
        return len(self._leases)

    @property
    def n_buckets(self) -> int:
        """Number of workspaces of which units were asked for."""
        return len(self._buckets)

    def renew_lease(self, lender: Hashable, now: float, idle_s: float = 0.0) -> None:
        """Begin or extend the lease of a node.

        :param lender: identifies the node.
        :param now: monotonic time, in seconds.
        :param idle_s: time for which the node held its shares without using them before
            a new lease, in seconds. They have gained units since.
        """
        self._end_overdue_leases(now)
        known = self._leases.get(lender)
        begins_at = known.begins_at if known is not None else now - idle_s
        self._leases[lender] = _Lease(begins_at, now + LEASE_S)
        if known is None:
            self._update_buckets(self._buckets, now)

    def end_lease(self, lender: Hashable, now: float) -> None:
        """End the lease of a node, if it has one.

        :param lender: identifies the node.
        :param now: monotonic time, in seconds.
        """
        if self._leases.pop(lender, None) is not None:
            self._update_buckets(self._buckets, now)

    def grant(
        self, workspace: str, n_units: int, max_delay_s: float, now: float
    ) -> Grant | None:
        """Grant units of a workspace's quota.

        :param workspace: name of the workspace.
        :param n_units: number of units that are asked for.
        :param max_delay_s: longest time until a unit comes due, in seconds.
        :param now: monotonic time, in seconds.
        :return: the granted units; None when no quota is known.
        """
        bucket = self._bucket(workspace, now)
        if bucket is None:
            return None
        self._demand.setdefault(workspace, DemandMeter(now)).add(n_units, now)
        delays_s: list[float] = []
        for _ in range(min(n_units, MAX_UNITS)):
            delay_s = bucket.take(max_delay_s, now)
            if delay_s is None:
                break
            delays_s.append(delay_s)
        retry_after_s = bucket.delay_s(now)
        n_denied = n_units - len(delays_s)
        if n_denied > 0:
            denied = self._denied.setdefault(workspace, _DeniedRequests())
            retry_after_s += denied.add(n_denied, bucket.rate_per_s, now)
        return Grant(tuple(delays_s), min(retry_after_s, self._rules().window_s))

    def give_back(self, workspace: str, n_units: int, now: float) -> None:
        """Return units whose requests did not run.

        :param workspace: name of the workspace.
        :param n_units: number of units.
        :param now: monotonic time, in seconds.
        """
        bucket = self._bucket(workspace, now)
        if bucket is not None:
            bucket.give_back(min(n_units, MAX_UNITS), now)

    def wanted_loans(self, n_lenders: int, now: float) -> tuple[QuotaLoan, ...]:
        """Return the parts that this data centre could use beyond its own.

        :param n_lenders: number of data centres that are asked.
        :param now: monotonic time, in seconds.
        """
        wanted = []
        for workspace, meter in tuple(self._demand.items()):
            demand_per_s = KEPT_DEMAND * meter.rate_per_s(now)
            limits = self._own_limits(workspace)
            missing_per_s = demand_per_s - limits.rate_per_s
            if missing_per_s > 0.0 and n_lenders > 0:
                wanted.append(QuotaLoan(workspace, missing_per_s / n_lenders, 0.0))
        return tuple(wanted)

    def lend(
        self, borrower: Hashable, wanted: Iterable[QuotaLoan], now: float
    ) -> tuple[QuotaLoan, ...]:
        """Lend unused parts of quotas to the coordinator of another data centre.

        :param borrower: identifies the borrower.
        :param wanted: parts that it could use; their depths are not read.
        :param now: monotonic time, in seconds.
        :return: the loans.
        """
        self._end_overdue_leases(now)
        parts = tuple(wanted)
        spare = {p.workspace: self._spare(p.workspace, borrower, now) for p in parts}
        changed = self._loans.lent_workspaces(borrower) | spare.keys()
        loans = self._loans.lend(borrower, parts, spare, now)
        self._update_buckets(changed, now)
        return loans

    def end_lending(self, borrower: Hashable) -> None:
        """Take back the loans of a borrower whose connection has ended."""
        self._loans.end_lending(borrower)

    def receive_loans(
        self, lender: Hashable, loans: Iterable[QuotaLoan], now: float
    ) -> None:
        """Use loans of the coordinator of another data centre.

        :param lender: identifies the lender.
        :param loans: all its loans, in place of earlier ones.
        :param now: monotonic time, in seconds.
        """
        changed = self._loans.borrowed_workspaces(lender)
        self._loans.receive(lender, loans, now)
        changed |= self._loans.borrowed_workspaces(lender)
        self._update_buckets(changed, now)

    def end_borrowing(self, lender: Hashable, now: float) -> None:
        """Stop to use the loans of a lender.

        :param lender: identifies the lender.
        :param now: monotonic time, in seconds.
        """
        changed = self._loans.borrowed_workspaces(lender)
        self._loans.end_borrowing(lender)
        self._update_buckets(changed, now)

    def _own_limits(self, workspace: str) -> BucketLimits:
        """Return the limits of the shares that are lent to this coordinator."""
        quota = self._quota(workspace)
        if quota is None:
            return BucketLimits(0.0, 0.0)
        limits = self._rules().data_centre_limits(quota)
        return limits.scaled(self._pooled_share())

    def _spare(self, workspace: str, borrower: Hashable, now: float) -> BucketLimits:
        """Return what may be lent to a borrower of a workspace's quota."""
        own = self._own_limits(workspace)
        lent = self._loans.lent(workspace, now, besides=borrower)
        meter = self._demand.get(workspace)
        demand_per_s = KEPT_DEMAND * meter.rate_per_s(now) if meter is not None else 0.0
        kept_per_s = max(demand_per_s, (1.0 - MAX_LENT_SHARE) * own.rate_per_s)
        spare_per_s = own.rate_per_s - kept_per_s - lent.rate_per_s
        if spare_per_s <= 0.0 or own.rate_per_s <= 0.0:
            return BucketLimits(0.0, 0.0)
        return own.scaled(spare_per_s / own.rate_per_s)

    def _bucket(self, workspace: str, now: float) -> TokenBucket | None:
        self._end_overdue_leases(now)
        quota = self._quota(workspace)
        if quota is None:
            self._buckets.pop(workspace, None)
            self._denied.pop(workspace, None)
            self._demand.pop(workspace, None)
            return None
        limits = self._rules().data_centre_limits(quota)
        pooled = self._own_limits(workspace)
        lent = self._loans.lent(workspace, now)
        borrowed = self._loans.borrowed(workspace, now)
        pooled = BucketLimits(
            max(0.0, pooled.rate_per_s - lent.rate_per_s) + borrowed.rate_per_s,
            max(0.0, pooled.depth - lent.depth) + borrowed.depth,
        )
        bucket = self._buckets.get(workspace)
        if bucket is None:
            n_units = self._accrued_units(limits, now)
            n_units = max(0.0, n_units - lent.depth)
            bucket = TokenBucket(pooled.rate_per_s, pooled.depth, now, n_units)
            self._buckets[workspace] = bucket
        elif (bucket.rate_per_s, bucket.depth) != (pooled.rate_per_s, pooled.depth):
            bucket.set_limits(pooled.rate_per_s, pooled.depth, now)
        return bucket

    def _accrued_units(self, limits: BucketLimits, now: float) -> float:
        """Return the units that the leased shares have gained since they were lent."""
        share = self._node_share()
        part = limits.scaled(share)
        return sum(
            min(part.depth, part.rate_per_s * (now - lease.begins_at))
            for lease in self._leases.values()
        )

    def _update_buckets(self, workspaces: Iterable[str], now: float) -> None:
        """Let buckets gain units at their new rates from now on."""
        for workspace in tuple(workspaces):
            if workspace in self._buckets:
                self._bucket(workspace, now)

    def _end_overdue_leases(self, now: float) -> None:
        overdue = [n for n, lease in self._leases.items() if lease.ends_at <= now]
        for lender in overdue:
            del self._leases[lender]

    def _node_share(self) -> float:
        return 1.0 / max(1, self._n_nodes(), len(self._leases))

    def _pooled_share(self) -> float:
        return len(self._leases) * self._node_share()
