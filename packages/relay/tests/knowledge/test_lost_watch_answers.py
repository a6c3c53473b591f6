"""Guards against an old configuration in use after the answer to a watch was lost.

A connection on which an answer is lost returns nothing further, so the watch waits as
one that works does. Watchers of data centres that follow each other confirm nothing
(review/7).
"""

import asyncio
import time

import pytest
from _deployment import Deployment, MemoryStore, answer_ok, make_configuration

from knapweedspring_relay import UpstreamState
from knapweedspring_relay._knowledge._store_checks import CHECK_PERIOD_S

#: Time in which a change must be in force everywhere, in seconds: without a disturbance
#: before it, and after one.
IN_FORCE_S = 2.0
IN_FORCE_AFTER_DISTURBANCE_S = 3.0


def run(scenario, limit_s=40):
    asyncio.run(asyncio.wait_for(scenario(), limit_s))


class LossyStore(MemoryStore):
    """Store that can lose the answers to pending watches, or to all calls."""

    def __init__(self, configuration=None):
        super().__init__(configuration)
        self.is_silent = False
        self._lost = asyncio.Event()

    def lose_pending_watches(self):
        self._lost.set()
        self._lost = asyncio.Event()

    async def _answer(self, call, is_watch=False):
        lost = self._lost
        if self.is_silent:
            await asyncio.Event().wait()
        answer = asyncio.ensure_future(call)
        is_lost = asyncio.ensure_future(lost.wait())
        try:
            await asyncio.wait({answer, is_lost}, return_when=asyncio.FIRST_COMPLETED)
            if (is_watch and is_lost.done()) or self.is_silent:
                await asyncio.Event().wait()
            return await answer
        finally:
            answer.cancel()
            is_lost.cancel()

    async def read_configuration(self):
        return await self._answer(super().read_configuration())

    async def read_directory(self):
        return await self._answer(super().read_directory())

    async def watch_configuration(self, *args):
        return await self._answer(super().watch_configuration(*args), is_watch=True)

    async def watch_directory(self, *args):
        return await self._answer(super().watch_directory(*args), is_watch=True)

    async def check_configuration(self, position):
        try:
            async with asyncio.timeout(0.7):
                return await self._answer(super().check_configuration(position))
        except TimeoutError:
            self.is_down, was_down = True, self.is_down
            try:
                return await super().check_configuration(position)
            finally:
                self.is_down = was_down


class WatchedDeployment(Deployment):
    """Data centres with two nodes each, one of which watches the store."""

    def __init__(self, n_data_centres):
        super().__init__([answer_ok] * 2 * n_data_centres)
        self.store = LossyStore(make_configuration())
        self.n_data_centres = n_data_centres

    def add_relay(self, index, **changes):
        data_centre = f"dc-{index % self.n_data_centres}"
        super().add_relay(index, data_centre=data_centre, **changes)

    async def settle(self):
        """Wait until each data centre has one watcher and the others follow it."""
        await self.wait_until(
            lambda: (
                sum(r._knowledge.sources.is_watching for r in self.relays)
                == self.n_data_centres
                and sum(bool(r._knowledge.sources.source_node) for r in self.relays)
                == self.n_data_centres
            ),
            6.0,
        )
        await asyncio.sleep(2.0)

    def has_version(self, version):
        return all(r._declared_state.version == version for r in self.relays)


@pytest.mark.parametrize("n_data_centres", [1, 2, 4])
@pytest.mark.parametrize("pause_s", [0.0, 0.7, 3.5])
def test_configuration_is_in_force_in_time_although_all_watches_are_lost(
    n_data_centres, pause_s
):
    async def scenario():
        async with WatchedDeployment(n_data_centres) as deployment:
            await deployment.settle()
            deployment.store.lose_pending_watches()
            await asyncio.sleep(pause_s)
            deployment.store.put_configuration(make_configuration(2))
            await deployment.wait_until(lambda: deployment.has_version(2), IN_FORCE_S)
            # The watches that replaced the lost ones work.
            await asyncio.sleep(0.1)
            deployment.store.put_configuration(make_configuration(3))
            await deployment.wait_until(lambda: deployment.has_version(3), 0.3)

    run(scenario)


@pytest.mark.parametrize("silent_s", [0.02, 1.0, 5.0])
def test_configuration_is_in_force_in_time_after_a_silence_of_the_store(silent_s):
    async def scenario():
        async with WatchedDeployment(2) as deployment:
            await deployment.settle()
            deployment.store.is_silent = True
            deployment.store.lose_pending_watches()
            await asyncio.sleep(silent_s / 2)
            deployment.store.put_configuration(make_configuration(2))
            await asyncio.sleep(silent_s / 2)
            deployment.store.is_silent = False
            await deployment.wait_until(
                lambda: deployment.has_version(2), IN_FORCE_AFTER_DISTURBANCE_S
            )

    run(scenario)


@pytest.mark.parametrize("n_data_centres", [1, 4])
def test_watchers_of_all_data_centres_together_ask_once_in_a_period(n_data_centres):
    async def scenario():
        async with WatchedDeployment(n_data_centres) as deployment:
            await deployment.settle()
            before = deployment.store.calls["check_configuration"]
            n_before = deployment.store.calls.total()
            begun = time.monotonic()
            await asyncio.sleep(7.0)
            length_s = time.monotonic() - begun
            n_checks = deployment.store.calls["check_configuration"] - before
            assert 3 <= n_checks <= length_s / CHECK_PERIOD_S + 1
            # A check of the directory, since the configuration changed the store.
            assert deployment.store.calls.total() - n_before <= n_checks + 1

    run(scenario)


def test_lost_watch_of_the_directory_is_replaced():
    async def scenario():
        async with WatchedDeployment(1) as deployment:
            await deployment.settle()
            deployment.store.lose_pending_watches()
            deployment.send_heartbeat(0, 2, state=UpstreamState.DRAINING)
            await deployment.wait_until(
                lambda: all(
                    r._directory.entries["n0"].state is UpstreamState.DRAINING
                    for r in deployment.relays
                ),
                8.0,
            )

    run(scenario)


def test_knowledge_of_a_watcher_gets_older_when_the_store_leaves_it_without_answers():
    async def scenario():
        async with WatchedDeployment(1) as deployment:
            await deployment.settle()
            ages = [r._knowledge.sources.age_s for r in deployment.relays]
            clock = asyncio.get_running_loop().time
            assert all(age_s(clock()) < 0.5 for age_s in ages)
            deployment.store.is_silent = True
            deployment.store.lose_pending_watches()
            await asyncio.sleep(4.0)
            assert all(age_s(clock()) > 1.0 for age_s in ages)

    run(scenario)
