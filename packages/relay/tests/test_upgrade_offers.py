"""Guards against an offer to upgrade the protocol that changes the request.

An order whose client offers an upgrade ran with an empty body, and an answer that no
request had asked for followed on its connection.
"""

import asyncio

import pytest
from test_http_server import GET, Recorder, listening, run

OFFERS = {
    "HTTP/2": b"connection: Upgrade, HTTP2-Settings\r\nupgrade: h2c\r\n"
    b"http2-settings: AAMAAABkAAQAoAAAAAIAAAAA\r\n",
    "WebSocket": b"Connection: keep-alive, Upgrade\r\nUpgrade: websocket\r\n",
    "two offers": b"connection: upgrade\r\nupgrade: h2c\r\nupgrade: TLS/1.0\r\n",
}
BODIES = {
    "length": b"content-length: 9\r\n\r\ntwo boxes",
    "chunks": b"transfer-encoding: chunked\r\n\r\n4\r\ntwo \r\n5\r\nboxes\r\n0\r\n\r\n",
}


@pytest.mark.parametrize("body", BODIES)
@pytest.mark.parametrize("offer", OFFERS)
def test_order_whose_client_offers_an_upgrade_runs_with_its_body(offer, body):
    async def scenario():
        order = (
            b"POST /order?n=1 HTTP/1.1\r\nhost: h\r\nx-id: a\r\n"
            + OFFERS[offer]
            + BODIES[body]
        )
        for cut in range(0, len(order) + 1, 7):
            handler = Recorder()
            async with listening(handler) as (_, reader, writer):
                writer.write(order[:cut])
                await writer.drain()
                await asyncio.sleep(0.002)
                writer.write(order[cut:] + GET)
                for _ in range(2):
                    answer = await reader.readuntil(b"ok")
                    assert answer.startswith(b"HTTP/1.1 200"), cut
            first, second = handler.requests
            assert (first.method, first.target) == (b"POST", b"/order?n=1")
            assert (first.body, first.header(b"x-id")) == (b"two boxes", b"a")
            assert first.header(b"upgrade") is None
            assert second.method == b"GET"

    run(scenario)


def test_offer_in_a_request_behind_a_body_is_declined():
    async def scenario():
        handler = Recorder()
        order = b"POST / HTTP/1.1\r\nhost: h\r\n%b" % BODIES["length"]
        offer = b"GET /offer HTTP/1.1\r\nhost: h\r\n%b\r\n" % OFFERS["HTTP/2"]
        async with listening(handler) as (_, reader, writer):
            writer.write(order + offer + order + GET)
            for _ in range(4):
                answer = await reader.readuntil(b"ok")
                assert answer.startswith(b"HTTP/1.1 200")
        methods = [request.method for request in handler.requests]
        assert methods == [b"POST", b"GET", b"POST", b"GET"]
        assert handler.requests[2].body == b"two boxes"

    run(scenario)


@pytest.mark.parametrize("target", [b"/order", b"h:443"])
def test_connect_is_refused_and_not_run(target):
    async def scenario():
        handler = Recorder()
        async with listening(handler) as (_, reader, writer):
            writer.write(b"CONNECT %b HTTP/1.1\r\nhost: h\r\n\r\n" % target)
            answer = await reader.read()
            assert answer.startswith(b"HTTP/1.1 400")
            assert answer.count(b"HTTP/1.1") == 1
        assert handler.requests == []

    run(scenario)


def test_limits_hold_for_a_request_with_an_offer():
    async def scenario():
        handler = Recorder()
        async with listening(handler) as (_, reader, writer):
            writer.write(
                b"POST / HTTP/1.1\r\nhost: h\r\n%bcontent-length: 99999999999\r\n\r\n"
                % OFFERS["HTTP/2"]
            )
            assert (await reader.read()).startswith(b"HTTP/1.1 413")
        assert handler.requests == []

    run(scenario)
