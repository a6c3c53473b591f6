"""What callers are told to do: kinds of requests, rates and patience."""

from dataclasses import dataclass

from knapweedspring_standins._records import SendRecord

__all__ = ["CallerPlan", "CallerResult", "Patience", "Phase", "RequestKind"]


@dataclass(frozen=True, slots=True)
class RequestKind:
    """One kind of request in the mix."""

    #: Name for reports.
    name: str
    #: Service that is called.
    service: str
    #: Path below the service, with a leading slash.
    path: str
    #: Request class that the caller names.
    request_class: str
    #: Share of the arrivals, relative to the other kinds.
    weight: float
    #: HTTP method.
    method: str = "GET"
    #: Whether the request may run more than once.
    repeatable: bool = True
    #: Bytes of the request's body.
    n_body_bytes: int = 0
    #: Bytes of a streamed answer; 0 for an ordinary one.
    n_echo_bytes: int = 0
    #: Whether a repeat names the request id of the first send.
    repeats_with_id: bool = False


@dataclass(frozen=True, slots=True)
class Phase:
    """A stretch of time with one rate of arrivals."""

    #: Name for reports.
    name: str
    #: Length in seconds.
    seconds: float
    #: Arrivals of logical requests a second, over all kinds.
    rate: float


@dataclass(frozen=True, slots=True)
class Patience:
    """How callers wait and retry; the defaults retry hard."""

    #: Wait for one answer, in ms; the deadline that the caller names.
    timeout_ms: float = 2_000.0
    #: Age at which a logical request is given up, in ms.
    total_ms: float = 6_000.0
    #: Sends of one logical request, at most.
    n_sends_max: int = 5
    #: Pause before a repeat, in ms, halved or doubled at random.
    pause_ms: float = 100.0


@dataclass(frozen=True, slots=True)
class CallerPlan:
    """Work of one caller process."""

    #: JSON file with lists of the entry nodes' call addresses, one list a data
    #: centre; read again when it changes.
    entries_file: str
    #: The mix.
    kinds: tuple[RequestKind, ...]
    #: Rates, one after the other.
    phases: tuple[Phase, ...]
    #: Seed of arrivals and choices.
    seed: int
    #: Monotonic seconds of the first phase's beginning.
    start_s: float
    #: How callers wait and retry.
    patience: Patience = Patience()
    #: Requests that can be under way at once.
    n_workers: int = 500
    #: Prefix of the nonces, unique over the processes of a run.
    name: str = "c"


@dataclass(frozen=True, slots=True)
class CallerResult:
    """What a caller process hands back."""

    #: All sends.
    records: tuple[SendRecord, ...]
    #: Logical requests that arrived.
    n_arrivals: int
    #: Arrivals that began late for want of a free worker.
    n_late: int
