"""Guards against crashes that are missed, and against answers taken for crashes."""

import asyncio

import pytest
from _deployment import Deployment, Upstream, answer_ok, free_address

from knapweedspring_core import Counters
from knapweedspring_relay import ConnectionPool, ConnectionSettings
from knapweedspring_relay._crash_detector import MAX_BROKEN, CrashDetector
from knapweedspring_relay._logs import DecisionLog


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario(), 20))


class Detected:
    """A detector for one address, and what it reported."""

    def __init__(self, address):
        self.crashes = []
        pool = ConnectionPool(ConnectionSettings(0.5, 4.0, 1.0))
        counters = Counters()
        self.detector = CrashDetector(
            pool,
            address,
            lambda process, broken: self.crashes.append((process, broken)),
            DecisionLog("n", counters),
            counters,
        )

    async def break_calls(self, *fingerprints):
        for fingerprint in fingerprints:
            check = self.detector.record_broken(PROCESS, fingerprint)
        await check


class _Process:
    instance = "i-1"


PROCESS = _Process()


def test_all_requests_that_broke_with_the_upstream_are_reported_once():
    async def scenario():
        detected = Detected(free_address())
        await detected.break_calls(b"a", b"b", b"a")
        assert detected.crashes == [(PROCESS, (b"a", b"b"))]
        await detected.break_calls(b"c")
        assert detected.crashes[1:] == [(PROCESS, (b"c",))]

    run(scenario)


def test_upstream_that_accepts_connections_has_not_ended():
    async def scenario():
        upstream = Upstream(free_address(), answer_ok)
        await upstream.start()
        detected = Detected(upstream.address)
        await detected.break_calls(b"a")
        assert detected.crashes == []
        upstream._server.close()

    run(scenario)


def test_number_of_kept_requests_is_bounded():
    async def scenario():
        detected = Detected(free_address())
        await detected.break_calls(*(b"%d" % i for i in range(MAX_BROKEN + 10)))
        assert len(detected.crashes[0][1]) == MAX_BROKEN

    run(scenario)


@pytest.mark.parametrize("n_nodes", [1, 2])
def test_single_answers_that_break_off_are_no_crash(n_nodes):
    async def break_off(upstream, request, writer):
        writer.transport.abort()

    async def scenario():
        async with Deployment([break_off] * n_nodes) as deployment:
            for _ in range(5):
                await deployment.call()
            await asyncio.sleep(0.1)
            for relay in deployment.relays:
                assert relay._counters.get("upstream_checks", "runs") > 0
                assert relay._counters.get("upstream_checks", "ended") == 0

    run(scenario)
