"""Guards against an upstream that gets more requests than the limit that it names.

The limit holds for the requests of all nodes together. Load comes from many nodes at
once; the limit changes or ends, the node beside the upstream restarts or is suspended,
and other upstreams of the service have room.
"""

import asyncio
import itertools
import time
from dataclasses import replace

import pytest
from _deployment import Deployment, answer_of, answer_ok

from knapweedspring_relay import CallKind
from knapweedspring_relay._hop import HopCall
from knapweedspring_relay._hop_client import HopPool, HopSettings
from knapweedspring_relay._local_upstream import ASSUMED_SEQUENCE
from knapweedspring_relay._requests import ForwardedRequest

#: Time after an answer that names a limit from which requests count, in seconds.
NOTICE_S = 0.5
#: Length of the window in which requests are counted, in seconds.
WINDOW_S = 4.0
#: Allowed share of the limit in a window, and the requests allowed in addition.
ALLOWED_SHARE = 1.5
N_ADDITIONAL = 5


def run(scenario, limit_s=40):
    asyncio.run(asyncio.wait_for(scenario(), limit_s))


class LimitedUpstream:
    """Script of an upstream that names a limit and records when requests arrive."""

    def __init__(self, rate_per_s, service_s=0.0):
        self.rate_per_s = rate_per_s
        self.service_s = service_s
        self.arrivals = []
        self.named_at = None

    async def __call__(self, upstream, request, writer):
        self.arrivals.append(time.monotonic())
        await asyncio.sleep(self.service_s)
        extra = b""
        if self.rate_per_s is not None:
            extra = b"x-limit: %g\r\n" % self.rate_per_s
            self.named_at = self.named_at or time.monotonic()
        writer.write(answer_of(request, extra=extra))

    def n_in_fullest_window(self):
        """Return the most requests in one window, of those that count."""
        counted = [at for at in self.arrivals if at >= self.named_at + NOTICE_S]
        return max(
            (sum(at <= other < at + WINDOW_S for other in counted) for at in counted),
            default=0,
        )


def n_allowed(rate_per_s):
    return ALLOWED_SHARE * rate_per_s * WINDOW_S + N_ADDITIONAL


async def offer_calls(deployment, nodes, rate_per_s, duration_s, deadline_ms=400):
    """Send calls at a constant rate, in turn to the given nodes; return the results."""
    calls, next_at = [], time.monotonic()
    end_at, turn = next_at + duration_s, itertools.cycle(nodes)

    async def call(index):
        began_at = time.monotonic()
        status = (await deployment.call(index=index, x_deadline_ms=str(deadline_ms)))[0]
        return status, time.monotonic() - began_at

    while next_at < end_at:
        calls.append(asyncio.ensure_future(call(next(turn))))
        next_at += 1.0 / rate_per_s
        await asyncio.sleep(max(0.0, next_at - time.monotonic()))
    return await asyncio.gather(*calls)


def one_limited(script, n_nodes):
    """Return a deployment whose only upstream of the service has the given script."""
    services = ["svc"] + ["other"] * (n_nodes - 1)
    return Deployment([script] + [answer_ok] * (n_nodes - 1), services=services)


@pytest.mark.parametrize("n_nodes", [8, 32])
def test_requests_of_all_nodes_stay_within_the_limit_of_an_upstream(n_nodes):
    async def scenario():
        limited = LimitedUpstream(8.0, service_s=0.02)
        async with one_limited(limited, n_nodes) as deployment:
            results = await offer_calls(deployment, range(n_nodes), 60.0, 5.0)
            assert limited.n_in_fullest_window() <= n_allowed(8.0)
            n_served = sum(status == 200 for status, _ in results)
            # The upstream still gets most of what it accepts.
            assert n_served >= 0.8 * 8.0 * 5.0
            # The other requests have not run.
            assert {status for status, _ in results} == {200, 503}

    run(scenario)


