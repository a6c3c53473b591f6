"""Guards against a server whose workers are all occupied by new or queued calls.

The child calls of running requests then get no worker, and requests of the top class
stay unread.
"""

import pytest

from knapweedspring_core import Outcome, Reason
from knapweedspring_node._calls._rank import Rank
from knapweedspring_node._calls._workers import WorkerGuard


@pytest.mark.parametrize(
    "n_busy, priority, refused",
    [(75, 1, False), (76, 1, True), (76, 3, False), (95, 3, False), (96, 3, True)],
)
def test_new_request_is_refused_when_few_workers_are_free(n_busy, priority, refused):
    guard = WorkerGuard(100, lambda: n_busy, lambda: 3)
    refusal = guard.check_refusal(Rank(priority, False, 0))
    assert (refusal is not None) is refused
    if refusal is not None:
        assert refusal.outcome is Outcome.NOT_RUN
        assert refusal.reason is Reason.OVERLOADED
        assert refusal.retry_after_ms > 0
    guard.set_passthrough(True)
    assert guard.check_refusal(Rank(priority, False, 0)) is None


@pytest.mark.parametrize("n_workers", [1, 2, 6, 64, 1_000])
def test_workers_suffice_for_running_calls_their_child_calls_and_queued_calls(
    n_workers,
):
    guard = WorkerGuard(n_workers, lambda: 0, lambda: 3)
    n_needed = 2 * guard.n_in_flight_max + guard.n_waiting_max
    assert n_needed <= max(n_workers, 3)
