"""Admission queue: order of calls, refusals and limits of slots.

Guards against upstreams that get more calls than they have slots for, calls that wait
until their answers are useless, and calls of high priority that wait behind calls of
low priority. These faults come about in surges, after restarts of upstreams and when
callers leave.
"""

import pytest

from knapweedspring_relay._admission import AdmissionQueue, AdmissionState, QueuedCall
from knapweedspring_relay._admission_request import AdmissionRequest


def make_queued_call(priority=2, route="r", deadline_at=100.0, max_wait_s=1.0):
    return QueuedCall(
        AdmissionRequest(priority, route, deadline_at, max_wait_s), lambda: None
    )


def make_queue(slots=20):
    queue = AdmissionQueue()
    queue.set_upstream(slots, cold_ends_at=0.0)
    return queue


def fill(queue, now=0.0, **request):
    queued_calls = [make_queued_call(**request) for _ in range(queue.limit)]
    for queued in queued_calls:
        queue.offer_call(queued, now)
    return queued_calls


@pytest.mark.parametrize(
    ("slots", "limit"), [(1, 1), (20, 19), (31, 29), (173, 164), (393, 373)]
)
def test_limit_leaves_slots_for_health_checks(slots, limit):
    assert make_queue(slots).limit == limit


def test_cold_upstream_reports_half_of_the_usable_slots_and_uses_all():
    """Load after all VMs of a deployment restarted: no warm upstream is left.

    Entries prefer warm upstreams by the reported limit. Calls that arrive although all
    upstreams are cold use every slot.
    """
    queue = AdmissionQueue()
    queue.set_upstream(100, cold_ends_at=5.0)
    assert queue.sustained_limit(4.9) == 47
    assert queue.sustained_limit(5.0) == 95
    assert queue.limit == 95
    running = fill(queue, now=1.0)
    assert len(running) == 95
    assert all(queued.state is AdmissionState.RUNNING for queued in running)


def test_calls_beyond_the_limit_wait_and_run_in_order_of_priority():
    queue = make_queue()
    running = fill(queue)
    low, high, child = make_queued_call(2), make_queued_call(0), make_queued_call(1)
    for queued in (low, high, child):
        queue.offer_call(queued, 0.0)
        assert queued.state is AdmissionState.WAITING
    order = []
    for queued in running[:3]:
        queue.finish_call(queued, 0.1, was_served=True)
        order.append([p.state is AdmissionState.RUNNING for p in (high, child, low)])
    assert order == [[True, False, False], [True, True, False], [True, True, True]]


def test_calls_of_equal_priority_run_in_order_of_arrival():
    queue = make_queue()
    running = fill(queue)
    first, second = make_queued_call(), make_queued_call()
    queue.offer_call(first, 0.0)
    queue.offer_call(second, 0.0)
    queue.finish_call(running[0], 0.1, was_served=True)
    assert first.state is AdmissionState.RUNNING
    assert second.state is AdmissionState.WAITING


def test_waiting_call_is_refused_after_its_longest_wait():
    queue = make_queue()
    fill(queue)
    long_wait, short_wait = (
        make_queued_call(max_wait_s=2.0),
        make_queued_call(max_wait_s=0.5),
    )
    queue.offer_call(long_wait, 0.0)
    queue.offer_call(short_wait, 0.0)
    queue.expire_overdue(0.4)
    assert short_wait.state is AdmissionState.WAITING
    queue.expire_overdue(0.5)
    assert short_wait.state is AdmissionState.REFUSED
    assert long_wait.state is AdmissionState.WAITING


def test_surge_is_refused_at_once_when_the_queue_is_longer_than_the_wait():
    queue = make_queue()
    running = fill(queue)
    for queued in running:
        queue.finish_call(queued, 1.0, was_served=True)
    fill(queue, now=1.0)
    outcomes = []
    for _ in range(40):
        queued = make_queued_call(max_wait_s=1.0)
        queue.offer_call(queued, 1.0)
        outcomes.append(queued.state)
    # With a service time of one second, 19 slots serve 19 calls within a second.
    assert outcomes.count(AdmissionState.WAITING) == 19
    assert outcomes[-1] is AdmissionState.REFUSED


