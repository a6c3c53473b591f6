"""Guards against a store that is restored from an older copy.

The store is away for a moment and returns without its last changes. Its revisions go
back and are assigned again. Whatever happened meanwhile, the entries of living
upstreams must return, no upstream that left may be used again, and no older
configuration may be put in force.
"""

import asyncio
import random
from dataclasses import replace

import pytest
from _deployment import Deployment, answer_ok, make_configuration

from knapweedspring_relay import (
    DirectorySnapshot,
    GateEntry,
    StorePosition,
    UpstreamState,
)
from knapweedspring_relay._knowledge import Directory

#: Time after the return of the store until the entries of living upstreams must be in
#: it again, in seconds, as the users state it.
ENTRIES_BACK_S = 2.0

ENTRY = GateEntry(
    "a", "10.0.0.1:1", "10.0.0.1:2", "dc", "svc", "i-1", 100, 20, UpstreamState.READY
)
OTHER = replace(ENTRY, node="b", gate_address="10.0.0.2:1", instance="i-2")


def run(scenario, limit_s=40):
    asyncio.run(asyncio.wait_for(scenario(), limit_s))


def listing(era, revision, *entries):
    return DirectorySnapshot(StorePosition(era, revision), {e.node: e for e in entries})


def test_lower_revision_of_a_newer_era_is_applied_and_an_older_era_is_not():
    directory = Directory()
    directory.apply_listing(listing(1, 50, ENTRY), 0.0)
    assert directory.apply_listing(listing(2, 40, ENTRY, OTHER), 1.0)
    assert len(directory.ready_gates("svc")) == 2
    assert not directory.apply_listing(listing(1, 60, ENTRY), 2.0)
    assert not directory.apply_changes(StorePosition(1, 70), (), ("a",), 2.0)
    assert len(directory.ready_gates("svc")) == 2


def test_upstream_that_left_is_not_used_again_from_the_older_copy():
    directory = Directory()
    directory.apply_listing(listing(1, 50, ENTRY, OTHER), 0.0)
    directory.apply_changes(StorePosition(1, 51), (), ("b",), 1.0)
    directory.expire_missing(10.0)
    directory.apply_listing(listing(2, 50, ENTRY, OTHER), 11.0)
    assert directory.ready_gates("svc") == (ENTRY,)
    assert directory.listed_entry("b") is None


def test_new_process_on_the_vm_of_one_that_left_is_used():
    directory = Directory()
    directory.apply_listing(listing(1, 50, ENTRY, OTHER), 0.0)
    directory.apply_changes(StorePosition(1, 51), (), ("b",), 1.0)
    newer = replace(OTHER, instance="i-3", born_ms=900)
    directory.apply_listing(listing(2, 50, ENTRY, newer), 2.0)
    assert set(directory.ready_gates("svc")) == {ENTRY, newer}


def test_draining_upstream_stays_draining():
    directory = Directory()
    draining = replace(OTHER, state=UpstreamState.DRAINING)
    directory.apply_listing(listing(1, 50, ENTRY, draining), 0.0)
    directory.apply_listing(listing(2, 45, ENTRY, OTHER), 1.0)
    assert directory.ready_gates("svc") == (ENTRY,)


def test_entry_that_the_older_copy_lacks_stays_in_use_until_it_returns():
    directory = Directory()
    directory.apply_listing(listing(1, 50, ENTRY, OTHER), 0.0)
    directory.apply_listing(listing(2, 30, ENTRY), 1.0)
    assert len(directory.ready_gates("svc")) == 2
    directory.apply_changes(StorePosition(2, 31), (OTHER,), (), 2.0)
    assert directory.expire_missing(20.0) == ()


def test_follower_of_the_older_era_gets_the_whole_directory():
    directory = Directory()
    directory.apply_listing(listing(1, 50, ENTRY, OTHER), 0.0)
    directory.apply_listing(listing(2, 30, ENTRY), 1.0)
    assert directory.nodes_changed_since(StorePosition(1, 50)) is None
    assert directory.nodes_changed_since(StorePosition(1, 30)) is None
    assert directory.nodes_changed_since(StorePosition(2, 30)) == frozenset()


