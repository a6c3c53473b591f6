"""Guards against an upstream stand-in that hides faults of the mesh.

Checks of duplicates, wrong answers and cancelled work rely on its slots, its echo of
the request, its deadlines and its journal.
"""

import hashlib
import json
import socket
import threading
import time

import msgspec
import pytest
import urllib3

from knapweedspring_standins._answer import AnswerBody
from knapweedspring_standins._content import bundle_digest
from knapweedspring_standins._journal import EntryKind, parse_page
from knapweedspring_standins._upstream import Upstream
from knapweedspring_standins._upstream_settings import (
    CallRule,
    EndlessPart,
    UpstreamSettings,
)

#: Longest wait for a condition, an answer, a byte or the end of a thread.
TIMEOUT_S = 20.0


@pytest.fixture
def start():
    started = []

    def start_upstream(**settings):
        upstream = Upstream(UpstreamSettings(service="recipes", **settings))
        upstream.start()
        started.append(upstream)
        return upstream

    yield start_upstream
    for upstream in started:
        upstream.stop()


def wait_until(condition):
    until = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < until
        time.sleep(0.01)


def get(upstream, path="/recipes/braai", **headers):
    request_headers = {name.replace("_", "-"): value for name, value in headers.items()}
    url = f"http://{upstream.address}{path}"
    return urllib3.request(
        "GET", url, headers=request_headers, retries=False, timeout=TIMEOUT_S
    )


def kinds(upstream, nonce):
    """Return the kinds of the journal entries of one request, oldest first."""
    return [e.kind for e in upstream.journal.entries if e.nonce == nonce]


def test_answer_identifies_its_request(start):
    upstream = start()
    url = f"http://{upstream.address}/recipes/order"
    headers = {"X-Nonce": "n1", "Kws-Request-Id": "r1"}
    answer = urllib3.request("POST", url, body=b"casings", headers=headers)
    body = msgspec.json.decode(answer.data, type=AnswerBody)
    assert (body.nonce, body.request_id) == ("n1", "r1")
    assert body.body_sha256 == hashlib.sha256(b"casings").hexdigest()
    wait_until(lambda: EntryKind.FINISHED in kinds(upstream, "n1"))
    assert kinds(upstream, "n1") == ["received", "started", "finished"]


def test_slots_limit_running_requests_and_others_queue(start):
    upstream = start(n_slots=2, service_ms=200, service_spread=0)
    threads = [threading.Thread(target=get, args=(upstream,)) for _ in range(6)]
    started_at = time.monotonic()
    for thread in threads:
        thread.start()
    wait_until(lambda: upstream.slots.n_waiting == 4)
    assert upstream.slots.n_busy == 2
    for thread in threads:
        thread.join()
    assert time.monotonic() - started_at >= 0.6


@pytest.mark.parametrize("n_slots_occupied", [0, 1])
def test_disconnect_of_the_caller_cancels_the_request(start, n_slots_occupied):
    upstream = start(n_slots=1, service_ms=60_000)
    occupying = [
        socket.create_connection(_host_and_port(upstream))
        for _ in range(n_slots_occupied)
    ]
    for sock in occupying:
        sock.sendall(b"GET /held HTTP/1.1\r\nHost: u\r\nX-Nonce: held\r\n\r\n")
    wait_until(lambda: upstream.slots.n_busy == n_slots_occupied)
    sock = socket.create_connection(_host_and_port(upstream))
    sock.sendall(b"GET /x HTTP/1.1\r\nHost: u\r\nX-Nonce: n\r\n\r\n")
    wait_until(
        lambda: upstream.slots.n_busy + upstream.slots.n_waiting > n_slots_occupied
    )
    sock.close()
    wait_until(lambda: EntryKind.ABANDONED in kinds(upstream, "n"))
    assert (EntryKind.STARTED in kinds(upstream, "n")) == (n_slots_occupied == 0)
    for sock in occupying:
        sock.close()


def _host_and_port(upstream):
    host, port = upstream.address.split(":")
    return host, int(port)


def test_request_is_abandoned_at_its_deadline(start):
    upstream = start(service_ms=60_000)
    answer = get(upstream, X_Nonce="n", Kws_Deadline_Ms="50")
    assert answer.status == 504
    assert kinds(upstream, "n") == ["received", "started", "abandoned"]


def test_large_answer_is_complete_and_belongs_to_its_request(start):
    upstream = start()
    answer = get(upstream, X_Nonce="n", X_Echo_Bytes="300001")
    assert hashlib.sha256(answer.data).hexdigest() == bundle_digest("n", 300_001)
    assert answer.headers["X-Content-Sha256"] == bundle_digest("n", 300_001)


#: Pairs of faults and a predicate on the expected answer; the predicate gets None when
#: the connection breaks.
FAULTS = [
    ({"shed": True}, lambda a: a.status == 503),
    ({"truncate_after": 10}, lambda a: a is None),
    ({"unframed": True}, lambda a: "Content-Length" not in a.headers),
]


@pytest.mark.parametrize("fault, is_expected", FAULTS)
def test_faults_change_the_answer(start, fault, is_expected):
    upstream = start()
    set_fault(upstream, fault)
    try:
        answer = get(upstream)
    except urllib3.exceptions.HTTPError:
        answer = None
    assert is_expected(answer)
    if answer is not None:
        assert "Transfer-Encoding" not in answer.headers


def set_fault(upstream, fault):
    url = f"http://{upstream.address}/-/fault"
    answer = urllib3.request("POST", url, body=json.dumps(fault).encode())
    assert answer.status == 200


def _receive(sock, expected):
    """Receive until a text has arrived, and return all bytes."""
    received = b""
    while expected not in received:
        received += sock.recv(65_536) or pytest.fail(f"closed after {received!r}")
    return received


