"""Guards against callers whose bytes have no end, or who leave their answers unread.

What a listener holds for one connection must have a limit, and other callers must be
answered meanwhile.
"""

import asyncio
import contextlib

import pytest

from knapweedspring_relay import RequestHandler
from knapweedspring_relay._http_server import HttpListener

HEAD = b"POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n"
GET = b"GET / HTTP/1.1\r\nhost: h\r\n\r\n"
#: Bytes that a caller may send beyond a limit: buffers of the kernel on both sides.
KERNEL_BYTES = 16 * 1_048_576


class Recorder(RequestHandler):
    """Answers each request with the same body, and keeps the requests."""

    def __init__(self, body=b"ok"):
        self.requests = []
        self._body = body

    async def handle(self, exchange):
        self.requests.append(exchange.request)
        exchange.send_answer(200, [], self._body)


@contextlib.asynccontextmanager
async def listening(handler):
    listener = HttpListener("127.0.0.1:0", handler)
    await listener.start()
    host, port = listener.address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        yield listener, reader, writer
    finally:
        writer.close()
        listener.close()
        with contextlib.suppress(ConnectionError):
            await writer.wait_closed()


def run(scenario, limit_s=20):
    asyncio.run(asyncio.wait_for(scenario(), limit_s))


# Guards against fields of a trailer, such as a second request id, that become headers.
def test_trailer_of_a_request_adds_no_headers():
    async def scenario():
        handler = Recorder()
        async with listening(handler) as (_, reader, writer):
            writer.write(HEAD + b"2\r\nab\r\n0\r\nx-id: late\r\n\r\n" + GET)
            for _ in range(2):
                await reader.readuntil(b"ok")
            first, second = handler.requests
            assert first.body == b"ab"
            assert first.header(b"x-id") is None
            assert second.headers == [(b"host", b"h")]

    run(scenario)


@pytest.mark.parametrize(
    ("begin", "piece"),
    [
        (b"2\r\nab\r\n0\r\n", b"x-a: 1\r\n"),
        (b"2\r\nab\r\n0\r\nx-a: ", b"a"),
        (b"2;", b"a"),
        (b"", b"0"),
    ],
    ids=["trailer fields", "trailer value", "chunk extension", "chunk size"],
)
def test_framing_of_a_body_without_end_is_refused(begin, piece):
    async def scenario():
        async with listening(Recorder()) as (_, reader, writer):
            writer.write(HEAD + begin)
            n_bytes = 0
            with contextlib.suppress(ConnectionError):
                while not writer.is_closing() and n_bytes <= KERNEL_BYTES:
                    writer.write(piece * 4_096)
                    n_bytes += len(piece) * 4_096
                    await writer.drain()
                    await asyncio.sleep(0)
            assert n_bytes < KERNEL_BYTES

    run(scenario)


# Guards against unsent answers that pile up for a caller that sends and never reads.
def test_caller_that_reads_no_answer_is_not_read_from():
    n_requests, n_answer_bytes = 1_000, 60_000

    async def scenario():
        handler = Recorder(bytes(n_answer_bytes))
        async with listening(handler) as (listener, reader, writer):
            for _ in range(n_requests):
                writer.write(GET)
                await asyncio.sleep(0)
            await asyncio.sleep(0.3)
            (connection,) = listener._connections
            n_unsent = connection._transport.get_write_buffer_size()
            assert n_unsent <= 65_536 + n_answer_bytes + 1_024
            assert len(handler.requests) < n_requests
            # The answers follow once they are read.
            for _ in range(n_requests):
                head = await reader.readuntil(b"\r\n\r\n")
                assert head.startswith(b"HTTP/1.1 200")
                await reader.readexactly(n_answer_bytes)
            assert len(handler.requests) == n_requests

    run(scenario)


