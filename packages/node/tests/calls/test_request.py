"""Parsing of request heads and detection of disconnected callers.

An accepted malformed head can smuggle a request past the node. A relayed connection
or ``Kws-`` header reaches an upstream that it is not meant for. A disconnection that
is missed keeps an abandoned call running, and one reported by mistake cancels a live
call.
"""

import socket

import pytest

from knapweedspring_core import Header
from knapweedspring_node._calls._request import Body, CallerConnection, parse_head


def _parse(uri=b"/orders/new?x=1", **headers):
    raw = {name.replace("_", "-").encode(): value for name, value in headers.items()}
    node_sock, caller_sock = socket.socketpair()
    with node_sock, caller_sock:
        return parse_head(
            b"POST", uri, raw, lambda length: Body(b""), CallerConnection(node_sock)
        )


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
        (b"/orders", {"Content_Length": b"9" * 5_000}),
        (b"/orders", {"Kws_Deadline_Ms": b"soon"}),
        (b"/orders", {"Kws_Deadline_Ms": b"-5"}),
    ],
)
def test_malformed_heads_are_rejected(uri, headers):
    assert _parse(uri, **headers).is_err()


def test_target_is_split_into_service_and_path():
    call = _parse().unwrap()
    assert (call.service, call.target) == ("orders", "/new?x=1")
    assert _parse(b"/orders").unwrap().target == "/"


def test_connection_headers_and_kws_headers_are_not_relayed():
    call = _parse(
        Connection=b"close, X-Hop",
        X_Hop=b"1",
        X_Kept=b"2",
        Kws_Class=b"order",
        Kws_Invented=b"3",
    ).unwrap()
    assert call.headers == (("X-Kept", b"2".decode()),)
    assert call.kws_headers == {Header.REQUEST_CLASS: "order"}


def test_caller_that_closed_its_connection_is_disconnected():
    node_sock, caller_sock = socket.socketpair()
    with node_sock:
        connection = CallerConnection(node_sock)
        assert not connection.is_disconnected()
        caller_sock.close()
        assert connection.is_disconnected()


def test_pipelined_request_does_not_count_as_disconnection():
    node_sock, caller_sock = socket.socketpair()
    with node_sock, caller_sock:
        caller_sock.send(b"GET / HTTP/1.1\r\n")
        connection = CallerConnection(node_sock)
        assert not connection.is_disconnected()
        assert not connection.pollable
