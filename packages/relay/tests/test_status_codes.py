"""Guards against answers whose status is none.

A status below 100 was taken for that of an interim answer, so that each caller waited
to its deadline; one above 599 reached the caller.
"""

import asyncio

import pytest
from _deployment import Deployment, answer_ok, header_of

#: Time after which a caller has waited too long for an answer that has arrived, in
#: seconds; the deadline of the call is later.
LATE_S = 1.5


async def answer_with(status, request, writer):
    writer.write(
        b"HTTP/1.1 %b Odd\r\nx-id: %b\r\nx-seal: s\r\ncontent-length: 2\r\n\r\nok"
        % (status, header_of(request, b"x-id"))
    )


# The first call goes through the gate on the caller's VM, the second through that of
# the other VM.
@pytest.mark.parametrize("services", [["svc"], ["other", "svc"]])
@pytest.mark.parametrize(
    "status", [b"000", b"099", b"600", b"999", b"0", b"20", b"1000"]
)
def test_answer_with_a_status_that_is_none_fails_at_once(status, services):
    async def script(upstream, request, writer):
        if header_of(request, b"x-plain"):
            await answer_ok(upstream, request, writer)
        else:
            await answer_with(status, request, writer)

    async def scenario():
        scripts = [script] * len(services)
        async with Deployment(scripts, services=services) as deployment:
            async with asyncio.timeout(LATE_S):
                found, *_ = await deployment.call("/write/1", b"POST", b"x")
            assert found == 502
            found, *_ = await deployment.call(x_plain="1")
            assert found == 200

    asyncio.run(asyncio.wait_for(scenario(), 20))


@pytest.mark.parametrize("status", [b"200", b"404", b"599"])
def test_answer_with_a_status_is_passed_on(status):
    async def script(upstream, request, writer):
        await answer_with(status, request, writer)

    async def scenario():
        async with Deployment([script]) as deployment:
            found, *_ = await deployment.call("/write/1", b"POST", b"x")
            assert found == int(status)

    asyncio.run(asyncio.wait_for(scenario(), 20))
