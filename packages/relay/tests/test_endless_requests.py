"""Guards against peers that send without end to any of a node's listeners.

Callers, the upstream with its liveness reports, readers of metrics and readiness, and
other nodes must not be able to fill the memory of a node.
"""

import asyncio
import contextlib
import resource

import pytest
from _deployment import Deployment, answer_ok, make_configuration

from knapweedspring_relay import CallLimits

#: Size of one write, in bytes, and the most that may be taken from one connection: the
#: limit on a body and what the kernel buffers on both sides.
PIECE_BYTES = 65_536
LIMITS = CallLimits(body_bytes=32 * 1_048_576)
MAX_TAKEN_BYTES = 48 * 1_048_576
#: Growth of the memory of the process that is allowed, in bytes.
MAX_GROWTH_BYTES = 80 * 1_048_576
#: Time after which a listener that takes no bytes counts as one that has stopped to
#: read, in seconds.
STALL_S = 0.5
LISTENERS = ("entry", "heartbeat", "readiness", "metrics", "knowledge", "gate")
CHUNKED = b"PUT /a HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n"
#: Beginnings of requests, and what is repeated without end.
PARTS = {
    "target": (b"GET /", b"a"),
    "header lines": (b"GET / HTTP/1.1\r\nhost: h\r\n", b"x-a: 1\r\n"),
    "header value": (b"GET / HTTP/1.1\r\nhost: h\r\nx-a: ", b"a"),
    "body": (
        b"PUT /a HTTP/1.1\r\nhost: h\r\ncontent-length: 99999999999\r\n\r\n",
        b"a",
    ),
    "chunks": (CHUNKED, b"fff\r\n%b\r\n" % (b"a" * 0xFFF)),
    "chunk extension": (CHUNKED + b"1;", b"a"),
    "trailer": (CHUNKED + b"1\r\na\r\n0\r\n", b"x-a: 1\r\n"),
    "requests": (b"", b"GET /read/1 HTTP/1.1\r\nhost: h\r\n\r\n"),
    "no request": (b"", b"\x00"),
    "long frame": (b"\x02\x00\x00\x00\x94\x01\x01", b"a"),
}


async def send_endlessly(address, begin, piece):
    """Send until the listener closes or stops to read; return the bytes it took."""
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    n_bytes = 0
    data = piece * (PIECE_BYTES // len(piece))
    # The listener may reset the connection.
    with contextlib.suppress(ConnectionError, TimeoutError):
        writer.write(begin)
        while n_bytes <= MAX_TAKEN_BYTES and not reader.at_eof():
            writer.write(data)
            await asyncio.wait_for(writer.drain(), STALL_S)
            n_bytes += len(data)
    writer.transport.abort()
    return n_bytes


@pytest.mark.parametrize("part", PARTS)
@pytest.mark.parametrize("listener", LISTENERS)
def test_endless_request_is_bounded_and_other_calls_are_served(listener, part):
    async def scenario():
        configuration = make_configuration(limits=LIMITS)
        async with Deployment([answer_ok], configuration) as deployment:
            await deployment.call()
            address = getattr(deployment.settings[0], f"{listener}_address")
            before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1_024
            n_bytes = await send_endlessly(address, *PARTS[part])
            after = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1_024
            assert n_bytes <= MAX_TAKEN_BYTES
            assert after - before < MAX_GROWTH_BYTES
            status, *_ = await deployment.call()
            assert status == 200

    asyncio.run(asyncio.wait_for(scenario(), 60))
