"""Guards against requests that are closed without their refusal beside failing calls.

Compiled code keeps the exception of a call that breaks off as the current one. The
listener took it for the cause of the parser's error, and reported neither.
"""

import asyncio

from _deployment import Deployment, header_of

#: Callers whose calls break off meanwhile, and refused requests.
N_CALLERS = 16
N_REFUSED = 100
TOO_LONG = (
    b"POST /read/1 HTTP/1.1\r\nhost: h\r\nx-id: a\r\n"
    b"content-length: 99999999999\r\n\r\n"
)


async def break_off(upstream, request, writer):
    if header_of(request, b"x-id"):
        writer.transport.abort()


async def refuse(deployment):
    host, port = deployment.settings[0].entry_address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(TOO_LONG)
    try:
        return await reader.read()
    except ConnectionError:
        return b""
    finally:
        writer.close()


def test_too_long_requests_are_refused_beside_calls_that_break_off():
    async def scenario():
        async with Deployment([break_off, break_off]) as deployment:
            ended = asyncio.Event()

            async def call():
                while not ended.is_set():
                    await deployment.call()

            callers = [asyncio.ensure_future(call()) for _ in range(N_CALLERS)]
            await asyncio.sleep(0.2)
            answers = []
            for _ in range(N_REFUSED):
                answers.append(await refuse(deployment))
                await asyncio.sleep(0.005)
            ended.set()
            await asyncio.gather(*callers)
        statuses = [answer.split(b" ")[1:2] for answer in answers]
        assert statuses == [[b"413"]] * N_REFUSED

    asyncio.run(asyncio.wait_for(scenario(), 30))
