"""Guards against callers that falsify a measurement.

Arrivals could slow down with the answers, a truncated answer or one to another request
could count as complete, and retries could exceed the plan or be assigned to the wrong
chain.
"""

import json
import random
import threading
import time
from dataclasses import replace
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path

import pytest
import urllib3

from knapweedspring_standins._caller_plan import (
    CallerPlan,
    Phase,
    RequestKind,
    RetryLimits,
)
from knapweedspring_standins._callers import Callers, arrivals
from knapweedspring_standins._entries import EntryList
from knapweedspring_standins._processes import poll_until
from knapweedspring_standins._records import Answer
from knapweedspring_standins._upstream import Upstream
from knapweedspring_standins._upstream_settings import UpstreamSettings

LOOKUP = RequestKind("lookup", "recipes", "/braai", "lookup", 3.0)
ORDER = RequestKind(
    "order", "recipes", "/order", "spice-order", 1.0, "POST", False, n_body_bytes=64
)
BUNDLE = replace(LOOKUP, name="bundle", n_echo_bytes=200_000)
RETRY_LIMITS = RetryLimits(timeout_ms=2_000, total_ms=4_000, n_sends_max=3, pause_ms=10)


@pytest.fixture
def upstream():
    settings = UpstreamSettings(service="recipes", n_slots=16, service_ms=5)
    upstream = Upstream(settings)
    upstream.start()
    yield upstream
    upstream.stop()


@pytest.fixture(autouse=True)
def in_temporary_directory(tmp_path, monkeypatch):
    monkeypatch.chdir(tmp_path)


def entries_file(address):
    Path("entries.json").write_text(json.dumps([[address]]))
    return "entries.json"


def plan_for(address, kinds, n_arrivals=20, retry_limits=RETRY_LIMITS):
    """Return a plan of 50 arrivals per second, with ``n_arrivals`` on average."""
    phases = (Phase("all", n_arrivals / 50, 50.0),)
    return CallerPlan(
        entries_file=entries_file(address),
        kinds=kinds,
        phases=phases,
        seed=3,
        start_s=time.monotonic(),
        patience=retry_limits,
        n_workers=8,
    )


def test_arrivals_keep_rate_and_mix_and_repeat_with_the_seed():
    plan = plan_for("10.0.0.1:80", (LOOKUP, ORDER), n_arrivals=5_000)
    drawn = list(arrivals(plan))
    assert drawn == list(arrivals(plan))
    assert drawn != list(arrivals(replace(plan, seed=4)))
    assert len(drawn) == pytest.approx(5_000, rel=0.05)
    n_orders = sum(arrival.kind is ORDER for arrival in drawn)
    assert n_orders == pytest.approx(len(drawn) / 4, rel=0.1)


def test_complete_answers_are_recognised(upstream):
    kinds = (LOOKUP, ORDER, BUNDLE)
    result = Callers(plan_for(upstream.address, kinds, 40)).run()
    assert result.n_arrivals == len(result.records) > 0
    assert {record.answer for record in result.records} == {Answer.WHOLE}
    assert {record.kind for record in result.records} == {"lookup", "order", "bundle"}


def set_fault(upstream, fault):
    url = f"http://{upstream.address}/-/fault"
    assert urllib3.request("POST", url, body=json.dumps(fault)).status == 200


def test_failures_are_retried_with_new_chains(upstream):
    set_fault(upstream, {"shed": True})
    result = Callers(plan_for(upstream.address, (LOOKUP,))).run()
    assert {record.answer for record in result.records} == {Answer.FAILED}
    assert len(result.records) == 3 * result.n_arrivals
    assert len({record.chain for record in result.records}) == len(result.records)


def test_non_repeatable_request_without_ticket_is_sent_once(upstream):
    set_fault(upstream, {"shed": True})
    result = Callers(plan_for(upstream.address, (ORDER,))).run()
    assert len(result.records) == result.n_arrivals


