"""Guards against a kept connection that stops reading after a long answer.

The body of a long answer may arrive whole before any of it is read. The answer to the
next request on the connection was then never read, and its caller got 504.
"""

import asyncio

import pytest
from _deployment import Deployment, answer_of

from knapweedspring_relay._client_connection import READ_HIGH_WATER_BYTES

N_ROUNDS = 5


@pytest.mark.parametrize("n_bytes", [READ_HIGH_WATER_BYTES + 1_000, 1_000_000])
def test_request_after_a_long_answer_on_its_connection_is_answered(n_bytes):
    async def answer(upstream, request, writer):
        is_long = b" /read/long " in request
        writer.write(answer_of(request, b"x" * (n_bytes if is_long else 2)))

    async def scenario():
        async with Deployment([answer]) as deployment:
            for _ in range(N_ROUNDS):
                for path, length in (("/read/long", n_bytes), ("/read/short", 2)):
                    status, _, body = await deployment.call(path, x_deadline_ms="1000")
                    assert (status, len(body)) == (200, length)

    asyncio.run(asyncio.wait_for(scenario(), 20))