def test_copy_of_a_refusal_follows_the_next_request_on_its_connection(start):
    upstream = start(service_ms=1)
    set_fault(upstream, {"shed": True, "copies_refusals": True})
    with socket.create_connection(_host_and_port(upstream), TIMEOUT_S) as sock:
        sock.sendall(b"GET /x HTTP/1.1\r\nHost: u\r\nX-Nonce: first\r\n\r\n")
        assert _receive(sock, b'"shed"}').count(b"503 Service") == 1
        set_fault(upstream, {})
        assert kinds(upstream, "second") == []
        sock.sendall(b"GET /x HTTP/1.1\r\nHost: u\r\nX-Nonce: second\r\n\r\n")
        copy, _, answer = _receive(sock, b'"nonce":"second"').partition(b"HTTP/1.1 200")
    assert b"503 Service" in copy and b"X-Nonce: first" in copy
    assert b"X-Nonce: second" in answer
    assert EntryKind.STARTED in kinds(upstream, "second")


@pytest.mark.parametrize("part", list(EndlessPart))
def test_endless_answer_ends_when_the_caller_closes(start, part):
    upstream = start(service_ms=1)
    set_fault(upstream, {"endless": part.value})
    with socket.create_connection(_host_and_port(upstream), TIMEOUT_S) as sock:
        sock.sendall(b"GET /x HTTP/1.1\r\nHost: u\r\nX-Nonce: n\r\n\r\n")
        n_received = 0
        while n_received < 1_000_000:
            n_received += len(sock.recv(65_536) or pytest.fail("the answer ended"))
    wait_until(lambda: upstream.n_in_flight == 0)


def test_frozen_request_waits_until_the_fault_ends(start):
    upstream = start(service_ms=1)
    set_fault(upstream, {"freeze": True})
    thread = threading.Thread(target=get, args=(upstream,), kwargs={"X_Nonce": "n"})
    thread.start()
    wait_until(lambda: kinds(upstream, "n") == ["received"])
    time.sleep(0.2)
    assert kinds(upstream, "n") == ["received"]
    set_fault(upstream, {})
    thread.join(TIMEOUT_S)
    assert EntryKind.STARTED in kinds(upstream, "n")


def test_load_and_health_can_be_falsified(start):
    upstream = start()
    set_fault(upstream, {"load_value": 0.25, "healthy": False})
    assert get(upstream, "/-/load").json() == {"load": 0.25}
    assert get(upstream, "/-/health").status == 503


@pytest.mark.parametrize("concurrent", [False, True])
def test_child_calls_carry_the_context(start, concurrent):
    child = start()
    rules = (CallRule("recipes", "/a"), CallRule("recipes", "/b"))
    parent = start(node_calls=child.address, calls=rules, concurrent=concurrent)
    answer = get(parent, X_Nonce="n", X_Chain="c", Kws_Context="token")
    assert answer.status == 200
    received = [e for e in child.journal.entries if e.kind is EntryKind.RECEIVED]
    assert sorted(e.nonce for e in received) == ["n/0", "n/1"]
    assert {(e.context, e.chain) for e in received} == {("token", "c")}
    assert all(e.parent_attempt.startswith(parent.address) for e in received)


def test_failed_child_call_fails_the_parent(start):
    child = start()
    set_fault(child, {"shed": True})
    rules = (CallRule("recipes", "/a"),)
    parent = start(node_calls=child.address, calls=rules, n_child_repeats=2)
    assert get(parent, X_Nonce="n").status == 502
    assert kinds(child, "n/0").count(EntryKind.RECEIVED) == 3


def test_disconnect_of_the_caller_cancels_child_calls(start):
    child = start(service_ms=60_000)
    rules = (CallRule("recipes", "/a"),)
    parent = start(node_calls=child.address, calls=rules, service_ms=1)
    sock = socket.create_connection(_host_and_port(parent))
    sock.sendall(b"GET /x HTTP/1.1\r\nHost: u\r\nX-Nonce: n\r\n\r\n")
    wait_until(lambda: EntryKind.STARTED in kinds(child, "n/0"))
    sock.close()
    wait_until(lambda: EntryKind.ABANDONED in kinds(child, "n/0"))
    wait_until(lambda: EntryKind.ABANDONED in kinds(parent, "n"))


def test_upstream_announces_its_states_to_the_node(start):
    # Another upstream stands in for the node; it journals the heartbeats that arrive.
    node = start()
    upstream = start(node_admin=node.address, starting_ms=100)

    def states():
        entries = upstream.journal.entries
        return [e.detail for e in entries if e.kind is EntryKind.STATE]

    wait_until(lambda: states() == ["ready"])
    wait_until(lambda: upstream.announcer.n_accepted >= 2)
    assert upstream.drain()
    assert states() == ["ready", "leaving"]
    posts = [e for e in node.journal.entries if e.path == "/upstreams"]
    assert posts and posts[0].method == "POST"


def test_journal_page_can_be_parsed(start):
    upstream = start()
    get(upstream, X_Nonce="n")
    page = parse_page(get(upstream, "/-/journal").data)
    assert page.upstream == upstream.address
    assert [e.kind for e in page.entries if e.nonce == "n"][:2] == [
        EntryKind.RECEIVED,
        EntryKind.STARTED,
    ]


def test_connection_beyond_the_limit_is_closed(start):
    upstream = start(n_connections=1)
    first = socket.create_connection(_host_and_port(upstream))
    wait_until(lambda: upstream.connections.n_max == 1)
    second = socket.create_connection(_host_and_port(upstream))
    second.settimeout(TIMEOUT_S)
    second.sendall(b"GET /x HTTP/1.1\r\nHost: u\r\n\r\n")
    assert second.recv(1) == b""
    first.close()
    second.close()
