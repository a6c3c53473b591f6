"""Deletes the entries of nodes that ended without deleting their own."""

import asyncio
import random

from result import Err

from knapweedspring_relay._balancer import Balancer
from knapweedspring_relay._clock import now_s
from knapweedspring_relay._directory import Directory
from knapweedspring_relay._logs import DecisionLog
from knapweedspring_relay._object_store import DeploymentStore
from knapweedspring_relay._store_sync import StoreHealth

__all__ = ["EntryCleaner"]

#: Period of the check, in seconds.
PERIOD_S = 10.0
#: Time that a node must have been unreachable from here: longer than partitions mostly
#: last. A node that lives puts its entry back.
UNREACHABLE_S = 60.0


class EntryCleaner:
    """Keeps the directory from growing with each VM that is replaced.

    All nodes check, and each period about one of them acts.

    :param store: the store.
    :param directory: the gates.
    :param balancer: tells how long a node has been unreachable.
    :param health: whether the store answers.
    :param rng: chooses who acts.
    :param log: decision log.
    """

    def __init__(
        self,
        store: DeploymentStore,
        directory: Directory,
        balancer: Balancer,
        health: StoreHealth,
        rng: random.Random,
        log: DecisionLog,
    ) -> None:
        self._store = store
        self._directory = directory
        self._balancer = balancer
        self._health = health
        self._rng = rng
        self._log = log

    async def run(self) -> None:
        """Check until cancelled."""
        while True:
            await asyncio.sleep(PERIOD_S)
            acts = self._rng.random() * self._directory.n_nodes < 1.0
            if acts and not self._health.is_failing:
                await self.clean()

    async def clean(self) -> None:
        """Delete the entries of nodes that have been unreachable for long."""
        now = now_s()
        for node, entry in dict(self._directory.entries).items():
            if self._balancer.unreachable_s(node, now) < UNREACHABLE_S:
                continue
            read = await self._store.read_entry(node)
            if isinstance(read, Err) or read.ok_value.entry != entry:
                continue
            deleted = await self._store.delete_entry(node, read.ok_value.revision)
            self._log.state(
                "directory:cleaned",
                entry=node,
                instance=entry.instance,
                revision=read.ok_value.revision,
                deleted=deleted.is_ok(),
            )
