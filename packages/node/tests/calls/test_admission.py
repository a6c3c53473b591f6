"""Guards against a gate that runs too many calls or refuses the wrong calls.

A slot or a queued call that leaks when a thread fails or a caller disconnects blocks
the upstream; a wrong order, estimate or level sheds calls of higher rank, or queues
calls that cannot finish in time.
"""

import threading
import time

import pytest

from knapweedspring_core import Counters, EventLog, Outcome, Reason
from knapweedspring_node._calls._admission import AdmissionRequest, Gate, GatePolicy
from knapweedspring_node._calls._level_meter import LevelMeter
from knapweedspring_node._calls._limit import FixedLimit
from knapweedspring_node._calls._rank import DRAW_BITS, Rank

WAIT_S = 20.0
TOP = 3


def make_gate(slots=1, connections=100, clock=time.monotonic, **policy):
    return Gate(
        slots,
        connections,
        lambda: TOP,
        Counters(),
        EventLog("n"),
        policy=GatePolicy(**policy),
        limit=FixedLimit(slots),
        clock=clock,
    )


def record_service_times(gate, service_s, n_calls=100):
    """Let the gate record ``service_s`` for calls of every class."""
    for priority in range(TOP + 1):
        for _ in range(n_calls):
            admission = gate.admit(make_request(priority)).unwrap()
            admission.finish(service_s, succeeded=True)


def make_request(
    priority=1, started=False, draw=0, left_s=30.0, is_disconnected=lambda: False
):
    rank = Rank(priority, started, draw)
    return AdmissionRequest(
        rank, f"class-{priority}", time.monotonic() + left_s, is_disconnected
    )


def wait_until(condition):
    timeout_at = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < timeout_at
        time.sleep(0.002)


class Caller(threading.Thread):
    """Offers a call to a gate in a thread and stores the result."""

    def __init__(self, gate, request):
        super().__init__(daemon=True)
        self.gate = gate
        self.request = request
        self.result = None
        self.n_waiting_before = gate.n_waiting
        self.start()

    def run(self):
        self.result = self.gate.admit(self.request)

    def wait_until_queued(self):
        wait_until(lambda: self.gate.n_waiting > self.n_waiting_before)
        return self

    def value(self):
        self.join(WAIT_S)
        assert not self.is_alive()
        return self.result


def test_calls_beyond_the_slots_wait_and_a_finished_one_frees_its_slot_once():
    gate = make_gate(slots=2)
    first = gate.admit(make_request()).unwrap()
    gate.admit(make_request()).unwrap()
    third = Caller(gate, make_request()).wait_until_queued()
    fourth = Caller(gate, make_request()).wait_until_queued()
    first.finish(0.01, succeeded=True)
    first.finish(0.01, succeeded=True)
    wait_until(lambda: third.result is not None)
    assert gate.n_in_flight == 2
    assert gate.n_waiting == 1
    assert fourth.result is None


def test_cold_upstream_gets_few_calls_at_first_and_after_it_reopens():
    gate = Gate(50, 100, lambda: TOP, Counters(), EventLog("n"))
    assert gate.limit == 5
    for _ in range(100):
        gate.admit(make_request()).unwrap().finish(0.01, succeeded=True)
    assert gate.limit == 50
    gate.close()
    gate.reopen()
    assert gate.limit == 5


def test_connections_bound_the_calls_in_flight():
    assert make_gate(slots=10, connections=3).limit == 3


@pytest.mark.parametrize(
    "ranks, expected",
    [
        ([(1, False, 5), (3, False, 1), (2, False, 9)], [1, 2, 0]),
        ([(1, False, 9), (1, True, 1)], [1, 0]),
        ([(1, False, 1), (1, False, 9)], [1, 0]),
        ([(1, False, 4), (1, False, 4)], [0, 1]),
    ],
)
def test_waiting_calls_start_in_order_of_rank(ranks, expected):
    gate = make_gate()
    running = gate.admit(make_request()).unwrap()
    callers = [Caller(gate, make_request(*rank)).wait_until_queued() for rank in ranks]
    started = []
    for _ in ranks:
        running.finish(0.0, succeeded=True)
        wait_until(lambda: gate.n_waiting == len(ranks) - len(started) - 1)
        index = expected[len(started)]
        running = callers[index].value().unwrap()
        started.append(index)
    assert started == expected


