"""Guards against a call that is sent to another process than it was checked against.

Its upstream was replaced, drained or was given up while the call waited for a slot or
for a connection (review/6).
"""

import asyncio
import contextlib
import socket
import time

import pytest
from _deployment import Deployment, answer_of, answer_ok, header_of, make_configuration

from knapweedspring_relay import Service, UpstreamState

SERVICES = (Service("svc", "/health", 100), Service("other", "/health", 100))
N_CALLS = 8


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario(), 20))


class HeldUpstream:
    """Script of an upstream that answers once it is released."""

    def __init__(self):
        self.released = asyncio.Event()
        self.paths = []
        self.heads = []

    async def __call__(self, upstream, request, writer):
        self.paths.append(request.split(b" ", 2)[1])
        self.heads.append(request)
        await self.released.wait()
        writer.write(answer_of(request))


class HeldConnections:
    """Makes the connections of a gate to its upstream wait until they are released."""

    def __init__(self, relay):
        address = relay._settings.upstream_address
        relay._path.upstream_pool.close_idle(address)
        self.released = asyncio.Event()
        self.n_waiting = 0
        loop = asyncio.get_running_loop()
        connect = loop.create_connection

        async def wait_and_connect(factory, host, port, **options):
            if f"{host}:{port}" == address:
                self.n_waiting += 1
                await self.released.wait()
            return await connect(factory, host, port, **options)

        # Not a method of the pool, which compiled code calls without looking it up.
        loop.create_connection = wait_and_connect


def make_deployment(scripts):
    configuration = make_configuration()
    declared = type(configuration)(
        1, configuration.routes, SERVICES, configuration.limits
    )
    return Deployment(scripts, declared)


def replace_upstream(deployment, service, instance="i-new"):
    deployment.send_heartbeat(
        0, 1, instance=instance, service=service, slots=20, born_ms=5_000
    )


@pytest.mark.parametrize("path", ["/read/1", "/write/1"])
@pytest.mark.parametrize(
    ("service", "instance"),
    [("other", "i-new"), ("other", "i-0"), ("svc", "i-new"), ("svc", "i-0")],
)
def test_waiting_calls_do_not_run_at_a_process_that_replaced_their_upstream(
    path, service, instance
):
    async def scenario():
        held = HeldUpstream()
        async with make_deployment([held]) as deployment:
            deployment.send_heartbeat(0, 2, slots=2)
            method = b"GET" if path == "/read/1" else b"POST"
            calls = [
                asyncio.ensure_future(deployment.call(path, method))
                for _ in range(N_CALLS)
            ]
            gate = deployment.relays[0]._gate
            await deployment.wait_until(lambda: gate.queue.n_waiting > 0)
            n_waiting, n_sent = gate.queue.n_waiting, len(held.paths)
            assert n_waiting + n_sent == N_CALLS
            replace_upstream(deployment, service, instance)
            # Refused at once, not when a slot becomes free.
            await deployment.wait_until(
                lambda: sum(call.done() for call in calls) == n_waiting, 0.5
            )
            held.released.set()
            statuses = [(await call)[0] for call in calls]
            assert statuses.count(503) == n_waiting
            assert len(held.paths) == n_sent

    run(scenario)


@pytest.mark.parametrize("service", ["other", "svc"])
@pytest.mark.parametrize("path", ["/read/1", "/write/1"])
def test_call_does_not_run_at_a_process_that_comes_up_while_it_connects(path, service):
    async def scenario():
        held = HeldUpstream()
        held.released.set()
        async with make_deployment([held]) as deployment:
            connections = HeldConnections(deployment.relays[0])
            method = b"GET" if path == "/read/1" else b"POST"
            call = asyncio.ensure_future(deployment.call(path, method))
            await deployment.wait_until(lambda: connections.n_waiting == 1)
            # The identity is used again by the later process.
            replace_upstream(deployment, service, "i-0")
            connections.released.set()
            assert (await call)[0] == 503
            assert held.paths == []
            assert deployment.relays[0]._gate.n_running == 0

    run(scenario)


def test_call_is_not_sent_to_an_upstream_that_drained_for_long_while_it_connects():
    async def scenario():
        async with make_deployment([answer_ok]) as deployment:
            connections = HeldConnections(deployment.relays[0])
            call = asyncio.ensure_future(deployment.call())
            await deployment.wait_until(lambda: connections.n_waiting == 1)
            deployment.send_heartbeat(0, 2, state=UpstreamState.DRAINING)
            # The drain time of the test deployment is 1 s.
            await asyncio.sleep(0.9)
            connections.released.set()
            assert (await call)[0] == 503
            assert deployment.upstreams[0].requests == []

    run(scenario)


def test_call_states_the_time_that_is_left_once_its_connection_is_established():
    async def scenario():
        held = HeldUpstream()
        held.released.set()
        async with make_deployment([held]) as deployment:
            connections = HeldConnections(deployment.relays[0])
            call = asyncio.ensure_future(deployment.call(x_deadline_ms="1500"))
            await deployment.wait_until(lambda: connections.n_waiting == 1)
            await asyncio.sleep(0.7)
            connections.released.set()
            assert (await call)[0] == 200
            assert int(header_of(held.heads[0], b"x-deadline-ms")) <= 800

    run(scenario)


def test_call_whose_caller_left_while_it_connects_is_not_sent():
    async def scenario():
        async with make_deployment([answer_ok]) as deployment:
            connections = HeldConnections(deployment.relays[0])
            call = asyncio.ensure_future(deployment.call("/write/1", b"POST"))
            await deployment.wait_until(lambda: connections.n_waiting == 1)
            call.cancel()
            gate = deployment.relays[0]._gate
            await deployment.wait_until(lambda: len(gate._detached._abandoned) == 1)
            connections.released.set()
            await deployment.wait_until(lambda: gate.n_running == 0)
            assert deployment.upstreams[0].requests == []
            assert not gate._detached._abandoned
            # The connection that was opened for it serves the next call.
            assert (await deployment.call())[0] == 200
            assert deployment.upstreams[0].n_connections == 1

    run(scenario)


# Guards against a call to the gate of the same node that has no answer long after its
# deadline, since its upstream takes no connections.
def test_call_ends_at_its_deadline_while_its_upstream_takes_no_connections():
    async def scenario():
        async with make_deployment([answer_ok]) as deployment:
            upstream = deployment.upstreams[0]
            upstream._server.close()
            deployment.relays[0]._path.upstream_pool.close_idle(upstream.address)
            host, port = upstream.address.split(":")
            with socket.socket() as listener, contextlib.ExitStack() as held:
                listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                listener.bind((host, int(port)))
                listener.listen(0)
                # Fills the queue of connections that wait to be accepted.
                for _ in range(3):
                    waiting = held.enter_context(socket.socket())
                    waiting.setblocking(False)
                    waiting.connect_ex((host, int(port)))
                await asyncio.sleep(0.1)
                begun = time.monotonic()
                status, *_ = await deployment.call(x_deadline_ms="300")
                assert status in (503, 504)
                assert time.monotonic() - begun < 0.5

    run(scenario)
