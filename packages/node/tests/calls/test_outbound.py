"""Guards against answers that belong to another call, or that have no end.

An upstream may send a second copy of an answer on a connection that is kept. Whatever
arrives before the next request on it must not be read as the answer to that request.
"""

import contextlib
import socket
import threading
import time

import pytest
import urllib3

from knapweedspring_node._calls._errors import PeerBrokeOff
from knapweedspring_node._calls._outbound import ConnectionPools, OutboundCall
from knapweedspring_node._calls._request import Body, CallerConnection


class RepeatingUpstream:
    """Answers each request with its path, and the first one a second time.

    :param repeats_late: whether the copy follows once the second request has arrived.
    """

    def __init__(self, repeats_late):
        self.repeats_late = repeats_late
        self.copy_sent = threading.Event()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._thread = threading.Thread(target=self._accept, daemon=True)
        self._thread.start()

    def _accept(self):
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        copy = b""
        # The pool resets a connection on which a copy has arrived.
        with sock, contextlib.suppress(ConnectionError):
            while head := sock.recv(65_536):
                path = head.split(b" ")[1]
                answer = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b" % (
                    len(path),
                    path,
                )
                if copy:
                    # Any copy in the same write would arrive with the answer.
                    sock.sendall(copy)
                    self.copy_sent.set()
                    copy = b""
                sock.sendall(answer)
                if not self.copy_sent.is_set():
                    copy = answer
                if copy and not self.repeats_late:
                    sock.sendall(copy)
                    self.copy_sent.set()
                    copy = b""

    def close(self):
        self._listener.close()


def make_call(address, target, caller):
    return OutboundCall(
        address,
        "GET",
        target,
        (("host", "h"),),
        Body(b""),
        time.monotonic() + 2.0,
        CallerConnection(caller),
    )


def make_calls(upstream, n_calls=4):
    """Make calls one after the other; return the bodies of their answers."""
    pools = ConnectionPools()
    caller, caller_end = socket.socketpair()
    bodies = []
    try:
        for index in range(n_calls):
            exchanged = pools.exchange(
                make_call(upstream.address, f"/call-{index}", caller)
            )
            assert exchanged.is_ok(), exchanged
            answer = exchanged.ok_value
            bodies.append(answer.body)
            answer.release(True)
            if index == 0 and not upstream.repeats_late:
                assert upstream.copy_sent.wait(5.0)
    finally:
        pools.close()
        upstream.close()
        caller.close()
        caller_end.close()
    return bodies


def expected_bodies(n_calls=4):
    return [f"/call-{index}".encode() for index in range(n_calls)]


def test_copy_that_arrives_before_the_next_request_does_not_reach_it():
    assert make_calls(RepeatingUpstream(repeats_late=False)) == expected_bodies()


def test_copy_that_arrives_after_the_next_request_does_not_reach_it():
    assert make_calls(RepeatingUpstream(repeats_late=True)) == expected_bodies()


ANSWER_HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"


# Guards against an upstream that keeps a call, and its thread, for as long as it sends
# interim answers or trailer fields.
@pytest.mark.parametrize(
    ("begin", "piece"),
    [
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
        (ANSWER_HEAD + b"2\r\nab\r\n0\r\n", b"x-a: 1\r\n"),
        (ANSWER_HEAD + b"2\r\nab\r\n2;", b"a"),
    ],
    ids=["interim answers", "trailer fields", "chunk extension"],
)
def test_answer_without_end_ends_its_call(begin, piece):
    listener = socket.create_server(("127.0.0.1", 0))

    def serve():
        sock, _ = listener.accept()
        with sock, contextlib.suppress(OSError):
            sock.recv(65_536)
            sock.sendall(begin)
            while True:
                sock.sendall(piece * 1_024)

    server = threading.Thread(target=serve, daemon=True)
    server.start()
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    caller, caller_end = socket.socketpair()
    outcomes = []

    def call():
        exchanged = ConnectionPools().exchange(make_call(address, "/", caller))
        if exchanged.is_err():
            outcomes.append(exchanged.err_value)
            return
        answer = exchanged.ok_value
        try:
            outcomes.append(b"".join(answer.chunks))
        except Exception as error:  # noqa: BLE001
            outcomes.append(error)
        finally:
            answer.release(False)

    calling = threading.Thread(target=call, daemon=True)
    calling.start()
    calling.join(5.0)
    listener.close()
    caller.close()
    caller_end.close()
    assert outcomes, "the call has not ended"
    assert isinstance(outcomes[0], (PeerBrokeOff, urllib3.exceptions.HTTPError))
