"""Guards against a queued call that runs at another upstream than it was queued for.

The address of its upstream goes to one of another service while the call waits for a
slot or for a connection (review/6, for this engine).
"""

import socket
import threading
import time
from types import SimpleNamespace

import pytest
from result import Err

from knapweedspring_core import (
    AnnouncedUpstream,
    Counters,
    EventLog,
    Outcome,
    UpstreamState,
)
from knapweedspring_node._announcements import Announcements
from knapweedspring_node._calls._admission import AdmissionRequest, Gate, Rank
from knapweedspring_node._calls._context import HopContext
from knapweedspring_node._calls._errors import PeerUnreachable
from knapweedspring_node._calls._gate_side import GateSide
from knapweedspring_node._calls._in_flight import InFlightTable
from knapweedspring_node._calls._outbound import ConnectionPools, OutboundCall
from knapweedspring_node._calls._request import Body, CallerConnection
from knapweedspring_node._calls._upstreams import LocalUpstreams

ADDRESS = "127.0.0.1:9001"


def announced(service, address=ADDRESS):
    return AnnouncedUpstream(service, address, 1, 10, UpstreamState.READY)


def make_gate(upstream):
    return Gate(upstream.slots, 10, lambda: 3, Counters(), EventLog("node-1"))


class RecordingPools:
    """Records the calls that would be sent, and what their check says."""

    def __init__(self):
        self.may_send = []

    def exchange(self, call):
        self.may_send.append(call.may_send())
        return Err(PeerUnreachable("not connected"))


class OneSlotGate:
    """A gate side with one upstream that has one slot."""

    def __init__(self):
        self.upstreams = LocalUpstreams(make_gate)
        self.pools = RecordingPools()
        self.side = GateSide(
            self.upstreams,
            self.pools,
            InFlightTable("node-1", 1),
            None,
            None,
            None,
            EventLog("node-1"),
            Counters(),
            1,
        )
        self.upstream = self.upstreams.apply_announcement(announced("lookup"))

    def run(self):
        caller, self.end = socket.socketpair()
        request = SimpleNamespace(
            service="lookup",
            caller_connection=CallerConnection(caller),
            method="GET",
            target="/",
            headers=(),
            body=Body(b""),
        )
        hop = HopContext("r1", "lookup", 1, 5, False, 0, 5_000, 0, True)
        return self.side.run(request, hop)


@pytest.mark.parametrize("is_other_address", [False, True])
def test_queued_call_is_refused_when_its_upstream_is_replaced(is_other_address):
    case = OneSlotGate()
    gate = case.upstream.gate
    held = gate.admit(
        AdmissionRequest(Rank(3, False, 0), "lookup", time.monotonic() + 9.0)
    ).ok_value
    replies = []
    caller = threading.Thread(target=lambda: replies.append(case.run()))
    caller.start()
    while not gate.n_waiting:
        time.sleep(0.01)
    if is_other_address:
        case.upstreams.apply_announcement(announced("lookup", "127.0.0.1:9002"))
    else:
        case.upstreams.remove("lookup")
        case.upstreams.apply_announcement(announced("orders"))
    caller.join(2.0)
    assert [reply.refusal.outcome for reply in replies] == [Outcome.NOT_RUN]
    held.finish(0.1, succeeded=True)
    assert case.pools.may_send == []


def test_admitted_call_is_not_sent_once_its_upstream_is_replaced(monkeypatch):
    case = OneSlotGate()
    admit = Gate.admit

    def admit_and_replace(gate, request):
        admitted = admit(gate, request)
        case.upstreams.remove("lookup")
        return admitted

    monkeypatch.setattr(Gate, "admit", admit_and_replace)
    assert case.run().refusal.outcome is Outcome.NOT_RUN
    assert case.pools.may_send == []
    assert case.upstream.gate.n_in_flight == 0


def test_call_is_checked_again_once_it_is_connected():
    case = OneSlotGate()
    assert case.run().refusal.outcome is Outcome.NOT_RUN
    assert case.pools.may_send == [True]
    caller, end = socket.socketpair()
    with socket.create_server(("127.0.0.1", 0)) as listener, caller, end:
        pools = ConnectionPools()
        exchanged = pools.exchange(
            OutboundCall(
                "{}:{}".format(*listener.getsockname()),
                "GET",
                "/",
                (("host", "h"),),
                Body(b""),
                time.monotonic() + 5.0,
                CallerConnection(caller),
                may_send=lambda: False,
            )
        )
        assert isinstance(exchanged.err_value, PeerUnreachable)
        accepted, _ = listener.accept()
        with accepted:
            accepted.settimeout(2.0)
            assert accepted.recv(100) == b""


def test_upstream_whose_address_another_service_announces_is_withdrawn():
    upstreams, withdrawn = LocalUpstreams(make_gate), []
    membership = SimpleNamespace(announce=lambda _: None, withdraw=withdrawn.append)
    store = SimpleNamespace(upstream_intent=lambda _: None)
    announcements = Announcements(
        "node-1",
        SimpleNamespace(upstreams=upstreams),
        membership,
        store,
        EventLog("node-1"),
    )
    announcements.announce(announced("lookup"))
    announcements.announce(announced("orders"))
    assert withdrawn == ["lookup"]
    assert upstreams.find("lookup") is None
    assert upstreams.find("orders") is not None
    # The other service may come back.
    announcements.announce(announced("lookup"))
    assert withdrawn == ["lookup", "orders"]
    assert upstreams.find("lookup") is not None
