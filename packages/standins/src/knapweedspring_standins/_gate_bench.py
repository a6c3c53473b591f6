"""Bench of admission: compares variants of the gate, alone or in a chain.

Run it as ``python -m knapweedspring_standins._gate_bench``. It repeats each scenario
with several seeds and prints the median and range of the figures.
"""

import argparse
import math
import random
import statistics
import sys
import threading
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from enum import Enum, auto

from knapweedspring_core import Counters, EventLog
from knapweedspring_node._calls._admission import Gate, GatePolicy
from knapweedspring_node._calls._levels import LevelTable
from knapweedspring_node._calls._limit import (
    AdaptiveLimit,
    ConcurrencyLimit,
    FixedLimit,
)
from knapweedspring_node._calls._rank import DRAW_BITS
from knapweedspring_standins._gate_load import (
    AttemptRecord,
    ClassLoad,
    FakeUpstream,
    GateLoadRun,
    SlowDown,
)

__all__ = ["main"]

WARM_UP_S = 1.0
#: Length in seconds of the windows that are searched for failures to find the recovery.
RECOVERY_WINDOW_S = 0.25
TOP_PRIORITY = 3
#: Weights of a new service time in the moving averages of the gradient limit.
GRADIENT_LONG_STEP = 0.002
GRADIENT_SHORT_STEP = 0.1
#: Share of the distance to its target that the gradient limit moves for each call.
GRADIENT_SMOOTHING = 0.2


class Draws(Enum):
    """How the draw, the last part of a rank, which decides ties, is chosen."""

    #: Derived from the request id, the same at each hop.
    SAME = auto()
    #: Derived from the request id and the hop, independent at each hop.
    RANDOM = auto()
    #: The same for all requests: within a class, calls run in order of arrival.
    NONE = auto()


class _NonDisplacingGate(Gate):
    """Gate that does not displace queued calls that would finish too late."""

    def _displace_late_calls(self, now: float) -> None:
        return


@dataclass(frozen=True, slots=True)
class Variant:
    """One way to build the gates of a run."""

    #: Parameters of the admission policy.
    policy: GatePolicy = GatePolicy()
    #: Creates the concurrency limit of a gate from its number of slots.
    limit: Callable[[int], ConcurrencyLimit] = FixedLimit
    #: Whether the gates run in passthrough mode: order of arrival, fixed limit, no
    #: time bound.
    passthrough: bool = False
    #: How the draw in the rank of each request is chosen.
    draws: Draws = Draws.SAME
    #: Class of the gates.
    gate_type: type[Gate] = Gate
    #: Whether the entry node refuses requests that a gate later in the chain would
    #: refuse.
    early_refusal: bool = False


@dataclass(frozen=True, slots=True)
class Scenario:
    """Load and upstreams that a variant is run against."""

    #: Slots of each gate in call order.
    slots: tuple[int, ...]
    #: Median service time at each hop, in seconds.
    service_s: tuple[float, ...]
    #: Rates and properties of the requests.
    classes: tuple[ClassLoad, ...]
    #: Length of the run in seconds.
    duration_s: float = 6.0
    #: Number of calls that an upstream runs at once without slowing them down; None
    #: for the number of slots.
    capacity: int | None = None
    #: Exponent by which calls beyond the capacity slow each other; see
    #: :class:`FakeUpstream`.
    contention: float = 0.0
    #: Slow-down of the last upstream in the chain; None for no slow-down.
    slow_down: SlowDown | None = None
    #: Maximum number of attempts beyond the first that a client makes at a request.
    n_client_retries: int = 0


@dataclass(frozen=True, slots=True)
class Figures:
    """Figures of one run."""

    #: Successful attempts per second.
    goodput_per_s: float
    #: Share of the requests of each class that succeeded; the most important class is
    #: first.
    success_shares: tuple[float, ...]
    #: Number of executions at upstreams per second that belong to failed attempts.
    wasted_per_s: float
    #: 99th percentile of the time from send to end of a failed attempt, in ms.
    failure_p99_ms: float
    #: 99th percentile of the latency of successful top-class attempts, in ms.
    top_p99_ms: float
    #: Seconds from the end of the slow-down to the end of the last window in which
    #: fewer than 95% of the first attempts succeeded; 0 without such a window or
    #: without a slow-down.
    recovery_s: float