def test_requests_of_195_nodes_stay_within_the_limit_of_an_upstream():
    request = ForwardedRequest(b"GET", b"/read/1", b"host: h\r\n", b"")

    async def scenario():
        limited = LimitedUpstream(20.0, service_s=0.02)
        async with one_limited(limited, 1) as deployment:
            address = deployment.settings[0].gate_address
            pools = [HopPool(HopSettings(1.0, 1.0)) for _ in range(195)]
            ids = itertools.count()

            async def call(pool):
                request_id = f"id-{next(ids)}"
                line = b"x-id: %b\r\n" % request_id.encode()
                hop_call = HopCall(
                    request_id,
                    "svc",
                    "i-0",
                    0.3,
                    1,
                    1,
                    CallKind.IDEMPOTENT,
                    "r",
                    "c",
                    1,
                )
                own = ForwardedRequest(
                    request.method, request.target, request.lines + line, request.body
                )
                await pool.call(address, hop_call, own)

            end_at = time.monotonic() + 5.0
            while time.monotonic() < end_at:
                await asyncio.gather(*(call(pool) for pool in pools))
            for pool in pools:
                pool.close()
            assert limited.n_in_fullest_window() <= n_allowed(20.0)

    run(scenario)


def test_limit_that_falls_holds_for_the_next_requests():
    async def scenario():
        limited = LimitedUpstream(200.0)
        async with one_limited(limited, 2) as deployment:
            await offer_calls(deployment, range(2), 60.0, 0.5)
            limited.rate_per_s, limited.named_at = 2.0, None
            await offer_calls(deployment, range(2), 60.0, 4.5)
            assert limited.n_in_fullest_window() <= n_allowed(2.0)

    run(scenario)


def test_requests_flow_again_when_a_limit_of_none_ends():
    async def scenario():
        limited = LimitedUpstream(0.0)
        async with one_limited(limited, 2) as deployment:
            await offer_calls(deployment, range(2), 40.0, 4.5)
            assert limited.n_in_fullest_window() <= n_allowed(0.0)
            limited.rate_per_s = None
            gate = deployment.relays[0]._gate

            async def call_until_unlimited():
                while gate.rate_limit is not None:
                    await deployment.call(index=1)

            await asyncio.wait_for(call_until_unlimited(), 5.0)
            results = await offer_calls(deployment, range(2), 40.0, 1.0)
            assert {status for status, _ in results} == {200}

    run(scenario)


def test_limit_holds_after_a_restart_of_the_node_beside_the_upstream():
    async def scenario():
        limited = LimitedUpstream(2.0, service_s=0.4)
        async with one_limited(limited, 3) as deployment:
            deployment.send_heartbeat(0, 2, slots=100)
            await asyncio.gather(*(deployment.call(index=i) for i in (1, 2)))
            await asyncio.sleep(NOTICE_S)
            await deployment.restart_relay(0)
            await deployment.wait_until(
                lambda: deployment.relays[0]._tracker.current is not None
            )
            await offer_calls(deployment, (1, 2), 100.0, 1.0, deadline_ms=1500)
            assert limited.n_in_fullest_window() <= n_allowed(2.0)

    run(scenario)


def test_callers_are_served_in_time_while_one_upstream_of_four_is_limited():
    async def scenario():
        limited = LimitedUpstream(4.0, service_s=0.05)
        other = [LimitedUpstream(None, service_s=0.05) for _ in range(3)]
        async with Deployment([limited, *other]) as deployment:
            results = await offer_calls(
                deployment, range(4), 80.0, 5.0, deadline_ms=1500
            )
            assert limited.n_in_fullest_window() <= n_allowed(4.0)
            assert {status for status, _ in results} == {200}
            latencies = sorted(latency_s for _, latency_s in results)
            # Half of the route's goal: the requests do not wait for the limit.
            assert latencies[int(0.99 * len(latencies))] < 1.0

    run(scenario)


def test_call_that_waits_when_its_upstream_is_given_up_is_refused_as_not_run():
    """After a restart, an upstream that sends no heartbeat is given up."""

    async def scenario():
        limited = LimitedUpstream(1.0)
        async with one_limited(limited, 1) as deployment:
            relay = deployment.relays[0]
            for _ in range(2):
                assert (await deployment.call())[0] == 200
            waiting = asyncio.ensure_future(deployment.call(x_deadline_ms="1900"))
            await asyncio.sleep(0.05)
            assert relay._gate.queue.n_waiting == 1
            assumed = replace(relay._tracker.current, sequence=ASSUMED_SEQUENCE)
            relay._tracker._current = assumed
            relay._drop_unconfirmed()
            assert (await waiting)[0] == 503
            assert len(limited.arrivals) == 2
            assert relay._gate.n_running == 0

    run(scenario)
