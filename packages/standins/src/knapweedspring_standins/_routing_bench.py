"""Bench of routing: real pickers and real gates in several data centres.

Run it as ``python -m knapweedspring_standins._routing_bench``. It repeats each
scenario with several seeds and prints the median and range of the figures.
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
    Member,
    StaticMembershipView,
)
from knapweedspring_node._calls._admission import AdmissionRequest, Gate, Rank
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
#: Delay in seconds that a call to another data centre adds.
DATA_CENTRE_DELAY_S = 0.001
WARM_UP_S = 1.0
TOP_PRIORITY = 3
UNUSED_ADDRESS = "127.0.0.1:0"


@dataclass(frozen=True, slots=True)
class Scenario:
    """Load of each data centre, and the fault of a node."""

    #: Requests a second that enter at each data centre.
    rates: tuple[float, ...]
    #: Number of nodes in each data centre.
    n_nodes: int = 2
    #: How calls to the faulty node fail between 2 s and 4 s after the start of the run;
    #: None for no fault.
    fault: FailureKind | None = None
    #: Length of the run in seconds.
    duration_s: float = 6.0


@dataclass(frozen=True, slots=True)
class Variant:
    """One way to route calls and to retry them."""

    #: Parameters of the routing policy.
    policy: RoutingPolicy = RoutingPolicy()
    #: Whether the entry node limits its retries to a share of its calls, the retry
    #: ratio.
    uses_retry_ratio: bool = True
    #: Whether requests of the top class may exceed the retry ratio.
    top_overdraws: bool = True
    #: Whether a retry is sent only after a backoff.
    backs_off: bool = True
    #: Whether failed attempts are reported to the picker.
    records_failures: bool = True


SCENARIOS = {
    # Each data centre completes about 570 calls a second.
    "one-sided": Scenario((900.0, 150.0)),
    "both-full": Scenario((900.0, 900.0)),
    "refusing": Scenario((400.0, 400.0), fault=FailureKind.CONNECT),
    "failing-fast": Scenario((400.0, 400.0), fault=FailureKind.ERROR),
}

VARIANTS = {
    "current": Variant(),
    "no-spill": Variant(RoutingPolicy(spills=False)),
    "spill-all": Variant(RoutingPolicy(spill_reserve_share=0.0)),
    "even-ratio": Variant(top_overdraws=False),
    "no-ratio": Variant(uses_retry_ratio=False),
    "no-backoff": Variant(backs_off=False),
    "blind": Variant(records_failures=False),
}


@dataclass(frozen=True, slots=True)
class Figures:
    """Figures of one run."""

    #: Successful requests a second.
    goodput_per_s: float
    #: Share of the requests of each class that succeeded; the most important class is
    #: first.
    success_shares: tuple[float, ...]
    #: Mean number of attempts of a request.
    attempts_per_request: float


@dataclass(slots=True)
class _Request:
    load: ClassLoad
    entry: int
    draw: int


@dataclass
class _Run:
    """One run of a variant against a scenario."""

    scenario: Scenario
    variant: Variant
    seed: int
    #: For each request: class, send time in seconds after the start of the run, whether
    #: it succeeded, and number of attempts.
    records: list[tuple[str, float, bool, int]] = field(default_factory=list)

    def __post_init__(self) -> None:
        members = tuple(
            Member(
                f"dc{dc}-n{index}",
                1,
                f"dc{dc}",
                UNUSED_ADDRESS,
                UNUSED_ADDRESS,
                UNUSED_ADDRESS,
                upstreams=(AnnouncedUpstream(SERVICE, UNUSED_ADDRESS, SLOTS, 1_000),),
            )
            for dc in range(len(self.scenario.rates))
            for index in range(self.scenario.n_nodes)
        )
        self.data_centre_of = {m.node_id: m.data_centre for m in members}
        self.faulty_node_id = members[0].node_id
        self.gates = {m.node_id: self._make_gate() for m in members}
        self.upstreams = {
            member.node_id: FakeUpstream(SERVICE_S, SLOTS, seed=self.seed + index)
            for index, member in enumerate(members)
        }
        self.pickers = [
            UpstreamPicker(
                StaticMembershipView(members),
                f"entry-{dc}",
                f"dc{dc}",
                random.Random(self.seed + dc),
                policy=self.variant.policy,
            )
            for dc in range(len(self.scenario.rates))
        ]
        self.retry_ratios = [RetryRatio() for _ in self.scenario.rates]
        self.rng = random.Random(self.seed)

    def _make_gate(self) -> Gate:
        counters, events = Counters(), EventLog("bench")
        return Gate(SLOTS, 1_000, lambda: TOP_PRIORITY, counters, events)

    def run(self) -> Figures:
        """Send the load and compute the figures."""
        threading.stack_size(256 * 1024)
        # A short switch interval, so that sleeping threads are not woken late.
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
        entries = range(len(self.scenario.rates))
        classes = [
            ClassLoad("order", 3, 0.25),
            ClassLoad("lookup", 2, 0.40),
            ClassLoad("bundle", 1, 0.35),
        ]
        due_s = 0.0
        while due_s < self.scenario.duration_s:
            due_s += rng.expovariate(sum(self.scenario.rates))
            time.sleep(max(0.0, self.started_at + due_s - time.monotonic()))
            load = rng.choices(classes, [load.rate for load in classes])[0]
            entry = rng.choices(entries, self.scenario.rates)[0]
            requests.put(_Request(load, entry, rng.getrandbits(32)))

    def _serve(self, requests: "queue.SimpleQueue[_Request | None]") -> None:
        while (request := requests.get()) is not None:
            sent_s = time.monotonic() - self.started_at
            succeeded, n_attempts = self._run_request(request)
            record = (request.load.name, sent_s, succeeded, n_attempts)
            self.records.append(record)

    def _run_request(self, request: _Request) -> tuple[bool, int]:
        deadline_at = time.monotonic() + DEADLINE_S
        budget = RetryBudget(RETRY_TOKENS)
        ratio = self.retry_ratios[request.entry]
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
            may_overdraw = self.variant.top_overdraws and rank.priority == TOP_PRIORITY
            if self.variant.uses_retry_ratio and not ratio.spend_credit(may_overdraw):
                return False, n_attempts
            if not budget.spend_token():
                return False, n_attempts
            excluded |= {member.node_id}
            if self.variant.backs_off:
                time.sleep(backoff_s(n_attempts, self.rng))
        return False, n_attempts

    def _attempt(
        self, request: _Request, rank: Rank, member: Member, deadline_at: float
    ) -> bool:
        node_id = member.node_id
        picker = self.pickers[request.entry]
        if member.data_centre != f"dc{request.entry}":
            time.sleep(DATA_CENTRE_DELAY_S)
        fault = self._active_fault(node_id)
        if fault is FailureKind.CONNECT:
            self._record_failure(picker, node_id, fault)
            return False
        gate = self.gates[node_id]
        admitted = gate.admit(AdmissionRequest(rank, request.load.name, deadline_at))
        if admitted.is_err():
            picker.record_load(node_id, gate.load())
            return False
        admission = admitted.unwrap()
        admitted_at = time.monotonic()
        succeeded = fault is None and self.upstreams[node_id].work(deadline_at)
        latency_s = time.monotonic() - admitted_at
        admission.finish(latency_s, succeeded)
        picker.record_load(node_id, gate.load())
        if succeeded:
            picker.record_success(node_id, latency_s)
        else:
            self._record_failure(picker, node_id, fault or FailureKind.TIMEOUT)
        return succeeded

    def _record_failure(
        self, picker: UpstreamPicker, node_id: str, kind: FailureKind
    ) -> None:
        if self.variant.records_failures:
            picker.record_failure(node_id, kind)

    def _active_fault(self, node_id: str) -> FailureKind | None:
        now_s = time.monotonic() - self.started_at
        return (
            self.scenario.fault
            if node_id == self.faulty_node_id and 2 <= now_s < 4
            else None
        )

    def _figures(self) -> Figures:
        measured = [
            r for r in self.records if WARM_UP_S <= r[1] < self.scenario.duration_s
        ]
        success_shares = []
        for name in ("order", "lookup", "bundle"):
            outcomes = [r[2] for r in measured if r[0] == name]
            success_shares.append(sum(outcomes) / max(1, len(outcomes)))
        return Figures(
            goodput_per_s=sum(r[2] for r in measured)
            / (self.scenario.duration_s - WARM_UP_S),
            success_shares=tuple(success_shares),
            attempts_per_request=sum(r[3] for r in measured) / max(1, len(measured)),
        )


def run_once(scenario: Scenario, variant: Variant, seed: int) -> Figures:
    """Run a variant against a scenario.

    :param scenario: load and fault.
    :param variant: how calls are routed and retried.
    :param seed: seed of arrivals, classes, draws, routing and service times.
    :return: goodput, success shares and attempts per request of the run.
    """
    return _Run(scenario, variant, seed).run()


def _run_by_name(scenario_name: str, variant_name: str, seed: int) -> Figures:
    return run_once(SCENARIOS[scenario_name], VARIANTS[variant_name], seed)


def _table_row(name: str, runs: list[Figures]) -> str:
    goodputs = [run.goodput_per_s for run in runs]
    success_shares = "/".join(
        f"{statistics.median(100 * run.success_shares[index] for run in runs):.1f}"
        for index in range(3)
    )
    attempts = statistics.median(run.attempts_per_request for run in runs)
    range_text = f"({min(goodputs):.0f}-{max(goodputs):.0f})"
    goodput = f"{statistics.median(goodputs):.0f} {range_text}"
    return f"| {name} | {goodput} | {success_shares} | {attempts:.2f} |"


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
                    _run_by_name, [scenario] * len(seeds), [variant] * len(seeds), seeds
                )
                print(_table_row(variant, list(runs)), flush=True)


if __name__ == "__main__":
    main()
