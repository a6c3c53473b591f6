"""Open-loop load on real gates in front of simulated upstreams, in real time."""

import queue
import random
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from knapweedspring_node._calls._admission import AdmissionRequest, Gate, Rank
from knapweedspring_node._calls._levels import LevelTable

__all__ = [
    "AttemptRecord",
    "ClassLoad",
    "FakeUpstream",
    "GateLoadRun",
    "SlowDown",
]

#: Sigma of the log-normal service times.
LATENCY_SIGMA = 0.3
N_THREADS = 1_500


@dataclass(frozen=True, slots=True)
class ClassLoad:
    """Rate and properties of the requests of one class."""

    #: Name of the class.
    name: str
    #: Priority of the class.
    priority: int
    #: Requests a second.
    rate: float
    #: Time allowed for a request, in seconds.
    deadline_s: float = 1.0
    #: Factor on the upstream's service time.
    work: float = 1.0


@dataclass(frozen=True, slots=True)
class SlowDown:
    """A period in which an upstream's service times are longer."""

    #: Start of the period, in seconds after the start of the run.
    start_s: float
    #: End of the period, in seconds after the start of the run.
    end_s: float
    #: Factor on the service time.
    factor: float


class FakeUpstream:
    """An upstream that sleeps for a service time instead of working.

    The service time grows with contention and during a slow-down.

    :param service_s: median service time in seconds.
    :param capacity: number of calls that run at once without slowing each other.
    :param contention: exponent of the slowing beyond the capacity; 0 for none,
        above 1 when running more calls completes fewer.
    :param slow_down: a period of longer service times.
    :param seed: seed of the service times.
    """

    def __init__(
        self,
        service_s: float,
        capacity: int,
        contention: float = 0.0,
        slow_down: SlowDown | None = None,
        seed: int = 0,
    ) -> None:
        self._service_s = service_s
        self._capacity = capacity
        self._contention = contention
        self._slow_down = slow_down
        self._rng = random.Random(seed)
        self._started_at = time.monotonic()
        self._n_running = 0
        self._lock = threading.Lock()

    def start(self) -> None:
        """Set the start of the run, from which the slow-down's period is counted."""
        self._started_at = time.monotonic()

    def work(self, deadline_at: float, factor: float = 1.0) -> bool:
        """Run a call; return after its service time or at its deadline.

        :param deadline_at: deadline of the call, in seconds on the monotonic clock.
        :param factor: factor on the service time, for calls that are more work.
        :return: False when the deadline passed first and the call was cancelled.
        """
        with self._lock:
            self._n_running += 1
            service_s = self._service_s * self._service_time_factor() * factor
            service_s *= self._rng.lognormvariate(0.0, LATENCY_SIGMA)
        left_s = deadline_at - time.monotonic()
        time.sleep(max(0.0, min(service_s, left_s)))
        with self._lock:
            self._n_running -= 1
        return service_s <= left_s

    def _service_time_factor(self) -> float:
        load_ratio = max(1.0, self._n_running / self._capacity)
        factor = load_ratio**self._contention
        slow_down = self._slow_down
        now_s = time.monotonic() - self._started_at
        if slow_down and slow_down.start_s <= now_s < slow_down.end_s:
            factor *= slow_down.factor
        return factor


@dataclass(frozen=True, slots=True)
class AttemptRecord:
    """Outcome of one attempt of a client at a request."""

    #: Class of the request.
    class_name: str
    #: Time at which the attempt was sent, in seconds after the start of the run.
    sent_s: float
    #: Time at which the attempt ended, in seconds after the start of the run.
    ended_s: float
    #: Whether each gate of the chain admitted and completed the attempt.
    succeeded: bool
    #: Number of gates that ran the attempt.
    n_executions: int
    #: Index of the attempt at its request; 0 for the first.
    attempt: int


@dataclass(slots=True)
class _Request:
    load: ClassLoad
    due_s: float
    request_id: int
    attempt: int = 0


