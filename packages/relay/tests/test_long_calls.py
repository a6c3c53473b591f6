"""Guards against bodies that callers may send but that no gate is sent.

A body may be longer than a frame; then its parts follow the call. Nodes of an earlier
version, which would end the connection, are not sent such a call.
"""

import asyncio
import contextlib

import msgspec
import pytest
from _hop_ends import (
    budget_of,
    complete_answer,
    hop,
    make_call,
    make_request,
    n_held_bytes,
    run,
)

from knapweedspring_relay._errors import CallWithdrawn
from knapweedspring_relay._frame_reader import FrameReader
from knapweedspring_relay._hop import HopOutcome
from knapweedspring_relay._hop_client import HopPool, HopSettings
from knapweedspring_relay._hop_frames import (
    CallFrame,
    PingFrame,
    encode_call_frame,
    encode_frame,
)

LONG_BODY_BYTES = 33 * 1_048_576


def make_long_call(request_id="long"):
    return msgspec.structs.replace(make_call(request_id), left_s=10.0)


@pytest.mark.parametrize("n_bytes", [0, 200, 16_384, 16_385, 100_000])
def test_call_whose_body_is_not_copied_is_encoded_like_any_other(n_bytes):
    frame = CallFrame(7, make_call(), make_request(body=b"a" * n_bytes))
    encoded = b"".join(encode_call_frame(frame))
    (decoded,) = FrameReader().feed(encoded)
    assert decoded == frame
    if n_bytes <= 200 or n_bytes > 65_535:
        # Otherwise the length of the body takes more bytes than it needs.
        assert encoded == encode_frame(frame)


@pytest.mark.parametrize("make_body", [bytes, bytearray])
def test_long_body_arrives_whole_beside_other_calls(make_body):
    bodies = {}

    async def script(call, request):
        bodies[call.request_id] = request.body
        return complete_answer(b"done")

    async def scenario():
        body = make_body(bytes(range(256)) * (LONG_BODY_BYTES // 256))
        async with hop(script) as (pool, address, _, listener, _):
            sending = asyncio.ensure_future(
                pool.call(address, make_long_call(), make_request(body=body))
            )
            small = await pool.call(address, make_call("small"), make_request())
            assert small.report.outcome is HopOutcome.ANSWERED
            assert (await sending).report.outcome is HopOutcome.ANSWERED
            assert bodies["long"] == body
            await asyncio.sleep(0.05)
            assert n_held_bytes(listener.budget) == 0

    run(scenario)


def test_long_call_beyond_the_memory_of_the_gate_is_refused():
    async def script(call, request):
        return complete_answer(b"done")

    async def scenario():
        budget = budget_of(LONG_BODY_BYTES // 2)
        async with hop(script, budget) as (pool, address, _, _, _):
            request = make_request(body=bytes(LONG_BODY_BYTES))
            refused = await pool.call(address, make_long_call(), request)
            assert refused.report.outcome is HopOutcome.REFUSED
            small = await pool.call(address, make_call("small"), make_request())
            assert small.report.outcome is HopOutcome.ANSWERED
            await asyncio.sleep(0.05)
            assert n_held_bytes(budget) == 0

    run(scenario)


def test_long_call_whose_caller_leaves_releases_its_memory():
    async def script(call, request):
        raise AssertionError("must not run")

    async def scenario():
        async with hop(script) as (pool, address, _, listener, errors):
            request = make_request(body=bytes(LONG_BODY_BYTES))
            left = asyncio.ensure_future(pool.call(address, make_long_call(), request))
            while n_held_bytes(listener.budget) < 1_000_000:
                await asyncio.sleep(0)
            left.cancel()
            await asyncio.sleep(0.2)
            assert n_held_bytes(listener.budget) == 0
            assert errors == []

    run(scenario)


def test_gate_of_an_earlier_version_is_sent_no_long_call():
    received = bytearray()

    async def serve(reader, writer):
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65_536):
                received.extend(data)
                # The pong of an earlier version has no fields.
                writer.write(b"\x00\x00\x00\x02\x91\x08")

    async def scenario():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = "{}:{}".format(*server.sockets[0].getsockname())
        pool = HopPool(HopSettings(connect_s=0.5, unacknowledged_s=1.0))
        request = make_request(body=bytes(LONG_BODY_BYTES))
        with pytest.raises(CallWithdrawn):
            await pool.call(address, make_long_call(), request)
        assert bytes(received) == encode_frame(PingFrame())
        pool.close()
        server.close()

    run(scenario)
