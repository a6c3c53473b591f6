"""Bench of routing: real pickers and real gates in several data centres.

Run it as ``python -m knapweedspring_standins._routing_bench``.
"""

import argparse
import queue
import random
import statistics
import sys
import threading
import time
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field

from knapweedspring_core import (
    AnnouncedUpstream,
    Counters,
    EventLog,
    FixedView,
    Member,
)
from knapweedspring_node._calls._admission import Ask, Gate, Rank
from knapweedspring_node._calls._budget import RetryBudget, RetryRatio, backoff_s
from knapweedspring_node._calls._routing import (
    FailureKind,
    RoutingPolicy,
    UpstreamPicker,
)
from knapweedspring_standins._gate_load import ClassLoad, FakeUpstream

__all__ = ["main"]

SERVICE = "catalogue"
SLOTS = 15
SERVICE_S = 0.05
N_THREADS = 600
DEADLINE_S = 0.5
RETRY_TOKENS = 2
BETWEEN_DATA_CENTRES_S = 0.001
WARM_UP_S = 1.0
TOP_PRIORITY = 3
NO_ADDRESS = "127.0.0.1:0"


@dataclass(frozen=True, slots=True)
class Place:
    """Scenario: the load of each data centre and what is wrong at a node."""

    #: Requests a second that enter by each data centre.
    rates: tuple[float, ...]
    #: Nodes of each data centre.
    n_nodes: int = 2
    #: How calls fail at the first node between 2 s and 4 s; None for not.
    fault: FailureKind | None = None
    #: Length of the run in seconds.
    duration_s: float = 6.0


@dataclass(frozen=True, slots=True)
class Variant:
    """One way to route and to retry."""

    #: Proportions of the routing rules.
    policy: RoutingPolicy = RoutingPolicy()
    #: Whether the node's retry ratio is in force.
    ratio: bool = True
    #: Whether the top class may overdraw it.
    top_overdraws: bool = True
    #: Whether retries pause.
    backoff: bool = True
    #: Whether the outcomes of calls are told to the picker.
    observes_failures: bool = True


SCENARIOS = {
    # Each data centre completes about 570 calls a second.
    "one-sided": Place((900.0, 150.0)),
    "both-full": Place((900.0, 900.0)),
    "refusing": Place((400.0, 400.0), fault=FailureKind.CONNECT),
    "failing-fast": Place((400.0, 400.0), fault=FailureKind.ERROR),
}

VARIANTS = {
    "current": Variant(),
    "no-spill": Variant(RoutingPolicy(spills=False)),
    "spill-all": Variant(RoutingPolicy(spill_reserve_share=0.0)),
    "even-ratio": Variant(top_overdraws=False),
    "no-ratio": Variant(ratio=False),
    "no-backoff": Variant(backoff=False),
    "blind": Variant(observes_failures=False),
}


@dataclass(frozen=True, slots=True)
class Figures:
    """What a run measured."""

    #: Successful requests a second.
    goodput: float
    #: Share of the requests of each class that succeeded, most important first.
    shares: tuple[float, ...]
    #: Attempts for each request.
    attempts: float


@dataclass(slots=True)
class _Request:
    load: ClassLoad
    entry: int
    draw: int


