"""Guards against a promise that a request did not run, made of bytes of other answers.

An upstream may send the beginning of an earlier refusal again, late. The beginning of
the next answer then completes it, so that a request that ran counts as refused.
"""

import asyncio
import collections

import pytest
from _deployment import Deployment, answer_of, header_of

#: Time for which a request runs, in seconds.
RUN_S = 0.05
#: Statuses that promise that a request has not run and never will.
PROMISES = (408, 421, 429, 503)
#: Beginnings of refusals that end inside a header value or inside the reason phrase.
BEGINNINGS = {
    "in the id": b"HTTP/1.1 503 Service Unavailable\r\nx-not-run: 1\r\nx-id: %b",
    "in another header": b"HTTP/1.1 503 Service Unavailable\r\nx-not-run: 1\r\nvia: a",
    "in the reason phrase": b"HTTP/1.1 503 Service Unav",
}


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario(), 30))


class CutCopyUpstream:
    """Script of an upstream that refuses, and sends the refusal's beginning again.

    The beginning of a refusal arrives while the next request on the connection runs.

    :param beginning: the bytes that are sent again.
    """

    def __init__(self, beginning):
        self._beginning = beginning
        self._refused_ids = {}
        self._seen = set()
        self.runs = collections.Counter()

    async def __call__(self, upstream, request, writer):
        request_id = header_of(request, b"x-id")
        refused_id = self._refused_ids.pop(writer, None)
        if request_id not in self._seen and len(self._seen) % 2 == 0:
            self._seen.add(request_id)
            self._refused_ids[writer] = request_id
            writer.write(
                b"HTTP/1.1 503 Service Unavailable\r\nx-not-run: 1\r\n"
                b"x-id: %b\r\ncontent-length: 0\r\n\r\n" % request_id
            )
            return
        self._seen.add(request_id)
        self.runs[request_id] += 1
        if refused_id is not None:
            beginning = self._beginning
            writer.write(beginning % refused_id if b"%b" in beginning else beginning)
        await asyncio.sleep(RUN_S)
        writer.write(answer_of(request))


@pytest.mark.parametrize("cut", BEGINNINGS)
def test_beginning_of_a_refusal_sent_again_promises_nothing(cut):
    async def scenario():
        scripts = [CutCopyUpstream(BEGINNINGS[cut]) for _ in "ab"]
        async with Deployment(scripts) as deployment:
            statuses = {}
            for number in range(12):
                request_id = b"order-%d" % number
                status, *_ = await deployment.call(
                    "/write/1", b"POST", b"two boxes", 0, request_id=request_id
                )
                statuses[request_id] = status
        for request_id, answered in statuses.items():
            n_runs = sum(script.runs[request_id] for script in scripts)
            assert n_runs <= 1, f"{request_id} ran {n_runs} times"
            assert not (n_runs and answered in PROMISES), f"{request_id} was denied"
        assert any(answered == 200 for answered in statuses.values())

    run(scenario)


@pytest.mark.parametrize("status", PROMISES[:1] + PROMISES[2:])
@pytest.mark.parametrize("has_id", [True, False])
def test_status_of_a_promise_without_its_header_is_not_passed_on(status, has_id):
    async def scenario():
        async def answer_unsigned(upstream, request, writer):
            await asyncio.sleep(RUN_S)
            request_id = header_of(request, b"x-id")
            id_line = b"x-id: %b\r\n" % request_id if has_id else b""
            writer.write(
                b"HTTP/1.1 %d Unavailable\r\n%bcontent-length: 0\r\n\r\n"
                % (status, id_line)
            )

        async with Deployment([answer_unsigned]) as deployment:
            answered, *_ = await deployment.call("/write/1", b"POST", b"two boxes")
        assert answered not in PROMISES

    run(scenario)
