"""Guards against requests to an upstream after its answers said that it leaves.

No heartbeat tells of the leaving: it is late, or the upstream sends none. The node
beside the upstream restarts, the store is away or returns from an older copy, and the
identity of the process is used again.
"""

import asyncio

from _deployment import Deployment, answer_of, answer_ok

from knapweedspring_relay import UpstreamState

#: Time after the first answer of a leaving upstream from which it may get no request,
#: in seconds: the drain time of the test deployment.
DRAIN_S = 1.0


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario(), 20))


class LeavingUpstream:
    """Script of an upstream whose answers can say that it leaves."""

    def __init__(self):
        self.value = b"1"
        self.n_requests = 0

    async def __call__(self, upstream, request, writer):
        self.n_requests += 1
        extra = b"x-leaving: %b\r\n" % self.value if self.value else b""
        writer.write(answer_of(request, extra=extra))


async def call_until_it_leaves(deployment, leaving, index=0):
    """Send calls until the leaving upstream has answered one; return their statuses."""
    statuses = []
    while not leaving.n_requests:
        statuses.append((await deployment.call(index=index))[0])
    return statuses


async def call_all(deployment, n_calls, indices):
    return {
        (await deployment.call(index=index))[0]
        for _ in range(n_calls)
        for index in indices
    }


def test_upstream_that_says_it_leaves_gets_no_further_requests():
    async def scenario():
        leaving = LeavingUpstream()
        async with Deployment([leaving, answer_ok, answer_ok]) as deployment:
            statuses = await call_until_it_leaves(deployment, leaving)
            await asyncio.sleep(DRAIN_S)
            n_before = leaving.n_requests
            # A heartbeat that was sent before does not take the leaving back.
            deployment.send_heartbeat(0, 2)
            statuses += await call_all(deployment, 10, range(3))
            assert leaving.n_requests == n_before
            assert set(statuses) == {200}
            await deployment.wait_until(
                lambda: deployment.store.entries["n0"].state is UpstreamState.DRAINING
            )

    run(scenario)


def test_leaving_is_kept_over_a_restart_of_its_node_without_the_store():
    async def scenario():
        leaving = LeavingUpstream()
        async with Deployment([leaving, answer_ok]) as deployment:
            deployment.store.is_down = True
            deployment.store.changed.set()
            await call_until_it_leaves(deployment, leaving, index=1)
            await deployment.restart_relay(0)
            deployment.send_heartbeat(0, 2)
            await asyncio.sleep(DRAIN_S)
            n_before = leaving.n_requests
            assert await call_all(deployment, 20, [1]) == {200}
            assert leaving.n_requests == n_before

    run(scenario)


def test_leaving_is_kept_when_the_store_returns_from_an_older_copy():
    async def scenario():
        leaving = LeavingUpstream()
        async with Deployment([leaving, answer_ok]) as deployment:
            copy = deployment.store.take_copy()
            await call_until_it_leaves(deployment, leaving, index=1)
            deployment.store.restore(copy)
            await deployment.restart_relay(0)
            deployment.send_heartbeat(0, 2)
            await asyncio.sleep(DRAIN_S)
            n_before = leaving.n_requests
            assert await call_all(deployment, 20, [1]) == {200}
            assert leaving.n_requests == n_before

    run(scenario)


def test_new_process_with_the_identity_of_one_that_left_gets_requests():
    async def scenario():
        leaving = LeavingUpstream()
        async with Deployment([leaving, answer_ok]) as deployment:
            await call_until_it_leaves(deployment, leaving, index=1)
            leaving.value, leaving.n_requests = None, 0
            deployment.send_heartbeat(0, 1, born_ms=5_000)
            await deployment.wait_until(
                lambda: (
                    len(deployment.relays[1]._directory.ready_gates("svc")) == 2
                    and deployment.relays[1]._directory.entries["n0"].born_ms == 5_000
                )
            )
            # Gates that reported that they are closed are not selected for a second.
            await asyncio.sleep(1.1)
            assert await call_all(deployment, 20, [0, 1]) == {200}
            assert leaving.n_requests > 0

    run(scenario)


def test_other_values_of_the_header_do_not_close_the_gate():
    async def scenario():
        leaving = LeavingUpstream()
        leaving.value = b"0, perhaps"
        async with Deployment([leaving]) as deployment:
            assert await call_all(deployment, 5, [0]) == {200}

    run(scenario)
