"""Settings of an upstream stand-in at its start, and its faults at run time."""

from dataclasses import dataclass
from enum import Enum

__all__ = ["CallRule", "EndlessPart", "UpstreamFaults", "UpstreamSettings"]


class EndlessPart(Enum):
    """Part of an answer that is sent until the caller closes the connection."""

    #: Headers after the status line.
    HEAD = "head"
    #: Chunks of a body without a length.
    BODY = "body"
    #: Trailers after the last chunk.
    TRAILERS = "trailers"


@dataclass(frozen=True, slots=True)
class CallRule:
    """Child call that an upstream makes for each matching request."""

    #: Service that is called.
    service: str
    #: Path below the service, with a leading slash.
    path: str
    #: Path prefix of the requests that make the call.
    path_prefix: str = "/"

    @classmethod
    def parse(cls, text: str) -> "CallRule":
        """Parse ``[/prefix=]service/path``.

        >>> CallRule.parse("/order=catalogue/stock").service
        'catalogue'
        """
        prefix, separator, target = text.rpartition("=")
        service, _, path = target.partition("/")
        return cls(service, f"/{path}", prefix if separator else "/")


@dataclass(frozen=True, slots=True)
class UpstreamFaults:
    """Faults in force; ``POST /-/fault`` replaces them as a whole."""

    #: Factor on the service time.
    slow_factor: float = 1.0
    #: Each request is answered 503 before it runs.
    shed: bool = False
    #: Each n-th request is answered 503 before it runs; 0 for none.
    shed_every: int = 0
    #: A copy of each 503 is sent after the next request on its connection has arrived.
    copies_refusals: bool = False
    #: Part of the answers that never ends; None for none.
    endless: EndlessPart | None = None
    #: Load that the load endpoint reports; None for the actual load.
    load_value: float | None = None
    #: Health that the health endpoint reports; None for the actual health.
    healthy: bool | None = None
    #: Number of bytes of the body after which an answer is truncated; None for no
    #: limit.
    truncate_after: int | None = None
    #: Answers carry neither length nor chunks; the close of the connection ends them.
    unframed: bool = False
    #: Requests are read and then wait until the fault ends.
    freeze: bool = False


@dataclass(frozen=True, slots=True)
class UpstreamSettings:
    """Settings that are fixed for the life of the process."""

    #: Service that the upstream announces.
    service: str
    #: Admin address of the node on its VM; empty to announce nothing.
    node_admin: str = ""
    #: Call address of the node on its VM, for child calls.
    node_calls: str = ""
    #: Number of requests that run at once.
    n_slots: int = 10
    #: Maximum number of open connections; further connections are closed at once.
    n_connections: int = 250
    #: Time in ms that one request occupies a slot, without its child calls.
    service_ms: float = 10.0
    #: Fraction by which the service time varies uniformly in both directions.
    service_spread: float = 0.2
    #: Child calls that the upstream makes while it runs a request.
    calls: tuple[CallRule, ...] = ()
    #: Whether child calls are made concurrently instead of in sequence.
    concurrent: bool = False
    #: Number of times that the service itself retries a failed child call.
    n_child_repeats: int = 0
    #: Time in the state ``starting``, in ms.
    starting_ms: float = 0.0
    #: Time in ms after the start in which the service time falls to its normal value.
    cold_ms: float = 0.0
    #: Factor on the service time at the start; falls to 1 over ``cold_ms``.
    cold_factor: float = 4.0
    #: Maximum age of the load endpoint's value, in ms.
    load_lag_ms: float = 1_000.0
    #: Number of requests that may wait for a slot; further requests stay unread.
    n_backlog: int = 64
    #: Longest time in ms that in-flight requests may take to end after SIGTERM.
    stop_deadline_ms: float = 30_000.0
    #: Seed of the service times.
    seed: int = 1
    #: File that the journal is written to; empty for none.
    journal_file: str = ""
    #: Port to listen on; 0 selects a free port.
    port: int = 0