@pytest.mark.parametrize("kind", [LOOKUP, BUNDLE])
def test_truncated_answer_is_classified_as_broken(upstream, kind):
    set_fault(upstream, {"truncate_after": 30})
    result = Callers(plan_for(upstream.address, (kind,), 5)).run()
    assert {record.answer for record in result.records} == {Answer.BROKEN}


def test_unframed_truncation_is_classified_as_short(upstream):
    set_fault(upstream, {"truncate_after": 30, "unframed": True})
    result = Callers(plan_for(upstream.address, (LOOKUP,), 5)).run()
    assert {record.answer for record in result.records} == {Answer.SHORT}


def test_caller_gives_up_after_its_timeout(upstream):
    set_fault(upstream, {"slow_factor": 100_000})
    retry_limits = RetryLimits(timeout_ms=100, total_ms=150, n_sends_max=1)
    plan = plan_for(upstream.address, (LOOKUP,), 3, retry_limits)
    result = Callers(plan).run()
    # The upstream applies the same deadline, so either may end the wait first.
    assert {r.answer for r in result.records} <= {Answer.GIVEN_UP, Answer.FAILED}
    assert result.records


def test_send_to_an_unreachable_entry_is_classified_as_unsent():
    # Nothing listens on port 9.
    plan = plan_for("127.0.0.1:9", (ORDER,), 3, replace(RETRY_LIMITS, n_sends_max=2))
    result = Callers(plan).run()
    assert {record.answer for record in result.records} == {Answer.UNSENT}
    assert len(result.records) == 2 * result.n_arrivals


class _RefusingHandler(BaseHTTPRequestHandler):
    """Refuses a request without a request id as overloaded, others as budget-spent."""

    protocol_version = "HTTP/1.1"

    def do_GET(self):
        request_id = self.headers.get("Kws-Request-Id")
        reason = "budget-spent" if request_id else "overloaded"
        self.send_response(503)
        self.send_header("Content-Length", "0")
        self.send_header("Kws-Outcome", "unknown")
        self.send_header("Kws-Reason", reason)
        self.send_header("Kws-Request-Id", request_id or "issued")
        self.end_headers()

    def log_message(self, *_):
        pass


def test_retry_with_the_request_id_stays_in_its_chain():
    server = ThreadingHTTPServer(("127.0.0.1", 0), _RefusingHandler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    address = "{}:{}".format(*server.server_address)
    kind = replace(LOOKUP, repeats_with_id=True)
    result = Callers(plan_for(address, (kind,), 5)).run()
    server.shutdown()
    server.server_close()
    assert {record.request_id for record in result.records} == {"issued"}
    for nonce in {record.nonce for record in result.records}:
        sends = [record for record in result.records if record.nonce == nonce]
        chains = [record.chain for record in sorted(sends, key=lambda r: r.start_s)]
        # The second send carries the request id; the third is a new request.
        assert chains == [f"{nonce}.1", f"{nonce}.1", f"{nonce}.2"]


def test_entry_list_is_reloaded_from_its_file():
    entries = EntryList(entries_file("10.0.0.1:80"))
    rng = random.Random(1)
    assert entries.pick(entries.pick_data_centre(rng), rng) == "10.0.0.1:80"
    entries_file("10.0.0.2:80")
    assert poll_until(lambda: entries.pick(0, rng) == "10.0.0.2:80")


def test_entry_list_avoids_a_node_unless_it_is_the_only_one():
    Path("entries.json").write_text('[["10.0.0.1:80", "10.0.0.2:80"], ["10.0.0.3:80"]]')
    entries = EntryList("entries.json")
    rng = random.Random(1)
    picked = {entries.pick(0, rng, "10.0.0.1:80") for _ in range(20)}
    assert picked == {"10.0.0.2:80"}
    assert entries.pick(1, rng, "10.0.0.3:80") == "10.0.0.3:80"