def test_deadline_that_passes_while_waiting_is_not_run():
    gate = make_gate()
    gate.admit(make_request()).unwrap()
    refusal = gate.admit(make_request(left_s=0.02)).unwrap_err()
    assert refusal.outcome is Outcome.NOT_RUN
    assert refusal.reason is Reason.DEADLINE
    assert gate.n_waiting == 0


def test_queued_call_is_removed_when_its_caller_disconnects():
    gate = make_gate()
    gate.admit(make_request()).unwrap()
    refusal = gate.admit(make_request(is_disconnected=lambda: True)).unwrap_err()
    assert refusal.reason is Reason.CALLER_LEFT
    assert gate.n_waiting == 0


def test_thread_that_fails_in_the_queue_leaks_no_queued_call_or_slot():
    gate = make_gate()
    running = gate.admit(make_request()).unwrap()

    def fail():
        running.finish(0.01, succeeded=True)
        raise OSError("socket closed")

    with pytest.raises(OSError):
        gate.admit(make_request(is_disconnected=fail))
    assert (gate.n_in_flight, gate.n_waiting) == (0, 0)


def test_closing_refuses_new_and_queued_calls_and_lets_running_ones_finish():
    gate = make_gate()
    running = gate.admit(make_request()).unwrap()
    waiting = Caller(gate, make_request()).wait_until_queued()
    gate.close()
    for refusal in (
        waiting.value().unwrap_err(),
        gate.admit(make_request()).unwrap_err(),
    ):
        assert refusal.outcome is Outcome.NOT_RUN
        assert refusal.reason is Reason.DRAINING
    assert gate.n_in_flight == 1
    running.finish(0.0, succeeded=True)
    assert gate.n_in_flight == 0
    gate.reopen()
    assert gate.admit(make_request()).is_ok()


def test_passthrough_serves_in_order_of_arrival():
    gate = make_gate()
    gate.set_passthrough(True)
    running = gate.admit(make_request()).unwrap()
    low = Caller(gate, make_request(priority=1)).wait_until_queued()
    high = Caller(gate, make_request(priority=TOP)).wait_until_queued()
    running.finish(0.0, succeeded=True)
    low.value().unwrap()
    assert high.result is None


