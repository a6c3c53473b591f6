"""Guards against a request that crashes upstream after upstream.

The same request comes again with new ids, at all nodes in turn. Upstreams that crash
start again as new processes. Other callers use the same upstreams, and nodes restart.
"""

import asyncio
import itertools
import time

import pytest
from _deployment import Deployment, Upstream, answer_of

from knapweedspring_relay import CallError

#: Path of the request that crashes upstreams.
CRASHING_PATH = "/read/crash"
#: Number of crashes after which a request counts as their cause.
N_CRASHES = 3
#: Time after the last of these crashes from which sends count, in seconds.
CONTACT_S = 3.0
#: Number of sends that are allowed from then on.
N_ALLOWED = 3
#: Time after which a crashed upstream has started again, in seconds.
DOWN_S = 0.8


def run(scenario, limit_s=60):
    asyncio.run(asyncio.wait_for(scenario(), limit_s))


class CrashingFleet:
    """Upstreams that one request crashes, each with its relay.

    :param n_nodes: number of relays and upstreams.
    :param begins_answer: whether an upstream crashes in the middle of a long answer.
    """

    def __init__(self, n_nodes, begins_answer=False):
        self.begins_answer = begins_answer
        self.deployment = Deployment([self._serve] * n_nodes)
        self.sent_at = []
        self.crashed_at = []
        self._writers = {}
        self._born_ms = itertools.count(10_000)
        self._restarts = []

    async def _serve(self, upstream, request, writer):
        self._writers.setdefault(upstream.address, set()).add(writer)
        if CRASHING_PATH.encode() in request.split(b"\r\n")[0]:
            self.sent_at.append(time.monotonic())
            if self.begins_answer:
                writer.write(answer_of(request, b"x" * 300_000)[:200_000])
                await writer.drain()
            await asyncio.sleep(0.02)
            self._crash(upstream)
            return
        await asyncio.sleep(0.02)
        writer.write(answer_of(request))

    def _crash(self, upstream: Upstream):
        if not upstream._server.is_serving():
            return
        self.crashed_at.append(time.monotonic())
        upstream._server.close()
        for writer in self._writers.pop(upstream.address, ()):
            writer.transport.abort()
        self._restarts.append(asyncio.ensure_future(self._restart(upstream)))

    async def _restart(self, upstream):
        await asyncio.sleep(DOWN_S)
        await upstream.start()
        index = self.deployment.upstreams.index(upstream)
        born_ms = next(self._born_ms)
        self.deployment.send_heartbeat(
            index, instance=f"i-{index}-{born_ms}", born_ms=born_ms
        )

    async def call_crashing(self, index):
        try:
            return (await self.deployment.call(CRASHING_PATH, index=index))[0]
        except CallError:
            # The answer broke off.
            return None

    async def send_crashing(self, period_s, duration_s, nodes):
        """Send the request again and again; return the statuses of the last second."""
        turn, calls = itertools.cycle(nodes), []
        begin_at = time.monotonic()
        while time.monotonic() - begin_at < duration_s:
            task = asyncio.ensure_future(self.call_crashing(next(turn)))
            calls.append((time.monotonic(), task))
            await asyncio.sleep(period_s)
        last = time.monotonic() - 1.0
        return [await task for began_at, task in calls if began_at >= last]

    def n_sent_after(self, delay_s):
        """Return the sends later than a time after the crash that gave certainty."""
        certain_at = sorted(self.crashed_at)[N_CRASHES - 1]
        return sum(at > certain_at + delay_s for at in self.sent_at)


@pytest.mark.parametrize("n_nodes", [8, 32])
def test_request_that_crashed_three_upstreams_is_sent_to_no_more(n_nodes):
    async def scenario():
        fleet = CrashingFleet(n_nodes)
        async with fleet.deployment:
            statuses = await fleet.send_crashing(0.05, 7.0, range(n_nodes))
            assert len(fleet.crashed_at) >= N_CRASHES
            assert fleet.n_sent_after(CONTACT_S) <= N_ALLOWED
            # These attempts have not run.
            assert set(statuses) == {503}

    run(scenario)


