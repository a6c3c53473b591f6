"""Guards against upstreams that send without end, in a head, a body or a trailer.

The caller must get a clear end that does not look complete, within its deadline; the
connection to the upstream must be closed; memory must stay bounded; and other calls
must not be slowed.
"""

import asyncio
import contextlib
import resource
import time

import pytest
from _deployment import Deployment, answer_of, answer_ok, header_of

from knapweedspring_relay import ConnectionPool, ConnectionSettings
from knapweedspring_relay._clock import now_s
from knapweedspring_relay._errors import CallError

#: Deadline of the calls, in seconds, and time past it in which a call must end and the
#: connection to its upstream must be closed.
DEADLINE_S = 0.8
END_MARGIN_S = 0.5
#: Size of one write of an upstream, in bytes.
PIECE_BYTES = 16_384


def run(scenario, limit_s=40):
    asyncio.run(asyncio.wait_for(scenario(), limit_s))


def head_of(request, lines):
    return b"HTTP/1.1 200 OK\r\nx-id: %b\r\nx-seal: s\r\n%b" % (
        header_of(request, b"x-id"),
        lines,
    )


def chunked_head_of(request):
    return head_of(request, b"transfer-encoding: chunked\r\n\r\n")


BEGINNINGS = {
    "status line": lambda request: b"HTTP/1.1 200 ",
    "header name": lambda request: head_of(request, b"x-"),
    "header value": lambda request: head_of(request, b"x-a: "),
    "header lines": lambda request: head_of(request, b""),
    "interim answers": lambda request: b"",
    "no answer": lambda request: b"\x00",
    "chunked body": lambda request: head_of(
        request, b"transfer-encoding: chunked\r\n\r\n"
    ),
    "unframed body": lambda request: head_of(request, b"\r\n"),
    "long body": lambda request: head_of(
        request, b"content-length: %d\r\n\r\n" % 2**60
    ),
    "chunk size": lambda request: chunked_head_of(request) + b"4\r\nbook\r\n0",
    "chunk extension": lambda request: chunked_head_of(request) + b"4\r\nbook\r\n4;",
    "trailer fields": lambda request: chunked_head_of(request) + b"4\r\nbook\r\n0\r\n",
    "trailer value": lambda request: (
        chunked_head_of(request) + b"4\r\nbook\r\n0\r\nx-a: "
    ),
    "other answer": lambda request: b"HTTP/1.1 200 OK\r\nx-id: other\r\n\r\n",
}
PIECES = {
    "header lines": b"x-a: 1\r\n",
    "trailer fields": b"x-a: 1\r\n",
    "chunk size": b"0",
    "interim answers": b"HTTP/1.1 100 Continue\r\n\r\n",
    "chunked body": b"4\r\nabcd\r\n",
}


class EndlessUpstream:
    """Script of an upstream that sends without end until its connection is closed.

    :param kind: where the bytes without end stand.
    :param is_slow: whether it sends a few bytes at a time.
    """

    def __init__(self, kind, is_slow):
        self._kind = kind
        self._is_slow = is_slow
        self.n_open = 0
        self.n_bytes = 0

    async def __call__(self, upstream, request, writer):
        if header_of(request, b"x-plain"):
            writer.write(answer_of(request))
            return
        self.n_open += 1
        piece = PIECES.get(self._kind, b"a")
        if not self._is_slow:
            piece *= PIECE_BYTES // len(piece)
        try:
            writer.write(BEGINNINGS[self._kind](request))
            while True:
                writer.write(piece)
                await writer.drain()
                if writer.is_closing():
                    raise ConnectionResetError
                self.n_bytes += len(piece)
                await asyncio.sleep(0.01 if self._is_slow else 0)
        finally:
            self.n_open -= 1


async def call_endless(deployment):
    """Return the status of a call that an endless answer is sent to, and its length."""
    begun = now_s()
    status = None
    with contextlib.suppress(CallError, TimeoutError):
        status, answer, body = await deployment.call(
            x_deadline_ms=str(int(DEADLINE_S * 1_000))
        )
        # Only an answer that broke off raises while its body is read.
        assert status >= 500, f"{len(body)} bytes looked complete"
    return status, now_s() - begun


@pytest.mark.parametrize("is_slow", [False, True])
@pytest.mark.parametrize("kind", BEGINNINGS)
def test_endless_answer_ends_for_the_caller_and_for_the_upstream(kind, is_slow):
    async def scenario():
        script = EndlessUpstream(kind, is_slow)
        async with Deployment([script]) as deployment:
            status, lasted_s = await call_endless(deployment)
            assert status in (None, 502, 503, 504)
            assert lasted_s < DEADLINE_S + END_MARGIN_S
            await deployment.wait_until(lambda: script.n_open == 0, END_MARGIN_S)
            assert deployment.relays[0]._gate.n_running == 0
            status, *_ = await deployment.call(x_plain="1")
            assert status == 200

    run(scenario)


@pytest.mark.parametrize(
    "kind",
    [
        "status line",
        "header name",
        "header value",
        "header lines",
        "interim answers",
        "other answer",
        "chunk size",
        "chunk extension",
        "trailer fields",
        "trailer value",
    ],
)
def test_endless_head_or_trailer_is_bounded_in_bytes_long_before_the_deadline(kind):
    async def scenario():
        script = EndlessUpstream(kind, is_slow=False)
        async with Deployment([script]) as deployment:
            _, lasted_s = await call_endless(deployment)
            assert lasted_s < DEADLINE_S / 2
            # What the kernel buffers on both sides, beyond the limit on the head.
            assert script.n_bytes < 16 * 1_048_576

    run(scenario)


