"""Guards against store calls that grow with nodes times changes, and stale followers.

One node of a data centre watches the store. The others must learn each change through
it, and must replace it when it stops, freezes, or loses the store.
"""

import asyncio
import random
from dataclasses import replace

import pytest
from _deployment import ROUTES, Deployment, answer_ok, make_configuration

from knapweedspring_relay import UpstreamState
from knapweedspring_relay._knowledge._source_selector import rank_watchers

N_NODES = 8


def run(scenario, limit_s=30):
    asyncio.run(asyncio.wait_for(scenario(), limit_s))


def make_deployment(n_nodes=N_NODES):
    return Deployment([answer_ok] * n_nodes)


def watching(deployment):
    return [r for r in deployment.relays if r._knowledge.sources.is_watching]


async def settle(deployment):
    """Wait until one node watches the store and all others follow it."""
    await deployment.wait_until(lambda: len(watching(deployment)) == 1, 6.0)
    name = watching(deployment)[0]._settings.node
    await deployment.wait_until(
        lambda: all(
            r._knowledge.sources.source_node == name
            for r in deployment.relays
            if r._settings.node != name
        ),
        6.0,
    )
    return watching(deployment)[0]


async def wait_for_version(deployment, version, limit_s, relays=None):
    await deployment.wait_until(
        lambda: all(
            r._declared_state.version == version for r in relays or deployment.relays
        ),
        limit_s,
    )


def test_one_node_watches_and_changes_reach_all_with_few_calls():
    async def scenario():
        async with make_deployment() as deployment:
            await settle(deployment)
            store = deployment.store
            calls = store.calls.total()
            for version in (2, 3, 4):
                store.put_configuration(make_configuration(version))
                await wait_for_version(deployment, version, 0.5)
            deployment.send_heartbeat(0, 2, state=UpstreamState.DRAINING)
            await deployment.wait_until(
                lambda: all(
                    len(r._directory.ready_gates("svc")) == N_NODES - 1
                    for r in deployment.relays
                ),
                2.0,
            )
            # Three watches of the configuration, one write, two watches of the
            # directory and the ones that follow them, for eight nodes together.
            assert store.calls.total() - calls <= 8

    run(scenario)


def test_followers_of_a_stopped_watcher_get_the_next_configuration():
    async def scenario():
        async with make_deployment() as deployment:
            watcher = await settle(deployment)
            others = [r for r in deployment.relays if r is not watcher]
            watcher.stop()
            deployment.store.put_configuration(make_configuration(2))
            await wait_for_version(deployment, 2, 1.5, others)

    run(scenario)


def test_followers_of_a_frozen_watcher_get_the_next_configuration():
    async def scenario():
        async with make_deployment() as deployment:
            watcher = await settle(deployment)
            others = [r for r in deployment.relays if r is not watcher]
            # A frozen process holds its connections and sends nothing.
            watcher._knowledge.followers._send = lambda *_: None
            watcher._knowledge.sources._store_watch.set_running(False)
            watcher._knowledge.sources.check = lambda: None
            await asyncio.sleep(0.05)
            deployment.store.put_configuration(make_configuration(2))
            await wait_for_version(deployment, 2, 2.0, others)

    run(scenario)


def test_watcher_that_loses_the_store_is_replaced_and_keeps_learning():
    async def scenario():
        async with make_deployment() as deployment:
            watcher = await settle(deployment)
            store = deployment.store

            class Refusing:
                def __getattr__(self, name):
                    return getattr(store, name)

                async def _refuse(self, *_):
                    store.calls["refused"] += 1
                    store_is_down, store.is_down = store.is_down, True
                    try:
                        return await store.read_configuration()
                    finally:
                        store.is_down = store_is_down

                read_configuration = watch_configuration = _refuse
                read_directory = watch_directory = _refuse

            for task in watcher._knowledge.sources._store_watch._tasks.values():
                task.__self__._store = Refusing()
            store._wake()
            watcher._knowledge.sources._store_watch.set_running(False)
            watcher._knowledge.sources.check()
            await asyncio.sleep(0.05)
            store.put_configuration(make_configuration(2))
            await wait_for_version(deployment, 2, 2.5)

    run(scenario)


def test_configuration_passes_between_data_centres_while_one_gets_no_answers():
    """The store holds the watches of one data centre open and never answers them."""

    async def scenario():
        async with make_deployment(1) as deployment:
            store = deployment.store
            for index in range(1, 4):
                deployment.upstreams.append(deployment.upstreams[0])
                deployment.services.append("svc")
                deployment.add_relay(index, data_centre=("dc", "away")[index % 2])
                deployment.send_heartbeat(index)
            away = [
                relay
                for relay in deployment.relays
                if relay._settings.data_centre == "away"
            ]
            await deployment.wait_until(
                lambda: (
                    len(watching(deployment)) == 2
                    and sum(r._knowledge.sources.is_watching for r in away) == 1
                ),
                6.0,
            )
            await asyncio.sleep(0.5)

            async def wait_forever(*_):
                await asyncio.Event().wait()

            for relay in away:
                relay._knowledge.sources._store_watch.set_running(False)
                for task in relay._knowledge.sources._store_watch._tasks.values():
                    task.__self__._store = type(
                        "Silent",
                        (),
                        {
                            "read_configuration": wait_forever,
                            "watch_configuration": wait_forever,
                            "read_directory": wait_forever,
                            "watch_directory": wait_forever,
                        },
                    )()
            await asyncio.sleep(0.5)
            store.put_configuration(make_configuration(2))
            await wait_for_version(deployment, 2, 0.5)

    run(scenario)


