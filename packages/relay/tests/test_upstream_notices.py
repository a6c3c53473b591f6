"""What the upstream's answers say about it, without network.

Guards against a limit that is ended by an answer which began before it, that outlives
its process or its reason, or that a malformed or foreign answer sets or ends.
"""

import asyncio
from dataclasses import replace

import pytest
from _deployment import HEADERS

from knapweedspring_core import Counters
from knapweedspring_relay import Answer, UpstreamState
from knapweedspring_relay._local_upstream import Heartbeat, UpstreamTracker
from knapweedspring_relay._logs import DecisionLog
from knapweedspring_relay._numbers import parse_rate
from knapweedspring_relay._upstream_notices import UpstreamNotices

ADDRESS = "10.0.0.1:80"
HEARTBEAT = Heartbeat("i-1", "svc", ADDRESS, 20, UpstreamState.READY, 0.0, 1, 100)
SIGNED = (b"x-seal", b"s")


@pytest.fixture()
def loop():
    loop = asyncio.new_event_loop()
    yield loop
    loop.close()


class Observed:
    """Notices of one upstream, and answers that it sends."""

    def __init__(self, loop):
        self.loop = loop
        self.tracker = UpstreamTracker(ADDRESS)
        self.tracker.apply_heartbeat(HEARTBEAT, 0.0)
        self.counters = Counters()
        self.rates = []
        self.leaving = []
        self.notices = UpstreamNotices(
            self.tracker,
            HEADERS,
            lambda rate, _: self.rates.append(rate),
            self.leaving.append,
            DecisionLog("n", self.counters),
            self.counters,
        )

    def answer(self, limit=None, now=1.0, sent_at=None, status=200, headers=(SIGNED,)):
        """Observe an answer of the current process."""
        if limit is not None:
            headers = (*headers, (b"x-limit", limit))
        answer = Answer(status, list(headers), self.loop)
        sent_at = now if sent_at is None else sent_at
        upstream = self.tracker.current
        self.notices.observe_answer(answer, upstream, sent_at, now)


@pytest.fixture()
def observed(loop):
    return Observed(loop)


@pytest.mark.parametrize(
    ("text", "rate"),
    [
        (b"26.3", 26.3),
        (b" 5 ", 5.0),
        (b"0", 0.0),
        (b".5", 0.5),
        (b"7.", 7.0),
        (b"", None),
        (b".", None),
        (b"-1", None),
        (b"nan", None),
        (b"inf", None),
        (b"1e9", None),
        (b"1,5", None),
        (b"1 2", None),
        (b"\xd9\xa3", None),
        (b"9" * 5_000, None),
    ],
)
def test_rate_is_a_decimal_number_that_is_not_negative(text, rate):
    assert parse_rate(text) == rate


def test_limit_rises_falls_and_ends_with_the_answers(observed):
    for now, limit, rate in [
        (1.0, b"10", 10.0),
        (2.0, b"4.5", 4.5),
        (3.0, b"80", 80.0),
        (4.0, None, None),
    ]:
        observed.answer(limit, now)
        assert observed.notices.rate_limit == rate


def test_answer_to_an_earlier_request_does_not_end_the_limit(observed):
    observed.answer(b"10", now=2.0, sent_at=1.0)
    observed.answer(None, now=2.5, sent_at=1.5)
    assert observed.notices.rate_limit == 10.0
    observed.answer(None, now=2.6, sent_at=2.1)
    assert observed.notices.rate_limit is None


def test_unreadable_limit_changes_nothing(observed):
    observed.answer(b"many", now=1.0)
    assert observed.notices.rate_limit is None
    observed.answer(b"10", now=2.0)
    observed.answer(b"-3", now=3.0)
    assert observed.notices.rate_limit == 10.0


def test_unsigned_answer_does_not_end_the_limit(observed):
    observed.answer(b"10", now=1.0)
    observed.answer(None, now=2.0, headers=())
    assert observed.notices.rate_limit == 10.0
    # An upstream that did not run a request does not sign its answer.
    observed.answer(None, now=3.0, status=503, headers=((b"x-not-run", b"1"),))
    assert observed.notices.rate_limit is None


def test_other_process_at_the_address_names_no_limit(observed):
    observed.answer(b"10", now=1.0, status=421)
    assert observed.notices.rate_limit is None


def test_limit_ends_with_its_process(observed):
    observed.answer(b"10", now=1.0)
    before = observed.tracker.current
    # The new process has the identity of the one before it.
    observed.tracker.apply_heartbeat(replace(HEARTBEAT, born_ms=200), 2.0)
    observed.notices.forget_replaced_process(2.0)
    assert observed.notices.rate_limit is None
    late = Answer(200, [SIGNED, (b"x-limit", b"10")], observed.loop)
    observed.notices.observe_answer(late, before, 1.0, 3.0)
    assert observed.notices.rate_limit is None


def test_heartbeat_of_the_same_process_keeps_the_limit(observed):
    observed.answer(b"10", now=1.0)
    observed.tracker.apply_heartbeat(replace(HEARTBEAT, sequence=2), 2.0)
    observed.notices.forget_replaced_process(2.0)
    assert observed.notices.rate_limit == 10.0


def test_limit_of_a_peer_is_used_until_the_first_answer(observed):
    observed.notices.adopt_limit(10.0, "i-0", 0.5)
    assert observed.notices.rate_limit is None
    observed.notices.adopt_limit(10.0, "i-1", 0.5)
    assert observed.notices.rate_limit == 10.0
    observed.answer(None, now=1.0)
    observed.notices.adopt_limit(10.0, "i-1", 1.5)
    assert observed.notices.rate_limit is None
    assert observed.rates == [10.0, None]


@pytest.mark.parametrize(
    ("value", "leaves"), [(b"1", True), (b"0", False), (b"true", False), (b"", False)]
)
def test_only_the_defined_value_says_that_the_upstream_leaves(observed, value, leaves):
    observed.answer(headers=(SIGNED, (b"x-leaving", value)))
    assert bool(observed.leaving) is leaves


def test_other_process_at_the_address_does_not_make_the_upstream_leave(observed):
    observed.answer(status=421, headers=((b"x-leaving", b"1"),))
    assert not observed.leaving
