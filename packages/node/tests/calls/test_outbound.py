"""Guards against an answer that belongs to another call.

An upstream may send a second copy of an answer on a connection that is kept. Whatever
arrives before the next request on it must not be read as the answer to that request.
"""

import socket
import threading
import time

import pytest

from knapweedspring_node._calls._outbound import ConnectionPools, OutboundCall
from knapweedspring_node._calls._request import Body, CallerConnection

#: Time after which a copy has arrived on loopback, in seconds.
COPY_ARRIVAL_S = 0.005


class RepeatingUpstream:
    """Answers each request with its path, and the first one a second time."""

    def __init__(self, delay_s):
        self._delay_s = delay_s
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
        is_first = True
        with sock:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            while head := sock.recv(65_536):
                path = head.split(b" ")[1]
                answer = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b" % (
                    len(path),
                    path,
                )
                sock.sendall(answer)
                if is_first:
                    is_first = False
                    time.sleep(self._delay_s)
                    sock.sendall(answer)

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


@pytest.mark.parametrize("delay_s", [0.0, 0.005])
def test_second_copy_of_an_answer_does_not_reach_the_next_call(delay_s):
    upstream = RepeatingUpstream(delay_s)
    pools = ConnectionPools()
    caller, caller_end = socket.socketpair()
    try:
        for index in range(6):
            answer = pools.exchange(
                make_call(upstream.address, f"/call-{index}", caller)
            )
            assert answer.is_ok(), answer
            answer = answer.ok_value
            assert answer.body == f"/call-{index}".encode()
            answer.release(True)
            time.sleep(delay_s + COPY_ARRIVAL_S)
    finally:
        pools.close()
        upstream.close()
        caller.close()
        caller_end.close()
