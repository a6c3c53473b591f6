"""Calls between nodes that share one connection.

Guards against calls that affect each other: an answer that reaches another caller, a
cancelled or slow call that ends or delays other calls, a stalled connection that gets
new calls, a truncated body that looks complete, and bodies that fill the memory.
"""

import asyncio
import time

import msgspec
import pytest
from _hop_ends import (
    budget_of,
    complete_answer,
    hop,
    make_call,
    make_report,
    make_request,
    run,
)

from knapweedspring_relay import _hop_client as hop_client
from knapweedspring_relay import _send_window as send_window
from knapweedspring_relay._answer import Answer
from knapweedspring_relay._errors import (
    CallWithdrawn,
    ConnectFailed,
    ConnectionBroke,
)
from knapweedspring_relay._frame_reader import FrameReader
from knapweedspring_relay._gate_result import GateResult
from knapweedspring_relay._hop import HopOutcome
from knapweedspring_relay._hop_client import HopPool, HopSettings
from knapweedspring_relay._hop_frames import (
    AnswerFrame,
    BodyFrame,
    CallFrame,
    CancelFrame,
    FrameError,
    PingFrame,
    encode_frame,
)
from knapweedspring_relay._memory_budget import CONNECTION_BYTES, REQUEST_BYTES
from knapweedspring_relay._withdrawal import Withdrawal


@pytest.mark.parametrize("step", [1, 3, 7, 1_000])
def test_frames_are_decoded_wherever_the_bytes_are_split(step):
    frames = [BodyFrame(1, b"x" * 40), PingFrame(), CancelFrame(7)]
    data = b"".join(encode_frame(frame) for frame in frames)
    reader, found = FrameReader(), []
    for begin in range(0, len(data), step):
        found += reader.feed(data[begin : begin + step])
    assert found == frames
    assert reader.n_pending_bytes == 0


@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\nhost: h\r\n\r\n",
        b"\xff\xff\xff\xff",
        b"\x00\x00\x00\x01\xc1",
        b"\x00\x00\x00\x02\x91\x63",
    ],
)
def test_bytes_that_are_not_frames_raise_an_error(data):
    with pytest.raises(FrameError):
        list(FrameReader().feed(data))


def test_answers_in_any_order_reach_their_own_callers_on_one_connection():
    async def script(call, request):
        await asyncio.sleep(0.05 if call.request_id == "slow" else 0.0)
        return complete_answer(request.target)

    async def scenario():
        async with hop(script) as (pool, address, _, _, _):
            answers = await asyncio.gather(
                *(
                    pool.call(address, make_call(name), make_request(name.encode()))
                    for name in ("slow", "b", "c")
                )
            )
            bodies = [gate_result.answer.complete_body() for gate_result in answers]
            assert bodies == [b"slow", b"b", b"c"]
            assert answers[0].answer.encoded_headers == b"x-seal: s\r\n"
            assert pool.n_connections == 1

    run(scenario)


def test_cancelled_caller_cancels_only_its_own_call():
    async def script(call, request):
        await asyncio.sleep(0.2)
        return complete_answer(b"done")

    async def scenario():
        async with hop(script) as (pool, address, gate, listener, _):
            cancelled = asyncio.ensure_future(
                pool.call(address, make_call("a"), make_request())
            )
            remaining = asyncio.ensure_future(
                pool.call(address, make_call("b"), make_request())
            )
            await asyncio.sleep(0.05)
            cancelled.cancel()
            await asyncio.sleep(0.05)
            assert gate.n_cancelled == 1
            assert listener.n_active == 1
            assert (await remaining).answer.complete_body() == b"done"

    run(scenario)


def test_withdrawal_is_passed_on_to_the_gate_and_cancels_nothing():
    """A withdrawn call that runs at the upstream keeps its answer."""

    async def script(call, request):
        await asyncio.sleep(0.1 if call.request_id == "r" else 0.0)
        return complete_answer(b"done")

    async def scenario():
        async with hop(script) as (pool, address, gate, _, _):
            await pool.call(address, make_call("first"), make_request())
            withdrawal, withdrawn = Withdrawal(), []
            gate.withdraw = lambda call: withdrawn.append(call.request_id)
            calling = asyncio.ensure_future(
                pool.call(address, make_call(), make_request(), withdrawal)
            )
            await asyncio.sleep(0.02)
            withdrawal.request()
            assert (await calling).answer.complete_body() == b"done"
            assert withdrawn == ["r"]
            assert gate.n_cancelled == 0

    run(scenario)