def test_queued_low_priority_calls_do_not_cause_refusals_of_high_priority_ones():
    queue = make_queue()
    for queued in fill(queue):
        queue.finish_call(queued, 1.0, was_served=True)
    fill(queue, now=1.0)
    for _ in range(40):
        queue.offer_call(make_queued_call(2, max_wait_s=1.0), 1.0)
    order = make_queued_call(0, max_wait_s=0.1)
    queue.offer_call(order, 1.0)
    assert order.state is AdmissionState.WAITING


def test_call_that_cannot_finish_before_its_deadline_is_refused():
    queue = make_queue()
    for queued in fill(queue):
        queue.finish_call(queued, 1.0, was_served=True)
    queued = make_queued_call(deadline_at=1.5)
    queue.offer_call(queued, 1.0)
    assert queued.state is AdmissionState.REFUSED


def test_call_whose_caller_left_is_removed_from_the_queue():
    queue = make_queue()
    running = fill(queue)
    cancelled, next_one = make_queued_call(), make_queued_call()
    queue.offer_call(cancelled, 0.0)
    queue.offer_call(next_one, 0.0)
    queue.cancel_call(cancelled)
    queue.finish_call(running[0], 0.1, was_served=True)
    assert next_one.state is AdmissionState.RUNNING
    assert cancelled.state is AdmissionState.ENDED


def test_failed_calls_do_not_change_service_times():
    queue = make_queue()
    queued = make_queued_call()
    queue.offer_call(queued, 0.0)
    queue.finish_call(queued, 30.0, was_served=False)
    assert queue.mean_service_s("r", 30.0) == 0.0
    assert queue.n_running == 0


def test_finishing_twice_frees_one_slot():
    queue = make_queue()
    first, second = make_queued_call(), make_queued_call()
    queue.offer_call(first, 0.0)
    queue.offer_call(second, 0.0)
    queue.finish_call(first, 0.1, was_served=True)
    queue.finish_call(first, 0.2, was_served=True)
    assert queue.n_running == 1


def test_expired_call_is_refused_and_others_stay():
    queue = make_queue()
    running = fill(queue)
    first, second = make_queued_call(), make_queued_call()
    queue.offer_call(first, 0.0)
    queue.offer_call(second, 0.0)
    queue.expire_call(first)
    assert first.state is AdmissionState.REFUSED
    assert second.state is AdmissionState.WAITING
    queue.expire_call(running[0])
    assert running[0].state is AdmissionState.RUNNING
    assert queue.longest_wait_s(second, 0.4) == 1.0


def test_calls_that_cannot_end_before_the_process_are_refused_and_others_stay():
    """Calls queued at a stopping node were cut, and their callers were told nothing."""
    queue = make_queue(1)
    first = make_queued_call()
    queue.offer_call(first, 0.0)
    queue.finish_call(first, 1.0, was_served=True)
    queue.offer_call(make_queued_call(), 1.0)
    waiting = [make_queued_call(max_wait_s=9.0) for _ in range(3)]
    for queued in waiting:
        queue.offer_call(queued, 1.0)
    # Each takes a second, so they end after 3, 4 and 5 s at the latest.
    queue.refuse_unfinishable(4.0, 1.0, "stopping")
    states = [queued.state for queued in waiting]
    assert states == [AdmissionState.WAITING] * 2 + [AdmissionState.REFUSED]
    assert waiting[2].reason == "stopping"
    assert queue.n_waiting == 2


