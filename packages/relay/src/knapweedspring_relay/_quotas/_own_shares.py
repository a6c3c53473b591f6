"""The shares of quotas that a node uses itself while it lends them to no one."""

from collections.abc import Callable

from knapweedspring_relay._configuration import Quota
from knapweedspring_relay._quota_rules import QuotaRules
from knapweedspring_relay._quotas._token_bucket import TokenBucket

__all__ = ["OwnShares"]


class OwnShares:
    """One token bucket for each workspace, with an equal share of the data centre.

    :param rules: returns how strictly quotas hold.
    :param quota: returns the quota of a workspace; None when it has none.
    :param n_nodes: returns the number of nodes of the data centre.
    :param now: monotonic time, in seconds.
    """

    def __init__(
        self,
        rules: Callable[[], QuotaRules],
        quota: Callable[[str], Quota | None],
        n_nodes: Callable[[], int],
        now: float,
    ) -> None:
        self._rules = rules
        self._quota = quota
        self._n_nodes = n_nodes
        # The shares may have been used until the previous process ended.
        self._held_since = now
        self._buckets: dict[str, TokenBucket] = {}

    def restart(self, lent_until: float) -> None:
        """Begin without units, since the shares are lent until a given time.

        :param lent_until: end of the lease, on the monotonic clock, in seconds.
        """
        self._held_since = lent_until
        self._buckets.clear()

    def idle_s(self, now: float) -> float:
        """Return for how long the shares have been held without use, in seconds.

        :param now: monotonic time, in seconds.
        """
        return 0.0 if self._buckets else max(0.0, now - self._held_since)

    def try_take(self, workspace: str, now: float) -> bool:
        """Take a unit if one is left; a workspace without a quota always has one.

        :param workspace: name of the workspace.
        :param now: monotonic time, in seconds.
        """
        quota = self._quota(workspace)
        if quota is None:
            return True
        share = 1.0 / max(1, self._n_nodes())
        limits = self._rules().data_centre_limits(quota).scaled(share)
        bucket = self._buckets.get(workspace)
        if bucket is None:
            n_units = limits.rate_per_s * max(0.0, now - self._held_since)
            bucket = TokenBucket(limits.rate_per_s, limits.depth, now, n_units)
            self._buckets[workspace] = bucket
        else:
            bucket.set_limits(limits.rate_per_s, limits.depth, now)
        return bucket.take(0.0, now) is not None
