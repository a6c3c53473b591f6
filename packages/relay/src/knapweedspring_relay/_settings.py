"""Settings of a relay process; the file is JSON with comments."""

from dataclasses import dataclass, field

from knapweedspring_relay._memory_budget import (
    SMALLEST_VM_BYTES,
    SMALLEST_VM_DESCRIPTORS,
)
from knapweedspring_relay._quota_rules import QuotaRules
from knapweedspring_relay._workspace_access import AccessRules

__all__ = [
    "RelaySettings",
    "RetrySettings",
    "ShutdownSettings",
    "StoreSettings",
    "VmSettings",
    "WorkspaceSettings",
]

#: Defaults for limits that a deployment leaves unset; they equal those of the first two
#: deployments. The retry ratio is in retries per request, the slack in retries per
#: window of all nodes together.
DEFAULT_GRACE_S = 6.0
DEFAULT_DRAIN_S = 2.0
DEFAULT_RETRY_RATIO = 0.2
DEFAULT_RETRY_SLACK = 48.0
DEFAULT_RETRY_WINDOW_S = 10.0
#: Defaults of the limits on workspaces: window in seconds, tolerated excess as share of
#: the quota, tolerated excess in requests, and time within which a change of the
#: configuration must be in force, in seconds.
DEFAULT_QUOTA_WINDOW_S = 5.0
DEFAULT_QUOTA_EXCESS = 0.0
DEFAULT_QUOTA_SLACK = 0.0
DEFAULT_IN_FORCE_S = 2.0


@dataclass(frozen=True, slots=True)
class StoreSettings:
    """Settings of the deployment's store."""

    #: Address of the store, as ``ip:port``.
    address: str


@dataclass(frozen=True, slots=True)
class ShutdownSettings:
    """Time limits of a shutdown; None (null in the file) selects the default."""

    #: Time from the stop signal to the forced end of the process, in seconds.
    grace_s: float | None = None
    #: Time for which a draining upstream continues to serve, in seconds.
    drain_s: float | None = None

    @property
    def grace_or_default_s(self) -> float:
        """Time from the stop signal to the forced end, in seconds."""
        return DEFAULT_GRACE_S if self.grace_s is None else self.grace_s

    @property
    def drain_or_default_s(self) -> float:
        """Time for which a draining upstream continues to serve, in seconds."""
        return DEFAULT_DRAIN_S if self.drain_s is None else self.drain_s


@dataclass(frozen=True, slots=True)
class VmSettings:
    """What the VM allows the process; None (null in the file) selects the default."""

    #: Memory above which the process is killed, in MB (10**6 bytes).
    memory_mb: float | None = None
    #: Number of file descriptors that the process may have open.
    n_descriptors: int | None = None

    @property
    def memory_or_default_bytes(self) -> int:
        """Memory above which the process is killed, in bytes."""
        memory_mb = self.memory_mb
        return SMALLEST_VM_BYTES if memory_mb is None else int(memory_mb * 1_000_000)

    @property
    def n_descriptors_or_default(self) -> int:
        """Number of file descriptors that the process may have open."""
        n_descriptors = self.n_descriptors
        return SMALLEST_VM_DESCRIPTORS if n_descriptors is None else n_descriptors


@dataclass(frozen=True, slots=True)
class RetrySettings:
    """Limits on the retries of all nodes together; None selects the default."""

    #: Retries allowed per request.
    ratio: float | None = None
    #: Retries allowed per window in addition to the ratio.
    slack: float | None = None
    #: Length of the window for both limits, in seconds.
    window_s: float | None = None

    @property
    def ratio_or_default(self) -> float:
        """Retries allowed per request."""
        return DEFAULT_RETRY_RATIO if self.ratio is None else self.ratio

    @property
    def slack_or_default(self) -> float:
        """Retries allowed per window in addition to the ratio."""
        return DEFAULT_RETRY_SLACK if self.slack is None else self.slack

    @property
    def window_or_default_s(self) -> float:
        """Length of the window for both limits, in seconds."""
        return DEFAULT_RETRY_WINDOW_S if self.window_s is None else self.window_s


