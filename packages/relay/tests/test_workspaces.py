"""Guards against requests of workspaces that run with a wrong key, or beyond a quota.

Keys are added and taken away while connections stay open, callers send the headers that
nodes set, and a workspace sends many times its quota at all nodes at once.
"""

import asyncio
import time

import pytest
from _deployment import (
    ROUTES,
    Deployment,
    answer_of,
    answer_ok,
    header_of,
    make_configuration,
)

from knapweedspring_relay import Quota, Workspace, WorkspaceSettings, digest_key

#: Time within which a change of the configuration must be in force, in seconds.
IN_FORCE_S = 2.5


def run(scenario, limit_s=30):
    asyncio.run(asyncio.wait_for(scenario(), limit_s))


def make_workspace(name, *keys, **changes):
    return Workspace(name, tuple(map(digest_key, keys)), **changes)


def configuration(version, *workspaces, routes=ROUTES):
    return make_configuration(version, routes, workspaces=workspaces)


W1 = make_workspace("w1", b"k1")


def test_key_is_not_passed_on_and_the_workspace_is_set_by_the_node():
    async def scenario():
        async with Deployment([answer_ok] * 2, configuration(1, W1)) as deployment:
            for index in (0, 1):
                status, _, _ = await deployment.call(
                    index=index, x_key="k1", x_workspace="other"
                )
                assert status == 200
            seen = [r for u in deployment.upstreams for r in u.requests]
            assert len(seen) == 2
            for request in seen:
                assert header_of(request, b"x-key") is None
                assert request.lower().count(b"x-workspace") == 1
                assert header_of(request, b"x-workspace") == b"w1"

    run(scenario)


@pytest.mark.parametrize("fields", [{}, {"x_key": "other"}, {"x_key": ""}])
def test_request_without_a_known_key_gets_401_and_does_not_run(fields):
    async def scenario():
        async with Deployment([answer_ok], configuration(1, W1)) as deployment:
            assert (await deployment.call(**fields))[0] == 401
            assert not deployment.upstreams[0].requests

    run(scenario)


def test_calls_of_an_upstream_carry_the_workspace_of_their_chain():
    async def scenario():
        async def nested(upstream, request, writer):
            request_id = header_of(request, b"x-id")
            if b"/" not in request_id:
                child_id = request_id + b"/1"
                await deployment.call(
                    "/inner/1", request_id=child_id, x_workspace="forged"
                )
            writer.write(answer_of(request))

        from dataclasses import replace

        inner = replace(
            ROUTES[0], name="inner", path_prefix="/inner/", is_anonymous=True
        )
        routes = (*ROUTES, inner)
        declared = configuration(1, W1, routes=routes)
        async with Deployment([nested], declared) as deployment:
            assert (await deployment.call(x_key="k1"))[0] == 200
            requests = deployment.upstreams[0].requests
            assert [header_of(r, b"x-workspace") for r in requests] == [b"w1", b"w1"]
            # A caller's own request on the anonymous route belongs to no workspace.
            await deployment.call("/inner/1", x_workspace="forged")
            assert header_of(requests[-1], b"x-workspace") is None

    run(scenario)


def test_key_that_is_taken_away_is_refused_on_an_open_connection_at_all_nodes():
    async def scenario():
        w2 = make_workspace("w2", b"k2")
        declared = configuration(1, W1, w2)
        async with Deployment([answer_ok] * 3, declared) as deployment:
            for index in range(3):
                assert (await deployment.call(index=index, x_key="k2"))[0] == 200
            deployment.store.put_configuration(configuration(2, W1))
            begin = time.monotonic()
            refused_at = {}
            while len(refused_at) < 3:
                assert time.monotonic() - begin < IN_FORCE_S / 2
                for index in range(3):
                    status, _, _ = await deployment.call(index=index, x_key="k2")
                    if status == 401:
                        refused_at.setdefault(index, time.monotonic() - begin)
            assert (await deployment.call(x_key="k1"))[0] == 200

    run(scenario)


