"""What an upstream stand-in is told at its start and while it runs."""

from dataclasses import dataclass

__all__ = ["CallRule", "UpstreamFaults", "UpstreamSettings"]


@dataclass(frozen=True, slots=True)
class CallRule:
    """A child call that the upstream makes for matching requests."""

    #: Service that is called.
    service: str
    #: Path below the service, with a leading slash.
    path: str
    #: Requests whose path begins so make the call.
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

    #: Multiplies the service time.
    slow_factor: float = 1.0
    #: Answers 503 before anything runs.
    shed: bool = False
    #: Fraction that the load endpoint claims; None for the true one.
    load_value: float | None = None
    #: Whether the health endpoint claims health; None for the truth.
    healthy: bool | None = None
    #: Bytes of the body after which an answer breaks off; None for whole ones.
    truncate_after: int | None = None
    #: Answers without length or chunks; the end of the connection ends them.
    unframed: bool = False
    #: Requests are read and then left standing.
    freeze: bool = False


@dataclass(frozen=True, slots=True)
class UpstreamSettings:
    """Behaviour that stays for the life of the process."""

    #: Service that it announces.
    service: str
    #: Admin address of the node on its VM; empty to announce nothing.
    node_admin: str = ""
    #: Call address of the node on its VM, for child calls.
    node_calls: str = ""
    #: Requests worked on at once.
    n_slots: int = 10
    #: Connections accepted; one more is closed at once.
    n_connections: int = 250
    #: Time that one request keeps a slot, besides its child calls, in ms.
    service_ms: float = 10.0
    #: Part of the service time that varies, uniformly to both sides.
    service_spread: float = 0.2
    #: Child calls.
    calls: tuple[CallRule, ...] = ()
    #: Whether child calls are made all at once instead of in turn.
    concurrent: bool = False
    #: Times that a failed child call is repeated by the service itself.
    n_child_repeats: int = 0
    #: Time in the state ``starting``, in ms.
    starting_ms: float = 0.0
    #: Time after the start over which service times fall to normal, in ms.
    cold_ms: float = 0.0
    #: Factor on the service time at the start of the cold time.
    cold_factor: float = 4.0
    #: Age that the value of the load endpoint may have, in ms.
    load_lag_ms: float = 1_000.0
    #: Requests that may wait for a slot; more stay unread.
    n_backlog: int = 64
    #: Time for in-flight work after SIGTERM, in ms.
    stop_deadline_ms: float = 30_000.0
    #: Seed of the service times.
    seed: int = 1
    #: File that keeps the journal; empty for none.
    journal_file: str = ""
    #: Port to listen on; 0 for any.
    port: int = 0
