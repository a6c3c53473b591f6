"""Guards against an upstream in use after its departure was acknowledged (review/10).

Its node was restarted while the store was away and learned of the process by its
departure. Reports that the upstream sent before arrive later.
"""

import asyncio
import time

import pytest
from _deployment import Deployment, answer_ok

from knapweedspring_relay import UpstreamState

#: Time for which a node that starts may restore a published upstream, in seconds, with
#: a margin for the publication after it.
SETTLED_S = 2.5


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario(), 30))


async def requests_that_reach(deployment, index, n_calls=12, entry=1):
    """Return how many of some calls, all answered, one upstream gets."""
    before = len(deployment.upstreams[index].requests)
    for _ in range(n_calls):
        assert (await deployment.call(index=entry))[0] == 200
    return len(deployment.upstreams[index].requests) - before


async def restart_without_store(deployment):
    deployment.store.is_down = True
    deployment.store._wake()
    await deployment.restart_relay(0)
    await asyncio.sleep(0.1)


def regain_store(deployment):
    deployment.store.is_down = False
    deployment.store._wake()


@pytest.mark.parametrize("late_s", [(0.1,), (0.1, 1.0), (SETTLED_S,)])
@pytest.mark.parametrize("store_is_back", ["before the reports", "after the reports"])
def test_departure_of_a_process_that_a_restarted_node_does_not_know(
    late_s, store_is_back
):
    async def scenario():
        async with Deployment([answer_ok, answer_ok]) as deployment:
            await restart_without_store(deployment)
            deployment.relays[0].apply_departure("i-0")
            if store_is_back == "before the reports":
                regain_store(deployment)
            begun = time.monotonic()
            for number, delay_s in enumerate(late_s):
                await asyncio.sleep(begun + delay_s - time.monotonic())
                deployment.send_heartbeat(0, 2 + number)
            regain_store(deployment)
            await asyncio.sleep(SETTLED_S)
            assert await requests_that_reach(deployment, 0) == 0
            assert deployment.store.entries["n0"].state is UpstreamState.DRAINING

    run(scenario)


def test_departure_of_an_unknown_process_outlives_a_second_restart():
    async def scenario():
        async with Deployment([answer_ok, answer_ok]) as deployment:
            await restart_without_store(deployment)
            deployment.relays[0].apply_departure("i-0")
            regain_store(deployment)
            await deployment.wait_until(
                lambda: deployment.store.entries["n0"].state is UpstreamState.DRAINING
            )
            await restart_without_store(deployment)
            deployment.send_heartbeat(0, 2)
            regain_store(deployment)
            await asyncio.sleep(SETTLED_S)
            assert await requests_that_reach(deployment, 0) == 0

    run(scenario)


def test_draining_upstream_of_an_earlier_process_is_not_overwritten_by_a_report():
    """The store is away at the restart and returns after a late report."""

    async def scenario():
        async with Deployment([answer_ok, answer_ok]) as deployment:
            deployment.send_heartbeat(0, 2, state=UpstreamState.DRAINING)
            await deployment.relays[0].wait_published()
            await restart_without_store(deployment)
            deployment.send_heartbeat(0, 1)
            regain_store(deployment)
            await asyncio.sleep(SETTLED_S)
            assert deployment.store.entries["n0"].state is UpstreamState.DRAINING
            assert await requests_that_reach(deployment, 0) == 0

    run(scenario)


def test_later_process_with_the_identity_of_one_that_left_is_used():
    async def scenario():
        async with Deployment([answer_ok, answer_ok]) as deployment:
            await restart_without_store(deployment)
            deployment.relays[0].apply_departure("i-0")
            regain_store(deployment)
            await asyncio.sleep(0.2)
            deployment.send_heartbeat(0, 0, born_ms=time.time_ns() // 1_000_000)
            # Gates that reported that they are closed are not selected for a second.
            await asyncio.sleep(SETTLED_S)
            assert await requests_that_reach(deployment, 0, 20) > 0

    run(scenario)


def test_living_upstream_is_in_use_at_its_first_report_after_a_restart():
    async def scenario():
        async with Deployment([answer_ok, answer_ok]) as deployment:
            await restart_without_store(deployment)
            # A departure of another process changes nothing.
            deployment.relays[0].apply_departure("i-other")
            deployment.send_heartbeat(0, 2)
            assert deployment.relays[0]._tracker.current.is_ready
            regain_store(deployment)
            await asyncio.sleep(SETTLED_S)
            assert deployment.store.entries["n0"].state is UpstreamState.READY
            assert await requests_that_reach(deployment, 0, 20) > 0

    run(scenario)


class LivingNode:
    """A node that stops and is started again beside an upstream that leaves."""

    def __init__(self, deployment):
        self.deployment = deployment

    async def stop(self):
        self.deployment.relays[0].stop()

    async def wait_ended(self):
        task = self.deployment.tasks[0]
        await asyncio.wait((task,), timeout=5.0)
        assert task.done()
        started = self.deployment._start_relay(self.deployment.settings[0])
        self.deployment.relays[0], self.deployment.tasks[0] = started
        await asyncio.sleep(0.1)


def leave(deployment, how, sequence=2):
    """Let the first upstream leave."""
    relay = deployment.relays[0]
    if how == "departure":
        relay.apply_departure("i-0")
    elif how == "draining":
        deployment.send_heartbeat(0, sequence, state=UpstreamState.DRAINING)
    else:
        relay._apply_leaving(relay._tracker.current)


# Guards against an acknowledged departure that a planned stop of the node takes out of
# the store (review/8).
@pytest.mark.parametrize("how", ["departure", "draining", "answer"])
@pytest.mark.parametrize("left", ["before the stop", "during the stop"])
@pytest.mark.parametrize("n_stops", [1, 2])
def test_leaving_outlives_planned_stops_of_the_node(how, left, n_stops):
    async def scenario():
        async with Deployment([answer_ok, answer_ok]) as deployment:
            node = LivingNode(deployment)
            if left == "before the stop":
                leave(deployment, how)
                await deployment.relays[0].wait_published()
            await node.stop()
            if left == "during the stop":
                await asyncio.sleep(0.5)
                leave(deployment, how)
                await deployment.relays[0].wait_published()
            await node.wait_ended()
            for _ in range(n_stops - 1):
                await node.stop()
                await node.wait_ended()
            # Two reports that were sent before the leaving arrive late.
            for sequence in (0, 1):
                deployment.send_heartbeat(0, sequence)
            await asyncio.sleep(1.0)
            assert await requests_that_reach(deployment, 0) == 0
            assert deployment.store.entries["n0"].state is UpstreamState.DRAINING

    run(scenario)


@pytest.mark.parametrize("ends", ["before the stop", "during the stop"])
def test_entry_is_withdrawn_once_node_and_upstream_are_gone(ends):
    async def scenario():
        async with Deployment([answer_ok, answer_ok]) as deployment:
            upstream = deployment.upstreams[0]
            leave(deployment, "departure")
            if ends == "before the stop":
                upstream._server.close()
            deployment.relays[0].stop()
            if ends == "during the stop":
                await asyncio.sleep(0.5)
                assert "n0" in deployment.store.entries
                upstream._server.close()
            await deployment.wait_until(lambda: "n0" not in deployment.store.entries)

    run(scenario)
