"""Guards against answers that end early and look whole.

An upstream may end its answer after any byte, by closing the connection or resetting
it. Callers then got a 200 with an empty or short body. An answer without a length ends
with its connection, but is not whole when the connection is reset.
"""

import asyncio
import contextlib
import socket
import struct

import pytest
from _deployment import Deployment, answer_ok, header_of
from _hop_ends import make_call, make_report, make_request

from knapweedspring_relay import ConnectionPool, ConnectionSettings
from knapweedspring_relay._errors import CallError
from knapweedspring_relay._hop import HopOutcome
from knapweedspring_relay._hop_client import HopPool, HopSettings
from knapweedspring_relay._hop_frames import (
    AnswerFrame,
    BodyFrame,
    EndFrame,
    encode_frame,
)

#: Closes with a reset.
LINGER_ZERO = struct.pack("ii", 1, 0)
#: Time for the bytes before a reset to be received, in seconds.
RESET_DELAY_S = 0.005
#: Calls under way at once.
N_CONCURRENT = 40
HEAD = b"HTTP/1.1 200 OK\r\nx-id: %b\r\nx-seal: s\r\n"
#: Answers, as functions of the id of the request.
ANSWERS = {
    "length": HEAD + b"content-length: 12\r\nx-a: 1\r\n\r\ntwo dry wors",
    "chunks": HEAD + b"transfer-encoding: chunked\r\nx-a: 1\r\n\r\n"
    b"9;x=1\r\ntwo dry w\r\n3\r\nors\r\n0\r\nx-b: 1\r\n\r\n",
    "interim answer": b"HTTP/1.1 103 Early Hints\r\nx-a: 1\r\n\r\n"
    + HEAD
    + b"content-length: 12\r\n\r\ntwo dry wors",
    "interim answer and chunks": b"HTTP/1.1 100 Continue\r\n\r\n"
    + HEAD
    + b"transfer-encoding: chunked\r\n\r\nc\r\ntwo dry wors\r\n0\r\n\r\n",
    "empty": HEAD + b"x-a: 1\r\ncontent-length: 0\r\n\r\n",
}
UNFRAMED = HEAD + b"x-a: 1\r\n\r\ntwo dry wors"
BODY = b"two dry wors"


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario(), 60))


async def end_connection(writer, is_reset):
    if is_reset:
        await asyncio.sleep(RESET_DELAY_S)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
        writer.transport.abort()
    else:
        writer.close()


class CutUpstream:
    """Script of an upstream that ends its answer after the bytes that a caller names.

    :param answer: the whole answer, with a place for the id.
    :param is_reset: whether the connection is reset instead of closed.
    :param is_split: whether each byte is sent by itself.
    """

    def __init__(self, answer, is_reset, is_split=False):
        self._answer = answer
        self._is_reset = is_reset
        self._is_split = is_split

    async def __call__(self, upstream, request, writer):
        n_bytes = int(header_of(request, b"x-cut") or len(self._answer) * 2)
        data = self.answer_to(header_of(request, b"x-id"))[:n_bytes]
        if self._is_split:
            for index in range(len(data)):
                writer.write(data[index : index + 1])
                await asyncio.sleep(0)
        else:
            writer.write(data)
        await end_connection(writer, self._is_reset)

    def answer_to(self, request_id):
        return self._answer % request_id


def id_of(n_bytes):
    """Return an id whose length does not depend on the number."""
    return b"id-%04d" % n_bytes


async def call_cut(deployment, n_bytes, path="/write/1", method=b"POST"):
    """Return the status and the body of a call; None when the caller saw no end."""
    try:
        status, _, body = await deployment.call(
            path, method, x_cut=str(n_bytes), request_id=id_of(n_bytes)
        )
    except CallError:
        return None, b""
    return status, body


async def call_all(deployment, n_bytes_max, **options):
    """Make a call for each number of bytes; return the outcomes."""
    limit = asyncio.Semaphore(N_CONCURRENT)

    async def call(n_bytes):
        async with limit:
            return await call_cut(deployment, n_bytes, **options)

    return await asyncio.gather(*(call(n) for n in range(n_bytes_max + 1)))


