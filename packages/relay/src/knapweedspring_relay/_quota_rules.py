"""What each data centre and each node may use of a workspace's quota."""

from dataclasses import dataclass

from knapweedspring_relay._configuration import Quota

__all__ = ["BucketLimits", "QuotaRules"]

#: Share of the tolerated excess and slack that is used. The rest covers messages in
#: flight while shares change hands, and nodes that know different numbers of nodes.
USED_TOLERANCE_SHARE = 0.8
#: Share of the used slack that goes into the depth of the bucket instead of its rate.
SLACK_DEPTH_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class BucketLimits:
    """Rate and depth of a token bucket."""

    #: Units per second.
    rate_per_s: float
    #: Greatest number of unused units.
    depth: float

    def scaled(self, share: float) -> "BucketLimits":
        """Return the limits of a share of the bucket.

        :param share: the share, 0 to 1.
        """
        return BucketLimits(self.rate_per_s * share, self.depth * share)


@dataclass(frozen=True, slots=True)
class QuotaRules:
    """How strictly quotas hold, and how many data centres share them."""

    #: Length of the windows in which requests are counted, in seconds.
    window_s: float
    #: Tolerated excess in a window, as share of the quota.
    excess: float
    #: Tolerated excess in a window, in requests.
    slack: float
    #: Number of data centres. Each may use an equal part, so that the limit holds while
    #: data centres are cut off from each other.
    n_data_centres: int

    def data_centre_limits(self, quota: Quota) -> BucketLimits:
        """Return the limits of one data centre for a workspace.

        In a window, the buckets of all data centres together grant at most
        ``(per_s * window_s + burst) * (1 + excess) + slack`` units.

        :param quota: the workspace's quota.
        """
        factor = 1.0 + USED_TOLERANCE_SHARE * self.excess
        slack = USED_TOLERANCE_SHARE * self.slack
        depth = quota.burst * factor + SLACK_DEPTH_SHARE * slack
        rate_slack = (1.0 - SLACK_DEPTH_SHARE) * slack / self.window_s
        rate_per_s = quota.per_s * factor + rate_slack
        n_data_centres = max(1, self.n_data_centres)
        return BucketLimits(rate_per_s / n_data_centres, depth / n_data_centres)
