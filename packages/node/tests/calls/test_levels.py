"""Guards against wasted work on requests that a deeper gate would refuse.

Work is wasted when levels do not reach the entry side. Requests are refused without
cause when a level does not expire or is applied to calls that do not reach its service.
"""

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
def test_request_is_refused_when_every_recently_observed_gate_would_refuse_it(
    levels, refused
):
    table = make_table()
    for node, level in levels.items():
        table.record_gate_level("catalogue", node, level, now=10.0)
    refusal = table.check_refusal("catalogue", LOW, now=10.1)
    assert (refusal is not None) is refused
    if refusal is not None:
        assert refusal.outcome is Outcome.NOT_RUN
        assert refusal.reason is Reason.OVERLOADED
        assert refusal.retry_after_ms > 0


def test_level_expires():
    table = make_table()
    table.record_gate_level("catalogue", "n1", Level(2, True, 0), now=10.0)
    assert table.check_refusal("catalogue", LOW, now=10.0 + LEVEL_TTL_S) is None


def _table_after_replies(n_replies, n_reaching, level="2.1.0", deeper="catalogue"):
    """Return a table after replies; the first ``n_reaching`` carry ``level``."""
    table = make_table()
    for index in range(n_replies):
        text = f"9/9/0/-;{deeper}={level}" if index < n_reaching else "9/9/0/-"
        table.record_deeper_levels("orders", "lookup", text, now=10.0)
    return table


@pytest.mark.parametrize(
    "n_reaching, level, class_name, refused",
    [
        (20, "2.1.0", "lookup", True),
        (2, "2.1.0", "lookup", False),
        (20, "1.1.0", "lookup", False),
        (20, "2.1.0", "bundle", False),
        (20, "-", "lookup", False),
        (20, "nonsense", "lookup", False),
    ],
)
def test_request_is_refused_for_a_deeper_service_that_most_of_its_class_reach(
    n_reaching, level, class_name, refused
):
    table = _table_after_replies(20, n_reaching, level)
    rank = Rank(1, False, 5)
    refusal = table.check_refusal("orders", rank, 10.1, class_name)
    assert (refusal is not None) is refused
    assert table.check_refusal("orders", rank, 12.0, class_name) is None


def test_new_request_is_compared_as_started_with_deeper_levels():
    table = _table_after_replies(20, 20, level="1.1.5")
    assert table.check_refusal("orders", Rank(1, False, 5), 10.1, "lookup") is None
    assert table.check_refusal("orders", Rank(1, False, 4), 10.1, "lookup") is not None


def test_levels_are_passed_up_the_whole_call_chain():
    deep = make_table()
    deep.record_gate_level("catalogue", "n9", Level(2, True, 7), now=10.0)
    middle = make_table()
    text = "1/9/0/-" + deep.format_deeper_levels(["catalogue"], "lookup", now=10.0)
    middle.record_deeper_levels("stock", "lookup", text, now=10.0)
    deeper_levels = middle.format_deeper_levels(["stock"], "lookup", now=10.0)
    assert deeper_levels == ";catalogue=2.1.7"
    assert middle.format_deeper_levels(["stock"], "lookup", now=12.0) == ""
    assert middle.format_deeper_levels(["licences"], "lookup", now=10.0) == ""


def test_memory_is_bounded_for_any_content_of_answers():
    table = make_table()
    for index in range(3_000):
        text = "1/1/0/-" + "".join(f";s{index}-{n}=9.1.1" for n in range(50))
        table.record_deeper_levels(f"orders-{index}", "lookup", text, now=10.0)
        table.record_gate_level(f"orders-{index}", "n1", Level(1, True, 1), now=10.0)
    assert len(table._routes) <= 1_024
    assert len(table._gates) <= 256
    assert max(len(route._n_reached) for route in table._routes.values()) <= 8


def test_passthrough_refuses_nothing():
    table = make_table()
    table.record_gate_level("catalogue", "n1", Level(2, True, 0), now=10.0)
    table.set_passthrough(True)
    assert table.check_refusal("catalogue", LOW, now=10.1) is None


def test_a_small_share_of_the_requests_to_refuse_explores():
    table = LevelTable(random.Random(3))
    table.record_gate_level("catalogue", "n1", Level(2, True, 0), now=10.0)
    refusals = [table.check_refusal("catalogue", LOW, now=10.1) for _ in range(2_000)]
    n_explored = refusals.count(None)
    assert 10 < n_explored < 100