def cuts_that_look_whole(outcomes):
    return [n for n, (status, _) in enumerate(outcomes) if status and status < 500]


@pytest.mark.parametrize("entry", ["beside the gate", "on another VM"])
@pytest.mark.parametrize("is_reset", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("kind", ANSWERS)
def test_answer_cut_after_any_byte_is_no_answer(kind, is_reset, entry):
    async def scenario():
        script = CutUpstream(ANSWERS[kind], is_reset)
        n_bytes = len(script.answer_to(id_of(0)))
        services = ["svc", "other"]
        async with Deployment([script, answer_ok], services=services) as deployment:
            deployment.send_heartbeat(0, 2, slots=2 * N_CONCURRENT)
            if entry == "on another VM":
                deployment.settings.reverse()
            *cut, whole = await call_all(deployment, n_bytes)
            assert cuts_that_look_whole(cut) == []
            if not is_reset:
                assert whole == (200, b"" if kind == "empty" else BODY)

    run(scenario)


@pytest.mark.parametrize("kind", ["length", "chunks", "interim answer"])
def test_answer_cut_after_any_byte_is_no_answer_when_it_arrives_in_bytes(kind):
    async def scenario():
        script = CutUpstream(ANSWERS[kind], is_reset=False, is_split=True)
        n_bytes = len(script.answer_to(id_of(0)))
        async with Deployment([script]) as deployment:
            deployment.send_heartbeat(0, 2, slots=2 * N_CONCURRENT)
            *cut, whole = await call_all(deployment, n_bytes)
            assert cuts_that_look_whole(cut) == []
            assert whole == (200, BODY)

    run(scenario)


@pytest.mark.parametrize("kind", ["length", "chunks"])
def test_cut_answers_to_repeatable_requests_are_no_answers_beside_load(kind):
    async def scenario():
        scripts = [CutUpstream(ANSWERS[kind], is_reset=False) for _ in "ab"]
        n_bytes = len(scripts[0].answer_to(id_of(0)))
        async with Deployment(scripts) as deployment:
            for index in (0, 1):
                deployment.send_heartbeat(index, 2, slots=4 * N_CONCURRENT)
            ended = asyncio.Event()

            async def load():
                while not ended.is_set():
                    sum(range(50_000))
                    await asyncio.sleep(0)

            loading = asyncio.ensure_future(load())
            options = {"path": "/read/1", "method": b"GET"}
            *cut, whole = await call_all(deployment, n_bytes, **options)
            ended.set()
            await loading
            assert cuts_that_look_whole(cut) == []
            assert whole == (200, BODY)

    run(scenario)


@pytest.mark.parametrize("is_reset", [False, True], ids=["closed", "reset"])
def test_answer_without_length_is_whole_only_when_its_connection_is_closed(is_reset):
    async def scenario():
        script = CutUpstream(UNFRAMED, is_reset)
        n_bytes = len(script.answer_to(id_of(0)))
        async with Deployment([script]) as deployment:
            deployment.send_heartbeat(0, 2, slots=2 * N_CONCURRENT)
            outcomes = await call_all(deployment, n_bytes)
        if is_reset:
            assert cuts_that_look_whole(outcomes) == []
        else:
            head_bytes = n_bytes - len(BODY)
            assert cuts_that_look_whole(outcomes[:head_bytes]) == []
            assert [body for _, body in outcomes[head_bytes:]] == [
                BODY[:n] for n in range(len(BODY) + 1)
            ]

    run(scenario)


# Guards against the beginning of a cut answer that is read as the head of the next one.
@pytest.mark.parametrize("status", [b"200 OK", b"500 Failed"])
def test_cut_head_and_the_next_answer_are_no_answer_of_the_first_status(status):
    whole = ANSWERS["length"]
    failure = (
        b"HTTP/1.1 500 Failed\r\nx-id: %b\r\nx-seal: s\r\ncontent-length: 4\r\n\r\nfail"
    )

    class GluingUpstream(CutUpstream):
        def answer_to(self, request_id):
            return b"%b%b" % (whole % request_id, failure % request_id)

        async def __call__(self, upstream, request, writer):
            n_bytes = int(header_of(request, b"x-cut"))
            request_id = header_of(request, b"x-id")
            begin = (whole % request_id)[:n_bytes].replace(b"200 OK", status)
            writer.write(begin + failure % request_id)
            await end_connection(writer, False)

    async def scenario():
        script = GluingUpstream(whole, False)
        head_bytes = (whole % id_of(0)).index(b"\r\n\r\n")
        async with Deployment([script]) as deployment:
            deployment.send_heartbeat(0, 2, slots=2 * N_CONCURRENT)
            outcomes = await call_all(deployment, head_bytes)
        assert cuts_that_look_whole(outcomes) == []

    run(scenario)


async def serve_once(data, is_reset):
    """Start a server that answers each connection with the same bytes."""

    async def serve(reader, writer):
        with contextlib.suppress(ConnectionError):
            await reader.read(65_536)
            writer.write(data)
            await end_connection(writer, is_reset)

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    return server, "{}:{}".format(*server.sockets[0].getsockname())


# Guards against pages of the store and of other nodes that end early and look whole.
@pytest.mark.parametrize("is_reset", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("kind", ["length", "chunks"])
def test_page_cut_after_any_byte_is_no_page(kind, is_reset):
    async def scenario():
        whole = ANSWERS[kind] % b"none"
        pool = ConnectionPool(ConnectionSettings(1.0, 60.0, 2.0))
        pages = []
        for n_bytes in range(len(whole)):
            server, address = await serve_once(whole[:n_bytes], is_reset)
            with contextlib.suppress(CallError):
                answer = await pool.call(address, b"GET / HTTP/1.1\r\nhost: h\r\n\r\n")
                pages.append((n_bytes, await answer.read_all(1_000)))
            server.close()
        assert pages == []

    run(scenario)


# Guards against the answer of another node that ends early and looks whole.
@pytest.mark.parametrize("is_reset", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("is_streamed", [False, True], ids=["whole", "streamed"])
def test_frames_of_a_node_cut_after_any_byte_are_no_answer(is_streamed, is_reset):
    async def scenario():
        report = make_report(HopOutcome.ANSWERED)
        if is_streamed:
            frames = (
                AnswerFrame(1, report, 200, b"x-a: 1\r\n", None, b"", False),
                BodyFrame(1, b"two dry "),
                BodyFrame(1, b"wors"),
                EndFrame(1, True),
            )
        else:
            frames = (AnswerFrame(1, report, 200, b"x-a: 1\r\n", 12, BODY),)
        whole = b"".join(map(encode_frame, frames))
        pool = HopPool(HopSettings(1.0, 2.0))
        found = []
        for n_bytes in range(len(whole) + 1):
            server, address = await serve_once(whole[:n_bytes], is_reset)
            with contextlib.suppress(CallError):
                result = await pool.call(address, make_call(), make_request())
                found.append((n_bytes, await result.answer.read_all(1_000)))
            server.close()
        assert [n for n, _ in found if n < len(whole)] == []
        if not is_reset:
            assert found == [(len(whole), BODY)]

    run(scenario)


# Guards against an answer without a length that counts as whole because the node itself
# ended its connection.
def test_answer_without_length_that_the_node_abandons_is_not_whole():
    n_bytes = 200_000

    async def serve(reader, writer):
        with contextlib.suppress(ConnectionError):
            await reader.read(65_536)
            writer.write(UNFRAMED % b"none" + bytes(n_bytes))
            await reader.read()

    async def scenario():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = "{}:{}".format(*server.sockets[0].getsockname())
        pool = ConnectionPool(ConnectionSettings(1.0, 60.0, 2.0))
        answer = await pool.call(address, b"GET / HTTP/1.1\r\nhost: h\r\n\r\n")
        ends = []
        answer.on_end(lambda: ends.append(answer.is_complete))
        answer.abandon()
        await asyncio.sleep(0.05)
        server.close()
        assert not answer.is_complete
        assert ends == [False]

    run(scenario)
