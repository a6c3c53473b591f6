"""Plan of a caller process: request mix, rates and retry behaviour."""

from dataclasses import dataclass

from knapweedspring_standins._records import SendRecord

__all__ = ["CallerPlan", "CallerResult", "Phase", "RequestKind", "RetryLimits"]


@dataclass(frozen=True, slots=True)
class RequestKind:
    """One kind of request in the mix that callers send."""

    #: Name of the kind in reports.
    name: str
    #: Service that is called.
    service: str
    #: Path below the service, with a leading slash.
    path: str
    #: Request class that the caller sends in its header.
    request_class: str
    #: Weight of this kind in the random choice among the kinds of the mix.
    weight: float
    #: HTTP method.
    method: str = "GET"
    #: Whether the request may run more than once.
    repeatable: bool = True
    #: Length of the request's body, in bytes.
    n_body_bytes: int = 0
    #: Length of the streamed answer that the request asks for, in bytes; 0 asks for a
    #: JSON answer.
    n_echo_bytes: int = 0
    #: Whether a retry carries the request id of the first send.
    repeats_with_id: bool = False


@dataclass(frozen=True, slots=True)
class Phase:
    """A period with a constant arrival rate."""

    #: Name of the phase in reports.
    name: str
    #: Duration in seconds.
    seconds: float
    #: Mean number of logical requests of all kinds that arrive per second.
    rate: float


@dataclass(frozen=True, slots=True)
class RetryLimits:
    """Timeouts and retries of callers; the defaults retry aggressively."""

    #: Timeout of one send in ms; the caller also sends it as the request's deadline.
    timeout_ms: float = 2_000.0
    #: Time in ms after the arrival of a logical request; no retry is sent later.
    total_ms: float = 6_000.0
    #: Maximum number of sends of one logical request.
    n_sends_max: int = 5
    #: Pause before a retry in ms, scaled by a random factor from 0.5 to 2.
    pause_ms: float = 100.0


@dataclass(frozen=True, slots=True)
class CallerPlan:
    """Requests that one caller process sends, and when it sends them."""

    #: JSON file with the entry nodes' call addresses, one list for each data
    #: centre; re-read while callers run.
    entries_file: str
    #: Kinds of requests, among which each arrival chooses by weight.
    kinds: tuple[RequestKind, ...]
    #: Phases in the order in which they run.
    phases: tuple[Phase, ...]
    #: Seed of the arrival times and of all random choices.
    seed: int
    #: Monotonic time at which the first phase starts, in seconds.
    start_s: float
    #: Timeouts and retries of each logical request.
    patience: RetryLimits = RetryLimits()
    #: Number of worker threads, and so the maximum of logical requests in progress;
    #: further arrivals wait for a free worker.
    n_workers: int = 500
    #: Prefix of the nonces that this process gives its logical requests; unique among
    #: the caller processes of a run.
    name: str = "c"


@dataclass(frozen=True, slots=True)
class CallerResult:
    """Result that a caller process writes to its result file."""

    #: Records of all sends of the process.
    records: tuple[SendRecord, ...]
    #: Number of logical requests that arrived.
    n_arrivals: int
    #: Number of arrivals that started late because no worker was free.
    n_late: int
