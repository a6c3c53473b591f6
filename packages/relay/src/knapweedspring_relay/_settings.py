"""Settings of a relay process; the file is JSON with comments."""

from dataclasses import dataclass, field

__all__ = ["RelaySettings", "RetrySettings", "ShutdownSettings", "StoreSettings"]

#: Defaults for limits that a deployment leaves unset; they equal those of the first two
#: deployments. The retry ratio is in retries per request, the slack in retries per
#: window of all nodes together.
DEFAULT_GRACE_S = 6.0
DEFAULT_DRAIN_S = 2.0
DEFAULT_RETRY_RATIO = 0.2
DEFAULT_RETRY_SLACK = 48.0
DEFAULT_RETRY_WINDOW_S = 10.0


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