def test_added_key_is_accepted_at_all_nodes():
    async def scenario():
        async with Deployment([answer_ok] * 3, configuration(1, W1)) as deployment:
            added = make_workspace("w1", b"k1", b"new")
            deployment.store.put_configuration(configuration(2, added))
            await deployment.wait_until(
                lambda: all(r._declared_state.version == 2 for r in deployment.relays),
                IN_FORCE_S / 2,
            )
            for index in range(3):
                assert (await deployment.call(index=index, x_key="new"))[0] == 200

    run(scenario)


def test_node_that_has_lost_touch_does_not_call_an_unknown_key_wrong():
    """The key may have been added meanwhile: 503 says only that it has not run."""

    async def scenario():
        async with Deployment([answer_ok], configuration(1, W1)) as deployment:
            deployment.store.is_down = True
            deployment.store._wake()
            relay = deployment.relays[0]
            freshness = relay._knowledge.freshness
            await deployment.wait_until(
                lambda: freshness.age_s(time.monotonic()) > 1.1, 5.0
            )
            status, answer, _ = await deployment.call(x_key="new")
            assert status == 503
            assert answer.header(b"retry-after") is not None
            assert (await deployment.call(x_key="k1"))[0] == 200
            assert not [
                r
                for r in deployment.upstreams[0].requests
                if header_of(r, b"x-workspace") != b"w1"
            ]

    run(scenario)


def test_strict_node_that_has_lost_touch_refuses_all_keys():
    async def scenario():
        async with Deployment([answer_ok], configuration(1, W1)) as deployment:
            rules = WorkspaceSettings(refuses_when_stale=True, stale_after_s=1.0)
            relay = deployment.relays[0]
            relay._path.access.set_rules(rules.access_rules)
            assert (await deployment.call(x_key="k1"))[0] == 200
            deployment.store.is_down = True
            deployment.store._wake()
            freshness = relay._knowledge.freshness
            await deployment.wait_until(
                lambda: freshness.age_s(time.monotonic()) > 0.8, 5.0
            )
            assert (await deployment.call(x_key="k1"))[0] == 503

    run(scenario)


def test_workspace_is_held_to_its_quota_over_all_nodes():
    async def scenario():
        quota = Quota(per_s=10.0, burst=10.0)
        limited = make_workspace("w1", b"k1", quota=quota)
        declared = configuration(1, limited, make_workspace("w2", b"k2"))
        async with Deployment([answer_ok] * 4, declared) as deployment:
            await deployment.wait_until(
                lambda: any(
                    r._path.quotas._coordinator.n_leases == 4 for r in deployment.relays
                ),
                5.0,
            )
            await asyncio.sleep(1.5)
            begin, results = time.monotonic(), []

            async def send(index, key):
                while time.monotonic() - begin < 4.0:
                    status, answer, _ = await deployment.call(index=index, x_key=key)
                    results.append((key, status, answer.header(b"retry-after")))
                    await asyncio.sleep(0.02)

            await asyncio.gather(
                *(send(index, "k1") for index in range(4)), send(0, "k2")
            )
            statuses = [status for key, status, _ in results if key == "k1"]
            assert set(statuses) == {200, 429}
            # Excess and slack are 0 in the settings of the test deployment.
            elapsed_s = time.monotonic() - begin
            assert 30 <= statuses.count(200) <= 10 * elapsed_s + 10
            assert all(
                float(retry_after) > 0.0
                for _, status, retry_after in results
                if status == 429
            )
            assert {status for key, status, _ in results if key == "k2"} == {200}

    run(scenario)


def test_another_coordinator_takes_over_when_the_first_one_ends():
    async def scenario():
        quota = Quota(per_s=40.0, burst=40.0)
        limited = make_workspace("w1", b"k1", quota=quota)
        async with Deployment([answer_ok] * 4, configuration(1, limited)) as deployment:

            def coordinating():
                return [
                    index
                    for index, relay in enumerate(deployment.relays)
                    if relay._path.quotas._coordinator.n_leases >= 3
                ]

            await deployment.wait_until(lambda: coordinating(), 5.0)
            first = coordinating()[0]
            await deployment.restart_relay(first)
            others = [index for index in range(4) if index != first]
            served = 0
            for _ in range(20):
                for index in others:
                    status, _, _ = await deployment.call(index=index, x_key="k1")
                    served += status == 200
                await asyncio.sleep(0.05)
            assert served >= 40

    run(scenario)
