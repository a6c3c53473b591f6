"""Call path over sockets: answers to callers and requests at upstreams.

Guards against requests that run twice although they may not, foreign or truncated
answers that reach callers, and failures of one upstream that callers see although
another upstream could have answered. These faults come about when upstreams fail, shed,
drain or close connections, and when callers leave or send malformed requests.
"""

import asyncio
import itertools
import time

import pytest
from _deployment import (
    Deployment,
    answer_of,
    answer_ok,
    header_of,
    make_configuration,
)

from knapweedspring_relay import CallLimits, UpstreamState
from knapweedspring_relay._clock import now_s
from knapweedspring_relay._errors import CallError
from knapweedspring_relay._hop import ChainOrigin


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario(), 20))


async def fail(upstream, request, writer):
    writer.write(answer_of(request, b"no", b"500 Internal Server Error"))


async def shed(upstream, request, writer):
    extra = b"x-not-run: 1\r\n"
    writer.write(answer_of(request, b"", b"503 Service Unavailable", extra))


async def reset(upstream, request, writer):
    writer.transport.abort()


async def garbage(upstream, request, writer):
    writer.write(b"\x00\x01 this is no answer\r\n\r\n")


async def truncated(upstream, request, writer):
    writer.write(answer_of(request, b"0123456789")[:-4])
    writer.close()


async def unsigned(upstream, request, writer):
    writer.write(answer_of(request).replace(b"x-seal: s\r\n", b""))


async def encoded(upstream, request, writer):
    writer.write(answer_of(request, extra=b"content-encoding: gzip\r\n"))


async def earlier_answer_first(upstream, request, writer):
    """Sends an answer to an earlier request, then the answer to the current one."""
    earlier = request.replace(b"x-id: ", b"x-id: old-")
    writer.write(answer_of(earlier, b"wrong") + answer_of(request, b"right"))


async def second_answer(upstream, request, writer):
    writer.write(answer_of(request, b"right") + answer_of(request, b"again"))


async def unframed(upstream, request, writer):
    answer = answer_of(request, b"until the end")
    head, _, body = answer.partition(b"\r\n\r\n")
    lines = [x for x in head.split(b"\r\n") if not x.startswith(b"content-length")]
    writer.write(b"\r\n".join(lines) + b"\r\n\r\n" + body)
    writer.close()


def test_answer_is_relayed_unchanged():
    async def scenario():
        async with Deployment([answer_ok]) as deployment:
            status, answer, body = await deployment.call(x_deadline_ms="900")
            assert (status, body) == (200, b"ok")
            assert answer.header(b"x-seal") == b"s"
            request = deployment.upstreams[0].requests[0]
            assert header_of(request, b"x-caller") == b"svc"
            assert header_of(request, b"x-expect") == b"i-0"
            assert 0 < int(header_of(request, b"x-deadline-ms")) <= 900

    run(scenario)


def test_headers_set_by_nodes_replace_those_of_callers():
    async def scenario():
        async with Deployment([answer_ok]) as deployment:
            await deployment.call(
                x_caller="forged",
                x_expect="forged",
                connection="x-secret",
                x_secret="1",
            )
            request = deployment.upstreams[0].requests[0]
            assert request.count(b"x-caller") == 1
            assert header_of(request, b"x-caller") == b"svc"
            assert header_of(request, b"x-expect") == b"i-0"
            assert header_of(request, b"x-secret") is None

    run(scenario)


@pytest.mark.parametrize("bad", [fail, reset, garbage, truncated, unsigned, encoded])
def test_repeatable_request_is_retried_at_a_second_upstream(bad):
    async def scenario():
        async with Deployment([bad, answer_ok]) as deployment:
            for _ in range(6):
                status, _, body = await deployment.call()
                assert (status, body) == (200, b"ok")

    run(scenario)


@pytest.mark.parametrize("bad", [reset, garbage, truncated, unsigned, encoded])
def test_non_idempotent_request_that_may_have_run_is_not_retried(bad):
    async def scenario():
        async with Deployment([bad, bad]) as deployment:
            status, _, _ = await deployment.call("/write/1", b"POST", b"body")
            assert status == 502
            assert sum(len(u.requests) for u in deployment.upstreams) == 1

    run(scenario)


