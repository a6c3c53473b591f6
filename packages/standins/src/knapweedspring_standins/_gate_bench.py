"""Bench of the admission policy: variants of one gate or a chain, side by side.

Run it as ``python -m knapweedspring_standins._gate_bench``; each scenario is
repeated with several seeds and printed as median and range.
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
    ClassLoad,
    FakeUpstream,
    GateLoadRun,
    Recorded,
    SlowDown,
)

__all__ = ["main"]

WARM_UP_S = 1.0
WINDOW_S = 0.25
TOP_PRIORITY = 3
GRADIENT_LONG_STEP = 0.002
GRADIENT_SHORT_STEP = 0.1
GRADIENT_SMOOTHING = 0.2


class Draws(Enum):
    """Where the draw of a request comes from."""

    #: The request, the same at every hop.
    SAME = auto()
    #: Chance, anew at every hop.
    RANDOM = auto()
    #: Nowhere: within a class, calls go in order of arrival.
    NONE = auto()


class _GateWithoutDisplacement(Gate):
    """Leaves calls in the queue that better ranks have left without time."""

    def _displace_hopeless(self, now: float) -> None:
        return


@dataclass(frozen=True, slots=True)
class Variant:
    """One way to build the gates of a run."""

    #: Proportions of the admission rules.
    policy: GatePolicy = GatePolicy()
    #: Builds the limit of a gate with this many slots.
    limit: Callable[[int], ConcurrencyLimit] = FixedLimit
    #: Order of arrival, fixed limit, no time bound.
    passthrough: bool = False
    #: Where the draw of a request comes from.
    draws: Draws = Draws.SAME
    #: Class of the gates.
    gate_type: type[Gate] = Gate
    #: Whether the entry refuses what deeper gates refuse at present.
    early_refusal: bool = False


@dataclass(frozen=True, slots=True)
class Scenario:
    """What a variant is run against."""

    #: Slots of each gate, the entry first.
    slots: tuple[int, ...]
    #: Median service time at each hop, in seconds.
    service_s: tuple[float, ...]
    #: Requests that are sent.
    classes: tuple[ClassLoad, ...]
    #: Length of the run in seconds.
    duration_s: float = 6.0
    #: Calls that run at once without slowing each other; None for the slots.
    capacity: int | None = None
    #: See :class:`FakeUpstream`.
    contention: float = 0.0
    #: Slow-down of the deepest upstream.
    slow_down: SlowDown | None = None
    #: Attempts beyond the first of a client.
    client_retries: int = 0


@dataclass(frozen=True, slots=True)
class Figures:
    """What a run measured."""

    #: Successful requests a second.
    goodput: float
    #: Share of the requests of each class that succeeded, most important first.
    shares: tuple[float, ...]
    #: Runs at an upstream for requests that failed, a second.
    wasted: float
    #: 99th percentile of the time until a failed attempt was told, in ms.
    failure_p99_ms: float
    #: 99th percentile of the time that a successful top-class request took, in ms.
    top_p99_ms: float
    #: Seconds from the end of the slow-down until 95% succeed, and go on to.
    recovery_s: float


def _classes(rate: float, deadline_s: float = 1.0) -> tuple[ClassLoad, ...]:
    """Split a rate: a quarter top class, the rest to two lower ones."""
    return (
        ClassLoad("order", 3, rate * 0.25, deadline_s),
        ClassLoad("lookup", 2, rate * 0.40, deadline_s),
        ClassLoad("bundle", 1, rate * 0.35, deadline_s),
    )


def _long_bundles() -> tuple[ClassLoad, ...]:
    """Let bundles, 20 times the work of a lookup, hold most of the slots."""
    return (
        ClassLoad("order", 3, 140, 0.25),
        ClassLoad("lookup", 2, 230, 0.5),
        ClassLoad("bundle", 1, 40, 4.0, work=20.0),
    )


class GradientLimit(ConcurrencyLimit):
    """The limit follows long-term over short-term service time."""

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._value = float(slots)
        self._long_s = 0.0
        self._short_s = 0.0

    @property
    def value(self) -> int:
        """Calls that may run at the same time."""
        return int(self._value)

    def resize(self, slots: int) -> None:
        """Take over a changed number of declared slots."""
        self._slots = slots

    def record(
        self,
        class_name: str,
        own_s: float,
        service_s: float,
        succeeded: bool,
        now: float,
    ) -> None:
        """Move the limit towards the ratio of the service times."""
        if not succeeded:
            return
        if self._long_s == 0.0:
            self._long_s = self._short_s = service_s
        self._long_s += GRADIENT_LONG_STEP * (service_s - self._long_s)
        self._short_s += GRADIENT_SHORT_STEP * (service_s - self._short_s)
        if self._long_s > 2.0 * self._short_s:
            self._long_s *= 0.95
        gradient = 1.5 * self._long_s / self._short_s
        gradient = max(0.5, min(1.0, gradient))
        target = self._value * gradient + math.sqrt(self._value)
        self._value += GRADIENT_SMOOTHING * (target - self._value)
        self._value = max(1.0, min(float(self._slots), self._value))


SCENARIOS = {
    # 30 slots at 50 ms complete about 570 calls a second.
    "surge": Scenario((30,), (0.05,), _classes(1_140)),
    "surge-tight": Scenario((30,), (0.05,), _classes(1_140, 0.25)),
    "long-bundles": Scenario((30,), (0.05,), _long_bundles(), duration_s=8.0),
    "slow-down": Scenario(
        (30,),
        (0.05,),
        _classes(450),
        duration_s=12.0,
        slow_down=SlowDown(2.0, 5.0, 4.0),
        client_retries=3,
    ),
    "contention": Scenario((30,), (0.05,), _classes(600), capacity=15, contention=1.5),
    "chain": Scenario((80, 50, 20), (0.02, 0.02, 0.05), _classes(800)),
    "chain-even": Scenario((40, 30, 20), (0.02, 0.02, 0.05), _classes(1_000, 0.5)),
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
        limit=AdaptiveLimit, early_refusal=True, gate_type=_GateWithoutDisplacement
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
    salt = hop if draws is Draws.RANDOM else 0
    return random.Random(request_id * 8 + salt).getrandbits(DRAW_BITS)


def run_once(scenario: Scenario, variant: Variant, seed: int) -> Figures:
    """Run a variant against a scenario."""
    threading.stack_size(256 * 1024)
    # Short turns, so that wake-ups of sleeping threads are not late.
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

    tables = []
    if variant.early_refusal:
        tables = [LevelTable(random.Random(seed)) for _ in range(len(gates) + 1)]
    run = GateLoadRun(
        gates,
        upstreams,
        list(scenario.classes),
        scenario.duration_s,
        seed,
        lambda request_id, hop: _draw(variant.draws, request_id, hop),
        scenario.client_retries,
        tables,
    )
    return _figures(scenario, run.run())


def _figures(scenario: Scenario, records: list[Recorded]) -> Figures:
    until_s = scenario.duration_s - 1.0
    seen = [record for record in records if WARM_UP_S <= record.sent_s < until_s]
    seconds = until_s - WARM_UP_S
    failures = [record for record in seen if not record.succeeded]
    top_class = scenario.classes[0].name
    top = [r for r in seen if r.succeeded and r.class_name == top_class]
    return Figures(
        goodput=sum(record.succeeded for record in seen) / seconds,
        shares=tuple(_share(seen, load.name) for load in scenario.classes),
        wasted=sum(record.n_run for record in failures) / seconds,
        failure_p99_ms=_p99_ms(failures),
        top_p99_ms=_p99_ms(top),
        recovery_s=_recovery_s(scenario, records),
    )


def _p99_ms(records: list[Recorded]) -> float:
    times_s = sorted(record.ended_s - record.sent_s for record in records)
    return times_s[int(len(times_s) * 0.99)] * 1_000 if times_s else 0.0


def _share(records: list[Recorded], class_name: str) -> float:
    first = [r for r in records if r.class_name == class_name and r.attempt == 0]
    n_succeeded = sum(
        record.succeeded for record in records if record.class_name == class_name
    )
    return n_succeeded / max(1, len(first))


def _recovery_s(scenario: Scenario, records: list[Recorded]) -> float:
    """Find the last window after the slow-down in which first attempts failed."""
    if scenario.slow_down is None:
        return 0.0
    ends_s = scenario.slow_down.ends_s
    recovered_s = 0.0
    n_windows = int((scenario.duration_s - 1.0 - ends_s) / WINDOW_S)
    for index in range(n_windows):
        begin_s = ends_s + index * WINDOW_S
        sent = [
            record.succeeded
            for record in records
            if record.attempt == 0 and begin_s <= record.sent_s < begin_s + WINDOW_S
        ]
        if sent and sum(sent) < 0.95 * len(sent):
            recovered_s = (index + 1) * WINDOW_S
    return recovered_s


def _spread(values: list[float], digits: int) -> str:
    low, high = min(values), max(values)
    return (
        f"{statistics.median(values):.{digits}f} ({low:.{digits}f}-{high:.{digits}f})"
    )


def _line(name: str, runs: list[Figures]) -> str:
    shares = "/".join(
        f"{statistics.median(100 * run.shares[index] for run in runs):.1f}"
        for index in range(len(runs[0].shares))
    )
    cells = [
        name,
        _spread([run.goodput for run in runs], 0),
        shares,
        _spread([run.wasted for run in runs], 0),
        _spread([run.failure_p99_ms for run in runs], 0),
        _spread([run.top_p99_ms for run in runs], 0),
        _spread([run.recovery_s for run in runs], 2),
    ]
    return "| " + " | ".join(cells) + " |"


def _run_named(scenario_name: str, variant_name: str, seed: int) -> Figures:
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
                    pool.submit(_run_named, scenario, variant, seed)
                    for seed in range(1, arguments.seeds + 1)
                ]
                for variant in variants
            }
            for variant, runs in futures.items():
                print(_line(variant, [run.result() for run in runs]), flush=True)


if __name__ == "__main__":
    main()
