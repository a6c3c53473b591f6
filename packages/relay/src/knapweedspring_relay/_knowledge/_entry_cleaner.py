"""Deletes directory entries whose nodes ended without deleting them."""

import asyncio
import random
from collections.abc import Awaitable, Callable

from result import Err

from knapweedspring_relay._clock import now_s
from knapweedspring_relay._knowledge._directory import Directory, UpstreamState
from knapweedspring_relay._knowledge._object_store import DeploymentStore
from knapweedspring_relay._knowledge._store_health import StoreHealth
from knapweedspring_relay._logs import DecisionLog

__all__ = ["EntryCleaner"]

#: Time between two decisions whether this node deletes stale entries, in seconds.
CHECK_PERIOD_S = 10.0
#: Time for which a node must have been unreachable from this node before its entry is
#: deleted, in seconds: longer than most partitions last. A node that still runs writes
#: its entry again.
MIN_UNREACHABLE_S = 60.0


class EntryCleaner:
    """Keeps the directory from growing with each VM that is replaced.

    Each node runs a cleaner. On average, one node deletes stale entries in each period.

    :param store: store that holds the entries.
    :param directory: the gates.
    :param unreachable_duration_s: returns for how long a node has been unreachable at a
        time, in seconds.
    :param answers: asks whether a node answers at its knowledge address. Calls show it
        for gates in use only, not for one whose upstream leaves.
    :param health: state of the store; nothing is deleted while it fails.
    :param rng: decides whether this node deletes in a period.
    :param log: decision log.
    """

    def __init__(
        self,
        store: DeploymentStore,
        directory: Directory,
        unreachable_duration_s: Callable[[str, float], float],
        answers: Callable[[str], Awaitable[bool]],
        health: StoreHealth,
        rng: random.Random,
        log: DecisionLog,
    ) -> None:
        self._store = store
        self._directory = directory
        self._unreachable_duration_s = unreachable_duration_s
        self._answers = answers
        #: Times since which nodes beside leaving upstreams have not answered, on the
        #: monotonic clock, in seconds.
        self._silent_since: dict[str, float] = {}
        self._health = health
        self._rng = rng
        self._log = log

    async def run(self) -> None:
        """Delete stale entries periodically until the task is cancelled."""
        while True:
            await asyncio.sleep(CHECK_PERIOD_S)
            is_chosen = self._rng.random() * self._directory.n_nodes < 1.0
            if is_chosen and not self._health.is_failing:
                await self.delete_stale_entries()

    async def delete_stale_entries(self) -> None:
        """Delete the entries of nodes unreachable for ``MIN_UNREACHABLE_S``.

        An entry that its node has since replaced in the store is kept.
        """
        now = now_s()
        await self._find_silent_nodes()
        for node, entry in dict(self._directory.entries).items():
            silent_s = now - self._silent_since.get(node, now)
            unreachable_s = max(silent_s, self._unreachable_duration_s(node, now))
            if unreachable_s < MIN_UNREACHABLE_S:
                continue
            read = await self._store.read_entry(node)
            if isinstance(read, Err) or read.ok_value.entry != entry:
                continue
            deleted = await self._store.delete_entry(node, read.ok_value.position)
            self._log.write_state(
                "directory:cleaned",
                entry=node,
                instance=entry.instance,
                revision=read.ok_value.position.revision,
                deleted=deleted.is_ok(),
            )

    async def _find_silent_nodes(self) -> None:
        """Ask the nodes beside leaving upstreams, since no call shows their end."""
        silent_since = {}
        for node, entry in dict(self._directory.entries).items():
            if entry.state is not UpstreamState.DRAINING:
                continue
            if not await self._answers(entry.knowledge_address):
                silent_since[node] = self._silent_since.get(node, now_s())
        self._silent_since = silent_since
