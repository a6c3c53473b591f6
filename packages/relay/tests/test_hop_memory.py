"""Memory of calls between nodes.

Guards against bytes that count for no limit: of calls that are arriving, that wait to
be sent or go on without their callers, and of answers that are not read.
"""

import asyncio
import contextlib

import msgspec
import pytest
from _deployment import Deployment, answer_of
from _hop_ends import (
    budget_of,
    complete_answer,
    hop,
    make_call,
    make_request,
    n_held_bytes,
    run,
)

from knapweedspring_relay._errors import ConnectFailed
from knapweedspring_relay._frame_reader import FrameReader
from knapweedspring_relay._hop import HopOutcome
from knapweedspring_relay._hop_client import HopPool, HopSettings
from knapweedspring_relay._hop_frames import CallFrame, encode_frame
from knapweedspring_relay._memory_budget import REQUEST_BYTES

#: Bytes that calls may hold in these tests.
MAX_HELD_BYTES = 32 * 1_048_576


@contextlib.asynccontextmanager
async def raw_connections(address, n_connections=1):
    host, port = address.split(":")
    peers = [
        await asyncio.open_connection(host, int(port)) for _ in range(n_connections)
    ]
    try:
        yield peers
    finally:
        for _, writer in peers:
            writer.transport.abort()
        await asyncio.sleep(0.01)


def make_large_frame(stream, n_bytes):
    call = msgspec.structs.replace(make_call(f"large-{stream}"), left_s=10.0)
    return encode_frame(CallFrame(stream, call, make_request(body=bytes(n_bytes))))


# Guards against calls that are still arriving and count for no limit: twelve of 30 MiB
# at once took a node beyond its memory, and the requests of others ended with it.
def test_calls_that_are_still_arriving_are_refused_beyond_the_memory_limit():
    n_calls, n_bytes = 12, 8 * 1_048_576

    async def script(call, request):
        return complete_answer(b"done")

    async def scenario():
        async with (
            hop(script, budget_of(MAX_HELD_BYTES)) as (_, address, _, listener, _),
            raw_connections(address, n_calls) as peers,
        ):
            frames = [make_large_frame(n + 1, n_bytes) for n in range(n_calls)]

            async def send(writer, data):
                writer.write(data)
                await writer.drain()

            await asyncio.gather(
                *(
                    send(writer, frame[:-10])
                    for (_, writer), frame in zip(peers, frames, strict=True)
                )
            )
            await asyncio.sleep(0.3)
            held = [c._frames.n_pending_bytes for c in listener._connections]
            assert sum(held) <= MAX_HELD_BYTES
            outcomes = []
            for (reader, writer), frame in zip(peers, frames, strict=True):
                # A small call behind the large one is answered in any case.
                small = encode_frame(CallFrame(99, make_call(), make_request()))
                writer.write(frame[-10:] + small)
                reader_frames, found = FrameReader(), []
                while len(found) < 2:
                    found += reader_frames.feed(await reader.read(65_536))
                by_stream = {answer.stream: answer.report.outcome for answer in found}
                assert by_stream.pop(99) is HopOutcome.ANSWERED
                outcomes += by_stream.values()
            n_answered = outcomes.count(HopOutcome.ANSWERED)
            assert n_answered >= 2
            assert outcomes.count(HopOutcome.REFUSED) == n_calls - n_answered
            assert n_held_bytes(listener.budget) == 0

    run(scenario)


# Guards against memory of an arriving call that outlives its connection.
def test_memory_of_an_arriving_call_is_released_with_its_connection():
    async def scenario():
        async with (
            hop(None) as (_, address, _, listener, _),
            raw_connections(address) as [(_, writer)],
        ):
            writer.write(make_large_frame(1, 1_048_576)[:-10])
            await asyncio.sleep(0.1)
            assert n_held_bytes(listener.budget) > 1_048_576
            writer.close()
            await asyncio.sleep(0.1)
            assert n_held_bytes(listener.budget) == 0

    run(scenario)


# Guards against large calls that wait to be sent after their callers have left.
def test_large_call_is_not_sent_behind_too_many_unsent_bytes():
    n_bytes = 20 * 1_048_576

    async def scenario():
        async def read_nothing(reader, writer):
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.sleep(0.5)
            writer.transport.abort()

        server = await asyncio.start_server(read_nothing, "127.0.0.1", 0, limit=1_024)
        address = "{}:{}".format(*server.sockets[0].getsockname())
        pool = HopPool(HopSettings(connect_s=0.5, unacknowledged_s=10.0))
        request = make_request(body=bytes(n_bytes))
        left = asyncio.ensure_future(pool.call(address, make_call("a"), request))
        await asyncio.sleep(0.1)
        left.cancel()
        await asyncio.sleep(0.05)
        try:
            with pytest.raises(ConnectFailed):
                await pool.call(address, make_call("b", left_s=0.3), request)
            # A small call is sent on a connection of its own.
            with pytest.raises(TimeoutError):
                await pool.call(address, make_call("c", left_s=0.1), make_request())
        finally:
            for connection in pool._connections[address]:
                connection._transport.abort()
            server.close()
            await asyncio.sleep(0.3)

    run(scenario)


# Guards against answers that pile up for a node that does not read them.
def test_calls_of_a_node_that_reads_no_answers_are_not_received():
    n_calls, n_answer_bytes = 1_000, 60_000

    async def script(call, request):
        return complete_answer(bytes(n_answer_bytes))

    async def scenario():
        async with (
            hop(script) as (_, address, _, listener, _),
            raw_connections(address) as [(_, writer)],
        ):
            largest = 0
            for stream in range(n_calls):
                writer.write(
                    encode_frame(CallFrame(stream, make_call(), make_request()))
                )
                await asyncio.sleep(0)
                for connection in listener._connections:
                    n_unsent = connection._transport.get_write_buffer_size()
                    largest = max(largest, n_unsent)
            await asyncio.sleep(0.1)
            assert largest <= 16 * 1_048_576

    run(scenario)


# Guards against bodies that count for no limit any more once their callers have left,
# while calls that must not be repeated go on and hold them.
def test_body_counts_as_held_while_its_call_goes_on_without_the_caller():
    n_calls, n_bytes = 6, 100_000
    may_answer = asyncio.Event()

    async def script(upstream, request, writer):
        await may_answer.wait()
        writer.write(answer_of(request))

    async def scenario():
        async with Deployment([script, script]) as deployment:
            calls = [
                asyncio.ensure_future(
                    deployment.call("/write/1", b"POST", bytes(n_bytes))
                )
                for _ in range(n_calls)
            ]
            await deployment.wait_until(
                lambda: sum(len(u.requests) for u in deployment.upstreams) == n_calls
            )
            for call in calls:
                call.cancel()
            await asyncio.sleep(0.1)
            budgets = [relay._budget for relay in deployment.relays]
            held = sum(n_held_bytes(budget) for budget in budgets)
            # Each body is held once; without the caller nothing else of the request is.
            assert n_calls * n_bytes <= held
            assert held < n_calls * (n_bytes + 2 * REQUEST_BYTES)
            may_answer.set()
            await deployment.wait_until(
                lambda: not any(n_held_bytes(budget) for budget in budgets)
            )

    run(scenario)
