"""Guards against the late copy of a refusal being read as the answer to another send.

An upstream may send an answer again, late, on a connection that is in use for the next
request. The copy of a refusal bears the id of the refused request, which may be under
way again, or no id. A request that ran would then count as not run: it would run twice,
or its caller would be told that it did not run.
"""

import asyncio
import collections

import pytest
from _deployment import Deployment, answer_of, answer_ok, header_of

#: Time after a refusal at which its copy is sent, and time for which a request runs, in
#: seconds.
COPY_DELAY_S = 0.02
RUN_S = 0.05
#: Statuses that promise that a request has not run and never will.
PROMISES = (408, 421, 429, 503)
REFUSALS = {
    503: b"503 Service Unavailable\r\nx-not-run: 1",
    429: b"429 Too Many Requests\r\nx-not-run: 1",
    421: b"421 Misdirected Request\r\nx-instance: i-other",
    400: b"400 Bad Request\r\nx-not-run: 1",
}


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario(), 30))


class RefusingUpstream:
    """Script of an upstream that refuses the first send of some requests.

    :param status: status of the refusals.
    :param has_id: whether a refusal carries the id of its request.
    :param sends_copies: whether each refusal is sent again, late.
    :param refused_share: share of the requests whose first send is refused.
    """

    def __init__(self, status, has_id, sends_copies=True, refused_share=0.5):
        self._status = status
        self._has_id = has_id
        self._sends_copies = sends_copies
        self._refused_share = refused_share
        self._seen = set()
        self._n_refused = 0
        self.runs = collections.Counter()

    async def __call__(self, upstream, request, writer):
        request_id = header_of(request, b"x-id")
        if self._refuses(request_id):
            refusal = self._refusal_of(request_id)
            writer.write(refusal)
            if self._sends_copies:
                loop = asyncio.get_running_loop()
                loop.call_later(COPY_DELAY_S, _write_if_open, writer, refusal)
            return
        self.runs[request_id] += 1
        await asyncio.sleep(RUN_S)
        writer.write(answer_of(request))

    def _refuses(self, request_id):
        if request_id in self._seen:
            return False
        self._seen.add(request_id)
        if self._n_refused + 1 > self._refused_share * len(self._seen):
            return False
        self._n_refused += 1
        return True

    def _refusal_of(self, request_id):
        id_line = b"x-id: %b\r\n" % request_id if self._has_id else b""
        return b"HTTP/1.1 %b\r\n%bcontent-length: 0\r\n\r\n" % (
            REFUSALS[self._status],
            id_line,
        )


def _write_if_open(writer, data):
    if not writer.is_closing():
        writer.write(data)


async def send_orders(deployment, index, n_orders=12):
    """Send orders one after another; return their statuses by id."""
    statuses = {}
    for number in range(n_orders):
        request_id = b"order-%d-%d" % (index, number)
        status, *_ = await deployment.call(
            "/write/1", b"POST", b"two boxes", index, request_id=request_id
        )
        statuses[request_id] = status
    return statuses


@pytest.mark.parametrize("entry", ["beside the gate", "on another VM"])
@pytest.mark.parametrize("has_id", [True, False])
@pytest.mark.parametrize("status", REFUSALS)
def test_late_copy_of_a_refusal_neither_repeats_a_request_nor_denies_its_run(
    status, has_id, entry
):
    async def scenario():
        # Both refuse, so that an order returns to the upstream that refused it first.
        scripts = [RefusingUpstream(status, has_id) for _ in "ab"]
        services = ["svc", "svc", "other"]
        async with Deployment([*scripts, answer_ok], services=services) as deployment:
            index = 0 if entry == "beside the gate" else 2
            statuses = await send_orders(deployment, index)
        for request_id, answered in statuses.items():
            n_runs = sum(script.runs[request_id] for script in scripts)
            assert n_runs <= 1, f"{request_id} ran {n_runs} times"
            assert not (n_runs and answered in PROMISES), f"{request_id} was denied"
        assert any(answered == 200 for answered in statuses.values())

    run(scenario)


@pytest.mark.parametrize("has_id", [True, False])
@pytest.mark.parametrize("status", [503, 429])
def test_request_that_all_upstreams_refused_is_sent_again_and_runs(status, has_id):
    async def scenario():
        scripts = [RefusingUpstream(status, has_id, refused_share=1.0) for _ in "ab"]
        async with Deployment(scripts) as deployment:
            statuses = await send_orders(deployment, 0)
        assert set(statuses.values()) == {200}
        assert sum((script.runs for script in scripts), collections.Counter()) == {
            request_id: 1 for request_id in statuses
        }

    run(scenario)


@pytest.mark.parametrize("has_id", [True, False])
def test_calm_calls_share_one_connection(has_id):
    async def scenario():
        script = RefusingUpstream(503, has_id, refused_share=0.0)
        async with Deployment([script]) as deployment:
            statuses = await send_orders(deployment, 0, n_orders=20)
            assert set(statuses.values()) == {200}
            assert deployment.upstreams[0].n_connections == 1

    run(scenario)


def test_refusals_with_ids_open_one_connection_more_only():
    async def scenario():
        scripts = [
            RefusingUpstream(503, True, sends_copies=False, refused_share=1.0)
            for _ in "ab"
        ]
        async with Deployment(scripts) as deployment:
            statuses = await send_orders(deployment, 0, n_orders=20)
            assert set(statuses.values()) == {200}
            assert max(u.n_connections for u in deployment.upstreams) <= 2

    run(scenario)
