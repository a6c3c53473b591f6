"""Metrics of one run: goodput, recovery time, attempts, wasted work and latency."""

from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from knapweedspring_standins._caller_plan import Phase
from knapweedspring_standins._invariants import RunData
from knapweedspring_standins._journal import EntryKind
from knapweedspring_standins._records import Answer, SendRecord

__all__ = [
    "AttemptFigures",
    "LatencyFigures",
    "LogicalRequest",
    "PhaseFigures",
    "Window",
    "attempt_figures",
    "goodput_by_second",
    "latency_figures",
    "logical_requests",
    "phase_figures",
    "phase_windows",
    "recovery_s",
]

LATENCY_MAX_MS = 120_000
#: Lowest success rate at which a run counts as recovered, as a ratio to the success
#: rate of the base window.
RECOVERED_RATIO = 0.95
#: Time in seconds for which the success rate must stay at or above that ratio.
RECOVERED_FOR_S = 3
#: Seconds at the start of each phase in which answers do not count for its goodput.
SETTLE_S = 3.0
US_PER_S = 1_000_000


@dataclass(frozen=True, slots=True)
class LogicalRequest:
    """Outcome of a logical request over all its sends."""

    #: Identifier of the logical request.
    nonce: str
    #: Kind of the request, as named in the plan.
    kind: str
    #: Chains of the request's sends; see :attr:`SendRecord.chain`.
    chains: tuple[str, ...]
    #: Time at which the request was due, in seconds on the monotonic clock.
    arrival_s: float
    #: End of the request's last send, in seconds on the monotonic clock.
    end_s: float
    #: Whether at least one send got a complete answer.
    succeeded: bool
    #: Number of times that the request was sent.
    n_sends: int


@dataclass(frozen=True, slots=True)
class Window:
    """Time interval of a named phase."""

    #: Name of the phase.
    name: str
    #: Start, in seconds on the monotonic clock.
    start_s: float
    #: End, in seconds on the monotonic clock.
    end_s: float


@dataclass(frozen=True, slots=True)
class PhaseFigures:
    """Metrics of one kind of request in one phase."""

    #: Name of the phase.
    phase: str
    #: Kind of request, as named in the plan; ``all`` for all kinds together.
    kind: str
    #: Number of logical requests that arrived in the phase.
    n_arrivals: int
    #: Number of these requests that got a complete answer, in this phase or later.
    n_succeeded: int
    #: Logical requests per second that ended with a complete answer in the phase,
    #: without the phase's first three seconds.
    goodput: float

    @property
    def success_ratio(self) -> float:
        """Share of the arrivals that got a complete answer; 0 without arrivals."""
        return self.n_succeeded / self.n_arrivals if self.n_arrivals else 0.0


@dataclass(frozen=True, slots=True)
class LatencyFigures:
    """Latency of successful requests of one kind, from arrival to the last byte."""

    #: Kind of request.
    kind: str
    #: Number of requests with a complete answer.
    n: int
    #: Median, in ms.
    p50_ms: float
    #: 90th percentile, in ms.
    p90_ms: float
    #: 99th percentile, in ms.
    p99_ms: float
    #: Maximum, in ms.
    max_ms: float


@dataclass(frozen=True, slots=True)
class AttemptFigures:
    """Number of attempts at the upstreams, and the work spent on them."""

    #: Number of attempts that upstreams received, including child calls.
    n_attempts: int
    #: Mean number of attempts per logical request, including child calls, over the
    #: logical requests that reached an upstream.
    attempts_per_request: float
    #: Time for which attempts occupied slots, in seconds.
    work_s: float
    #: Share of ``work_s`` that was spent on logical requests that failed.
    part_wasted: float
    #: Mean number of sends of a logical request.
    sends_per_request: float


def logical_requests(records: tuple[SendRecord, ...]) -> list[LogicalRequest]:
    """Return the logical requests, each with the combined result of its sends.

    :param records: records of the sends of all callers.
    """
    by_nonce: dict[str, list[SendRecord]] = defaultdict(list)
    for record in records:
        by_nonce[record.nonce].append(record)
    return [_combine_sends(nonce, sends) for nonce, sends in by_nonce.items()]


def _combine_sends(nonce: str, sends: list[SendRecord]) -> LogicalRequest:
    return LogicalRequest(
        nonce=nonce,
        kind=sends[0].kind,
        chains=tuple({record.chain for record in sends}),
        arrival_s=sends[0].arrival_s,
        end_s=max(record.end_s for record in sends),
        succeeded=any(record.answer is Answer.WHOLE for record in sends),
        n_sends=len(sends),
    )


def phase_windows(phases: tuple[Phase, ...], start_s: float) -> list[Window]:
    """Return the time intervals of consecutive phases.

    :param phases: phases in the order in which they run.
    :param start_s: start of the first phase, in seconds on the monotonic clock.
    """
    windows = []
    for phase in phases:
        windows.append(Window(phase.name, start_s, start_s + phase.seconds))
        start_s += phase.seconds
    return windows


def phase_figures(
    requests: list[LogicalRequest], windows: list[Window]
) -> list[PhaseFigures]:
    """Return arrivals, successes and goodput of each kind in each phase.

    :param requests: all logical requests.
    :param windows: time intervals of the phases.
    """
    kinds = sorted({request.kind for request in requests})
    return [
        _phase_figures_of(requests, window, kind)
        for window in windows
        for kind in ["all", *kinds]
    ]