@dataclass
class GateLoadRun:
    """Sends requests through a chain of gates, nested as service calls are.

    :param gates: gates in call order, the entry's first; a request holds its slot
        at each gate while the gates after it run.
    :param upstreams: upstream behind each gate.
    :param classes: rates and properties of the requests.
    :param duration_s: length of the run, in seconds.
    :param seed: seed of arrivals and classes.
    :param draw: returns the draw in the rank of a request at a hop; its arguments are
        the request's id and the hop's index.
    :param n_client_retries: maximum number of attempts beyond the first that a client
        makes at a request that was refused or timed out; the client sends them without
        a pause, as clients without backoff do.
    """

    gates: list[Gate]
    upstreams: list[FakeUpstream]
    classes: list[ClassLoad]
    duration_s: float
    seed: int
    draw: Callable[[int, int], int]
    n_client_retries: int = 0
    #: Level table of the entry node, then of each gate's node; empty for no early
    #: refusal.
    level_tables: list[LevelTable] = field(default_factory=list)
    records: list[AttemptRecord] = field(default_factory=list)

    def run(self) -> list[AttemptRecord]:
        """Send the load and return the records of all attempts."""
        requests: queue.SimpleQueue[_Request | None] = queue.SimpleQueue()
        threads = [
            threading.Thread(target=self._serve, args=(requests,), daemon=True)
            for _ in range(N_THREADS)
        ]
        for thread in threads:
            thread.start()
        for upstream in self.upstreams:
            upstream.start()
        self._started_at = time.monotonic()
        self._requests = requests
        self._send()
        for _ in threads:
            requests.put(None)
        for thread in threads:
            thread.join()
        return self.records

    def _send(self) -> None:
        rng = random.Random(self.seed)
        rate = sum(load.rate for load in self.classes)
        class_weights = [load.rate for load in self.classes]
        due_s = 0.0
        request_id = self.seed * 1_000_000
        while (due_s := due_s + rng.expovariate(rate)) < self.duration_s:
            pause_s = self._started_at + due_s - time.monotonic()
            if pause_s > 0:
                time.sleep(pause_s)
            request_id += 1
            load = rng.choices(self.classes, class_weights)[0]
            self._requests.put(_Request(load, due_s, request_id))

    def _serve(self, requests: "queue.SimpleQueue[_Request | None]") -> None:
        while (request := requests.get()) is not None:
            sent_s = time.monotonic() - self._started_at
            deadline_at = time.monotonic() + request.load.deadline_s
            succeeded, n_executions = self._call(request, 0, deadline_at)
            ended_s = time.monotonic() - self._started_at
            self.records.append(
                AttemptRecord(
                    request.load.name,
                    sent_s,
                    ended_s,
                    succeeded,
                    n_executions,
                    request.attempt,
                )
            )
            if not succeeded and ended_s < self.duration_s:
                self._retry(requests, request, ended_s)

    def _retry(
        self,
        requests: "queue.SimpleQueue[_Request | None]",
        failed_request: _Request,
        now_s: float,
    ) -> None:
        if failed_request.attempt < self.n_client_retries:
            attempt = failed_request.attempt + 1
            requests.put(
                _Request(failed_request.load, now_s, failed_request.request_id, attempt)
            )

    def _call(
        self, request: _Request, hop: int, deadline_at: float
    ) -> tuple[bool, int]:
        """Run a request at a hop and, while it holds the slot, at the hops after it.

        :return: whether the request succeeded, and the number of gates that ran it.
        """
        class_name = request.load.name
        rank = Rank(request.load.priority, hop > 0, self.draw(request.request_id, hop))
        if hop == 0 and self.level_tables:
            now = time.monotonic()
            if self.level_tables[0].check_refusal(
                _service_name(0), rank, now, class_name
            ):
                return False, 0
        admitted = self.gates[hop].admit(
            AdmissionRequest(rank, class_name, deadline_at)
        )
        if admitted.is_err():
            self._apply_gate_report(request, hop, reached_next_hop=False)
            return False, 0
        admission = admitted.unwrap()
        admitted_at = time.monotonic()
        succeeded = self.upstreams[hop].work(deadline_at, request.load.work)
        own_s = time.monotonic() - admitted_at
        n_executions = 1
        calls_next_hop = succeeded and hop + 1 < len(self.gates)
        if calls_next_hop:
            succeeded, n_deeper_executions = self._call(request, hop + 1, deadline_at)
            n_executions += n_deeper_executions
        admission.finish(time.monotonic() - admitted_at, succeeded, own_s)
        self._apply_gate_report(request, hop, calls_next_hop)
        return succeeded, n_executions

    def _apply_gate_report(
        self, request: _Request, hop: int, reached_next_hop: bool
    ) -> None:
        """Apply a gate's load and levels to the level table of the calling node."""
        if not self.level_tables:
            return
        now = time.monotonic()
        class_name = request.load.name
        load = self.gates[hop].load()
        text = load.to_header()
        if reached_next_hop:
            children = [_service_name(hop + 1)]
            text += self.level_tables[hop + 1].format_deeper_levels(
                children, class_name, now
            )
        self.level_tables[hop].record_gate_level(
            _service_name(hop), "node", load.level, now
        )
        self.level_tables[hop].record_deeper_levels(
            _service_name(hop), class_name, text, now
        )


def _service_name(hop: int) -> str:
    return f"service-{hop}"
