"""Guards against peers that make a process hold more than its VM allows.

When memory or descriptors are short, the holder of most for longest must be ended, not
the next caller that comes.
"""

import pytest

from knapweedspring_relay import _memory_budget as memory_budget
from knapweedspring_relay._memory_budget import (
    CONNECTION_BYTES,
    BudgetLimits,
    MemoryBudget,
)
from knapweedspring_relay._memory_holder import MemoryHolder


class Peer(MemoryHolder):
    """Releases what it holds when it is ended, unless it is stubborn."""

    def __init__(self, budget, is_connection=False, is_stubborn=False):
        self.account = budget.open_account(self, is_connection)
        self.is_stubborn = is_stubborn
        self.n_ends = 0

    def end_for_memory(self):
        self.n_ends += 1
        if not self.is_stubborn:
            self.account.release(self.account.n_bytes)
            self.account.close()


@pytest.fixture()
def clock(monkeypatch):
    """Return a list with the time that the budget sees."""
    times = [100.0]
    monkeypatch.setattr(memory_budget, "now_s", lambda: times[0])
    return times


def make_budget(room_bytes=1_000, max_bytes=1_200, n_connections=4):
    return MemoryBudget(BudgetLimits(room_bytes, max_bytes, n_connections))


def test_limits_follow_the_vm():
    small = BudgetLimits.of_vm(200_000_000, 4_100)
    large = BudgetLimits.of_vm(552_000_000, 8_192)
    # The largest body of the users' limits fits even in the smallest VM.
    assert small.room_bytes > 67_108_864
    assert small.room_bytes < small.max_bytes < 136_000_000
    assert large.max_bytes > small.max_bytes
    assert 0 < small.n_connections < 3_900 < large.n_connections < 8_000


def test_holder_of_most_for_longest_is_ended(clock):
    budget = make_budget()
    longest, largest, small, new = (Peer(budget) for _ in range(4))
    assert longest.account.hold(300)
    clock[0] += 9.0
    assert largest.account.hold(500)
    assert small.account.hold(150)
    clock[0] += 1.0
    # 300 bytes for 10 s go before 500 bytes for 1 s.
    assert new.account.hold(100)
    assert (longest.n_ends, largest.n_ends, small.n_ends, new.n_ends) == (1, 0, 0, 0)
    assert budget.n_bytes == 750


def test_holder_that_asks_for_more_learns_that_it_is_its_turn(clock):
    budget = make_budget()
    greedy, other = Peer(budget), Peer(budget)
    assert other.account.hold(100)
    assert greedy.account.hold(800)
    clock[0] += 1.0
    assert not greedy.account.hold(200)
    assert greedy.account.is_ended
    # Its own code ends it, since it asked.
    assert greedy.n_ends == other.n_ends == 0
    assert budget.n_bytes == 900


def test_nothing_is_held_beyond_the_limit_while_holders_are_ending(clock):
    budget = make_budget()
    stubborn, new = Peer(budget, is_stubborn=True), Peer(budget)
    assert stubborn.account.hold(900)
    clock[0] += 1.0
    assert new.account.hold(200)
    assert stubborn.n_ends == 1
    assert not new.account.hold(200)
    assert not new.account.is_ended
    assert stubborn.n_ends == 1
    assert not stubborn.account.hold(1)
    stubborn.account.release(900)
    assert new.account.hold(200)


def test_oldest_connection_is_ended_when_too_many_are_open(clock):
    budget = make_budget(room_bytes=10**6, max_bytes=10**6)
    peers = []
    for _ in range(5):
        peers.append(Peer(budget, is_connection=True))
        clock[0] += 1.0
    assert [peer.n_ends for peer in peers] == [1, 0, 0, 0, 0]
    assert budget.n_connections == 4
    assert budget.n_bytes == 4 * CONNECTION_BYTES


def test_connections_that_are_ending_make_room_for_those_accepted_with_them(clock):
    """A listener accepts many connections before it can close any."""
    budget = make_budget(room_bytes=10**6, max_bytes=10**6, n_connections=100)
    peers = []
    for _ in range(120):
        peers.append(Peer(budget, is_connection=True, is_stubborn=True))
        clock[0] += 1.0
    assert 20 <= sum(peer.n_ends for peer in peers) <= 20 + 2 * 11
    assert not any(peer.n_ends for peer in peers[50:])
    for peer in peers[:50]:
        peer.account.close()
    n_ends = sum(peer.n_ends for peer in peers)
    for _ in range(100 - budget.n_connections):
        Peer(budget, is_connection=True)
    assert sum(peer.n_ends for peer in peers) == n_ends


def test_connection_of_another_node_is_kept_when_too_many_are_open(clock):
    budget = make_budget(room_bytes=10**6, max_bytes=10**6)
    node = Peer(budget, is_connection=True)
    node.account.keep_connection()
    clock[0] += 1.0
    callers = [Peer(budget, is_connection=True) for _ in range(4)]
    assert node.n_ends == 0
    assert sum(peer.n_ends for peer in callers) == 1


def test_bytes_held_after_the_end_of_a_connection_still_count(clock):
    budget = make_budget(room_bytes=10**6, max_bytes=10**6)
    peer = Peer(budget, is_connection=True)
    assert peer.account.hold(500)
    peer.account.close()
    assert budget.n_bytes == 500
    peer.account.release(500)
    assert budget.n_bytes == budget.n_connections == 0