def test_all_nodes_learn_a_configuration_that_only_one_peer_has():
    async def scenario():
        async with make_deployment(3) as deployment:
            watcher = await settle(deployment)
            moved = make_configuration(9, (replace(ROUTES[0], goal_s=1.5),))
            deployment.store.is_down = True
            deployment.store._wake()
            watcher._declared_state.apply(moved, "test")
            await wait_for_version(deployment, 9, 1.0)

    run(scenario)


def test_first_start_needs_few_calls_of_each_node():
    async def scenario():
        async with make_deployment(1) as deployment:
            store = deployment.store
            seed = deployment.settings[0].heartbeat_address
            calls = store.calls.total()
            for index in range(1, 11):
                deployment.upstreams.append(deployment.upstreams[0])
                deployment.services.append("svc")
                deployment.add_relay(index, seed_addresses=(seed,), is_first_start=True)
            await asyncio.sleep(0.1)
            for index in range(1, 11):
                deployment.send_heartbeat(index)
            await deployment.wait_until(
                lambda: all(
                    r.is_ready and len(r._directory.ready_gates("svc")) == 11
                    for r in deployment.relays
                ),
                4.0,
            )
            await settle(deployment)
            # One write a node, and the watches of one or two watchers.
            assert store.calls["write_entry"] == 11
            assert store.calls.total() - calls <= 2 * 10

    run(scenario)


def test_node_that_restarts_while_its_seeds_are_down_reads_the_store_soon():
    async def scenario():
        async with make_deployment(1) as deployment:
            deployment.upstreams.append(deployment.upstreams[0])
            deployment.services.append("svc")
            deployment.add_relay(1, seed_addresses=("127.0.0.1:1",))
            await deployment.wait_until(
                lambda: deployment.relays[1].is_ready, limit_s=1.2
            )

    run(scenario)


def test_directory_of_followers_equals_the_store_after_many_changes():
    """Entries that join, drain and leave in random order reach every follower."""

    async def scenario():
        rng = random.Random(4)
        async with make_deployment(4) as deployment:
            await settle(deployment)
            store = deployment.store
            template = store.entries["n0"]
            for step in range(60):
                name = f"m{rng.randrange(12)}"
                if name in store.entries and rng.random() < 0.4:
                    position = store._record_of(name).position
                    await store.delete_entry(name, position)
                else:
                    entry = replace(
                        template,
                        node=name,
                        gate_address=f"127.0.0.1:{20_000 + step}",
                        data_centre="elsewhere",
                        born_ms=step,
                    )
                    position = store._record_of(name).position
                    await store.write_entry(entry, position)
                await asyncio.sleep(rng.random() * 0.05)
            await deployment.wait_until(
                lambda: all(
                    {e.node: e for e in r._directory.listed_entries()} == store.entries
                    for r in deployment.relays
                ),
                4.0,
            )

    run(scenario)


def stand_still(relay):
    """Let a relay keep its connections and send nothing, as a frozen process does."""
    relay._knowledge.followers._send_due = lambda *_, **__: None
    relay._knowledge.sources._store_watch.set_running(False)
    relay._knowledge.sources.check = lambda: None


def n_calls_of_nodes(store):
    """Return the number of calls without the checks, which nodes make in turn."""
    return store.calls.total() - store.calls["check_configuration"]


# Guards against an old configuration in use while nodes follow some that stand still,
# one after another and again from the first (review/9).
@pytest.mark.parametrize("n_still", [2, 3, 4])
@pytest.mark.parametrize("pause_s", [0.0, 0.5, 1.5])
def test_followers_of_nodes_that_stand_still_get_the_next_configuration(
    n_still, pause_s
):
    async def scenario():
        async with make_deployment(9) as deployment:
            await settle(deployment)
            entries = deployment.relays[0]._directory.listed_entries()
            names = [entry.node for entry in rank_watchers(entries, "dc")[:n_still]]
            by_name = {r._settings.node: r for r in deployment.relays}
            for name in names:
                stand_still(by_name[name])
            others = [r for name, r in by_name.items() if name not in names]
            await asyncio.sleep(pause_s)
            before = n_calls_of_nodes(deployment.store)
            deployment.store.put_configuration(make_configuration(2))
            await wait_for_version(deployment, 2, 2.0, others)
            # A read of the configuration, and two watches of each that tried to watch.
            n_calls = n_calls_of_nodes(deployment.store) - before
            assert n_calls <= 3 * len(others)
            await asyncio.sleep(2.0)
            deployment.store.put_configuration(make_configuration(3))
            await wait_for_version(deployment, 3, 0.5, others)

    run(scenario)
