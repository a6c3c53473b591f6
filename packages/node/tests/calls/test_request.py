"""Heads of requests: what is refused and what is passed on."""

import socket

import pytest

from knapweedspring_core import Header
from knapweedspring_node._calls._request import Body, CallerLink, parse_head


def _parse(uri=b"/orders/new?x=1", **headers):
    raw = {name.replace("_", "-").encode(): value for name, value in headers.items()}
    ours, theirs = socket.socketpair()
    with ours, theirs:
        return parse_head(b"POST", uri, raw, lambda length: Body(b""), CallerLink(ours))


@pytest.mark.parametrize(
    ("uri", "headers"),
    [
        (b"/", {}),
        (b"/?x", {}),
        (b"/orders#x", {}),
        (b"/orders", {"Content_Length": b"1", "Transfer_Encoding": b"chunked"}),
        (b"/orders", {"Content_Length": b"-1"}),
        (b"/orders", {"Content_Length": b"+1"}),
        (b"/orders", {"Content_Length": b"5, 5"}),
        (b"/orders", {"Kws_Deadline_Ms": b"soon"}),
        (b"/orders", {"Kws_Deadline_Ms": b"-5"}),
    ],
)
def test_bad_heads_are_refused(uri, headers):
    assert _parse(uri, **headers).is_err()


def test_target_is_split_into_service_and_path():
    call = _parse().unwrap()
    assert (call.service, call.target) == ("orders", "/new?x=1")
    assert _parse(b"/orders").unwrap().target == "/"


def test_headers_of_the_connection_and_of_the_layer_are_not_passed_on():
    call = _parse(
        Connection=b"close, X-Hop",
        X_Hop=b"1",
        X_Kept=b"2",
        Kws_Class=b"order",
        Kws_Invented=b"3",
    ).unwrap()
    assert call.headers == (("X-Kept", b"2".decode()),)
    assert call.layer_headers == {Header.REQUEST_CLASS: "order"}


def test_caller_that_closed_has_left():
    ours, theirs = socket.socketpair()
    with ours:
        link = CallerLink(ours)
        assert not link.has_left()
        theirs.close()
        assert link.has_left()


def test_pipelined_request_is_not_taken_for_leaving():
    ours, theirs = socket.socketpair()
    with ours, theirs:
        theirs.send(b"GET / HTTP/1.1\r\n")
        link = CallerLink(ours)
        assert not link.has_left()
        assert not link.pollable