def test_shed_non_idempotent_request_is_retried():
    async def scenario():
        async with Deployment([shed, answer_ok]) as deployment:
            for _ in range(6):
                status, _, _ = await deployment.call("/write/1", b"POST", b"body")
                assert status == 200

    run(scenario)


def test_request_that_all_upstreams_shed_is_refused_with_retry_after():
    async def scenario():
        async with Deployment([shed, shed]) as deployment:
            status, answer, _ = await deployment.call("/write/1", b"POST", b"body")
            assert status == 503
            assert 0.0 < float(answer.header(b"retry-after")) <= 0.5
            assert answer.header(b"x-seal") is None

    run(scenario)


def test_failure_of_the_last_upstream_is_relayed_unchanged():
    async def scenario():
        async with Deployment([fail]) as deployment:
            status, answer, body = await deployment.call()
            assert (status, body, answer.header(b"x-seal")) == (500, b"no", b"s")

    run(scenario)


@pytest.mark.parametrize("script", [earlier_answer_first, second_answer])
def test_answers_to_other_requests_are_discarded(script):
    async def scenario():
        async with Deployment([script]) as deployment:
            for _ in range(4):
                status, _, body = await deployment.call("/write/1", b"POST", b"x")
                assert (status, body) == (200, b"right")

    run(scenario)


def test_body_without_a_length_ends_with_the_connection():
    async def scenario():
        async with Deployment([unframed]) as deployment:
            status, _, body = await deployment.call()
            assert (status, body) == (200, b"until the end")

    run(scenario)


def test_large_body_is_streamed_and_a_truncated_one_does_not_look_complete():
    async def large(upstream, request, writer):
        writer.write(answer_of(request, b"x" * 1_000_000))

    async def broken(upstream, request, writer):
        writer.write(answer_of(request, b"x" * 1_000_000)[:-500_000])
        await writer.drain()
        writer.close()

    async def scenario():
        async with Deployment([large]) as deployment:
            _, _, body = await deployment.call()
            assert len(body) == 1_000_000
        async with Deployment([broken]) as deployment:
            with pytest.raises(CallError):
                await deployment.call()

    run(scenario)


def test_caller_is_answered_when_its_deadline_passes():
    async def slow(upstream, request, writer):
        await asyncio.sleep(3.0)

    async def scenario():
        async with Deployment([slow]) as deployment:
            started = time.monotonic()
            status, _, _ = await deployment.call(x_deadline_ms="300")
            assert status == 504
            assert 0.25 < time.monotonic() - started < 0.7

    run(scenario)


def test_only_repeatable_calls_are_cancelled_when_their_caller_leaves():
    finished = []

    async def slow(upstream, request, writer):
        await asyncio.sleep(0.4)
        writer.write(answer_of(request))
        finished.append(header_of(request, b"x-id"))

    async def scenario():
        async with Deployment([slow, slow]) as deployment:
            request = (
                b"%b 1 HTTP/1.1\r\nhost: h\r\nx-id: %b\r\nx-deadline-ms: 2000\r\n"
                b"content-length: 0\r\n\r\n"
            )
            await asyncio.gather(
                deployment.send_raw(
                    request.replace(b"%b 1", b"GET /read/1").replace(b"%b", b"r"),
                    wait_s=0.1,
                ),
                deployment.send_raw(
                    request.replace(b"%b 1", b"POST /write/1").replace(b"%b", b"w"),
                    wait_s=0.1,
                ),
            )
            await asyncio.sleep(0.2)
            gates = [relay._gate.n_running for relay in deployment.relays]
            assert sum(gates) == 1
            await deployment.wait_until(lambda: b"w" in finished)

    run(scenario)


def test_draining_upstream_gets_no_new_requests_and_none_is_refused():
    async def scenario():
        async with Deployment([answer_ok, answer_ok]) as deployment:
            deployment.send_heartbeat(0, 2, state=UpstreamState.DRAINING)
            n_before = len(deployment.upstreams[0].requests)
            for _ in range(10):
                status, _, _ = await deployment.call("/write/1", b"POST", b"x")
                assert status == 200
            assert len(deployment.upstreams[0].requests) == n_before
            assert len(deployment.upstreams[1].requests) == 10

    run(scenario)