def test_call_that_is_withdrawn_before_it_is_sent_is_not_sent():
    async def script(call, request):
        raise AssertionError("the call was sent")

    async def scenario():
        async with hop(script) as (pool, address, _, listener, errors):
            withdrawal = Withdrawal()
            calling = asyncio.ensure_future(
                pool.call(address, make_call(), make_request(), withdrawal)
            )
            # The connection is being opened.
            await asyncio.sleep(0)
            withdrawal.request()
            with pytest.raises(CallWithdrawn):
                await calling
            await asyncio.sleep(0.02)
            assert (listener.n_active, errors) == (0, [])

    run(scenario)


def test_call_is_active_until_the_bytes_of_its_answer_are_sent():
    """A stopping node closed connections with answers in its write buffers."""
    body = b"b" * 16_000_000

    async def script(call, request):
        return complete_answer(body)

    async def scenario():
        async with hop(script) as (_, address, _, listener, _):
            host, port = address.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(encode_frame(CallFrame(1, make_call(), make_request())))
            await asyncio.sleep(0.3)
            # The reader has paused: its limit is far below the size of the answer.
            assert listener.n_active == 1
            await reader.readexactly(len(body))
            await asyncio.sleep(0.1)
            assert listener.n_active == 0
            writer.close()

    run(scenario)


def test_call_without_outcome_in_time_fails_and_is_cancelled_at_the_gate():
    async def script(call, request):
        await asyncio.sleep(5.0)

    async def scenario():
        async with hop(script) as (pool, address, gate, _, _):
            with pytest.raises(TimeoutError):
                await pool.call(address, make_call(left_s=0.05), make_request())
            await asyncio.sleep(0.05)
            assert gate.n_cancelled == 1

    run(scenario)


def test_calls_fail_when_the_connection_closes_and_when_no_node_listens():
    async def script(call, request):
        await asyncio.sleep(5.0)

    async def scenario():
        async with hop(script) as (pool, address, _, listener, _):
            pending = asyncio.ensure_future(
                pool.call(address, make_call(), make_request())
            )
            await asyncio.sleep(0.05)
            listener.close()
            with pytest.raises(ConnectionBroke):
                await pending
            with pytest.raises(ConnectFailed):
                await pool.call(address, make_call(), make_request())

    run(scenario)


def test_stalled_connection_gets_no_new_calls():
    """A connection stops delivering bytes without a reset; new connections work."""

    async def scenario():
        connections = []

        async def serve(reader, writer):
            connections.append(writer)
            if len(connections) == 1:
                return
            frames = FrameReader()
            while data := await reader.read(65_536):
                for frame in frames.feed(data):
                    answer = AnswerFrame(frame.stream, make_report(), 200)
                    writer.write(encode_frame(answer))

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        pool = HopPool(HopSettings(connect_s=0.5, unacknowledged_s=1.0))
        stalled = asyncio.ensure_future(pool.call(address, make_call(), make_request()))
        deadline = hop_client.PING_AFTER_S + hop_client.PONG_TIMEOUT_S + 0.2
        for _ in range(int(deadline / 0.05)):
            await asyncio.sleep(0.05)
            pool.check_connections()
        assert not stalled.done()
        gate_result = await pool.call(address, make_call(), make_request())
        assert gate_result.answer.status == 200
        assert len(connections) == 2
        stalled.cancel()
        pool.close()
        server.close()

    run(scenario)


def test_connection_with_a_slow_call_that_answers_pings_is_kept():
    async def script(call, request):
        await asyncio.sleep(0.8)
        return complete_answer(b"late")

    async def scenario():
        async with hop(script) as (pool, address, _, _, _):
            first = asyncio.ensure_future(
                pool.call(address, make_call(), make_request())
            )
            for _ in range(14):
                await asyncio.sleep(0.05)
                pool.check_connections()
            second = asyncio.ensure_future(
                pool.call(address, make_call(), make_request())
            )
            await asyncio.gather(first, second)
            assert pool.n_connections == 1

    run(scenario)


def test_draining_node_answers_pending_calls_and_gets_no_new_ones():
    async def script(call, request):
        await asyncio.sleep(0.1)
        return complete_answer(b"done")

    async def scenario():
        async with hop(script) as (pool, address, _, listener, _):
            pending = asyncio.ensure_future(
                pool.call(address, make_call(), make_request())
            )
            await asyncio.sleep(0.05)
            listener.drain()
            await asyncio.sleep(0.02)
            assert pool._usable_connection(address) is None
            assert (await pending).answer.complete_body() == b"done"

    run(scenario)


