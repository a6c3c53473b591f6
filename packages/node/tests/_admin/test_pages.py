"""Admin pages over HTTP.

Guards against pages that do not have the types that clients decode, announcements
that are lost or accepted although malformed, and errors without advice.
"""

import json

import msgspec
import pytest
import urllib3

from knapweedspring_core import (
    AnnouncedUpstream,
    Counters,
    EventLog,
    Explanation,
    GateStatus,
    Member,
    MembersPage,
    MetricsPage,
    StatusPage,
    UpstreamState,
)
from knapweedspring_node._admin import AdminBackend, AdminPages

MEMBER = Member("n1", 1, "sandton", "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")


class _Backend(AdminBackend):
    def __init__(self):
        self.log = EventLog("n1")
        self.announced = []
        self.reports = []

    def status(self):
        gate = GateStatus("orders", "127.0.0.1:9", UpstreamState.READY, 4, 3, 2, 1, 100)
        return StatusPage("n1", 7, "sandton", gates=(gate,))

    def members(self):
        return (MEMBER,)

    def events(self):
        return self.log.events

    def announce(self, upstream):
        self.announced.append(upstream)

    def receive_report(self, page):
        self.reports.append(page)


@pytest.fixture(scope="module")
def backend():
    return _Backend()


@pytest.fixture(scope="module")
def base(backend):
    counters = Counters()
    counters.add("calls_refused", "overloaded", 3)
    pages = AdminPages(backend, MetricsPage(counters))
    address = pages.bind("127.0.0.1:0").unwrap()
    pages.start()
    yield f"http://{address}"
    pages.stop()
    assert pages.join(20)


def _get(base, path, page_type):
    answer = urllib3.request("GET", base + path)
    assert answer.status == 200
    assert answer.headers["Content-Type"] == "application/json"
    return _convert(answer.data, page_type)


def _convert(data, page_type):
    return msgspec.json.decode(data, type=page_type)


def test_status_and_members(base):
    assert _get(base, "/status", StatusPage) == _Backend().status()
    assert _get(base, "/members", MembersPage) == MembersPage("n1", (MEMBER,))


def test_explain_returns_the_events_that_name_the_request(base, backend):
    event = backend.log.record("request:admitted", request="r/1")
    backend.log.record("request:admitted", request="r2")
    explained = _get(base, "/explain/r%2F1", Explanation)
    assert explained == Explanation("r/1", "n1", (event,))


def test_metrics_are_in_the_text_format(base):
    answer = urllib3.request("GET", base + "/metrics")
    assert answer.headers["Content-Type"].startswith("text/plain")
    assert b'calls_refused_total{of="overloaded"' in answer.data
    assert b'gate_waiting{of="orders"' in answer.data
    assert b'members{of="alive"' in answer.data
    assert b"declarations_invalid" in answer.data


def test_an_announcement_reaches_the_node(base, backend):
    body = {
        "service": "orders",
        "address": "127.0.0.1:99",
        "slots": 4,
        "connections": 9,
        "state": "leaving",
    }
    answer = urllib3.request("POST", base + "/upstreams", json=body)
    assert (answer.status, answer.json()) == (200, {"node_id": "n1"})
    expected = AnnouncedUpstream("orders", "127.0.0.1:99", 4, 9, UpstreamState.LEAVING)
    assert backend.announced == [expected]


@pytest.mark.parametrize(
    ("change", "path"),
    [
        ({"slots": "many"}, "$.slots"),
        ({"slots": 0}, "$.slots"),
        ({"connections": -1}, "$.connections"),
        ({"address": "here"}, "$.address"),
        ({"service": "a/b"}, "$.service"),
        ({"state": "tired"}, "$.state"),
    ],
)
def test_a_malformed_announcement_is_rejected_with_the_field_name(base, change, path):
    body = {"service": "a", "address": "127.0.0.1:9", "slots": 1, "connections": 1}
    answer = urllib3.request("POST", base + "/upstreams", json={**body, **change})
    assert answer.status == 400
    assert path in answer.json()["problem"]


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [("GET", "/nothing", 404), ("POST", "/status", 405), ("GET", "/upstreams", 405)],
)
def test_unknown_paths_and_methods_are_answered_in_json(base, method, path, status):
    answer = urllib3.request(method, base + path)
    assert answer.status == status
    assert str(status) in json.loads(answer.data)["problem"]


def test_an_address_in_use_is_an_error_with_advice(base, backend):
    address_in_use = base.removeprefix("http://")
    error = (
        AdminPages(backend, MetricsPage(Counters())).bind(address_in_use).unwrap_err()
    )
    assert address_in_use in error.advice


def test_a_report_of_another_node_is_received(base, backend):
    page = StatusPage("n2", 4, "sandton", draining=True)
    body = msgspec.json.encode(page)
    assert urllib3.request("POST", base + "/reports", body=body).status == 200
    assert backend.reports == [page]
    assert urllib3.request("POST", base + "/reports", body=b"{}").status == 400
