"""Guards against an upstream that is used again after its leaving was acknowledged.

The node beside it is killed and started again, and a report that the upstream sent
before its departure arrives late.
"""

import asyncio
import time

import pytest
from _deployment import Deployment, answer_ok

from knapweedspring_relay import UpstreamState
from knapweedspring_relay._leaving_announcer import MAX_PUBLISH_WAIT_S
from knapweedspring_relay._relay import ASSUMED_TIMEOUT_S


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario(), 20))


async def acknowledge_leaving(deployment, is_departure):
    """Let the upstream of the first node leave; return once that is acknowledged."""
    relay = deployment.relays[0]
    if is_departure:
        relay.apply_departure("i-0")
    else:
        deployment.send_heartbeat(0, 2, state=UpstreamState.DRAINING)
    await relay.wait_published()


@pytest.mark.parametrize("late_s", [0.0, ASSUMED_TIMEOUT_S + 0.5])
@pytest.mark.parametrize("is_departure", [False, True], ids=["draining", "departure"])
def test_late_report_after_a_restart_does_not_revive_the_upstream(is_departure, late_s):
    async def scenario():
        async with Deployment([answer_ok, answer_ok]) as deployment:
            await acknowledge_leaving(deployment, is_departure)
            await deployment.restart_relay(0)
            await asyncio.sleep(late_s)
            deployment.send_heartbeat(0, 1)
            await asyncio.sleep(0.3)
            before = len(deployment.upstreams[0].requests)
            for _ in range(12):
                status, *_ = await deployment.call(index=1)
                assert status == 200
            assert len(deployment.upstreams[0].requests) == before

    run(scenario)


def test_leaving_is_acknowledged_although_the_store_is_down():
    async def scenario():
        async with Deployment([answer_ok, answer_ok]) as deployment:
            deployment.store.is_down = True
            begun = time.monotonic()
            await acknowledge_leaving(deployment, True)
            # Seconds until an acknowledgement no longer counts.
            assert MAX_PUBLISH_WAIT_S <= time.monotonic() - begun < 1.0

    run(scenario)
