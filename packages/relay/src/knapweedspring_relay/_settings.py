"""Settings of a relay process; the file is JSON with comments."""

from dataclasses import dataclass, field

__all__ = ["RelaySettings", "RetrySettings", "ShutdownSettings", "StoreSettings"]

#: Used where a deployment sets nothing: what the first two deployments allow, in
#: seconds, and second sends for each request and besides.
DEFAULT_GRACE_S = 6.0
DEFAULT_DRAIN_S = 2.0
DEFAULT_RETRY_RATIO = 0.2
DEFAULT_RETRY_SLACK = 48.0
DEFAULT_RETRY_WINDOW_S = 10.0


@dataclass(frozen=True, slots=True)
class StoreSettings:
    """The deployment's store."""

    #: Address, as ``ip:port``.
    address: str


@dataclass(frozen=True, slots=True)
class ShutdownSettings:
    """How a process ends; a deployment may leave a time unset (null)."""

    #: Time from the signal to the forced end, in seconds.
    grace_s: float | None = None
    #: How long a draining upstream goes on serving, in seconds.
    drain_s: float | None = None

    @property
    def grace_or_default_s(self) -> float:
        """The grace, in seconds."""
        return DEFAULT_GRACE_S if self.grace_s is None else self.grace_s

    @property
    def drain_or_default_s(self) -> float:
        """The time of draining, in seconds."""
        return DEFAULT_DRAIN_S if self.drain_s is None else self.drain_s


@dataclass(frozen=True, slots=True)
class RetrySettings:
    """Second sends of all nodes together; a limit may be unset (null)."""

    #: Second sends for each request.
    ratio: float | None = None
    #: Second sends besides.
    slack: float | None = None
    #: Span that both are counted over, in seconds.
    window_s: float | None = None

    @property
    def ratio_or_default(self) -> float:
        """Second sends for each request."""
        return DEFAULT_RETRY_RATIO if self.ratio is None else self.ratio

    @property
    def slack_or_default(self) -> float:
        """Second sends besides."""
        return DEFAULT_RETRY_SLACK if self.slack is None else self.slack

    @property
    def window_or_default_s(self) -> float:
        """Span that both are counted over, in seconds."""
        return DEFAULT_RETRY_WINDOW_S if self.window_s is None else self.window_s


@dataclass(frozen=True, slots=True)
class RelaySettings:
    """Everything that one process is told when it starts."""

    #: Name of the node, unique in the deployment.
    node: str
    #: Data centre of the VM.
    data_centre: str
    #: Service of the upstream beside the node.
    service: str
    #: Address of the upstream, as ``ip:port``.
    upstream_address: str
    #: Where callers and the upstream send their requests.
    entry_address: str
    #: Where other nodes send calls for the upstream.
    gate_address: str
    #: Where other nodes ask what this one knows.
    knowledge_address: str
    #: Where the upstream sends its heartbeats.
    heartbeat_address: str
    #: Where readiness is asked for.
    readiness_address: str
    #: Where metrics are served.
    metrics_address: str
    #: The deployment's store.
    store: StoreSettings
    #: How the process ends.
    shutdown: ShutdownSettings
    #: Heartbeat addresses of a few other nodes, asked while the store is away.
    seed_addresses: tuple[str, ...] | None = None
    #: Second sends that all nodes may make together.
    retries: RetrySettings = field(default_factory=RetrySettings)
