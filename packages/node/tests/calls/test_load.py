"""Guards against a gate load or level that is misread from the header.

A header is misread when formatting and parsing differ, or when malformed text is taken
for a load.
"""

import pytest

from knapweedspring_node._calls._load import GateLoad
from knapweedspring_node._calls._rank import Level, Rank


@pytest.mark.parametrize(
    "load",
    [GateLoad(0, 1, 7), GateLoad(150, 150, 0, Level(3, True, 65_535))],
)
def test_header_round_trip(load):
    assert GateLoad.from_header(load.to_header()) == load


@pytest.mark.parametrize(
    "text", ["", "1/2/3", "a/2/3/-", "1/2/3/4", "1/2/3/4.5", "1/2/3/4/5"]
)
def test_malformed_header_is_no_load(text):
    assert GateLoad.from_header(text) is None


@pytest.mark.parametrize(
    "rank, admitted",
    [
        (Rank(2, True, 10), True),
        (Rank(2, False, 99), False),
        (Rank(2, True, 9), False),
        (Rank(3, False, 0), True),
        (Rank(1, True, 99), False),
    ],
)
def test_level_compares_priority_then_progress_then_draw(rank, admitted):
    assert Level(2, True, 10).admits(rank) is admitted
