"""Admission: order, refusals, slots; each case names the load that it answers."""

import pytest

from knapweedspring_relay._admission import AdmissionQueue, Place, PlaceState
from knapweedspring_relay._demand import Demand


def make_place(priority=2, route="r", deadline_at=100.0, max_wait_s=1.0):
    return Place(Demand(priority, route, deadline_at, max_wait_s), lambda: None)


def make_queue(slots=20):
    queue = AdmissionQueue()
    queue.set_upstream(slots, warm_at=0.0)
    return queue


def fill(queue, now=0.0, **demand):
    places = [make_place(**demand) for _ in range(queue.limit(now))]
    for place in places:
        queue.offer(place, now)
    return places


@pytest.mark.parametrize(
    ("slots", "limit"), [(1, 1), (20, 19), (31, 29), (173, 164), (393, 373)]
)
def test_limit_leaves_slots_for_health_checks(slots, limit):
    assert make_queue(slots).limit(10.0) == limit


def test_cold_upstream_gets_half():
    queue = AdmissionQueue()
    queue.set_upstream(100, warm_at=5.0)
    assert queue.limit(4.9) == 47
    assert queue.limit(5.0) == 95


def test_calls_beyond_the_limit_wait_and_follow_in_order_of_rank():
    queue = make_queue()
    running = fill(queue)
    low, high, child = make_place(2), make_place(0), make_place(1)
    for place in (low, high, child):
        queue.offer(place, 0.0)
        assert place.state is PlaceState.WAITING
    order = []
    for place in running[:3]:
        queue.finish(place, 0.1, was_served=True)
        order.append([p.state is PlaceState.RUNNING for p in (high, child, low)])
    assert order == [[True, False, False], [True, True, False], [True, True, True]]


def test_equal_ranks_follow_in_order_of_arrival():
    queue = make_queue()
    running = fill(queue)
    first, second = make_place(), make_place()
    queue.offer(first, 0.0)
    queue.offer(second, 0.0)
    queue.finish(running[0], 0.1, was_served=True)
    assert first.state is PlaceState.RUNNING
    assert second.state is PlaceState.WAITING


def test_waiting_call_is_refused_after_its_longest_wait():
    queue = make_queue()
    fill(queue)
    patient, hasty = make_place(max_wait_s=2.0), make_place(max_wait_s=0.5)
    queue.offer(patient, 0.0)
    queue.offer(hasty, 0.0)
    queue.expire(0.4)
    assert hasty.state is PlaceState.WAITING
    queue.expire(0.5)
    assert hasty.state is PlaceState.REFUSED
    assert patient.state is PlaceState.WAITING


def test_surge_is_refused_at_once_when_the_queue_is_longer_than_the_wait():
    queue = make_queue()
    running = fill(queue)
    for place in running:
        queue.finish(place, 1.0, was_served=True)
    fill(queue, now=1.0)
    outcomes = []
    for _ in range(40):
        place = make_place(max_wait_s=1.0)
        queue.offer(place, 1.0)
        outcomes.append(place.state)
    # One second of service over 19 slots: 19 calls are through within a second.
    assert outcomes.count(PlaceState.WAITING) == 19
    assert outcomes[-1] is PlaceState.REFUSED


def test_low_ranks_do_not_push_out_high_ones_in_a_surge():
    queue = make_queue()
    for place in fill(queue):
        queue.finish(place, 1.0, was_served=True)
    fill(queue, now=1.0)
    for _ in range(40):
        queue.offer(make_place(2, max_wait_s=1.0), 1.0)
    order = make_place(0, max_wait_s=0.1)
    queue.offer(order, 1.0)
    assert order.state is PlaceState.WAITING


def test_call_that_cannot_finish_in_time_is_not_started():
    queue = make_queue()
    for place in fill(queue):
        queue.finish(place, 1.0, was_served=True)
    place = make_place(deadline_at=1.5)
    queue.offer(place, 1.0)
    assert place.state is PlaceState.REFUSED


def test_call_whose_caller_left_frees_its_place():
    queue = make_queue()
    running = fill(queue)
    gone, next_one = make_place(), make_place()
    queue.offer(gone, 0.0)
    queue.offer(next_one, 0.0)
    queue.leave(gone)
    queue.finish(running[0], 0.1, was_served=True)
    assert next_one.state is PlaceState.RUNNING
    assert gone.state is PlaceState.ENDED


def test_failed_calls_do_not_teach_service_times():
    queue = make_queue()
    place = make_place()
    queue.offer(place, 0.0)
    queue.finish(place, 30.0, was_served=False)
    assert queue.service_s("r") == 0.0
    assert queue.n_running == 0


def test_finishing_twice_frees_one_slot():
    queue = make_queue()
    first, second = make_place(), make_place()
    queue.offer(first, 0.0)
    queue.offer(second, 0.0)
    queue.finish(first, 0.1, was_served=True)
    queue.finish(first, 0.2, was_served=True)
    assert queue.n_running == 1


def test_call_whose_wait_is_over_is_refused_alone():
    queue = make_queue()
    running = fill(queue)
    first, second = make_place(), make_place()
    queue.offer(first, 0.0)
    queue.offer(second, 0.0)
    queue.give_up(first)
    assert first.state is PlaceState.REFUSED
    assert second.state is PlaceState.WAITING
    queue.give_up(running[0])
    assert running[0].state is PlaceState.RUNNING
    assert queue.longest_wait_s(second, 0.4) == 1.0


@pytest.mark.interpreted
def test_long_queue_in_overload_costs_each_call_little():
    """A surge at a slow upstream: the work for a call does not grow with the queue."""

    def n_comparisons(n_waiting):
        counted = [0]

        class CountingPlace(Place):
            @property
            def demand(self):
                counted[0] += 1
                return super().demand

        queue = make_queue()
        fill(queue)
        places = [
            CountingPlace(Demand(2, "r", 1e6, 1e6), lambda: None)
            for _ in range(n_waiting)
        ]
        for place in places:
            queue.offer(place, 0.0)
        counted[0] = 0
        for place in places:
            queue.give_up(place)
        return counted[0] / n_waiting

    assert n_comparisons(1_000) <= n_comparisons(10) + 1
