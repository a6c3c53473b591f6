"""Guards against a leaving that only the node that acknowledged it knows.

The store was away then, is silent, or returns from an older copy, and the node ends
(review/8 and review/10).
"""

import asyncio
import time

import msgspec
import pytest
from _deployment import Deployment, answer_ok

from knapweedspring_relay import ORIGIN, UpstreamState, encode_request
from knapweedspring_relay._hop_frames import FollowFrame
from knapweedspring_relay._knowledge._leavings import MAX_LEAVING, PASSED_ON_S, Leavings
from knapweedspring_relay._knowledge._peer_pages import peer_page_target
from knapweedspring_relay._upstream_process import UpstreamProcess

PROCESS = UpstreamProcess("n0", "i-0", 1000)
#: Longest time in which the nodes of the test deployment learn a leaving, in seconds,
#: once the store is back.
SETTLED_S = 3.0


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario(), 40))


def leave(deployment, how):
    relay = deployment.relays[0]
    if how == "departure":
        relay.apply_departure("i-0")
    elif how == "draining":
        deployment.send_heartbeat(0, 2, state=UpstreamState.DRAINING)
    else:
        relay._apply_leaving(relay._tracker.current)


async def n_requests(deployment, entries):
    before = len(deployment.upstreams[0].requests)
    for index in entries:
        for _ in range(10):
            assert (await deployment.call(index=index))[0] == 200
    return len(deployment.upstreams[0].requests) - before


async def settle(deployment):
    """Wait until the nodes follow each other."""
    await deployment.wait_until(
        lambda: (
            sum(bool(r._knowledge.sources.source_node) for r in deployment.relays)
            == len(deployment.relays) - 1
        ),
        6.0,
    )


@pytest.mark.parametrize("how", ["departure", "draining", "answer"])
@pytest.mark.parametrize("away_s", [0.0, 2.5])
def test_leaving_that_the_store_does_not_get_is_known_to_other_nodes(how, away_s):
    """The store is away when the upstream leaves and its node is killed."""

    async def scenario():
        async with Deployment([answer_ok] * 4) as deployment:
            await settle(deployment)
            store = deployment.store
            store.is_down = True
            store._wake()
            await asyncio.sleep(away_s)
            leave(deployment, how)
            await deployment.relays[0].wait_published()
            await deployment.restart_relay(0)
            # Two reports that were sent before the leaving.
            for sequence in (0, 1):
                deployment.send_heartbeat(0, sequence)
            await asyncio.sleep(0.5)
            store.is_down = False
            store._wake()
            await asyncio.sleep(SETTLED_S)
            assert await n_requests(deployment, (1, 2, 3)) == 0
            await deployment.wait_until(
                lambda: store.entries["n0"].state is UpstreamState.DRAINING, 5.0
            )
            assert not deployment.relays[0]._tracker.current.is_ready

    run(scenario)


def test_leaving_is_known_after_the_store_returns_from_an_older_copy():
    async def scenario():
        async with Deployment([answer_ok] * 3) as deployment:
            await settle(deployment)
            copy = deployment.store.take_copy()
            leave(deployment, "departure")
            await deployment.relays[0].wait_published()
            deployment.store.restore(copy)
            await deployment.restart_relay(0)
            deployment.send_heartbeat(0, 1)
            await asyncio.sleep(SETTLED_S)
            assert await n_requests(deployment, (1, 2)) == 0
            await deployment.wait_until(
                lambda: deployment.store.entries["n0"].state is UpstreamState.DRAINING,
                5.0,
            )

    run(scenario)


def test_acknowledgement_does_not_wait_for_peers_while_the_store_answers():
    async def scenario():
        async with Deployment([answer_ok] * 2) as deployment:
            begun = time.monotonic()
            leave(deployment, "departure")
            await deployment.relays[0].wait_published()
            assert time.monotonic() - begun < 0.1

    run(scenario)


def test_leaving_in_the_request_of_a_peer_page():
    async def scenario():
        async with Deployment([answer_ok] * 2) as deployment:
            process = UpstreamProcess("n0", "i-0", 1000)
            odd = UpstreamProcess("n, &=%", "i,&/\u00e9", 7)
            address = deployment.settings[1].knowledge_address
            for leaving in (odd, process):
                target = peer_page_target(1, ORIGIN, leaving)
                data = encode_request(b"GET", target, [(b"host", b"h")], b"")
                answer = await deployment.client.call(address, data, timeout_s=2.0)
                assert answer.status == 200
                await answer.read_all(100_000)
                assert leaving in deployment.relays[1]._directory.leavings
            assert await n_requests(deployment, (1,)) == 0

    run(scenario)


@pytest.mark.parametrize(
    "part",
    [b"leaving=", b"leaving=n,i", b"leaving=n,i,x", b"leaving=n,,5", b"leaving=n,i,-1"],
)
def test_malformed_leaving_in_the_request_of_a_peer_page_is_ignored(part):
    async def scenario():
        async with Deployment([answer_ok]) as deployment:
            target = peer_page_target(1, ORIGIN) + b"&" + part
            data = encode_request(b"GET", target, [(b"host", b"h")], b"")
            address = deployment.settings[0].knowledge_address
            answer = await deployment.client.call(address, data, timeout_s=2.0)
            assert answer.status == 200
            assert deployment.relays[0]._directory.leavings.n_changes == 0

    run(scenario)


def test_version_in_service_reads_a_request_with_leavings():
    """An older node knows the first four fields and no leavings."""
    frame = FollowFrame(3, 0, 17, 0.3, (PROCESS,))
    fields = msgspec.msgpack.decode(msgspec.msgpack.encode(frame))
    older = msgspec.msgpack.decode(msgspec.msgpack.encode(fields[:5]), type=FollowFrame)
    assert older == FollowFrame(3, 0, 17, 0.3)
    known = [(f.name, f.type) for f in msgspec.structs.fields(FollowFrame)[:4]]
    old_type = msgspec.defstruct("FollowFrame", known, array_like=True, tag=10)
    decoded = msgspec.msgpack.decode(msgspec.msgpack.encode(frame), type=old_type)
    assert (decoded.version, decoded.period_s) == (3, 0.3)


def test_leavings_are_passed_on_for_a_time_and_bounded():
    leavings = Leavings()
    assert leavings.record(PROCESS, 0.0)
    assert not leavings.record(PROCESS, 1.0)
    later = PROCESS._replace(born_ms=2000)
    leavings.record(later, 30.0)
    assert set(leavings.latest(PASSED_ON_S)) == {PROCESS, later}
    assert leavings.latest(PASSED_ON_S + 1.0) == (later,)
    # Remembered although it is not passed on.
    assert PROCESS in leavings
    for born_ms in range(MAX_LEAVING):
        leavings.record(PROCESS._replace(node="n1", born_ms=born_ms), 40.0)
    assert PROCESS not in leavings
    assert leavings.of_node("n0") == ()
