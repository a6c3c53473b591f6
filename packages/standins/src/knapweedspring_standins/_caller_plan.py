"""Plan of a caller process: request mix, rates and retry behaviour."""

from dataclasses import dataclass

from knapweedspring_standins._records import SendRecord

__all__ = ["CallerPlan", "CallerResult", "Phase", "RequestKind", "RetryLimits"]


@dataclass(frozen=True, slots=True)
class RequestKind:
    """One kind of request in the mix that callers send."""

    #: Name in reports.
    name: str
    #: Service that is called.
    service: str
    #: Path below the service, with a leading slash.
    path: str
    #: Request class that the caller sends in its header.
    request_class: str
    #: Share of the arrivals, relative to the other kinds.
    weight: float
    #: HTTP method.
    method: str = "GET"
    #: Whether the request may run more than once.
    repeatable: bool = True
    #: Bytes of the request's body.
    n_body_bytes: int = 0
    #: Length of the streamed answer to request, in bytes; 0 for a JSON answer.
    n_echo_bytes: int = 0
    #: Whether a retry carries the request id of the first send.
    repeats_with_id: bool = False


@dataclass(frozen=True, slots=True)
class Phase:
    """A period with a constant arrival rate."""

    #: Name in reports.
    name: str
    #: Duration in seconds.
    seconds: float
    #: Logical requests that arrive per second, over all kinds.
    rate: float


@dataclass(frozen=True, slots=True)
class RetryLimits:
    """Timeouts and retries of callers; the defaults retry aggressively."""

    #: Timeout of one send in ms; also the deadline that the caller sends.
    timeout_ms: float = 2_000.0
    #: Age in ms after which a logical request is not sent again.
    total_ms: float = 6_000.0
    #: Maximum number of sends of one logical request.
    n_sends_max: int = 5
    #: Pause before a retry in ms, scaled by a random factor from 0.5 to 2.
    pause_ms: float = 100.0


@dataclass(frozen=True, slots=True)
class CallerPlan:
    """Everything that one caller process sends."""

    #: JSON file with the entry nodes' call addresses, one list for each data
    #: centre; re-read while callers run.
    entries_file: str
    #: Request mix.
    kinds: tuple[RequestKind, ...]
    #: Phases in the order in which they run.
    phases: tuple[Phase, ...]
    #: Seed of the arrival times and of all random choices.
    seed: int
    #: Monotonic time at which the first phase starts, in seconds.
    start_s: float
    #: Timeouts and retries.
    patience: RetryLimits = RetryLimits()
    #: Maximum number of requests in flight.
    n_workers: int = 500
    #: Prefix of the nonces, unique among the processes of a run.
    name: str = "c"


@dataclass(frozen=True, slots=True)
class CallerResult:
    """Result that a caller process writes to its result file."""

    #: Records of all sends.
    records: tuple[SendRecord, ...]
    #: Number of logical requests that arrived.
    n_arrivals: int
    #: Number of arrivals that started late because no worker was free.
    n_late: int