class _Drill:
    """A deployment whose store is restored at a random moment among other changes."""

    def __init__(self, deployment, seed):
        self.deployment = deployment
        self.rng = random.Random(seed)
        self.version = 1
        self.departed = set()
        self.draining = set()
        self.used_after_leaving = []
        self.versions = {}
        self.born_ms = {}

    async def play(self):
        store = self.deployment.store
        copy = store.take_copy()
        watcher = asyncio.ensure_future(self.check_promises())
        for _ in range(self.rng.randrange(3, 9)):
            self.change_something()
            await asyncio.sleep(self.rng.random() * 0.15)
        store.is_down = True
        store._wake()
        for _ in range(self.rng.randrange(3)):
            self.change_something()
        await asyncio.sleep(self.rng.random() * 0.5)
        store.is_down = False
        store.restore(copy)
        # The operator writes the configuration again.
        await asyncio.sleep(self.rng.random() * 0.3)
        store.put_configuration(make_configuration(self.version))
        await self.deployment.wait_until(self.is_consistent, ENTRIES_BACK_S)
        await asyncio.sleep(0.5)
        assert self.is_consistent()
        watcher.cancel()
        assert not self.used_after_leaving
        gone = {f"n{index}" for index in self.departed | self.draining}
        for relay in self.deployment.relays:
            assert gone.isdisjoint(e.node for e in relay._directory.ready_gates("svc"))

    def change_something(self):
        change = self.rng.choice(
            [self.configure, self.drain, self.leave, self.restart, self.grow]
        )
        change()

    def configure(self):
        self.version += self.rng.randrange(1, 4)
        if not self.deployment.store.is_down:
            self.deployment.store.put_configuration(make_configuration(self.version))

    def drain(self):
        index = self.pick_living()
        if index is not None:
            self.draining.add(index)
            self.report(index, 50, state=UpstreamState.DRAINING)

    def leave(self):
        index = self.pick_living()
        if index is not None:
            self.departed.add(index)
            self.deployment.relays[index].apply_departure(f"i-{index}")

    def restart(self):
        """Restart the upstream beside a node as a new process."""
        index = self.pick_living()
        if index is not None:
            self.born_ms[index] = self.born_ms.get(index, 5_000) + 1
            self.report(index, 1)

    def grow(self):
        index = self.pick_living()
        if index is not None:
            self.report(index, 60, slots=self.rng.randrange(5, 50))

    def report(self, index, sequence, **changes):
        if index in self.born_ms:
            changes["born_ms"] = self.born_ms[index]
        self.deployment.send_heartbeat(index, sequence, **changes)

    def pick_living(self):
        living = [
            index
            for index in range(len(self.deployment.relays))
            if index not in self.departed | self.draining
        ]
        return self.rng.choice(living) if len(living) > 1 else None

    def is_consistent(self):
        """Whether each upstream is listed as it is, in store and directories."""
        for index, node in enumerate(self.deployment.relays):
            desired = node._desired_entry()
            name = f"n{index}"
            if self.deployment.store.entries.get(name) != desired:
                return False
            if any(
                relay._directory.listed_entry(name) != desired
                for relay in self.deployment.relays
            ):
                return False
        return all(
            relay._declared_state.version >= self.version
            for relay in self.deployment.relays
        )

    async def check_promises(self):
        """Record configurations that go back and calls to upstreams that left."""
        while True:
            for index, relay in enumerate(self.deployment.relays):
                version = relay._declared_state.version
                assert version >= self.versions.get(index, 0)
                self.versions[index] = version
            for index in self.departed | self.draining:
                current = self.deployment.relays[index]._tracker.current
                if current is not None and current.is_ready:
                    self.used_after_leaving.append(index)
            await asyncio.sleep(0.01)


@pytest.mark.parametrize("seed", range(12))
def test_restored_store_at_any_moment(seed):
    async def scenario():
        async with Deployment([answer_ok] * 5) as deployment:
            await _Drill(deployment, seed).play()

    run(scenario)


def test_second_restoration_while_entries_return():
    async def scenario():
        async with Deployment([answer_ok] * 4) as deployment:
            store = deployment.store
            empty = (store.configuration, {}, {}, 1, [])
            store.restore(empty)
            await asyncio.sleep(0.3)
            store.restore(empty)
            await deployment.wait_until(lambda: len(store.entries) == 4, ENTRIES_BACK_S)

    run(scenario)
