"""Guards against copies of refusals being read as answers, whenever they arrive.

A copy may arrive with the refusal, while the connection is idle, in pieces, just when
the next request is sent, or together with the true answer or an interim answer.
"""

import asyncio
import collections

import pytest
from _deployment import Deployment, answer_of, header_of

#: Time for which a request runs, in seconds.
RUN_S = 0.01
#: Statuses that promise that a request has not run and never will.
PROMISES = (408, 421, 429, 503)
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario(), 30))


class CopyingUpstream:
    """Script of an upstream that refuses every second new request and copies refusals.

    :param timing: when the copy of a refusal is sent.
    :param has_id: whether a refusal carries the id of its request.
    """

    def __init__(self, timing, has_id):
        self._timing = timing
        self._has_id = has_id
        self._seen = set()
        self._copies = {}
        self.runs = collections.Counter()

    async def __call__(self, upstream, request, writer):
        request_id = header_of(request, b"x-id")
        copy = self._copies.pop(writer, b"")
        is_new = request_id not in self._seen
        self._seen.add(request_id)
        if is_new and len(self._seen) % 2:
            id_line = b"x-id: %b\r\n" % request_id if self._has_id else b""
            refusal = (
                b"HTTP/1.1 503 Service Unavailable\r\nx-not-run: 1\r\n%b"
                b"content-length: 0\r\n\r\n" % id_line
            )
            self._refuse(writer, refusal)
            return
        self.runs[request_id] += 1
        answer = answer_of(request)
        if self._timing == "in pieces":
            for piece in (copy[:20], copy[20:60], copy[60:]):
                writer.write(piece)
                await asyncio.sleep(RUN_S)
        elif self._timing == "when the next request arrives":
            writer.write(copy)
        await asyncio.sleep(RUN_S)
        if self._timing == "with the next answer":
            answer = copy + answer
        elif self._timing == "after an interim answer":
            answer = INTERIM + copy + INTERIM + answer
        elif self._timing == "after the next answer":
            answer += copy
        writer.write(answer)

    def _refuse(self, writer, refusal):
        if self._timing == "with the refusal":
            writer.write(refusal + refusal)
        elif self._timing == "while idle":
            writer.write(refusal)
            asyncio.get_running_loop().call_soon(writer.write, refusal)
        else:
            writer.write(refusal)
            self._copies[writer] = refusal


TIMINGS = (
    "with the refusal",
    "while idle",
    "in pieces",
    "when the next request arrives",
    "with the next answer",
    "after an interim answer",
    "after the next answer",
)


@pytest.mark.parametrize("method", [b"POST", b"HEAD"])
@pytest.mark.parametrize("has_id", [True, False])
@pytest.mark.parametrize("timing", TIMINGS)
def test_copy_of_a_refusal_is_no_answer(timing, has_id, method):
    async def scenario():
        scripts = [CopyingUpstream(timing, has_id) for _ in "ab"]
        async with Deployment(scripts) as deployment:
            statuses = {}
            for number in range(10):
                request_id = b"order-%d" % number
                status, *_ = await deployment.call(
                    "/write/1", method, b"", 0, request_id=request_id
                )
                statuses[request_id] = status
        for request_id, answered in statuses.items():
            n_runs = sum(script.runs[request_id] for script in scripts)
            assert n_runs <= 1, f"{request_id} ran {n_runs} times"
            assert not (n_runs and answered in PROMISES), f"{request_id} was denied"
        assert any(answered == 200 for answered in statuses.values())

    run(scenario)
