"""How current the configuration of this node is."""

import asyncio
from collections.abc import Awaitable, Callable

from knapweedspring_relay._clock import now_s
from knapweedspring_relay._knowledge._directory import Directory
from knapweedspring_relay._knowledge._peer_sync import PeerSync
from knapweedspring_relay._knowledge._source_sync import SourceSync
from knapweedspring_relay._workspace_access import ConfigurationFreshness

__all__ = ["KnowledgeFreshness"]

#: Longest time for which a request waits for the answer to a question, in seconds.
MAX_WAIT_S = 0.5
#: Time for which an answer counts, and least time between two questions, in seconds.
ANSWER_MAX_AGE_S = 0.5


class KnowledgeFreshness(ConfigurationFreshness):
    """Asks the source of this node, or the store, for a newer configuration.

    :param sources: where this node's knowledge comes from.
    :param directory: directory with the addresses of other nodes.
    :param peers: reads pages of other nodes.
    :param read_configuration: reads the configuration from the store.
    """

    def __init__(
        self,
        sources: SourceSync,
        directory: Directory,
        peers: PeerSync,
        read_configuration: Callable[[], Awaitable[bool]],
    ) -> None:
        self._sources = sources
        self._directory = directory
        self._peers = peers
        self._read_configuration = read_configuration
        self._question: asyncio.Task[bool] | None = None
        self._asked_at = float("-inf")

    def age_s(self, now: float) -> float:
        """Return how long ago the configuration was last confirmed, in seconds."""
        return self._sources.age_s(now)

    async def confirm(self) -> bool:
        """Ask whether there is a newer configuration; see the base class."""
        now = now_s()
        is_new = self._question is None or now - self._asked_at > ANSWER_MAX_AGE_S
        if self._question is None or (is_new and self._question.done()):
            self._asked_at = now
            self._question = asyncio.ensure_future(self._ask())
        try:
            # Shielded, since other requests wait for the same answer.
            return await asyncio.wait_for(asyncio.shield(self._question), MAX_WAIT_S)
        except TimeoutError:
            return False

    async def _ask(self) -> bool:
        source = self._directory.entries.get(self._sources.source_node)
        if source is not None and await self._peers.query(source.knowledge_address):
            return True
        return await self._read_configuration()