@dataclass(frozen=True, slots=True)
class WorkspaceSettings:
    """How strictly keys and quotas of workspaces hold; None selects the default."""

    #: Length of the windows in which requests are counted, in seconds.
    quota_window_s: float | None = None
    #: Tolerated excess in a window, as share of the quota.
    quota_excess: float | None = None
    #: Tolerated excess in a window, in requests.
    quota_slack: float | None = None
    #: Time within which a change of the configuration must be in force, in seconds.
    in_force_s: float | None = None
    #: Whether a node that has lost touch refuses keys; otherwise it goes on with the
    #: last configuration.
    refuses_when_stale: bool | None = None
    #: Time without touch after which such a node refuses keys, in seconds.
    stale_after_s: float | None = None

    @property
    def access_rules(self) -> AccessRules:
        """How current the configuration must be for a decision on a key."""
        in_force_s = _or_default(self.in_force_s, DEFAULT_IN_FORCE_S)
        max_age_s = _or_default(self.stale_after_s, in_force_s)
        return AccessRules(in_force_s, bool(self.refuses_when_stale), max_age_s)

    def quota_rules(self, n_data_centres: int) -> QuotaRules:
        """Return how strictly quotas hold.

        :param n_data_centres: number of data centres of the deployment.
        """
        return QuotaRules(
            window_s=_or_default(self.quota_window_s, DEFAULT_QUOTA_WINDOW_S),
            excess=_or_default(self.quota_excess, DEFAULT_QUOTA_EXCESS),
            slack=_or_default(self.quota_slack, DEFAULT_QUOTA_SLACK),
            n_data_centres=n_data_centres,
        )


def _or_default(value: float | None, default: float) -> float:
    return default if value is None else value


@dataclass(frozen=True, slots=True)
class RelaySettings:
    """All settings of one relay process."""

    #: Name of the node, unique in the deployment.
    node: str
    #: Data centre of the VM.
    data_centre: str
    #: Service of the upstream beside the node.
    service: str
    #: Address of the upstream, as ``ip:port``.
    upstream_address: str
    #: Address to which callers and the upstream send their requests, as ``ip:port``.
    entry_address: str
    #: Address to which other nodes send calls for the upstream, as ``ip:port``.
    gate_address: str
    #: Address at which other nodes read configuration and directory, as ``ip:port``.
    knowledge_address: str
    #: Address to which the upstream sends its heartbeats, as ``ip:port``.
    heartbeat_address: str
    #: Address of the readiness check, as ``ip:port``.
    readiness_address: str
    #: Address of the metrics page, as ``ip:port``.
    metrics_address: str
    #: Settings of the deployment's store.
    store: StoreSettings
    #: Time limits of a shutdown.
    shutdown: ShutdownSettings
    #: Heartbeat addresses of a few nodes, of which a node that starts asks the others
    #: for the directory before it reads the store.
    seed_addresses: tuple[str, ...] | None = None
    #: Whether the whole deployment starts for the first time, so the store holds no
    #: entry of this node; None (null in the file) counts as no.
    is_first_start: bool | None = None
    #: Limits on the retries of all nodes together.
    retries: RetrySettings = field(default_factory=RetrySettings)
    #: Names of all data centres of the deployment; None or empty when only that of the
    #: node is known.
    data_centres: tuple[str, ...] | None = None
    #: How strictly keys and quotas of workspaces hold.
    workspaces: WorkspaceSettings = field(default_factory=WorkspaceSettings)
    #: What the VM allows the process.
    vm: VmSettings = field(default_factory=VmSettings)

    @property
    def quota_rules(self) -> QuotaRules:
        """How strictly quotas hold."""
        return self.workspaces.quota_rules(
            len(self.data_centres or (self.data_centre,))
        )