def _class_mix(rate: float, deadline_s: float = 1.0) -> tuple[ClassLoad, ...]:
    """Return classes that share a total rate, a quarter of it in the top class."""
    return (
        ClassLoad("order", 3, rate * 0.25, deadline_s),
        ClassLoad("lookup", 2, rate * 0.40, deadline_s),
        ClassLoad("bundle", 1, rate * 0.35, deadline_s),
    )


def _long_bundles() -> tuple[ClassLoad, ...]:
    """Return classes in which ``bundle``, at 20 times the work, takes most slots."""
    return (
        ClassLoad("order", 3, 140, 0.25),
        ClassLoad("lookup", 2, 230, 0.5),
        ClassLoad("bundle", 1, 40, 4.0, work=20.0),
    )


class GradientLimit(ConcurrencyLimit):
    """Concurrency limit that follows the ratio of long- to short-term service time.

    :param slots: number of declared slots, the upper bound of the limit.
    """

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._value = float(slots)
        self._long_term_s = 0.0
        self._short_term_s = 0.0

    @property
    def value(self) -> int:
        """Number of calls that may run at the same time."""
        return int(self._value)

    def resize(self, slots: int) -> None:
        """Apply a changed number of declared slots."""
        self._slots = slots

    def record(
        self,
        class_name: str,
        own_s: float,
        service_s: float,
        succeeded: bool,
        now: float,
    ) -> None:
        """Update the averages with a finished call, and move the limit."""
        if not succeeded:
            return
        if self._long_term_s == 0.0:
            self._long_term_s = self._short_term_s = service_s
        self._long_term_s += GRADIENT_LONG_STEP * (service_s - self._long_term_s)
        self._short_term_s += GRADIENT_SHORT_STEP * (service_s - self._short_term_s)
        if self._long_term_s > 2.0 * self._short_term_s:
            self._long_term_s *= 0.95
        gradient = 1.5 * self._long_term_s / self._short_term_s
        gradient = max(0.5, min(1.0, gradient))
        target = self._value * gradient + math.sqrt(self._value)
        self._value += GRADIENT_SMOOTHING * (target - self._value)
        self._value = max(1.0, min(float(self._slots), self._value))


SCENARIOS = {
    # 30 slots at 50 ms complete about 570 calls a second.
    "surge": Scenario((30,), (0.05,), _class_mix(1_140)),
    "surge-tight": Scenario((30,), (0.05,), _class_mix(1_140, 0.25)),
    "long-bundles": Scenario((30,), (0.05,), _long_bundles(), duration_s=8.0),
    "slow-down": Scenario(
        (30,),
        (0.05,),
        _class_mix(450),
        duration_s=12.0,
        slow_down=SlowDown(2.0, 5.0, 4.0),
        n_client_retries=3,
    ),
    "contention": Scenario(
        (30,), (0.05,), _class_mix(600), capacity=15, contention=1.5
    ),
    "chain": Scenario((80, 50, 20), (0.02, 0.02, 0.05), _class_mix(800)),
    "chain-even": Scenario((40, 30, 20), (0.02, 0.02, 0.05), _class_mix(1_000, 0.5)),
}