@pytest.mark.parametrize(
    ("head", "status"),
    [
        (b"GET /read/ HTTP/1.1\r\nhost: h\r\n\r\n", b"200"),
        (b"GET /none/ HTTP/1.1\r\nhost: h\r\n\r\n", b"404"),
        (b"GET /read/ HTTP/1.1\r\nhost: other\r\n\r\n", b"404"),
        (b"GET http://h/read/ HTTP/1.1\r\nhost: h\r\n\r\n", b"400"),
        (b"GET /read/ HTTP/1.1\r\nhost: h\r\na: b\r\n c\r\n\r\n", b"400"),
        (
            b"POST /read/ HTTP/1.1\r\nhost: h\r\ncontent-length: 1\r\n"
            b"transfer-encoding: chunked\r\n\r\n0\r\n\r\n",
            b"400",
        ),
        (
            b"POST /read/ HTTP/1.1\r\nhost: h\r\ncontent-length: 1\r\n"
            b"content-length: 2\r\n\r\nab",
            b"400",
        ),
        (b"GET /read/ HTTP/1.1\r\nhost: h\r\na: " + b"x" * 3000 + b"\r\n\r\n", b"431"),
        (b"POST /read/ HTTP/1.1\r\nhost: h\r\ncontent-length: 2000\r\n\r\n", b"413"),
        (b"nonsense\r\n\r\n", b"400"),
    ],
)
def test_malformed_and_unrouted_requests_get_their_status(head, status):
    limits = CallLimits(header_bytes=2_000, body_bytes=1_000, header_s=5, idle_s=5)

    async def scenario():
        configuration = make_configuration(limits=limits)
        async with Deployment([answer_ok], configuration) as deployment:
            received = await deployment.send_raw(head)
            assert received.split(b" ")[1] == status

    run(scenario)


def test_body_that_looks_like_a_folded_header_is_forwarded():
    async def scenario():
        async with Deployment([answer_ok]) as deployment:
            body = b"line\r\n folded\r\n\tagain"
            status, _, _ = await deployment.call("/write/1", b"POST", body)
            assert status == 200
            assert deployment.upstreams[0].requests[0].endswith(body)

    run(scenario)


def test_fragments_and_pipelined_requests_are_answered_in_order():
    async def scenario():
        async with Deployment([answer_ok]) as deployment:
            host, port = deployment.settings[0].entry_address.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            one = b"GET /read/%d HTTP/1.1\r\nhost: h\r\nx-id: %d\r\n\r\n"
            data = b"".join(one % (i, i) for i in range(3))
            for byte in data:
                writer.write(bytes([byte]))
                await asyncio.sleep(0)
            received = b""
            while received.count(b"ok") < 3:
                received += await asyncio.wait_for(reader.read(4096), 2)
            ids = [x[:1] for x in received.split(b"x-id: ")[1:]]
            assert ids == [b"0", b"1", b"2"]
            paths = [r.split(b" ")[1] for r in deployment.upstreams[0].requests]
            assert paths == [b"/read/0", b"/read/1", b"/read/2"]
            writer.close()

    run(scenario)


def test_chunked_body_arrives_complete():
    async def scenario():
        async with Deployment([answer_ok]) as deployment:
            received = await deployment.send_raw(
                b"POST /write/ HTTP/1.1\r\nhost: h\r\nx-id: 1\r\n"
                b"transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
            )
            assert received.startswith(b"HTTP/1.1 200")
            assert deployment.upstreams[0].requests[0].endswith(b"\r\n\r\nabcde")

    run(scenario)


def test_failure_of_a_deeper_service_is_not_retried():
    """Retries by all services up the chain multiply the calls to a shedding one."""

    async def scenario():
        async with Deployment([fail, fail]) as deployment:
            for relay in deployment.relays:
                for _ in range(5):
                    relay._gate.count_entry_call(failed=True)
            assert (await deployment.call())[0] == 500
            assert sum(len(u.requests) for u in deployment.upstreams) == 1

    run(scenario)


