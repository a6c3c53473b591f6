"""Guards against requests that a planned stop of their node leaves without an answer.

Requests wait at the entry, at a gate or for their upstream when the process has to end,
or their answers are not sent completely.
"""

import asyncio
import socket
import time
from dataclasses import replace

import pytest
from _deployment import (
    ROUTES,
    Deployment,
    Upstream,
    answer_of,
    answer_ok,
    free_address,
    make_configuration,
)
from result import Ok

from knapweedspring_relay import Quota, ShutdownSettings, Workspace, digest_key
from knapweedspring_relay._planned_stop import shutdown_times

#: The calls may last longer than the process.
DEADLINE = {"x_deadline_ms": "9000"}
LONG_ROUTES = tuple(replace(route, timeout_s=10.0) for route in ROUTES)
READ, WRITE = (b"GET", "/read/%d"), (b"POST", "/write/%d")


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario(), 20))


def test_times_of_a_stop_leave_time_before_the_forced_end():
    times = shutdown_times(100.0, 6.0)
    assert times.gate_closes_at < times.redirected_at < times.withdrawn_at
    assert times.withdrawn_at < times.ends_at < times.closes_at < 105.8
    # A short grace period does not end the node before its callers are redirected.
    assert shutdown_times(100.0, 1.0).ends_at == times.redirected_at


async def answer_only_fast(upstream, request, writer):
    """Answer requests whose path ends in ``fast``; hold the others."""
    if not request.split(b" ")[1].endswith(b"fast"):
        await asyncio.sleep(30)
    writer.write(answer_of(request))


def start_call(deployment, kind, number, index=0):
    method, path = kind
    call = deployment.call(path % number, method, index=index, **DEADLINE)
    return asyncio.ensure_future(call)


async def fill_gate(deployment, gate_index, kinds, first_kind=READ):
    """Let one call run at a gate with a single slot, and queue others behind it."""
    assert (await deployment.call("/read/fast"))[0] == 200
    deployment.send_heartbeat(gate_index, 2, slots=1)
    queue = deployment.relays[gate_index]._gate.queue
    running = start_call(deployment, first_kind, 0)
    await deployment.wait_until(lambda: queue.n_running == 1)
    waiting = [start_call(deployment, kind, i + 1) for i, kind in enumerate(kinds)]
    await deployment.wait_until(lambda: queue.n_waiting == len(kinds))
    return running, waiting


def paths_of(upstream):
    return [request.split(b" ")[1] for request in upstream.requests]


@pytest.mark.parametrize("services", [["svc"], ["front", "svc"]])
def test_calls_that_wait_at_a_gate_are_refused_and_never_run(services):
    """They were cut without an answer when the process ended."""

    async def scenario():
        scripts = [answer_only_fast] * len(services)
        configuration = make_configuration(routes=LONG_ROUTES)
        async with Deployment(scripts, configuration, services) as deployment:
            gate_index = len(services) - 1
            running, waiting = await fill_gate(
                deployment, gate_index, [READ, WRITE, WRITE], WRITE
            )
            deployment.relays[0].stop()
            for answer in await asyncio.gather(*waiting):
                assert answer[0] == 503
                assert answer[1].header(b"retry-after")
                assert answer[1].header(b"connection") == b"close"
            # The upstream may have run this one.
            status, answer, _ = await running
            assert (status, answer.header(b"connection")) == (502, b"close")
            await asyncio.wait_for(deployment.tasks[0], 2)
            await asyncio.sleep(0.2)
            upstream = deployment.upstreams[gate_index]
            assert paths_of(upstream) == [b"/read/fast", b"/write/0"]

    run(scenario)


def test_call_that_runs_is_not_cancelled_by_the_withdrawal():
    async def answer_late(upstream, request, writer):
        if not request.split(b" ")[1].endswith(b"fast"):
            await asyncio.sleep(2.3)
        writer.write(answer_of(request))

    async def scenario():
        configuration = make_configuration(routes=LONG_ROUTES)
        services = ["front", "svc"]
        async with Deployment([answer_late] * 2, configuration, services) as deployment:
            assert (await deployment.call("/read/fast"))[0] == 200
            calls = [start_call(deployment, kind, 1) for kind in (READ, WRITE)]
            upstream = deployment.upstreams[1]
            await deployment.wait_until(lambda: len(upstream.requests) == 3)
            deployment.relays[0].stop()
            assert [(await call)[0] for call in calls] == [200, 200]

    run(scenario)


def test_call_at_a_gate_that_does_not_confirm_is_not_reported_as_not_run():
    """An older gate would cancel it, running or not, and send no outcome."""

    async def scenario():
        configuration = make_configuration(routes=LONG_ROUTES)
        services = ["front", "svc"]
        scripts = [answer_only_fast] * 2
        async with Deployment(scripts, configuration, services) as deployment:
            running, waiting = await fill_gate(deployment, 1, [WRITE])
            pool = deployment.relays[0]._path.hop_pool
            for connections in pool._connections.values():
                for connection in connections:
                    connection._confirms_withdrawals = False
            deployment.relays[0].stop()
            statuses = [(await call)[0] for call in (running, *waiting)]
            assert statuses == [502, 502]

    run(scenario)