def _phase_figures_of(
    requests: list[LogicalRequest], window: Window, kind: str
) -> PhaseFigures:
    of_kind = [r for r in requests if kind in ("all", r.kind)]
    arrived = [r for r in of_kind if window.start_s <= r.arrival_s < window.end_s]
    settled_at_s = min(window.start_s + SETTLE_S, window.end_s)
    n_completed = sum(
        r.succeeded and settled_at_s <= r.end_s < window.end_s for r in of_kind
    )
    seconds = window.end_s - settled_at_s
    return PhaseFigures(
        phase=window.name,
        kind=kind,
        n_arrivals=len(arrived),
        n_succeeded=sum(r.succeeded for r in arrived),
        goodput=n_completed / seconds if seconds > 0 else 0.0,
    )


def goodput_by_second(
    requests: list[LogicalRequest], start_s: float, n_seconds: int
) -> list[int]:
    """Return the number of requests that succeeded in each second.

    :param requests: all logical requests.
    :param start_s: start of the first second, in seconds on the monotonic clock.
    :param n_seconds: number of seconds to count, from the first.
    """
    counts = [0] * n_seconds
    for request in requests:
        second = int(request.end_s - start_s)
        if request.succeeded and 0 <= second < n_seconds:
            counts[second] += 1
    return counts


def recovery_s(
    requests: list[LogicalRequest], base: Window, cause_end_s: float, end_s: float
) -> float | None:
    """Return the time from the end of a surge or fault until the run has recovered.

    Arrivals are grouped into bins of one second. The run has recovered at the first
    of three consecutive bins whose success rates are each at least 95% of the success
    rate in the base window. Success rates are compared instead of counts, because
    counts of random arrivals vary by themselves.

    :param requests: all logical requests.
    :param base: window before the surge or fault.
    :param cause_end_s: end of the surge or fault, in seconds on the monotonic clock.
    :param end_s: end of the run, in seconds on the monotonic clock.
    :return: time until the start of that bin, in seconds; None if the run ended
        before it recovered.
    """
    threshold = RECOVERED_RATIO * _success_ratio(requests, base.start_s, base.end_s)
    n_bins = int(end_s - cause_end_s)
    recovered = [
        _success_ratio(requests, cause_end_s + i, cause_end_s + i + 1) >= threshold
        for i in range(n_bins)
    ]
    for i in range(n_bins - RECOVERED_FOR_S + 1):
        if all(recovered[i : i + RECOVERED_FOR_S]):
            return float(i)
    return None


def _success_ratio(
    requests: list[LogicalRequest], start_s: float, end_s: float
) -> float:
    arrived = [r for r in requests if start_s <= r.arrival_s < end_s]
    if not arrived:
        return 1.0
    return sum(r.succeeded for r in arrived) / len(arrived)


def latency_figures(requests: list[LogicalRequest]) -> list[LatencyFigures]:
    """Return the latency percentiles of successful requests by kind.

    :param requests: all logical requests.
    """
    kinds = sorted({request.kind for request in requests})
    return [_latency_figures_of(kind, requests) for kind in kinds]


def _latency_figures_of(kind: str, requests: list[LogicalRequest]) -> LatencyFigures:
    histogram = HdrHistogram(1, LATENCY_MAX_MS * 1_000, 3)
    for request in requests:
        if request.kind == kind and request.succeeded:
            latency_us = (request.end_s - request.arrival_s) * US_PER_S
            histogram.record_value(max(1, int(latency_us)))
    return LatencyFigures(
        kind=kind,
        n=histogram.get_total_count(),
        p50_ms=histogram.get_value_at_percentile(50) / 1_000,
        p90_ms=histogram.get_value_at_percentile(90) / 1_000,
        p99_ms=histogram.get_value_at_percentile(99) / 1_000,
        max_ms=histogram.get_max_value() / 1_000,
    )


def attempt_figures(
    run_data: RunData, requests: list[LogicalRequest]
) -> AttemptFigures:
    """Compute the attempts and the wasted work from the journals of the upstreams.

    :param run_data: journals of the run.
    :param requests: all logical requests.
    """
    succeeded = _success_by_nonce(requests)
    n_attempts = 0
    reached: set[str] = set()
    work_s = 0.0
    wasted_s = 0.0
    for page in run_data.journals:
        for entry in page.entries:
            # The nonce of a child call is its parent's nonce, a slash and an index.
            root = entry.nonce.partition("/")[0]
            if root not in succeeded:
                continue
            if entry.kind is EntryKind.RECEIVED:
                n_attempts += 1
                reached.add(root)
            elif entry.kind in (EntryKind.FINISHED, EntryKind.ABANDONED):
                work_s += entry.work_s
                wasted_s += 0.0 if succeeded[root] else entry.work_s
    n_sends = sum(request.n_sends for request in requests)
    return AttemptFigures(
        n_attempts=n_attempts,
        attempts_per_request=n_attempts / len(reached) if reached else 0.0,
        work_s=work_s,
        part_wasted=wasted_s / work_s if work_s else 0.0,
        sends_per_request=n_sends / len(requests) if requests else 0.0,
    )


def _success_by_nonce(requests: list[LogicalRequest]) -> Mapping[str, bool]:
    return {request.nonce: request.succeeded for request in requests}
