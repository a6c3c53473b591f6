"""Guards against calls that fail while configuration, store or nodes change.

While calls are in progress, the configuration is replaced, the store becomes
unavailable or loses entries, and nodes stop and restart.
"""

import asyncio
import time
from dataclasses import replace

from _deployment import (
    ROUTES,
    Deployment,
    answer_of,
    answer_ok,
    make_configuration,
)

from knapweedspring_relay import Destination, ShutdownSettings, UpstreamState
from knapweedspring_relay._balancer import AttemptResult
from knapweedspring_relay._clock import now_s
from knapweedspring_relay._errors import ConnectFailed
from knapweedspring_relay._knowledge._entry_cleaner import MIN_UNREACHABLE_S


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario(), 20))


def test_newer_configuration_is_put_in_force_and_an_older_one_is_not():
    async def scenario():
        async with Deployment([answer_ok]) as deployment:
            added = replace(ROUTES[0], name="added", path_prefix="/added/")
            assert (await deployment.call("/added/1"))[0] == 404
            deployment.store.put_configuration(make_configuration(5, (*ROUTES, added)))
            await deployment.wait_until(
                lambda: deployment.relays[0]._declared_state.version == 5
            )
            assert (await deployment.call("/added/1"))[0] == 200
            deployment.store.put_configuration(make_configuration(4))
            await asyncio.sleep(0.1)
            assert (await deployment.call("/added/1"))[0] == 200

    run(scenario)


def test_node_without_a_configuration_answers_503():
    async def scenario():
        deployment = Deployment([answer_ok])
        deployment.store.configuration = None
        await deployment.upstreams[0].start()
        deployment.add_relay(0)
        await asyncio.sleep(0.1)
        status, answer, _ = await deployment.call()
        assert status == 503
        assert answer.header(b"retry-after")
        assert not deployment.relays[0].is_ready
        await deployment.__aexit__()

    run(scenario)


def test_node_without_the_store_gets_the_configuration_from_a_peer():
    async def scenario():
        async with Deployment([answer_ok, answer_ok]) as deployment:
            deployment.store.is_down = True
            deployment.store.changed.set()
            moved = replace(ROUTES[0], destinations=(Destination("svc", 2.0),))
            newer = make_configuration(9, (moved,))
            deployment.relays[1]._declared_state.apply(newer, "test")
            await deployment.wait_until(
                lambda: deployment.relays[0]._declared_state.version == 9, limit_s=5.0
            )

    run(scenario)


def test_calls_succeed_while_the_store_is_unavailable():
    async def scenario():
        async with Deployment([answer_ok, answer_ok]) as deployment:
            deployment.store.is_down = True
            deployment.store.changed.set()
            await asyncio.sleep(0.2)
            for _ in range(5):
                assert (await deployment.call())[0] == 200

    run(scenario)


def test_entry_that_the_store_lost_is_written_again():
    async def scenario():
        async with Deployment([answer_ok, answer_ok]) as deployment:
            store = deployment.store
            store.restore((store.configuration, {}, {}, 1, []))
            await deployment.wait_until(
                lambda: set(store.entries) == {"n0", "n1"}, limit_s=2.0
            )

    run(scenario)


def test_stop_finishes_the_calls_in_flight():
    async def slow(upstream, request, writer):
        await asyncio.sleep(0.8)
        writer.write(answer_of(request))

    async def scenario():
        async with Deployment([slow, slow]) as deployment:
            calls = [
                asyncio.ensure_future(deployment.call(index=i % 2)) for i in range(8)
            ]
            await asyncio.sleep(0.1)
            deployment.relays[0].stop()
            assert not deployment.relays[0].is_ready
            statuses = [(await call)[0] for call in calls]
            assert statuses == [200] * 8
            status, answer, _ = await deployment.call()
            assert status == 200
            assert answer.header(b"connection") == b"close"
            await asyncio.wait_for(deployment.tasks[0], 5)

    run(scenario)


def test_stop_answers_all_requests_that_were_accepted_on_a_connection():
    """Pipelined requests that were read before the stop are answered, not dropped."""

    async def slow(upstream, request, writer):
        await asyncio.sleep(0.2)
        writer.write(answer_of(request))

    async def scenario():
        async with Deployment([slow]) as deployment:
            host, port = deployment.settings[0].entry_address.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            one = b"GET /read/%d HTTP/1.1\r\nhost: h\r\nx-id: %d\r\n\r\n"
            writer.write(b"".join(one % (i, i) for i in range(3)))
            await asyncio.sleep(0.1)
            deployment.relays[0].stop()
            received = await asyncio.wait_for(reader.read(-1), 3)
            assert received.count(b"200 OK") == 3
            # Only the last answer announces the close.
            answers = received.lower().split(b"http/1.1 200")[1:]
            closes = [b"connection: close" in answer for answer in answers]
            assert closes == [False, False, True]

    run(scenario)


