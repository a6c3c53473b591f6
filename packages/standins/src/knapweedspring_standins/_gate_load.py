"""Open-loop load on real gates in front of a slow upstream, in real time."""

import queue
import random
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from knapweedspring_node._calls._admission import Ask, Gate, Rank
from knapweedspring_node._calls._levels import LevelTable

__all__ = [
    "ClassLoad",
    "FakeUpstream",
    "GateLoadRun",
    "Recorded",
    "SlowDown",
]

LATENCY_SIGMA = 0.3
MAX_THREADS = 1_500


@dataclass(frozen=True, slots=True)
class ClassLoad:
    """Requests of one class."""

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
    """A period in which the upstream takes longer."""

    #: Seconds after the start of the run.
    begins_s: float
    #: Seconds after the start of the run.
    ends_s: float
    #: Factor on the service time.
    factor: float


class FakeUpstream:
    """Sleeps for a service time that grows with contention and slow-downs.

    :param service_s: median service time in seconds.
    :param capacity: calls that run at once without slowing each other.
    :param contention: exponent of the slowing beyond the capacity; 0 for none,
        above 1 when running more calls completes fewer.
    :param slow_down: a period of longer service times.
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
        """Set the time that slow-downs count from."""
        self._started_at = time.monotonic()

    def work(self, deadline_at: float, factor: float = 1.0) -> bool:
        """Work on a call.

        :param deadline_at: when the caller gives up, on the monotonic clock.
        :param factor: how much more work it is than usual.
        :return: False when the deadline came first and the work was cancelled.
        """
        with self._lock:
            self._n_running += 1
            service_s = self._service_s * self._factor() * factor
            service_s *= self._rng.lognormvariate(0.0, LATENCY_SIGMA)
        left_s = deadline_at - time.monotonic()
        time.sleep(max(0.0, min(service_s, left_s)))
        with self._lock:
            self._n_running -= 1
        return service_s <= left_s

    def _factor(self) -> float:
        crowding = max(1.0, self._n_running / self._capacity)
        factor = crowding**self._contention
        slow_down = self._slow_down
        now_s = time.monotonic() - self._started_at
        if slow_down and slow_down.begins_s <= now_s < slow_down.ends_s:
            factor *= slow_down.factor
        return factor


@dataclass(frozen=True, slots=True)
class Recorded:
    """What became of one attempt of a request."""

    #: Class of the request.
    class_name: str
    #: Seconds after the start of the run at which it was sent.
    sent_s: float
    #: Seconds after the start of the run at which it ended.
    ended_s: float
    #: Whether the whole request succeeded.
    succeeded: bool
    #: Gates that ran it.
    n_run: int
    #: 0 for the first attempt.
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

    :param gates: the gates, the entry first; a request holds its slot at each
        while it goes deeper.
    :param upstreams: the upstream behind each gate.
    :param classes: what is sent.
    :param duration_s: length of the run.
    :param draw: draw of a request at a hop, from its id and the hop's index.
    :param client_retries: attempts beyond the first of a client that was refused
        or timed out; each follows at once, as of impatient clients.
    """

    gates: list[Gate]
    upstreams: list[FakeUpstream]
    classes: list[ClassLoad]
    duration_s: float
    seed: int
    draw: Callable[[int, int], int]
    client_retries: int = 0
    #: Level table of the entry and of each gate's node; empty for none.
    tables: list[LevelTable] = field(default_factory=list)
    records: list[Recorded] = field(default_factory=list)

    def run(self) -> list[Recorded]:
        """Run to the end and return what was recorded."""
        requests: queue.SimpleQueue[_Request | None] = queue.SimpleQueue()
        threads = [
            threading.Thread(target=self._serve, args=(requests,), daemon=True)
            for _ in range(MAX_THREADS)
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
        weights = [load.rate for load in self.classes]
        due_s = 0.0
        request_id = self.seed * 1_000_000
        while (due_s := due_s + rng.expovariate(rate)) < self.duration_s:
            pause_s = self._started_at + due_s - time.monotonic()
            if pause_s > 0:
                time.sleep(pause_s)
            request_id += 1
            load = rng.choices(self.classes, weights)[0]
            self._requests.put(_Request(load, due_s, request_id))

    def _serve(self, requests: "queue.SimpleQueue[_Request | None]") -> None:
        while (request := requests.get()) is not None:
            sent_s = time.monotonic() - self._started_at
            deadline_at = time.monotonic() + request.load.deadline_s
            succeeded, n_run = self._call(request, 0, deadline_at)
            ended_s = time.monotonic() - self._started_at
            self.records.append(
                Recorded(
                    request.load.name,
                    sent_s,
                    ended_s,
                    succeeded,
                    n_run,
                    request.attempt,
                )
            )
            if not succeeded and ended_s < self.duration_s:
                self._retry(requests, request, ended_s)

    def _retry(
        self,
        requests: "queue.SimpleQueue[_Request | None]",
        failed: _Request,
        now_s: float,
    ) -> None:
        if failed.attempt < self.client_retries:
            attempt = failed.attempt + 1
            requests.put(_Request(failed.load, now_s, failed.request_id, attempt))

    def _call(
        self, request: _Request, hop: int, deadline_at: float
    ) -> tuple[bool, int]:
        """Run a request at a hop and, while it holds the slot, at those below."""
        class_name = request.load.name
        rank = Rank(request.load.priority, hop > 0, self.draw(request.request_id, hop))
        if hop == 0 and self.tables:
            now = time.monotonic()
            if self.tables[0].refuses(_service(0), rank, now, class_name):
                return False, 0
        admitted = self.gates[hop].admit(Ask(rank, class_name, deadline_at))
        if admitted.is_err():
            self._tell(request, hop, reached_below=False)
            return False, 0
        admission = admitted.unwrap()
        started_at = time.monotonic()
        succeeded = self.upstreams[hop].work(deadline_at, request.load.work)
        own_s = time.monotonic() - started_at
        n_run = 1
        goes_deeper = succeeded and hop + 1 < len(self.gates)
        if goes_deeper:
            succeeded, n_below = self._call(request, hop + 1, deadline_at)
            n_run += n_below
        admission.finish(time.monotonic() - started_at, succeeded, own_s)
        self._tell(request, hop, goes_deeper)
        return succeeded, n_run

    def _tell(self, request: _Request, hop: int, reached_below: bool) -> None:
        """Hand the answer's load and levels to the node that called."""
        if not self.tables:
            return
        now = time.monotonic()
        class_name = request.load.name
        load = self.gates[hop].load()
        text = load.to_header()
        if reached_below:
            below = [_service(hop + 1)]
            text += self.tables[hop + 1].carried(below, class_name, now)
        self.tables[hop].observe(_service(hop), "node", load.level, now)
        self.tables[hop].take_in(_service(hop), class_name, text, now)


def _service(hop: int) -> str:
    return f"service-{hop}"
