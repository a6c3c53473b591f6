"""Guards against the copy of an answer being taken for the answer to another send."""

import pytest

from knapweedspring_relay._answer_matcher import (
    MAX_FAILED_REQUESTS,
    MAX_RESEND_S,
    AnswerMatcher,
)


@pytest.mark.parametrize("status", [400, 408, 421, 429, 500, 503, 504])
def test_failed_request_is_not_sent_again_on_its_connection(status):
    matcher = AnswerMatcher()
    matcher.begin_request(b"a", 0.0)
    assert matcher.accepts(status, b"a")
    assert not matcher.allows_request(b"a")
    assert matcher.allows_request(b"b")
    assert matcher.allows_reuse


@pytest.mark.parametrize("status", [400, 408, 421, 429, 500, 503, 504])
def test_connection_is_not_used_again_after_an_answer_without_an_id(status):
    matcher = AnswerMatcher()
    matcher.begin_request(b"a", 0.0)
    assert matcher.accepts(status, None)
    assert not matcher.allows_reuse


def test_copies_of_answers_are_not_accepted_for_another_request():
    matcher = AnswerMatcher()
    matcher.begin_request(b"a", 0.0)
    assert matcher.accepts(503, b"a")
    matcher.begin_request(b"b", 0.0)
    assert not matcher.accepts(503, b"a")
    assert not matcher.accepts(200, b"a")
    # A success carries the id of its request.
    assert not matcher.accepts(200, None)
    assert matcher.accepts(200, b"b")
    assert matcher.allows_reuse


def test_failed_requests_of_a_connection_are_bounded():
    matcher = AnswerMatcher()
    for number in range(MAX_FAILED_REQUESTS):
        assert matcher.allows_reuse
        matcher.begin_request(b"%d" % number, 0.0)
        assert matcher.accepts(503, b"%d" % number)
    assert not matcher.allows_reuse


def test_successful_requests_do_not_count_as_failed():
    matcher = AnswerMatcher()
    for number in range(2 * MAX_FAILED_REQUESTS):
        matcher.begin_request(b"%d" % number, 0.0)
        assert matcher.accepts(200, b"%d" % number)
    assert matcher.allows_reuse
    assert matcher.allows_request(b"new")


@pytest.mark.parametrize("status", [200, 204, 302])
def test_answered_request_is_not_sent_again_on_its_connection(status):
    matcher = AnswerMatcher()
    matcher.begin_request(b"a", 0.0)
    assert matcher.accepts(status, b"a")
    matcher.begin_request(b"b", 0.9 * MAX_RESEND_S)
    assert not matcher.allows_request(b"a")
    assert matcher.allows_request(b"c")
    assert matcher.allows_reuse


def test_answered_requests_are_forgotten_when_they_cannot_be_sent_again():
    matcher = AnswerMatcher()
    for second in range(int(3 * MAX_RESEND_S)):
        matcher.begin_request(b"%d" % second, float(second))
        assert matcher.accepts(200, b"%d" % second)
    assert len(matcher._answered_ids) <= MAX_RESEND_S + 1
    assert matcher.allows_request(b"0")


def test_requests_without_ids_are_not_remembered():
    matcher = AnswerMatcher()
    for _ in range(2):
        assert matcher.allows_request(None)
        matcher.begin_request(None, 0.0)
        assert matcher.accepts(200, None)
    assert matcher.allows_request(None)