VARIANTS = {
    "passthrough": Variant(passthrough=True),
    "current": Variant(limit=AdaptiveLimit, early_refusal=True),
    "base": Variant(GatePolicy(wait_share_below_level=1.0, headroom_share=0.0)),
    "random-draws": Variant(
        GatePolicy(wait_share_below_level=1.0, headroom_share=0.0), draws=Draws.RANDOM
    ),
    "early": Variant(
        GatePolicy(wait_share_below_level=1.0, headroom_share=0.0), early_refusal=True
    ),
    "early-twentieth": Variant(
        GatePolicy(wait_share_below_level=0.05, headroom_share=0.0), early_refusal=True
    ),
    "early-tenth": Variant(
        GatePolicy(wait_share_below_level=0.1, headroom_share=0.0), early_refusal=True
    ),
    "early-twentieth-random-draws": Variant(
        GatePolicy(wait_share_below_level=0.05, headroom_share=0.0),
        early_refusal=True,
        draws=Draws.RANDOM,
    ),
    "current-random-draws": Variant(
        limit=AdaptiveLimit, early_refusal=True, draws=Draws.RANDOM
    ),
    "current-no-draws": Variant(
        limit=AdaptiveLimit, early_refusal=True, draws=Draws.NONE
    ),
    "no-displacement": Variant(
        limit=AdaptiveLimit, early_refusal=True, gate_type=_NonDisplacingGate
    ),
    "headroom-none": Variant(
        GatePolicy(headroom_share=0.0), AdaptiveLimit, early_refusal=True
    ),
    "headroom-tenth": Variant(
        GatePolicy(headroom_share=0.1), AdaptiveLimit, early_refusal=True
    ),
    "wait-half": Variant(GatePolicy(0.0, wait_share=0.5, wait_share_below_level=1.0)),
    "wait-quarter": Variant(
        GatePolicy(0.0, wait_share=0.25, wait_share_below_level=1.0)
    ),
    "wait-eighth": Variant(
        GatePolicy(0.0, wait_share=0.125, wait_share_below_level=1.0)
    ),
    "adaptive": Variant(
        GatePolicy(wait_share_below_level=1.0, headroom_share=0.0), AdaptiveLimit
    ),
    "gradient": Variant(
        GatePolicy(wait_share_below_level=1.0, headroom_share=0.0), GradientLimit
    ),
    "level-0": Variant(GatePolicy(wait_share_below_level=0.0, headroom_share=0.0)),
    "level-twentieth": Variant(
        GatePolicy(wait_share_below_level=0.05, headroom_share=0.0)
    ),
    "level-tenth": Variant(GatePolicy(wait_share_below_level=0.1, headroom_share=0.0)),
}


def _make_gate(slots: int, variant: Variant, seed: int) -> Gate:
    gate = variant.gate_type(
        slots,
        10_000,
        lambda: TOP_PRIORITY,
        Counters(),
        EventLog("bench"),
        policy=variant.policy,
        limit=variant.limit(slots),
        rng=random.Random(seed),
    )
    gate.set_passthrough(variant.passthrough)
    return gate


def _draw(draws: Draws, request_id: int, hop: int) -> int:
    if draws is Draws.NONE:
        return 0
    hop_salt = hop if draws is Draws.RANDOM else 0
    return random.Random(request_id * 8 + hop_salt).getrandbits(DRAW_BITS)


def run_once(scenario: Scenario, variant: Variant, seed: int) -> Figures:
    """Run a variant against a scenario.

    :param scenario: load and upstreams.
    :param variant: how the gates are built.
    :param seed: seed of arrivals, classes, draws and service times.
    :return: goodput, success shares, latencies and recovery time of the run.
    """
    threading.stack_size(256 * 1024)
    # A short switch interval, so that sleeping threads are not woken late.
    sys.setswitchinterval(0.0005)
    gates = [_make_gate(slots, variant, seed) for slots in scenario.slots]
    upstreams = [
        FakeUpstream(
            service_s,
            scenario.capacity or slots,
            scenario.contention,
            scenario.slow_down if index == len(gates) - 1 else None,
            seed + index,
        )
        for index, (slots, service_s) in enumerate(
            zip(scenario.slots, scenario.service_s, strict=True)
        )
    ]

    level_tables = []
    if variant.early_refusal:
        level_tables = [LevelTable(random.Random(seed)) for _ in range(len(gates) + 1)]
    run = GateLoadRun(
        gates,
        upstreams,
        list(scenario.classes),
        scenario.duration_s,
        seed,
        lambda request_id, hop: _draw(variant.draws, request_id, hop),
        scenario.n_client_retries,
        level_tables,
    )
    return _figures(scenario, run.run())


