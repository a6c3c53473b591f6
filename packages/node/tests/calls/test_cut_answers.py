"""Guards against answers that end early and look whole.

An upstream or another node may end its answer after any byte, by closing the connection
or by resetting it. A head that was cut before its ``Content-Length`` could be read as
the head of an answer without a body.
"""

import contextlib
import socket
import struct
import threading
import time

import pytest
import urllib3

from knapweedspring_node._calls._outbound import ConnectionPools, OutboundCall
from knapweedspring_node._calls._request import Body, CallerConnection

#: Answers, and their bodies.
ANSWERS = {
    "length": (
        b"HTTP/1.1 200 OK\r\nKws-Load: 1\r\nContent-Length: 12\r\nX-A: 1\r\n\r\n"
        b"two dry wors",
        b"two dry wors",
    ),
    "chunks": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-A: 1\r\n\r\n"
        b"10;x=1\r\ntwo dry wors two\r\n3\r\ndry\r\n0\r\nX-B: 1\r\n\r\n",
        b"two dry wors twodry",
    ),
    "no body": (b"HTTP/1.1 204 No Content\r\nX-A: 1\r\nX-B: 2\r\n\r\n", b""),
    "interim answers": (
        b"HTTP/1.1 103 Early Hints\r\nX-A: 1\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n"
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ndry",
        b"dry",
    ),
    "refusal of a node": (
        b"HTTP/1.1 503 Refused\r\nContent-Length: 0\r\nKws-Outcome: not-run\r\n"
        b"Kws-Reason: draining\r\nKws-Budget-Left: 12\r\n\r\n",
        b"",
    ),
}
UNFRAMED = b"HTTP/1.1 200 OK\r\nX-A: 1\r\nX-B: 2\r\n\r\ntwo dry wors"
#: Closes with a reset.
LINGER_ZERO = struct.pack("ii", 1, 0)
N_BUSY_THREADS = 4


class CutUpstream:
    """Sends the beginnings of an answer, one a connection, and ends the connection.

    :param answer: the whole answer.
    :param is_reset: whether the connection is reset instead of closed.
    """

    def __init__(self, answer, is_reset):
        self._answer = answer
        self._is_reset = is_reset
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=16)
        self.address = "{}:{}".format(*self._listener.getsockname())
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    def _serve(self):
        for n_bytes in range(len(self._answer) + 1):
            sock, _ = self._listener.accept()
            with sock, contextlib.suppress(OSError):
                sock.recv(65_536)
                sock.sendall(self._answer[:n_bytes])
                if self._is_reset:
                    # The bytes before the reset are to be received.
                    time.sleep(0.002)
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)

    def close(self):
        self._thread.join(5.0)
        self._listener.close()


def read_answer(pools, address, caller):
    """Make a call; return the answer and its body, or the error that ended it."""
    exchanged = pools.exchange(
        OutboundCall(
            address,
            "GET",
            "/",
            (("host", "h"),),
            Body(b""),
            time.monotonic() + 5.0,
            CallerConnection(caller),
        )
    )
    if exchanged.is_err():
        return None, exchanged.err_value
    answer = exchanged.ok_value
    try:
        if answer.body is not None:
            return answer, answer.body
        return answer, b"".join(answer.chunks)
    except (urllib3.exceptions.HTTPError, OSError, EOFError) as error:
        return None, error
    finally:
        answer.release(True)


def read_cut_answers(whole, is_reset):
    """Return the outcome of a call for each number of bytes that arrived."""
    upstream = CutUpstream(whole, is_reset)
    pools = ConnectionPools()
    caller, caller_end = socket.socketpair()
    with caller, caller_end:
        outcomes = [
            read_answer(pools, upstream.address, caller) for _ in range(len(whole) + 1)
        ]
    pools.close()
    upstream.close()
    return outcomes


@contextlib.contextmanager
def busy_threads():
    """Keep the interpreter busy, so that pieces of an answer arrive together."""
    ended = threading.Event()

    def work():
        while not ended.is_set():
            sum(range(10_000))

    threads = [threading.Thread(target=work) for _ in range(N_BUSY_THREADS)]
    for thread in threads:
        thread.start()
    try:
        yield
    finally:
        ended.set()
        for thread in threads:
            thread.join()


@pytest.mark.parametrize("is_reset", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("kind", ANSWERS)
def test_answer_cut_after_any_byte_is_no_answer(kind, is_reset):
    whole, body = ANSWERS[kind]
    *cut, (answer, received) = read_cut_answers(whole, is_reset)
    assert [n for n, (found, _) in enumerate(cut) if found is not None] == []
    if not is_reset:
        assert answer is not None and answer.framed and received == body


def test_answers_cut_beside_load_are_no_answers():
    with busy_threads():
        *cut, (answer, _) = read_cut_answers(ANSWERS["length"][0], is_reset=False)
    assert [n for n, (found, _) in enumerate(cut) if found is not None] == []
    assert answer is not None


@pytest.mark.parametrize("is_reset", [False, True], ids=["closed", "reset"])
def test_answer_without_length_never_counts_as_framed(is_reset):
    outcomes = read_cut_answers(UNFRAMED, is_reset)
    head_bytes = UNFRAMED.index(b"\r\n\r\n") + 4
    assert [answer for answer, _ in outcomes[:head_bytes] if answer is not None] == []
    for answer, _ in outcomes[head_bytes:]:
        assert answer is None or not answer.framed
    if is_reset:
        # Only what arrived before the reset may have been read, and no end.
        assert all(answer is None for answer, _ in outcomes)


# Guards against an interim answer that is taken for the answer: the connection was then
# used again while the answer itself was still to come.
@pytest.mark.parametrize("status", [b"102 Processing", b"103 Early Hints"])
def test_interim_answer_is_not_the_answer(status):
    whole = b"HTTP/1.1 %b\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ndry"
    *_, (answer, body) = read_cut_answers(whole % status, is_reset=False)
    assert (answer.status, body) == (200, b"dry")