def test_long_body_waits_for_a_slow_reader_and_arrives_whole():
    n_bytes = 1_000_000
    read_sizes = []

    async def script(call, request):
        answer = Answer(200, [], asyncio.get_running_loop())
        for _ in range(n_bytes // 10_000):
            answer.add(b"x" * 10_000)
        answer.on_read(read_sizes.append)
        asyncio.get_running_loop().call_soon(answer.complete)
        return GateResult(make_report(), answer)

    async def scenario():
        async with hop(script) as (pool, address, _, _, _):
            gate_result = await pool.call(address, make_call(), make_request())
            await asyncio.sleep(0.1)
            assert sum(read_sizes) <= send_window.WINDOW_BYTES + 20_000
            assert len(await gate_result.answer.read_all(10_000_000)) == n_bytes

    run(scenario)


def test_truncated_body_does_not_look_complete():
    async def script(call, request):
        answer = Answer(200, [], asyncio.get_running_loop())
        answer.add(b"part")
        loop = asyncio.get_running_loop()
        loop.call_later(0.05, answer.fail, ConnectionBroke("reset"))
        return GateResult(make_report(), answer)

    async def scenario():
        async with hop(script) as (pool, address, _, _, _):
            gate_result = await pool.call(address, make_call(), make_request())
            with pytest.raises(ConnectionBroke):
                await gate_result.answer.read_all(10_000_000)

    run(scenario)


def test_exception_at_the_gate_is_answered_as_lost_and_reported():
    async def script(call, request):
        raise ZeroDivisionError

    async def scenario():
        async with hop(script) as (pool, address, _, _, errors):
            gate_result = await pool.call(address, make_call("bad"), make_request())
            assert gate_result.report.outcome is HopOutcome.LOST
            assert errors[0][0].request_id == "bad"

    run(scenario)


def test_bodies_beyond_the_memory_limit_are_refused():
    async def script(call, request):
        raise AssertionError("must not run")

    async def scenario():
        budget = budget_of(CONNECTION_BYTES + REQUEST_BYTES + 100)
        async with hop(script, budget) as (pool, address, _, _, _):
            request = make_request(body=b"x" * 101)
            gate_result = await pool.call(address, make_call(), request)
            assert gate_result.report.outcome is HopOutcome.REFUSED

    run(scenario)


def test_malformed_frames_fail_the_call_and_are_counted():
    async def scenario():
        async def serve(reader, writer):
            await reader.read(1)
            writer.write(b"HTTP/1.1 400 Bad Request\r\n\r\n")

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        pool = HopPool(HopSettings(connect_s=0.5, unacknowledged_s=1.0))
        with pytest.raises(ConnectionBroke):
            await pool.call(address, make_call(), make_request())
        assert pool.n_bad_frames == 1
        server.close()

    run(scenario)


def test_long_frame_in_many_pieces_is_decoded_in_linear_time():
    """Guards against copying all pending bytes for each 64 KiB of a 30 MB body."""
    data = encode_frame(BodyFrame(1, b"x" * 30_000_000)) + encode_frame(PingFrame())
    reader, found = FrameReader(), []
    began = time.process_time()
    for begin in range(0, len(data), 65_536):
        found += reader.feed(data[begin : begin + 65_536])
    assert [type(frame) for frame in found] == [BodyFrame, PingFrame]
    assert time.process_time() - began < 1.0


@pytest.mark.parametrize(
    "number", [{"left_s": float("nan")}, {"rate_limit": float("inf")}]
)
def test_call_with_a_number_that_is_not_finite_ends_only_its_connection(number):
    async def scenario():
        async def answer(call, request):
            return complete_answer(b"ok")

        async with hop(answer) as (pool, address, _, _, errors):
            broken = msgspec.structs.replace(make_call(), **number)
            frame = encode_frame(CallFrame(1, broken, make_request()))
            host, port = address.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(frame)
            assert await asyncio.wait_for(reader.read(-1), 2.0) == b""
            writer.close()
            result = await pool.call(address, make_call(), make_request())
            assert result.answer.status == 200
            assert errors == []

    run(scenario)


def test_call_that_is_cancelled_as_it_arrives_leaves_nothing_behind():
    """It stayed active, so that a planned stop waited for it until its end."""

    async def scenario():
        async def answer(call, request):
            await asyncio.sleep(1.0)
            return complete_answer(b"ok")

        async with hop(answer) as (_, address, _, listener, _):
            frames = CallFrame(1, make_call(), make_request()), CancelFrame(1)
            host, port = address.split(":")
            _, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"".join(encode_frame(frame) for frame in frames))
            await asyncio.sleep(0.2)
            assert listener.n_active == 0
            assert all(not c._calls for c in listener._connections)
            writer.close()

    run(scenario)


# Guards against a status that is none, which a gate of an earlier version passes on.
@pytest.mark.parametrize("status", [99, 600, 999])
def test_answer_of_a_gate_with_a_status_that_is_none_is_lost(status):
    async def script(call, request):
        answer = Answer(status, [], asyncio.get_running_loop())
        answer.complete()
        return GateResult(make_report(), answer)

    async def scenario():
        async with hop(script) as (pool, address, _, _, _):
            gate_result = await pool.call(address, make_call(), make_request())
            assert gate_result.report.outcome is HopOutcome.LOST
            assert gate_result.answer is None

    run(scenario)