@pytest.mark.interpreted
def test_work_per_call_does_not_grow_with_the_queue():
    """A surge at a slow upstream makes the queue long, and all queued calls expire."""

    def n_comparisons(n_waiting):
        counted = [0]

        class CountingQueuedCall(QueuedCall):
            @property
            def admission_request(self):
                counted[0] += 1
                return super().admission_request

        queue = make_queue()
        fill(queue)
        queued_calls = [
            CountingQueuedCall(AdmissionRequest(2, "r", 1e6, 1e6), lambda: None)
            for _ in range(n_waiting)
        ]
        for queued in queued_calls:
            queue.offer_call(queued, 0.0)
        counted[0] = 0
        for queued in queued_calls:
            queue.expire_call(queued)
        return counted[0] / n_waiting

    assert n_comparisons(1_000) <= n_comparisons(10) + 1


def test_calls_beyond_the_rate_limit_wait_and_start_in_order_of_priority():
    queue = make_queue()
    queue.set_rate_limit(2.0, 0.0)
    first, low, high = (make_queued_call(p) for p in (2, 2, 0))
    for queued in (first, low, high):
        queue.offer_call(queued, 0.0)
    assert first.state is AdmissionState.RUNNING
    assert queue.next_start_s(0.1) == pytest.approx(0.4)
    queue.admit_waiting_calls(0.5)
    assert high.state is AdmissionState.RUNNING
    assert low.state is AdmissionState.WAITING
    queue.set_rate_limit(None, 0.6)
    assert low.state is AdmissionState.RUNNING
    assert queue.next_start_s(0.6) is None


def test_call_that_would_wait_too_long_for_the_rate_limit_is_refused_at_once():
    queue = make_queue()
    queue.set_rate_limit(1.0, 0.0)
    queue.offer_call(make_queued_call(), 0.0)
    waiting, refused = make_queued_call(max_wait_s=1.5), make_queued_call()
    queue.offer_call(waiting, 0.0)
    queue.offer_call(refused, 0.0)
    assert waiting.state is AdmissionState.WAITING
    assert refused.state is AdmissionState.REFUSED


def test_sustained_limit_follows_the_rate_limit():
    queue = make_queue(slots=100)
    queued = make_queued_call()
    queue.offer_call(queued, 0.0)
    queue.finish_call(queued, 0.2, was_served=True)
    queue.set_rate_limit(20.0, 0.2)
    assert queue.sustained_limit(0.2) == 4
    queue.set_rate_limit(10_000.0, 0.2)
    assert queue.sustained_limit(0.2) == 95
    queue.set_rate_limit(0.0, 0.2)
    assert queue.sustained_limit(0.2) == 1


def serve(queue, began_at, ended_at, reader_wait_s=0.0, route="r"):
    queued = make_queued_call(route=route, deadline_at=began_at + 100.0)
    queue.offer_call(queued, began_at)
    queue.finish_call(queued, ended_at, True, reader_wait_s)


def test_time_of_a_slow_reader_is_no_service_time():
    """Answers read slowly by a crowd: the upstream works as fast as before."""
    queue = make_queue()
    serve(queue, 0.0, 10.0, reader_wait_s=9.9)
    assert queue.mean_service_s("r", 10.0) == pytest.approx(0.1)


def test_service_time_that_refuses_all_calls_expires():
    """An average that no admitted call can correct must not refuse calls for ever."""
    queue = make_queue()
    serve(queue, 0.0, 30.0)
    refused = make_queued_call(deadline_at=36.0)
    queue.offer_call(refused, 31.0)
    assert refused.state is AdmissionState.REFUSED
    queue.expire_overdue(36.0)
    admitted = make_queued_call(deadline_at=41.0)
    queue.offer_call(admitted, 36.0)
    assert admitted.state is AdmissionState.RUNNING
    queue.finish_call(admitted, 36.1, was_served=True)
    # The old average has no part in the new one.
    assert queue.mean_service_s("r", 36.1) == pytest.approx(0.1)


def test_queue_needs_a_slot_only_while_calls_wait_for_one():
    queue = make_queue(slots=2)
    running = fill(queue)
    assert not queue.needs_slot
    queue.offer_call(make_queued_call(), 0.0)
    assert queue.needs_slot
    queue.finish_call(running[0], 0.1, was_served=True)
    assert not queue.needs_slot