def test_threads_never_exceed_the_limit_nor_lose_a_slot():
    gate = make_gate(slots=3)
    lock = threading.Lock()
    n_running = 0
    n_running_max = 0

    def call_repeatedly(draw):
        nonlocal n_running, n_running_max
        for _ in range(100):
            admission = gate.admit(make_request(draw=draw)).unwrap()
            with lock:
                n_running += 1
                n_running_max = max(n_running_max, n_running)
            time.sleep(0)
            with lock:
                n_running -= 1
            admission.finish(0.0, succeeded=True)

    threads = [threading.Thread(target=call_repeatedly, args=(n,)) for n in range(12)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(WAIT_S)
    assert not any(thread.is_alive() for thread in threads)
    assert n_running_max == 3
    assert (gate.n_in_flight, gate.n_waiting) == (0, 0)


@pytest.mark.parametrize(
    "left_s, reason",
    [(15.0, Reason.OVERLOADED), (0.0, Reason.DEADLINE)],
)
def test_call_that_cannot_finish_in_time_is_refused_on_arrival(left_s, reason):
    gate = make_gate()
    record_service_times(gate, 10.0)
    gate.admit(make_request()).unwrap()
    refusal = gate.admit(make_request(left_s=left_s)).unwrap_err()
    assert refusal.outcome is Outcome.NOT_RUN
    assert refusal.reason is reason
    assert refusal.retry_after_ms > 0
    assert gate.n_waiting == 0


def test_fast_failures_do_not_lower_the_service_time():
    gate = make_gate()
    record_service_times(gate, 10.0)
    for _ in range(100):
        gate.admit(make_request()).unwrap().finish(0.001, succeeded=False)
    gate.admit(make_request()).unwrap()
    assert (
        gate.admit(make_request(left_s=15.0)).unwrap_err().reason is Reason.OVERLOADED
    )


def test_age_of_calls_in_flight_reveals_a_slow_down_before_any_finishes():
    now = time.monotonic()
    gate = make_gate(clock=lambda: now)
    record_service_times(gate, 0.01)
    gate.admit(make_request()).unwrap()
    now += 10.0
    refusal = gate.admit(
        AdmissionRequest(Rank(1, False, 0), "class-1", now + 5.0)
    ).unwrap_err()
    assert refusal.reason is Reason.OVERLOADED


def test_higher_call_displaces_the_lowest_one_that_would_finish_too_late():
    gate = make_gate()
    record_service_times(gate, 10.0)
    gate.admit(make_request()).unwrap()
    middle = Caller(gate, make_request(2, left_s=100.0)).wait_until_queued()
    low = Caller(gate, make_request(1, left_s=35.0)).wait_until_queued()
    Caller(gate, make_request(3, left_s=100.0))
    refusal = low.value().unwrap_err()
    assert refusal.outcome is Outcome.NOT_RUN
    assert refusal.reason is Reason.DISPLACED
    assert middle.result is None


def test_full_queue_displaces_calls_only_for_higher_ones():
    gate = make_gate(n_waiting_max=2)
    gate.admit(make_request()).unwrap()
    low = Caller(gate, make_request(1, draw=5)).wait_until_queued()
    Caller(gate, make_request(2)).wait_until_queued()
    refusal = gate.admit(make_request(1, draw=4)).unwrap_err()
    assert refusal.reason is Reason.OVERLOADED
    Caller(gate, make_request(1, draw=6))
    assert low.value().unwrap_err().reason is Reason.DISPLACED
    assert gate.n_waiting == 2


def test_headroom_is_kept_for_the_top_class():
    gate = make_gate(slots=10, headroom_share=0.2)
    for _ in range(8):
        gate.admit(make_request(TOP - 1)).unwrap()
    waiting = Caller(gate, make_request(TOP - 1)).wait_until_queued()
    for _ in range(2):
        gate.admit(make_request(TOP)).unwrap()
    assert waiting.result is None
    assert gate.n_in_flight == 10


def test_level_rises_with_refusals_and_ends_when_slots_are_free():
    now = time.monotonic()
    gate = make_gate(clock=lambda: now)
    record_service_times(gate, 10.0)
    now += 1.0
    running = gate.admit(
        AdmissionRequest(Rank(2, False, 0), "class-2", now + 99.0)
    ).unwrap()
    for _ in range(50):
        request = AdmissionRequest(Rank(1, False, 0), "class-1", now + 1.0)
        assert gate.admit(request).unwrap_err().reason is Reason.OVERLOADED
    now += 1.0
    level = gate.load().level
    assert level.admits(Rank(2, False, 0))
    assert not level.admits(Rank(1, False, 0))
    running.finish(0.01, succeeded=True)
    for _ in range(30):
        request = AdmissionRequest(Rank(1, False, 0), "class-1", now + 99.0)
        gate.admit(request).unwrap().finish(0.01, succeeded=True)
    now += 1.0
    assert gate.load().level is None


def test_level_steps_down_while_full_without_refusals():
    now = time.monotonic()
    meter = LevelMeter()
    for window in range(12):
        for draw in range(16):
            rank = Rank(1, False, draw << (DRAW_BITS - 4))
            for _ in range(4):
                meter.count_offer(rank, 1.0, now)
                meter.count_blocked()
        if window < 4:
            meter.count_admission(32.0)
            meter.count_refusal()
            now += 0.15
            highest = meter.level(now)
        else:
            now += 0.15
            assert meter.level(now) < highest
            highest = meter.level(now)


def test_level_always_admits_the_top_class():
    now = time.monotonic()
    gate = make_gate(clock=lambda: now)
    record_service_times(gate, 10.0)
    for _ in range(10):
        now += 1.0
        gate.load()
    gate.admit(AdmissionRequest(Rank(TOP, False, 0), "class-3", now + 99.0)).unwrap()
    for draw in range(50):
        request = AdmissionRequest(
            Rank(TOP, False, draw << 26), f"class-{TOP}", now + 1.0
        )
        assert gate.admit(request).unwrap_err().reason is Reason.OVERLOADED
    now += 1.0
    level = gate.load().level
    assert level.admits(Rank(TOP, False, 0))
    assert not level.admits(Rank(TOP - 1, True, 2**32 - 1))
