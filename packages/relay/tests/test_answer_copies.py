"""Guards against the copy of an answer that is read as the answer to a later run.

A call that an upstream makes has an id that follows from that of the request for which
it is made. When that request runs again, the call returns with the same id. The late
copy of its first answer must not be read as the second one.
"""

import asyncio

import pytest
from _deployment import Deployment, answer_of, answer_ok

#: Time after an answer at which its copy is sent, and time that a later run of the
#: same request takes, in seconds.
COPY_DELAY_S = 0.02
RUN_S = 0.06
REQUEST_ID = b"order-1/stock"


class CopyingUpstream:
    """Script of an upstream that numbers its runs and sends each answer twice.

    :param is_framed_in_chunks: whether the bodies are sent in chunks.
    """

    def __init__(self, is_framed_in_chunks):
        self._is_framed_in_chunks = is_framed_in_chunks
        self.n_runs = 0

    async def __call__(self, upstream, request, writer):
        self.n_runs += 1
        body = b"run %d" % self.n_runs
        if self.n_runs > 1:
            await asyncio.sleep(RUN_S)
        answer = answer_of(request, body)
        if self._is_framed_in_chunks:
            answer = answer.replace(
                b"content-length: %d\r\n\r\n" % len(body),
                b"transfer-encoding: chunked\r\n\r\n%x\r\n" % len(body),
            )
            answer += b"\r\n0\r\n\r\n"
        writer.write(answer)
        loop = asyncio.get_running_loop()
        loop.call_later(COPY_DELAY_S, _write_if_open, writer, answer)


def _write_if_open(writer, data):
    if not writer.is_closing():
        writer.write(data)


@pytest.mark.parametrize("entry", ["beside the gate", "on another VM"])
@pytest.mark.parametrize("is_chunked", [False, True])
def test_call_whose_parent_runs_again_gets_the_answer_of_its_own_run(is_chunked, entry):
    async def scenario():
        script = CopyingUpstream(is_chunked)
        services = ["svc", "other"]
        async with Deployment([script, answer_ok], services=services) as deployment:
            index = 0 if entry == "beside the gate" else 1
            bodies = []
            for _ in range(4):
                status, _, body = await deployment.call(
                    index=index, request_id=REQUEST_ID
                )
                bodies.append((status, body))
        assert bodies == [(200, b"run %d" % n) for n in range(1, 5)]

    asyncio.run(asyncio.wait_for(scenario(), 20))


def test_calls_that_return_together_share_a_connection():
    n_runs = 12

    async def scenario():
        async with Deployment([answer_ok]) as deployment:
            for _ in range(n_runs):
                for number in range(3):
                    status, *_ = await deployment.call(request_id=b"id-%d" % number)
                    assert status == 200
            # One for each run, shared by the three calls of the run.
            assert deployment.upstreams[0].n_connections == n_runs

    asyncio.run(asyncio.wait_for(scenario(), 20))
