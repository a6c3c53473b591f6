"""Guards against one malformed message or unexpected error that ends a process.

Random and mutated bytes go to each address of a node, and come back from an upstream,
a peer and a source. No callback may raise, and a call beside them is answered.
"""

import asyncio
import contextlib
import random
from dataclasses import replace

import msgspec
import pytest
from _deployment import Deployment, answer_of, answer_ok, free_address, header_of

from knapweedspring_relay._configuration import CallKind
from knapweedspring_relay._hop import HopCall
from knapweedspring_relay._hop_frames import (
    AnswerFrame,
    CallFrame,
    CancelFrame,
    CreditFrame,
    FollowFrame,
    GoAwayFrame,
    KnowledgeFrame,
    PingFrame,
    encode_frame,
)
from knapweedspring_relay._requests import ForwardedRequest

#: A number that Python's conversion from text refuses.
LONG_NUMBER = b"9" * 5_000

CALL = HopCall("id", "svc", "i-0", 1.0, 1, 1, CallKind.IDEMPOTENT, "read", "svc", 1)
FRAMES = (
    CallFrame(1, CALL, ForwardedRequest(b"GET", b"/read/1", b"", b"")),
    CancelFrame(7),
    CreditFrame(9, -5),
    PingFrame(),
    GoAwayFrame(),
    FollowFrame(-1, 10**9, -1, 0.0),
    FollowFrame(1, 0, 1, float("nan")),
    KnowledgeFrame(b"\xc1"),
)
REQUESTS = (
    b"GET /read/1 HTTP/1.1\r\nhost: h\r\nx-id: 1\r\nx-deadline-ms: %b\r\n\r\n"
    % LONG_NUMBER,
    b"POST /write/1 HTTP/1.1\r\nhost: h\r\ncontent-length: %b\r\n\r\n" % LONG_NUMBER,
    b"GET /knowledge?%b&-1&x HTTP/1.1\r\nhost: h\r\n\r\n" % LONG_NUMBER,
    b"GET /knowledge?&&&&& HTTP/1.1\r\nhost: \xff\xfe\r\n\r\n",
    b"GET /ready HTTP/1.1\r\nhost: h\r\n\r\n",
    b"PUT / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
)
ANSWER_HEADERS = (
    b"content-length: %b" % LONG_NUMBER,
    b"content-length: -1",
    b"keep-alive: timeout=%b" % LONG_NUMBER,
    b"retry-after: %b" % LONG_NUMBER,
    b"x-seal: \xff\xff",
    b"transfer-encoding: chunked\r\ncontent-length: 2",
)


def run(scenario, limit_s=60):
    """Run a scenario, and fail when a callback or a task of the loop raised."""
    problems = []

    async def main():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: problems.append(context))
        await asyncio.wait_for(scenario(), limit_s)

    asyncio.run(main())
    assert not problems


def mutate(rng, data):
    data = bytearray(data)
    for _ in range(rng.randrange(1, 6)):
        choice, at = rng.random(), rng.randrange(len(data) + 1)
        if choice < 0.4 and at < len(data):
            data[at] = rng.randrange(256)
        elif choice < 0.6:
            data[at:at] = rng.randbytes(rng.randrange(1, 9))
        elif choice < 0.8:
            del data[at : at + rng.randrange(1, 9)]
        else:
            del data[at:]
    return bytes(data)


async def send(address, data):
    """Send bytes to a node and close, at times before they can be answered."""
    host, port = address.split(":")
    with contextlib.suppress(ConnectionError, TimeoutError):
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(data)
        await asyncio.wait_for(reader.read(65_536), 0.02)
        writer.close()


def failures_of(relay):
    values = relay._counters.values
    return {
        key: n
        for key, n in values.items()
        if key[0] in ("handler_failures", "timer_failures", "task_failures")
    }


@pytest.mark.parametrize("seed", range(4))
def test_malformed_input_at_each_address_ends_no_process(seed):
    async def scenario():
        rng = random.Random(seed)
        async with Deployment([answer_ok, answer_ok]) as deployment:
            settings = deployment.settings[0]
            addresses = (
                settings.entry_address,
                settings.gate_address,
                settings.knowledge_address,
                settings.heartbeat_address,
                settings.readiness_address,
            )
            whole = [*map(encode_frame, FRAMES), *REQUESTS]
            inputs = whole + [mutate(rng, rng.choice(whole)) for _ in range(60)]
            inputs += [rng.randbytes(rng.randrange(1, 400)) for _ in range(10)]
            for data in inputs:
                await asyncio.gather(*(send(address, data) for address in addresses))
            assert (await deployment.call())[0] == 200
            assert all(relay.is_ready for relay in deployment.relays)
            assert not failures_of(deployment.relays[0])

    run(scenario)


@pytest.mark.parametrize("header", ANSWER_HEADERS)
def test_malformed_answer_of_an_upstream_ends_only_its_call(header):
    async def script(upstream, request, writer):
        if header_of(request, b"x-plain"):
            writer.write(answer_of(request))
            return
        writer.write(
            b"HTTP/1.1 200 OK\r\nx-id: %b\r\nx-seal: s\r\n%b\r\n\r\nok"
            % (header_of(request, b"x-id"), header)
        )
        writer.close()

    async def scenario():
        async with Deployment([script]) as deployment:
            with contextlib.suppress(Exception):
                await deployment.call()
            assert (await deployment.call(x_plain="1"))[0] == 200
            assert not failures_of(deployment.relays[0])

    run(scenario)


@pytest.mark.parametrize("seed", range(3))
def test_malformed_frames_of_a_gate_and_of_a_source_end_only_the_connection(seed):
    async def scenario():
        rng = random.Random(seed)
        address = free_address()
        answers = [
            AnswerFrame(10**6, None, 200),
            KnowledgeFrame(msgspec.msgpack.encode([None, 1, [0, 0], [5], None])),
            KnowledgeFrame(b""),
            *FRAMES,
        ]

        async def serve(reader, writer):
            with contextlib.suppress(ConnectionError):
                await reader.read(4096)
                frame = encode_frame(rng.choice(answers))
                writer.write(frame if rng.random() < 0.5 else mutate(rng, frame))
                await writer.drain()
            writer.close()

        host, port = address.split(":")
        server = await asyncio.start_server(serve, host, int(port))
        async with Deployment([answer_ok, answer_ok]) as deployment:
            store = deployment.store
            entry = store.entries["n1"]
            for index in range(6):
                name = f"foreign-{index}"
                await store.write_entry(
                    replace(entry, node=name, gate_address=address, born_ms=index),
                    store._record_of(name).position,
                )
            for _ in range(30):
                with contextlib.suppress(Exception):
                    await deployment.call(x_deadline_ms="200")
            server.close()
            for relay in deployment.relays:
                assert relay.is_ready
                assert not failures_of(relay)

    run(scenario)