# Guards against a queue of requests that grows with each answer, since the connection
# receives a further segment of requests for it.
def test_pipelined_requests_are_received_no_faster_than_they_are_answered():
    n_requests = 60_000
    largest = 0

    class SlowHandler(RequestHandler):
        async def handle(self, exchange):
            nonlocal largest
            largest = max(largest, exchange._connection.n_pending)
            await asyncio.sleep(0)
            exchange.send_answer(200, [], b"")

    async def scenario():
        async with listening(SlowHandler()) as (_, reader, writer):

            async def read_answers():
                n_read = 0
                while n_read < n_requests:
                    n_read += (await reader.readuntil(b"\r\n\r\n")).count(b"HTTP/1.1")

            reading = asyncio.ensure_future(read_answers())
            writer.write(GET * n_requests)
            await reading
            # What one read of the socket may bring, and those queued before it.
            assert largest <= 262_144 // len(GET) + 10

    run(scenario, 60)


# Guards against a body in tiny chunks that takes a multiple of its length in memory.
def test_body_in_tiny_chunks_takes_no_more_memory_than_its_bytes():
    n_bytes = 400_000

    async def scenario():
        async with listening(Recorder()) as (listener, _, writer):
            writer.write(HEAD + b"2\r\nab\r\n" * (n_bytes // 2))
            await writer.drain()
            (connection,) = listener._connections
            while len(connection._body) < n_bytes:
                await asyncio.sleep(0.01)
            assert connection._body.__sizeof__() <= 2 * n_bytes

    run(scenario)


class SlowDownload(Recorder):
    """Answers in pieces, and orders at once."""

    async def handle(self, exchange):
        self.requests.append(exchange.request)
        if exchange.request.method == b"POST":
            exchange.send_answer(200, [], b"ok")
            return
        exchange.start_streamed_answer(200, b"", 10)
        for _ in range(10):
            await exchange.send_body_piece(b"a")
            await asyncio.sleep(0.01)
        exchange.finish_streamed_answer()


# Guards against "100 Continue" in the body of an answer that is still being sent.
def test_interim_answer_comes_after_the_answer_that_is_being_sent():
    async def scenario():
        handler = SlowDownload()
        async with listening(handler) as (_, reader, writer):
            writer.write(GET)
            await reader.readuntil(b"\r\n\r\n")
            writer.write(
                b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 9\r\n"
                b"expect: 100-continue\r\n\r\n"
            )
            assert await reader.readexactly(10) == b"a" * 10
            interim = await reader.readuntil(b"\r\n\r\n")
            assert interim == b"HTTP/1.1 100 Continue\r\n\r\n"
            writer.write(b"two boxes")
            assert (await reader.readuntil(b"ok")).startswith(b"HTTP/1.1 200")
        assert handler.requests[1].body == b"two boxes"

    run(scenario)


@pytest.mark.parametrize("sends_body_at_once", [False, True])
def test_interim_answer_is_sent_once_and_only_while_the_body_is_due(sends_body_at_once):
    async def scenario():
        async with listening(Recorder()) as (_, reader, writer):
            for _ in range(2):
                head = (
                    b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 9\r\n"
                    b"expect: 100-continue\r\n\r\n"
                )
                writer.write(head + (b"two boxes" if sends_body_at_once else b""))
                if not sends_body_at_once:
                    await reader.readuntil(b"\r\n\r\n")
                    writer.write(b"two boxes")
                answer = await reader.readuntil(b"ok")
                assert answer.count(b"100 Continue") <= int(sends_body_at_once)
                assert answer.count(b"200 OK") == 1

    run(scenario)


# Guards against a second answer to a request that is refused for two reasons.
@pytest.mark.parametrize("end", [b"\x00\r\n\r\n", b"\x00"])
def test_refused_request_gets_one_answer(end):
    async def scenario():
        async with listening(Recorder()) as (_, reader, writer):
            writer.write(b"GET / HTTP/1.1\r\nx-a: " + b"a" * 200_000 + b"\r\n" + end)
            answer = b""
            with contextlib.suppress(ConnectionError):
                answer = await reader.read()
            assert answer.count(b"HTTP/1.1 4") <= 1

    run(scenario)