@dataclass
class _Run:
    place: Place
    variant: Variant
    seed: int
    records: list[tuple[str, float, bool, int]] = field(default_factory=list)

    def __post_init__(self) -> None:
        members = tuple(
            Member(
                f"dc{dc}-n{index}",
                1,
                f"dc{dc}",
                NO_ADDRESS,
                NO_ADDRESS,
                NO_ADDRESS,
                upstreams=(AnnouncedUpstream(SERVICE, NO_ADDRESS, SLOTS, 1_000),),
            )
            for dc in range(len(self.place.rates))
            for index in range(self.place.n_nodes)
        )
        self.data_centre_of = {m.node_id: m.data_centre for m in members}
        self.faulty = members[0].node_id
        self.gates = {m.node_id: self._gate() for m in members}
        self.upstreams = {
            member.node_id: FakeUpstream(SERVICE_S, SLOTS, seed=self.seed + index)
            for index, member in enumerate(members)
        }
        self.pickers = [
            UpstreamPicker(
                FixedView(members),
                f"entry-{dc}",
                f"dc{dc}",
                random.Random(self.seed + dc),
                policy=self.variant.policy,
            )
            for dc in range(len(self.place.rates))
        ]
        self.ratios = [RetryRatio() for _ in self.place.rates]
        self.rng = random.Random(self.seed)

    def _gate(self) -> Gate:
        counters, events = Counters(), EventLog("bench")
        return Gate(SLOTS, 1_000, lambda: TOP_PRIORITY, counters, events)

    def run(self) -> Figures:
        """Send the load and sum up."""
        threading.stack_size(256 * 1024)
        sys.setswitchinterval(0.0005)
        requests: queue.SimpleQueue[_Request | None] = queue.SimpleQueue()
        threads = [
            threading.Thread(target=self._serve, args=(requests,), daemon=True)
            for _ in range(N_THREADS)
        ]
        for thread in threads:
            thread.start()
        self.started_at = time.monotonic()
        self._send(requests)
        for _ in threads:
            requests.put(None)
        for thread in threads:
            thread.join()
        return self._figures()

    def _send(self, requests: "queue.SimpleQueue[_Request | None]") -> None:
        rng = random.Random(self.seed)
        entries = range(len(self.place.rates))
        classes = [
            ClassLoad("order", 3, 0.25),
            ClassLoad("lookup", 2, 0.40),
            ClassLoad("bundle", 1, 0.35),
        ]
        due_s = 0.0
        while due_s < self.place.duration_s:
            due_s += rng.expovariate(sum(self.place.rates))
            time.sleep(max(0.0, self.started_at + due_s - time.monotonic()))
            load = rng.choices(classes, [load.rate for load in classes])[0]
            entry = rng.choices(entries, self.place.rates)[0]
            requests.put(_Request(load, entry, rng.getrandbits(32)))

    def _serve(self, requests: "queue.SimpleQueue[_Request | None]") -> None:
        while (request := requests.get()) is not None:
            sent_s = time.monotonic() - self.started_at
            succeeded, n_attempts = self._request(request)
            record = (request.load.name, sent_s, succeeded, n_attempts)
            self.records.append(record)

    def _request(self, request: _Request) -> tuple[bool, int]:
        deadline_at = time.monotonic() + DEADLINE_S
        budget = RetryBudget(RETRY_TOKENS)
        ratio = self.ratios[request.entry]
        ratio.count_call()
        excluded: frozenset[str] = frozenset()
        n_attempts = 0
        while (left_s := deadline_at - time.monotonic()) > 0:
            rank = Rank(request.load.priority, False, request.draw)
            picker = self.pickers[request.entry]
            member = picker.pick(SERVICE, rank, excluded, left_s)
            if member is None:
                return False, n_attempts
            n_attempts += 1
            if self._attempt(request, rank, member, deadline_at):
                return True, n_attempts
            is_top = self.variant.top_overdraws and rank.priority == TOP_PRIORITY
            if self.variant.ratio and not ratio.take(is_top):
                return False, n_attempts
            if not budget.take():
                return False, n_attempts
            excluded |= {member.node_id}
            if self.variant.backoff:
                time.sleep(backoff_s(n_attempts, self.rng))
        return False, n_attempts

    def _attempt(
        self, request: _Request, rank: Rank, member: Member, deadline_at: float
    ) -> bool:
        node_id = member.node_id
        picker = self.pickers[request.entry]
        if member.data_centre != f"dc{request.entry}":
            time.sleep(BETWEEN_DATA_CENTRES_S)
        fault = self._fault_at(node_id)
        if fault is FailureKind.CONNECT:
            self._tell(picker, node_id, fault)
            return False
        gate = self.gates[node_id]
        admitted = gate.admit(Ask(rank, request.load.name, deadline_at))
        if admitted.is_err():
            picker.observe(node_id, gate.load())
            return False
        admission = admitted.unwrap()
        began_at = time.monotonic()
        succeeded = fault is None and self.upstreams[node_id].work(deadline_at)
        latency_s = time.monotonic() - began_at
        admission.finish(latency_s, succeeded)
        picker.observe(node_id, gate.load())
        if succeeded:
            picker.succeeded(node_id, latency_s)
        else:
            self._tell(picker, node_id, fault or FailureKind.TIMEOUT)
        return succeeded

    def _tell(self, picker: UpstreamPicker, node_id: str, kind: FailureKind) -> None:
        if self.variant.observes_failures:
            picker.failed(node_id, kind)

    def _fault_at(self, node_id: str) -> FailureKind | None:
        now_s = time.monotonic() - self.started_at
        return self.place.fault if node_id == self.faulty and 2 <= now_s < 4 else None

    def _figures(self) -> Figures:
        seen = [r for r in self.records if WARM_UP_S <= r[1] < self.place.duration_s]
        shares = []
        for name in ("order", "lookup", "bundle"):
            outcomes = [r[2] for r in seen if r[0] == name]
            shares.append(sum(outcomes) / max(1, len(outcomes)))
        return Figures(
            goodput=sum(r[2] for r in seen) / (self.place.duration_s - WARM_UP_S),
            shares=tuple(shares),
            attempts=sum(r[3] for r in seen) / max(1, len(seen)),
        )


def run_once(place: Place, variant: Variant, seed: int) -> Figures:
    """Run a variant against a scenario."""
    return _Run(place, variant, seed).run()


def _run_named(scenario: str, variant: str, seed: int) -> Figures:
    return run_once(SCENARIOS[scenario], VARIANTS[variant], seed)


def _line(name: str, runs: list[Figures]) -> str:
    goodputs = [run.goodput for run in runs]
    shares = "/".join(
        f"{statistics.median(100 * run.shares[index] for run in runs):.1f}"
        for index in range(3)
    )
    attempts = statistics.median(run.attempts for run in runs)
    spread = f"({min(goodputs):.0f}-{max(goodputs):.0f})"
    goodput = f"{statistics.median(goodputs):.0f} {spread}"
    return f"| {name} | {goodput} | {shares} | {attempts:.2f} |"


def main() -> None:
    """Run the chosen variants against the chosen scenarios and print tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--scenarios", default=",".join(SCENARIOS))
    parser.add_argument("--variants", default=",".join(VARIANTS))
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--processes", type=int, default=3)
    arguments = parser.parse_args()
    seeds = range(1, arguments.seeds + 1)
    with ProcessPoolExecutor(arguments.processes) as pool:
        for scenario in arguments.scenarios.split(","):
            print(f"{scenario}, {arguments.seeds} seeds: median (range)")
            print("| variant | goodput/s | % by class | attempts |")
            print("|---|---|---|---|")
            for variant in arguments.variants.split(","):
                runs = pool.map(
                    _run_named, [scenario] * len(seeds), [variant] * len(seeds), seeds
                )
                print(_line(variant, list(runs)), flush=True)


if __name__ == "__main__":
    main()