def test_long_answer_without_a_caller_frees_its_slot():
    async def long_and_slow(upstream, request, writer):
        await asyncio.sleep(0.3)
        writer.write(answer_of(request, b"x" * 2_000_000))

    async def scenario():
        async with Deployment([long_and_slow]) as deployment:
            await deployment.send_raw(
                b"POST /write/1 HTTP/1.1\r\nhost: h\r\nx-id: 1\r\n"
                b"content-length: 0\r\n\r\n",
                wait_s=0.1,
            )
            assert deployment.relays[0]._gate.n_running == 1
            await deployment.wait_until(
                lambda: deployment.relays[0]._gate.n_running == 0
            )

    run(scenario)


@pytest.mark.interpreted
def test_exception_in_a_handler_is_counted_and_answered_with_502(monkeypatch):
    async def scenario():
        async with Deployment([answer_ok]) as deployment:
            relay = deployment.relays[0]
            monkeypatch.setattr(relay._path.balancer, "select_gate", lambda *_: 1 / 0)
            status, _, _ = await deployment.call()
            assert status == 502
            failures = relay._counters.get("handler_failures", "ZeroDivisionError")
            assert failures == 1

    run(scenario)


def test_request_is_retried_at_upstreams_that_shed_at_random():
    """The two upstreams that the route allows shed three of four calls at any load."""

    async def scenario():
        n_calls = itertools.count()

        async def shed_three_of_four(upstream, request, writer):
            script = answer_ok if next(n_calls) % 4 == 3 else shed
            await script(upstream, request, writer)

        async with Deployment([shed_three_of_four, shed_three_of_four]) as deployment:
            for _ in range(3):
                status, _, _ = await deployment.call("/write/1", b"POST", b"x")
                assert status == 200
            n_arrived = sum(len(u.requests) for u in deployment.upstreams)
            assert n_arrived == 12

    run(scenario)


def test_request_is_never_sent_to_more_upstreams_than_its_route_allows():
    async def scenario():
        async with Deployment([shed] * 4) as deployment:
            status, _, _ = await deployment.call("/write/1", b"POST", b"x")
            assert status == 503
            asked = [u for u in deployment.upstreams if u.requests]
            assert len(asked) == 2

    run(scenario)


def test_low_priority_is_refused_early_while_chains_fail_at_a_deeper_service():
    async def scenario():
        async with Deployment([answer_ok]) as deployment:
            relay = deployment.relays[0]
            health = relay._entry._chain_health
            read, write = make_configuration().routes
            for _ in range(50):
                health.record_outcome(read, True, now_s())
                health.record_outcome(write, True, now_s())
            answers = [await deployment.call() for _ in range(30)]
            refused = [answer for status, answer, _ in answers if status == 503]
            assert len(refused) >= 15
            assert all(0.1 < float(a.header(b"retry-after")) < 0.6 for a in refused)
            assert (await deployment.call("/write/1", b"POST", b"x"))[0] == 200
            n_served = len(deployment.upstreams[0].requests)
            assert n_served == 31 - len(refused)
            # A call made by a running request is never refused early.
            relay._gate._origins["running"] = ChainOrigin(2)
            for index in range(20):
                status, _, _ = await deployment.call(request_id=b"running/%d" % index)
                assert status == 200

    run(scenario)


@pytest.mark.interpreted
def test_calls_of_a_running_request_inherit_its_root_priority():
    """An order and a view make the same call; its id extends the id of its request."""

    async def scenario():
        root_priorities = []

        async def nested(upstream, request, writer):
            request_id = header_of(request, b"x-id")
            if b"/" not in request_id:
                child_id = request_id + b"/1"
                await deployment.call("/read/child", request_id=child_id)
            writer.write(answer_of(request))

        async with Deployment([nested]) as deployment:
            relay = deployment.relays[0]
            new_waiter = relay._gate._new_waiter

            def record_priority(call, now):
                root_priorities.append((call.request_id, call.root_priority))
                return new_waiter(call, now)

            relay._gate._new_waiter = record_priority
            await deployment.call("/write/1", b"POST", b"x", request_id=b"order")
            await deployment.call("/read/1", request_id=b"view")
            await deployment.call("/read/child", request_id=b"gone/1")
            assert dict(root_priorities) == {
                "order": 0,
                "order/1": 0,
                "view": 2,
                "view/1": 2,
                "gone/1": 2,
            }
            assert not relay._gate._origins

    run(scenario)
