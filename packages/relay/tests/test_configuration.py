"""Lookup of routes and distribution of a route's requests.

Guards against requests that take another route than the one with the longest matching
prefix, and against destinations whose share of the requests deviates from their weight.
"""

from collections import Counter

import pytest

from knapweedspring_relay._configuration import (
    CallKind,
    CallLimits,
    Configuration,
    Destination,
    Route,
    RouteTable,
)
from knapweedspring_relay._destination_splitter import DestinationSplitter

ONE = (Destination("svc"),)


def make_route(name, host, prefix, destinations=ONE):
    return Route(name, host, prefix, CallKind.IDEMPOTENT, destinations, 1.0, 5.0, 2, 2)


TABLE = RouteTable(
    Configuration(
        7,
        (
            make_route("root", "a.example", "/"),
            make_route("deep", "a.example", "/x/y/"),
            make_route("mid", "a.example", "/x/"),
            make_route("other", "b.example", "/only/"),
        ),
        (),
        CallLimits(),
    )
)


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        ("a.example", "/x/y/z", "deep"),
        ("a.example", "/x/y/", "deep"),
        ("a.example", "/x/y", "mid"),
        ("a.example", "/x", "root"),
        ("A.Example:8080", "/x/yy/", "mid"),
        ("a.example", "/?q=/x/y/", "root"),
        ("b.example", "/only/1?a=/", "other"),
        ("b.example", "/onlyy/", None),
        ("c.example", "/", None),
        ("", "/", None),
    ],
)
def test_longest_prefix_wins(host, path, name):
    route = TABLE.match(host, path)
    assert (route.name if route else None) == name


@pytest.mark.parametrize("weights", [(90, 10), (50, 30, 20), (1, 0)])
def test_shares_follow_the_weights(weights):
    destinations = tuple(Destination(f"s{i}", w) for i, w in enumerate(weights))
    route = make_route("r", "h", "/", destinations)
    splitter = DestinationSplitter(seed=7)
    n_calls = 1_000
    counts = Counter(splitter.choose_service(route) for _ in range(n_calls))
    for destination in destinations:
        share = destination.weight / sum(weights)
        assert abs(counts[destination.service] / n_calls - share) < 0.02


def test_changed_weights_take_effect_at_once():
    splitter = DestinationSplitter()
    before = make_route("r", "h", "/", (Destination("a", 1), Destination("b", 0)))
    after = make_route("r", "h", "/", (Destination("a", 0), Destination("b", 1)))
    assert splitter.choose_service(before) == "a"
    assert splitter.choose_service(after) == "b"
