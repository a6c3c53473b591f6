"""Guards against an answer whose lines have no end, which held its thread for ever."""

import contextlib
import socket
import threading
import time

import pytest
import urllib3

from knapweedspring_node._calls._outbound import ConnectionPools, OutboundCall
from knapweedspring_node._calls._request import Body, CallerConnection
from knapweedspring_node._calls._strict_response import MAX_LINE_BYTES

CHUNKED = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
#: Longest time that a call may take, in seconds; its deadline is later.
TIMEOUT_S = 5.0
#: Start of an answer, and what is repeated without end.
ENDLESS = {
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "head": (b"HTTP/1.1 200 OK\r\n", b"more: x\r\n"),
    "chunk extension": (CHUNKED + b"1;", b"more"),
    "trailers": (CHUNKED + b"1\r\nx\r\n0\r\n", b"more: x\r\n"),
    "trailer": (CHUNKED + b"1\r\nx\r\n0\r\n", b"more"),
}


def _serve(listener, start, repeated):
    sock, _ = listener.accept()
    # The peer closes the connection during an answer without end.
    with sock, contextlib.suppress(OSError):
        sock.recv(65_536)
        sock.sendall(start)
        while repeated:
            sock.sendall(repeated * 1_000)


def _read_answer(start, repeated):
    """Make a call and return its answer's body, which raises if the answer breaks."""
    pools = ConnectionPools()
    caller, caller_end = socket.socketpair()
    with socket.create_server(("127.0.0.1", 0)) as listener, caller, caller_end:
        thread = threading.Thread(target=_serve, args=(listener, start, repeated))
        thread.start()
        exchanged = pools.exchange(
            OutboundCall(
                f"127.0.0.1:{listener.getsockname()[1]}",
                "GET",
                "/",
                (("host", "h"),),
                Body(b""),
                time.monotonic() + 2 * TIMEOUT_S,
                CallerConnection(caller),
            )
        )
        try:
            if exchanged.is_err():
                raise urllib3.exceptions.HTTPError(exchanged.err_value)
            answer = exchanged.ok_value
            try:
                return b"".join(answer.chunks)
            finally:
                answer.release(False)
        finally:
            pools.close()
            thread.join(TIMEOUT_S)
            assert not thread.is_alive()


@pytest.mark.timeout(20)
@pytest.mark.parametrize("part", ENDLESS)
def test_answer_with_endless_lines_is_broken_off(part):
    started_at = time.monotonic()
    with pytest.raises(urllib3.exceptions.HTTPError):
        _read_answer(*ENDLESS[part])
    assert time.monotonic() - started_at < TIMEOUT_S


def test_many_small_chunks_are_not_limited():
    n_chunks = MAX_LINE_BYTES
    body = _read_answer(CHUNKED + b"1\r\nx\r\n" * n_chunks + b"0\r\n\r\n", b"")
    assert body == b"x" * n_chunks


@pytest.mark.timeout(20)
@pytest.mark.parametrize("status", [b"000", b"099", b"0", b"20", b"600", b"999"])
def test_status_that_is_none_is_no_answer(status):
    start = b"HTTP/1.1 %b Odd\r\ncontent-length: 0\r\n\r\n" % status
    with pytest.raises(urllib3.exceptions.HTTPError):
        _read_answer(start, b"")
