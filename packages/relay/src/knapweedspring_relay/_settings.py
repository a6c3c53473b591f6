"""Settings of a relay process; the file is JSON with comments."""

from dataclasses import dataclass, field

__all__ = ["RelaySettings", "RetrySettings", "ShutdownSettings", "StoreSettings"]


@dataclass(frozen=True, slots=True)
class StoreSettings:
    """The deployment's store."""

    #: Address, as ``ip:port``.
    address: str
    #: Writes a second that all nodes may make together.
    max_writes_per_s: float
    #: Reads a second that all nodes may make together.
    max_reads_per_s: float


@dataclass(frozen=True, slots=True)
class ShutdownSettings:
    """How a process ends."""

    #: Time from the signal to the forced end, in seconds.
    grace_s: float
    #: How long a draining upstream goes on serving, in seconds.
    drain_s: float


@dataclass(frozen=True, slots=True)
class RetrySettings:
    """Second sends that all nodes may make together."""

    #: Second sends for each request.
    ratio: float
    #: Second sends besides.
    slack: float
    #: Span that both are counted over, in seconds.
    window_s: float


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
    seed_addresses: tuple[str, ...] = ()
    #: Second sends that all nodes may make together.
    retries: RetrySettings = field(
        default_factory=lambda: RetrySettings(ratio=0.2, slack=48.0, window_s=10.0)
    )
