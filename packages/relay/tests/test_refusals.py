"""Guards against a refusal that takes longer than it must.

A caller that is refused can go elsewhere or come back, so it must learn it at once.
"""

import asyncio
import itertools
import time

import pytest
from _deployment import Deployment, answer_of

from knapweedspring_relay._gate_result import GateResult
from knapweedspring_relay._hop import HopOutcome


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario(), 20))


async def shed(upstream, request, writer):
    extra = b"x-not-run: 1\r\n"
    writer.write(answer_of(request, b"", b"503 Service Unavailable", extra))


@pytest.mark.interpreted
def test_request_that_gates_keep_refusing_is_refused_without_delay():
    """Upstreams shed the request; then their gates refuse it, as queues are full."""

    async def scenario():
        async with Deployment([shed, shed]) as deployment:
            n_offers = itertools.count()
            for relay in deployment.relays:
                gate, run_call = relay._gate, relay._gate.run

                async def refuse(call, request, gate=gate, run_call=run_call):
                    if next(n_offers) < 2:
                        return await run_call(call, request)
                    return GateResult(
                        gate.make_report(HopOutcome.REFUSED, "full"), None
                    )

                gate.run = refuse
            started = time.monotonic()
            status, _, _ = await deployment.call("/write/1", b"POST", b"x")
            assert status == 503
            assert next(n_offers) <= 6
            assert time.monotonic() - started < 0.5

    run(scenario)
