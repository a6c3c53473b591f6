"""Guards against calls that wait for an answer until the process ends, unanswered."""

import socket
import threading
import time

import pytest

from knapweedspring_node._calls._errors import NodeStopping, PeerUnreachable
from knapweedspring_node._calls._outbound import ConnectionPools, OutboundCall
from knapweedspring_node._calls._request import (
    Body,
    CallerConnection,
    DetachedCallerConnection,
)

#: Deadline of the calls, and longest time in which a wait may end, in seconds.
DEADLINE_S = 20.0
END_S = 2.0
N_CALLS = 20


def make_call(address, caller_connection):
    return OutboundCall(
        address,
        "POST",
        "/",
        (("host", "h"),),
        Body(b"two boxes"),
        time.monotonic() + DEADLINE_S,
        caller_connection,
    )


@pytest.fixture
def silent_peer():
    with socket.create_server(("127.0.0.1", 0), backlog=2 * N_CALLS) as listener:
        yield "{}:{}".format(*listener.getsockname())


@pytest.mark.parametrize(
    "connection_class", [CallerConnection, DetachedCallerConnection]
)
def test_waits_for_answers_end_at_the_stop(silent_peer, connection_class):
    pools = ConnectionPools()
    caller, caller_end = socket.socketpair()
    errors = []

    def call():
        connection = (
            CallerConnection(caller)
            if connection_class is CallerConnection
            else DetachedCallerConnection(CallerConnection(caller))
        )
        errors.append(pools.exchange(make_call(silent_peer, connection)).err_value)

    callers = [threading.Thread(target=call) for _ in range(N_CALLS)]
    with caller, caller_end:
        for thread in callers:
            thread.start()
        time.sleep(0.2)
        assert errors == []
        pools.end_waits()
        for thread in callers:
            thread.join(END_S)
    pools.close()
    assert [type(error) for error in errors] == [NodeStopping] * N_CALLS


def test_no_call_is_sent_once_the_process_is_about_to_end(silent_peer):
    pools = ConnectionPools()
    pools.end_waits()
    caller, caller_end = socket.socketpair()
    with caller, caller_end:
        call = make_call(silent_peer, CallerConnection(caller))
        error = pools.exchange(call).err_value
    assert isinstance(error, PeerUnreachable)
    assert pools.is_stopping
