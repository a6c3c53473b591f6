"""Requests doomed deeper are refused at the entry, and levels expire."""

import random

import pytest

from knapweedspring_core import Outcome, Reason
from knapweedspring_node._calls._levels import LEVEL_TTL_S, LevelTable
from knapweedspring_node._calls._rank import Level, Rank

LOW = Rank(1, True, 5)


class NeverExplores(random.Random):
    def random(self):
        return 0.999


def make_table():
    return LevelTable(NeverExplores(1))


@pytest.mark.parametrize(
    "levels, refused",
    [
        ({"n1": Level(2, True, 0)}, True),
        ({"n1": Level(1, True, 5)}, False),
        ({"n1": Level(2, True, 0), "n2": None}, False),
        ({"n1": Level(2, True, 0), "n2": Level(1, True, 9)}, True),
    ],
)
def test_request_is_refused_when_every_gate_seen_lately_would(levels, refused):
    table = make_table()
    for node, level in levels.items():
        table.observe("catalogue", node, level, now=10.0)
    refusal = table.refuses("catalogue", LOW, now=10.1)
    assert (refusal is not None) is refused
    if refusal is not None:
        assert refusal.outcome is Outcome.NOT_RUN
        assert refusal.reason is Reason.OVERLOADED
        assert refusal.retry_after_ms > 0


def test_level_expires():
    table = make_table()
    table.observe("catalogue", "n1", Level(2, True, 0), now=10.0)
    assert table.refuses("catalogue", LOW, now=10.0 + LEVEL_TTL_S) is None


def test_passthrough_refuses_nothing():
    table = make_table()
    table.observe("catalogue", "n1", Level(2, True, 0), now=10.0)
    table.set_passthrough(True)
    assert table.refuses("catalogue", LOW, now=10.1) is None


def test_a_trickle_of_doomed_requests_explores():
    table = LevelTable(random.Random(3))
    table.observe("catalogue", "n1", Level(2, True, 0), now=10.0)
    refusals = [table.refuses("catalogue", LOW, now=10.1) for _ in range(2_000)]
    n_explored = refusals.count(None)
    assert 10 < n_explored < 100
