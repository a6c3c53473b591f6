"""Figures of one run: goodput, recovery, attempts, wasted work, latency."""

from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from knapweedspring_standins._caller_plan import Phase
from knapweedspring_standins._invariants import Evidence
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
    "recovery_s",
    "windows_of",
]

LATENCY_MAX_MS = 120_000
RECOVERED_PART = 0.95
RECOVERED_FOR_S = 3
SETTLE_S = 3.0
US_PER_S = 1_000_000


@dataclass(frozen=True, slots=True)
class LogicalRequest:
    """A logical request and its end, over all its sends."""

    #: Name.
    nonce: str
    #: Kind.
    kind: str
    #: Chains of its sends.
    chains: tuple[str, ...]
    #: Monotonic seconds of its arrival.
    arrival_s: float
    #: Monotonic seconds of its end.
    end_s: float
    #: Whether a whole answer came.
    succeeded: bool
    #: Number of sends.
    n_sends: int


@dataclass(frozen=True, slots=True)
class Window:
    """A named stretch of a run."""

    #: Name of the phase.
    name: str
    #: Monotonic seconds of its beginning.
    start_s: float
    #: Monotonic seconds of its end.
    end_s: float


@dataclass(frozen=True, slots=True)
class PhaseFigures:
    """One kind of request in one phase, by arrival."""

    #: Phase.
    phase: str
    #: Kind of request; ``all`` for the sum.
    kind: str
    #: Arrivals.
    n_arrivals: int
    #: Arrivals that got a whole answer.
    n_succeeded: int
    #: Whole answers a second of the phase without its first three seconds.
    goodput: float

    @property
    def part_succeeded(self) -> float:
        """Part of the arrivals that got a whole answer."""
        return self.n_succeeded / self.n_arrivals if self.n_arrivals else 0.0


@dataclass(frozen=True, slots=True)
class LatencyFigures:
    """Latency of whole requests, from arrival to the last byte, in ms."""

    #: Kind of request.
    kind: str
    #: Requests with a whole answer.
    n: int
    #: Median.
    p50_ms: float
    #: 90th percentile.
    p90_ms: float
    #: 99th percentile.
    p99_ms: float
    #: Largest.
    max_ms: float


@dataclass(frozen=True, slots=True)
class AttemptFigures:
    """Work at the upstreams."""

    #: Attempts received at upstreams, a whole request with its children.
    n_attempts: int
    #: Attempts received for each logical request that reached an upstream.
    attempts_per_request: float
    #: Seconds of slots used.
    work_s: float
    #: Part of them spent on logical requests that failed in the end.
    part_wasted: float
    #: Sends for each logical request.
    sends_per_request: float


def logical_requests(records: tuple[SendRecord, ...]) -> list[LogicalRequest]:
    """Join the sends of each logical request."""
    by_nonce: dict[str, list[SendRecord]] = defaultdict(list)
    for record in records:
        by_nonce[record.nonce].append(record)
    return [_joined(nonce, sends) for nonce, sends in by_nonce.items()]


def _joined(nonce: str, sends: list[SendRecord]) -> LogicalRequest:
    return LogicalRequest(
        nonce=nonce,
        kind=sends[0].kind,
        chains=tuple({record.chain for record in sends}),
        arrival_s=sends[0].arrival_s,
        end_s=max(record.end_s for record in sends),
        succeeded=any(record.answer is Answer.WHOLE for record in sends),
        n_sends=len(sends),
    )


def windows_of(phases: tuple[Phase, ...], start_s: float) -> list[Window]:
    """Place phases on the clock."""
    windows = []
    for phase in phases:
        windows.append(Window(phase.name, start_s, start_s + phase.seconds))
        start_s += phase.seconds
    return windows


def phase_figures(
    requests: list[LogicalRequest], windows: list[Window]
) -> list[PhaseFigures]:
    """Arrivals, successes and goodput of each kind in each phase."""
    kinds = sorted({request.kind for request in requests})
    return [
        _figures_of(requests, window, kind)
        for window in windows
        for kind in ["all", *kinds]
    ]


def _figures_of(
    requests: list[LogicalRequest], window: Window, kind: str
) -> PhaseFigures:
    chosen = [r for r in requests if kind in ("all", r.kind)]
    arrived = [r for r in chosen if window.start_s <= r.arrival_s < window.end_s]
    settled_s = min(window.start_s + SETTLE_S, window.end_s)
    n_completed = sum(
        r.succeeded and settled_s <= r.end_s < window.end_s for r in chosen
    )
    seconds = window.end_s - settled_s
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
    """Whole requests completed in each second."""
    counts = [0] * n_seconds
    for request in requests:
        second = int(request.end_s - start_s)
        if request.succeeded and 0 <= second < n_seconds:
            counts[second] += 1
    return counts


def recovery_s(
    requests: list[LogicalRequest], base: Window, cause_end_s: float, end_s: float
) -> float | None:
    """Seconds from the cause's end until requests succeed as before.

    Arrivals are put into bins of one second. Recovered is the first bin from
    which on, for three bins, at least 95% of the base window's success rate
    is reached. Success rates are compared instead of counts, since counts of
    random arrivals vary by themselves.

    :param requests: all logical requests.
    :param base: undisturbed window.
    :param cause_end_s: monotonic seconds.
    :param end_s: end of the run.
    :return: seconds, or None when the run ended before.
    """
    wanted = RECOVERED_PART * _part_succeeded(requests, base.start_s, base.end_s)
    n_bins = int(end_s - cause_end_s)
    good = [
        _part_succeeded(requests, cause_end_s + i, cause_end_s + i + 1) >= wanted
        for i in range(n_bins)
    ]
    for i in range(n_bins - RECOVERED_FOR_S + 1):
        if all(good[i : i + RECOVERED_FOR_S]):
            return float(i)
    return None


def _part_succeeded(
    requests: list[LogicalRequest], start_s: float, end_s: float
) -> float:
    arrived = [r for r in requests if start_s <= r.arrival_s < end_s]
    if not arrived:
        return 1.0
    return sum(r.succeeded for r in arrived) / len(arrived)


def latency_figures(requests: list[LogicalRequest]) -> list[LatencyFigures]:
    """Latency quantiles of whole requests by kind."""
    kinds = sorted({request.kind for request in requests})
    return [_latency_of(kind, requests) for kind in kinds]


def _latency_of(kind: str, requests: list[LogicalRequest]) -> LatencyFigures:
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
    evidence: Evidence, requests: list[LogicalRequest]
) -> AttemptFigures:
    """Attempts and wasted work, from the journals."""
    succeeded = _success_by_nonce(requests)
    n_attempts = 0
    reached: set[str] = set()
    work_s = 0.0
    wasted_s = 0.0
    for page in evidence.journals:
        for entry in page.entries:
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