def test_requests_that_arrive_late_in_a_stop_are_refused_and_not_cut():
    """Callers go on using a node for its whole grace time; each gets an answer."""

    async def slow(upstream, request, writer):
        await asyncio.sleep(0.9)
        writer.write(answer_of(request))

    async def scenario():
        async with Deployment([slow, slow]) as deployment:
            shutdown = ShutdownSettings(5.0, 1.0)
            deployment.add_relay(0, node="stopping", shutdown=shutdown)
            await deployment.wait_until(lambda: deployment.relays[2].is_ready)
            deployment.relays[2].stop()
            begin, calls = time.monotonic(), []
            while not deployment.tasks[2].done():
                calls.append(asyncio.ensure_future(deployment.call(index=2)))
                await asyncio.sleep(0.1)
                assert time.monotonic() - begin < 6.0
            results = await asyncio.gather(*calls, return_exceptions=True)
            # Connections to a process that has ended cannot be established.
            results = [r for r in results if not isinstance(r, ConnectFailed)]
            assert {result[0] for result in results} == {200, 503}
            refused = [answer for status, answer, _ in results if status == 503]
            assert all(answer.header(b"retry-after") for answer in refused)

    run(scenario)


def test_upstream_that_drained_before_a_restart_is_restored_as_draining():
    async def scenario():
        async with Deployment([answer_ok]) as deployment:
            deployment.send_heartbeat(0, 2, state=UpstreamState.DRAINING)
            entry = deployment.relays[0]._desired_entry()
            deployment.add_relay(0)
            relay = deployment.relays[1]
            relay._assume_published(
                replace(entry, gate_address=deployment.settings[1].gate_address)
            )
            # Without the time at which it began to drain, queued calls would wait for
            # their deadlines.
            assert relay._tracker.current.draining_at is not None

    run(scenario)


def test_restarted_node_uses_its_stored_entry_until_the_next_heartbeat():
    async def scenario():
        async with Deployment([answer_ok]) as deployment:
            deployment.tasks[0].cancel()
            relay = deployment.relays[0]
            relay._supervisor.stop()
            relay._knowledge.stop()
            for listener in relay._listeners:
                listener.close()
            await asyncio.sleep(0.05)
            settings = deployment.settings[0]
            entry = deployment.store.entries["n0"]
            deployment.add_relay(0)
            renewed = deployment.settings[1]
            deployment.store.entries["n0"] = replace(
                entry, gate_address=renewed.gate_address
            )
            await deployment.wait_until(lambda: deployment.relays[1].is_ready)
            await deployment.wait_until(
                lambda: deployment.relays[1]._tracker.current is not None
            )
            assert (await deployment.call(index=1))[0] == 200
            assert settings.node == renewed.node
            # No heartbeat arrives: the upstream may have left during the restart.
            await deployment.wait_until(
                lambda: deployment.relays[1]._tracker.current is None
            )
            assert (await deployment.call(index=1))[0] == 503

    run(scenario)


def test_only_the_entry_of_an_unreachable_node_is_deleted():
    async def scenario():
        async with Deployment([answer_ok, answer_ok]) as deployment:
            relay = deployment.relays[0]
            entry = relay._directory.entries["n1"]
            relay._path.balancer.record_attempt_start(entry)
            long_ago = now_s() - MIN_UNREACHABLE_S - 1.0
            relay._path.balancer.record_attempt_end(
                entry, AttemptResult.UNREACHABLE, None, long_ago
            )
            await relay._knowledge.cleaner.delete_stale_entries()
            assert set(deployment.store.entries) == {"n0"}
            # The node still runs, so it writes its deleted entry again.
            await deployment.wait_until(lambda: "n1" in deployment.store.entries)

    run(scenario)


def test_node_that_knows_no_peers_queries_the_seeds():
    async def scenario():
        async with Deployment([answer_ok, answer_ok]) as deployment:
            deployment.store.is_down = True
            deployment.store.changed.set()
            seed = deployment.settings[1].heartbeat_address
            deployment.services.append("svc")
            deployment.upstreams.append(deployment.upstreams[0])
            deployment.add_relay(2, seed_addresses=(seed,))
            await deployment.wait_until(
                lambda: deployment.relays[2].is_ready, limit_s=5.0
            )
            assert (await deployment.call(index=2))[0] == 200

    run(scenario)