def _figures(scenario: Scenario, records: list[AttemptRecord]) -> Figures:
    until_s = scenario.duration_s - 1.0
    measured = [record for record in records if WARM_UP_S <= record.sent_s < until_s]
    seconds = until_s - WARM_UP_S
    failures = [record for record in measured if not record.succeeded]
    top_class = scenario.classes[0].name
    top_class_records = [
        r for r in measured if r.succeeded and r.class_name == top_class
    ]
    return Figures(
        goodput_per_s=sum(record.succeeded for record in measured) / seconds,
        success_shares=tuple(
            _success_share(measured, load.name) for load in scenario.classes
        ),
        wasted_per_s=sum(record.n_executions for record in failures) / seconds,
        failure_p99_ms=_p99_ms(failures),
        top_p99_ms=_p99_ms(top_class_records),
        recovery_s=_recovery_s(scenario, records),
    )


def _p99_ms(records: list[AttemptRecord]) -> float:
    durations_s = sorted(record.ended_s - record.sent_s for record in records)
    return durations_s[int(len(durations_s) * 0.99)] * 1_000 if durations_s else 0.0


def _success_share(records: list[AttemptRecord], class_name: str) -> float:
    first_attempts = [
        r for r in records if r.class_name == class_name and r.attempt == 0
    ]
    n_succeeded = sum(
        record.succeeded for record in records if record.class_name == class_name
    )
    return n_succeeded / max(1, len(first_attempts))


def _recovery_s(scenario: Scenario, records: list[AttemptRecord]) -> float:
    """Return the end of the last window in which over 5% of first attempts failed.

    The result is in seconds after the end of the slow-down, and 0 without such a window
    or without a slow-down.
    """
    if scenario.slow_down is None:
        return 0.0
    end_s = scenario.slow_down.end_s
    recovery_time_s = 0.0
    n_recovery_windows = int((scenario.duration_s - 1.0 - end_s) / RECOVERY_WINDOW_S)
    for index in range(n_recovery_windows):
        window_start_s = end_s + index * RECOVERY_WINDOW_S
        successes = [
            record.succeeded
            for record in records
            if record.attempt == 0
            and window_start_s <= record.sent_s < window_start_s + RECOVERY_WINDOW_S
        ]
        if successes and sum(successes) < 0.95 * len(successes):
            recovery_time_s = (index + 1) * RECOVERY_WINDOW_S
    return recovery_time_s


def _median_and_range(values: list[float], digits: int) -> str:
    low, high = min(values), max(values)
    return (
        f"{statistics.median(values):.{digits}f} ({low:.{digits}f}-{high:.{digits}f})"
    )


def _table_row(name: str, runs: list[Figures]) -> str:
    success_shares = "/".join(
        f"{statistics.median(100 * run.success_shares[index] for run in runs):.1f}"
        for index in range(len(runs[0].success_shares))
    )
    cells = [
        name,
        _median_and_range([run.goodput_per_s for run in runs], 0),
        success_shares,
        _median_and_range([run.wasted_per_s for run in runs], 0),
        _median_and_range([run.failure_p99_ms for run in runs], 0),
        _median_and_range([run.top_p99_ms for run in runs], 0),
        _median_and_range([run.recovery_s for run in runs], 2),
    ]
    return "| " + " | ".join(cells) + " |"


def _run_by_name(scenario_name: str, variant_name: str, seed: int) -> Figures:
    return run_once(SCENARIOS[scenario_name], VARIANTS[variant_name], seed)


def main() -> None:
    """Run the chosen variants against the chosen scenarios and print tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--scenarios", default=",".join(SCENARIOS))
    parser.add_argument("--variants", default=",".join(VARIANTS))
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--processes", type=int, default=3)
    arguments = parser.parse_args()
    variants = arguments.variants.split(",")
    with ProcessPoolExecutor(arguments.processes) as pool:
        for scenario in arguments.scenarios.split(","):
            print(f"{scenario}, {arguments.seeds} seeds: median (range)")
            print(
                "| variant | goodput/s | % by class | wasted/s | failure p99 ms "
                "| top p99 ms | recovery s |"
            )
            print("|---|---|---|---|---|---|---|")
            futures = {
                variant: [
                    pool.submit(_run_by_name, scenario, variant, seed)
                    for seed in range(1, arguments.seeds + 1)
                ]
                for variant in variants
            }
            for variant, runs in futures.items():
                print(_table_row(variant, [run.result() for run in runs]), flush=True)


if __name__ == "__main__":
    main()