def test_request_that_crashes_upstreams_in_the_middle_of_its_answer_is_refused():
    async def scenario():
        fleet = CrashingFleet(6, begins_answer=True)
        async with fleet.deployment:
            await fleet.send_crashing(0.05, 6.0, range(6))
            assert len(fleet.crashed_at) >= N_CRASHES
            assert fleet.n_sent_after(CONTACT_S) <= N_ALLOWED

    run(scenario)


def test_node_that_restarts_does_not_send_the_request_again():
    async def scenario():
        fleet = CrashingFleet(4)
        async with fleet.deployment as deployment:
            await fleet.send_crashing(0.05, 2.5, range(4))
            await asyncio.sleep(CONTACT_S)
            for index in range(4):
                await deployment.restart_relay(index)
                await deployment.wait_until(
                    lambda index=index: (
                        deployment.relays[index].is_ready
                        and deployment.relays[index]._tracker.current is not None
                    )
                )
                await asyncio.sleep(0.5)
                await fleet.send_crashing(0.05, 0.5, [index])
            assert fleet.n_sent_after(CONTACT_S) <= N_ALLOWED

    run(scenario)


def test_other_callers_lose_nothing_once_the_request_is_known():
    async def scenario():
        fleet = CrashingFleet(6)
        async with fleet.deployment as deployment:
            await fleet.send_crashing(0.05, 3.0, range(6))
            crashing = asyncio.ensure_future(fleet.send_crashing(0.02, 4.0, range(6)))
            results = []
            for number in range(200):
                began_at = time.monotonic()
                # Unique requests, and a popular one that was in flight in the crashes.
                path = f"/read/{number}" if number % 2 else "/read/popular"
                status = (await deployment.call(path, index=number % 6))[0]
                results.append((status, time.monotonic() - began_at))
            await crashing
            assert {status for status, _ in results} == {200}
            latencies = sorted(latency_s for _, latency_s in results)
            assert latencies[int(0.99 * len(latencies))] < 0.5

    run(scenario)


def test_popular_request_in_flight_in_every_crash_is_not_refused():
    async def scenario():
        fleet = CrashingFleet(4)
        async with fleet.deployment as deployment:
            for index in range(4):
                await deployment.call("/read/popular", index=index)
            crashing = asyncio.ensure_future(fleet.send_crashing(0.1, 3.0, range(4)))
            for _ in range(100):
                calls = [deployment.call("/read/popular", index=i) for i in range(4)]
                await asyncio.gather(*calls)
                if crashing.done():
                    break
            await crashing
            await asyncio.sleep(1.0)
            for index in range(4):
                assert (await deployment.call("/read/popular", index=index))[0] == 200

    run(scenario)


def test_request_is_refused_again_soon_after_a_restart_of_all_nodes_at_once():
    """All nodes lose their memory; they count as in touch some time after it."""

    async def scenario():
        fleet = CrashingFleet(6)
        async with fleet.deployment as deployment:
            await fleet.send_crashing(0.05, 2.5, range(6))
            await asyncio.gather(*(deployment.restart_relay(i) for i in range(6)))
            await asyncio.sleep(CONTACT_S)
            n_before = len(fleet.sent_at)
            await fleet.send_crashing(1.0, 6.0, range(6))
            assert len(fleet.sent_at) - n_before <= N_ALLOWED

    run(scenario)


def test_attempt_that_crashes_the_third_upstream_is_not_retried():
    async def scenario():
        fleet = CrashingFleet(6)
        async with fleet.deployment as deployment:
            # The first attempt is retried, as long as the cause is not known.
            assert await fleet.call_crashing(0) == 502
            assert len(fleet.sent_at) == 2
            await asyncio.sleep(2.0 * DOWN_S)
            assert await fleet.call_crashing(1) == 502
            assert len(fleet.sent_at) == N_CRASHES
            for index in range(6):
                assert await fleet.call_crashing(index) == 503
            assert len(fleet.sent_at) == N_CRASHES
            # Single answers that break off are retried as before.
            assert (await deployment.call(index=2))[0] == 200

    run(scenario)