def test_request_that_waits_for_a_unit_is_refused():
    async def scenario():
        workspace = Workspace("w1", (digest_key(b"k1"),), quota=Quota(0.3, 1.0))
        routes = tuple(replace(route, goal_s=10.0) for route in LONG_ROUTES)
        configuration = make_configuration(routes=routes, workspaces=(workspace,))
        async with Deployment([answer_ok], configuration) as deployment:
            key = {"x_key": "k1", **DEADLINE}
            assert (await deployment.call(**key))[0] == 200
            deployment.relays[0].stop()
            stopped_at = time.monotonic()
            await asyncio.sleep(1.0)
            status, answer, _ = await deployment.call(**key)
            assert (status, answer.header(b"connection")) == (503, b"close")
            # It waited for its unit, and was refused before the process ended.
            assert 1.5 < time.monotonic() - stopped_at < 2.6
            assert not deployment.tasks[0].done()
            assert len(deployment.upstreams[0].requests) == 1

    run(scenario)


def test_requests_behind_another_one_on_their_connection_are_answered():
    async def scenario():
        configuration = make_configuration(routes=LONG_ROUTES)
        async with Deployment([answer_only_fast], configuration) as deployment:
            host, port = deployment.settings[0].entry_address.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            one = b"POST /write/%d HTTP/1.1\r\nhost: h\r\nx-id: %d\r\n"
            one += b"x-deadline-ms: 9000\r\ncontent-length: 0\r\n\r\n"
            writer.write(b"".join(one % (i, i) for i in range(3)))
            upstream = deployment.upstreams[0]
            await deployment.wait_until(lambda: len(upstream.requests) == 1)
            deployment.relays[0].stop()
            received = await asyncio.wait_for(reader.read(-1), 5)
            statuses = [part[:3] for part in received.split(b"HTTP/1.1 ")[1:]]
            assert statuses == [b"502", b"503", b"503"]
            assert received.lower().count(b"connection: close") == 1
            assert len(upstream.requests) == 1
            writer.close()

    run(scenario)


def test_call_that_waits_at_a_stopping_gate_runs_elsewhere():
    """It was reported as lost when the process ended, so it could not be sent again."""

    async def scenario():
        configuration = make_configuration(routes=LONG_ROUTES)
        scripts, services = [answer_only_fast] * 2, ["front", "svc"]
        async with Deployment(scripts, configuration, services) as deployment:
            running, waiting = await fill_gate(deployment, 1, [WRITE])
            deployment.upstreams.append(Upstream(free_address(), answer_ok))
            await deployment.upstreams[2].start()
            deployment.services.append("svc")
            deployment.add_relay(2)
            await deployment.wait_until(lambda: deployment.relays[2].is_ready)
            deployment.send_heartbeat(2)
            directory = deployment.relays[0]._directory
            await deployment.wait_until(lambda: len(directory.ready_gates("svc")) == 2)
            deployment.relays[1].stop()
            assert (await waiting[0])[0] == 200
            assert paths_of(deployment.upstreams[2]) == [b"/write/1"]
            assert paths_of(deployment.upstreams[1]) == [b"/read/fast", b"/read/0"]
            running.cancel()

    run(scenario)


def test_process_ends_only_after_unsent_bytes_of_answers():
    """It ended while its write buffers held the ends of answers."""
    n_requests, body = 60, b"b" * 100_000

    async def long_answer(upstream, request, writer):
        writer.write(answer_of(request, body))

    async def scenario():
        async with Deployment([long_answer]) as deployment:
            deployment.add_relay(0, node="stopping", shutdown=ShutdownSettings(6.0))
            await deployment.wait_until(lambda: deployment.relays[1].is_ready)
            host, port = deployment.settings[1].entry_address.split(":")
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
            sock.setblocking(False)
            loop = asyncio.get_running_loop()
            await loop.sock_connect(sock, (host, int(port)))
            one = b"GET /read/%d HTTP/1.1\r\nhost: h\r\nx-id: %d\r\n\r\n"
            for i in range(n_requests):
                await loop.sock_sendall(sock, one % (i, i))
            upstream = deployment.upstreams[0]
            connections = deployment.relays[1]._entry_listener._connections
            await deployment.wait_until(
                lambda: any(c._is_writing_paused for c in connections)
            )
            deployment.relays[1].stop()
            # Requests are answered, and the callers were redirected.
            await asyncio.sleep(3.2)
            assert not deployment.tasks[1].done()
            received = bytearray()
            while piece := await asyncio.wait_for(loop.sock_recv(sock, 1_000_000), 2):
                received += piece
            n_answers = received.count(b"HTTP/1.1 200")
            assert n_answers == len(upstream.requests)
            assert received.count(body) == n_answers
            # Requests that were read behind unread answers are refused, not cut.
            assert n_answers + received.count(b"HTTP/1.1 503") == n_requests
            assert received.endswith(b"connection: close\r\n\r\n")
            await asyncio.wait_for(deployment.tasks[1], 1)
            sock.close()

    run(scenario)


def test_second_signal_and_changed_settings_do_not_shorten_the_stop():
    async def slow(upstream, request, writer):
        await asyncio.sleep(3.2)
        writer.write(answer_of(request))

    async def scenario():
        configuration = make_configuration(routes=LONG_ROUTES)
        async with Deployment([slow], configuration) as deployment:
            deployment.add_relay(0, node="stopping", shutdown=ShutdownSettings(6.0))
            relay = deployment.relays[1]
            await deployment.wait_until(lambda: relay.is_ready)
            call = start_call(deployment, WRITE, 1, index=1)
            upstream = deployment.upstreams[0]
            await deployment.wait_until(lambda: len(upstream.requests) == 1)
            relay.stop()
            shorter = replace(relay._settings, shutdown=ShutdownSettings(1.0))
            relay._adapter = replace(relay._adapter, read_settings=lambda: Ok(shorter))
            relay._reload()
            routes = tuple(replace(r, path_prefix="/x/") for r in LONG_ROUTES)
            deployment.store.put_configuration(make_configuration(5, routes))
            await asyncio.sleep(1.0)
            relay.stop()
            assert (await call)[0] == 200

    run(scenario)
