"""Guards against good answers that are lost because an id was altered on its way."""

import asyncio

import pytest
from _deployment import Deployment, answer_ok


@pytest.mark.parametrize("request_id", [b"caf\xe9", b"order-1 ", b"a b"])
def test_answer_reaches_the_caller_whatever_bytes_its_id_holds(request_id):
    async def scenario():
        async with Deployment([answer_ok]) as deployment:
            received = await deployment.send_raw(
                b"GET /read/1 HTTP/1.1\r\nhost: h\r\nx-id: %b\r\n"
                b"x-deadline-ms: 800\r\n\r\n" % request_id,
                wait_s=1.5,
            )
        assert received.startswith(b"HTTP/1.1 200 OK\r\n")
        assert b"x-id: %b\r\n" % request_id.strip() in received

    asyncio.run(asyncio.wait_for(scenario(), 20))