@pytest.mark.parametrize(
    "kind", ["header lines", "interim answers", "unframed body", "trailer fields"]
)
def test_many_endless_answers_leave_memory_flat_and_other_calls_fast(kind):
    n_calls, max_growth_bytes, max_latency_s = 200, 64 * 1_048_576, 0.5

    async def scenario():
        script = EndlessUpstream(kind, is_slow=True)
        async with Deployment([script, answer_ok]) as deployment:
            for index in (0, 1):
                deployment.send_heartbeat(index, 2, slots=1_000)
            await deployment.call(x_plain="1")
            before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1_024
            calls = [
                asyncio.ensure_future(call_endless(deployment)) for _ in range(n_calls)
            ]
            latencies = []
            while not all(call.done() for call in calls):
                begun = time.perf_counter()
                status, *_ = await deployment.call(x_plain="1")
                latencies.append(time.perf_counter() - begun)
                assert status == 200
            after = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1_024
            assert after - before < max_growth_bytes
            assert sorted(latencies)[len(latencies) // 2] < max_latency_s
            await deployment.wait_until(lambda: script.n_open == 0, 1.0)

    run(scenario)


# Guards against trailer fields of an upstream that callers receive as headers.
def test_trailer_of_an_answer_is_not_passed_on_as_headers():
    async def script(upstream, request, writer):
        writer.write(chunked_head_of(request) + b"4\r\nbook\r\n0\r\nx-late: 1\r\n\r\n")

    async def scenario():
        async with Deployment([script]) as deployment:
            status, answer, body = await deployment.call()
            assert (status, body) == (200, b"book")
            assert answer.header(b"x-late") is None

    run(scenario)


# Guards against a connection that stays paused after an answer that is complete when
# it is passed on, so that the answer to the next request on it never arrives.
@pytest.mark.parametrize("n_bytes", [100_000, 150_000, 400_000])
def test_connection_is_used_again_after_an_answer_above_the_high_water(n_bytes):
    async def script(upstream, request, writer):
        writer.write(answer_of(request, b"a" * n_bytes))

    async def scenario():
        async with Deployment([script]) as deployment:
            for _ in range(8):
                status, _, body = await deployment.call()
                assert (status, len(body)) == (200, n_bytes)

    run(scenario)


# Guards against a body whose unread bytes grow while its reader takes small pieces.
def test_unread_bytes_of_a_body_stay_bounded_while_its_reader_is_slow():
    n_reads = 40

    async def script(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
        with contextlib.suppress(ConnectionError):
            while not writer.is_closing():
                writer.write(b"1\r\na\r\n" * 512 + b"fffe\r\n%b\r\n" % bytes(0xFFFE))
                await writer.drain()
        writer.close()
        with contextlib.suppress(ConnectionError):
            await writer.wait_closed()

    async def scenario():
        server = await asyncio.start_server(script, "127.0.0.1", 0)
        address = "{}:{}".format(*server.sockets[0].getsockname())
        pool = ConnectionPool(ConnectionSettings(1.0, 60.0, 2.0))
        answer = await pool.call(address, b"GET / HTTP/1.1\r\nhost: h\r\n\r\n")
        largest = 0
        for _ in range(n_reads):
            await answer.read()
            await asyncio.sleep(0.005)
            largest = max(largest, answer.n_unread_bytes)
        answer.abandon()
        assert answer.n_unread_bytes == 0
        await asyncio.sleep(0.05)
        server.close()
        # The high water mark and what one read of the socket may return.
        assert largest <= 131_072 + 262_144

    run(scenario)


# Guards against bodies in tiny chunks that keep the event loop from other calls.
def test_endless_bodies_in_chunks_of_one_byte_do_not_delay_other_calls():
    n_calls, max_latency_s = 4, 0.5

    async def script(upstream, request, writer):
        if header_of(request, b"x-plain"):
            writer.write(answer_of(request))
            return
        writer.write(chunked_head_of(request))
        while not writer.is_closing():
            writer.write(b"1\r\na\r\n" * 2_048)
            await writer.drain()
            await asyncio.sleep(0)

    async def scenario():
        async with Deployment([script, answer_ok]) as deployment:
            calls = [
                asyncio.ensure_future(call_endless(deployment)) for _ in range(n_calls)
            ]
            longest_s = 0.0
            while not all(call.done() for call in calls):
                begun = time.perf_counter()
                status, *_ = await deployment.call(x_plain="1")
                longest_s = max(longest_s, time.perf_counter() - begun)
                assert status == 200
            assert longest_s < max_latency_s

    run(scenario)


# Guards against answers that are not passed on and keep their slots and connections:
# no request was served any more, though the upstreams were idle.
@pytest.mark.parametrize(
    "status", [b"503 Busy\r\nx-not-run: 1", b"421 Other", b"500 Failed"]
)
def test_answer_that_is_not_passed_on_frees_its_slot_and_connection(status):
    n_calls = 12
    n_open = 0

    async def script(upstream, request, writer):
        nonlocal n_open
        if header_of(request, b"x-plain"):
            writer.write(answer_of(request))
            return
        n_open += 1
        head = head_of(request, b"content-length: %d\r\n\r\n" % 10**9)
        writer.write(head.replace(b"200 OK", status))
        try:
            while not writer.is_closing():
                writer.write(b"a" * PIECE_BYTES)
                await writer.drain()
        finally:
            n_open -= 1

    async def scenario():
        async with Deployment([script, script]) as deployment:
            for index in (0, 1):
                deployment.send_heartbeat(index, 2, slots=4)
            for _ in range(n_calls):
                await call_endless(deployment)
            await deployment.wait_until(lambda: n_open == 0, END_MARGIN_S)
            assert [relay._gate.n_running for relay in deployment.relays] == [0, 0]
            status, *_ = await deployment.call(x_plain="1")
            assert status == 200

    run(scenario)
