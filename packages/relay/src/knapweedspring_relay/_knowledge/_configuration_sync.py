"""Updates this node's configuration from the store."""

import asyncio
import random

from result import Err, Ok, Result

from knapweedspring_core import Counters
from knapweedspring_relay._clock import now_s
from knapweedspring_relay._knowledge._backoff import Backoff
from knapweedspring_relay._knowledge._declared_state import DeclaredState
from knapweedspring_relay._knowledge._object_store import (
    ConfigurationRead,
    DeploymentStore,
    StoreError,
    StoreHistoryGone,
)
from knapweedspring_relay._knowledge._position import ORIGIN, StorePosition
from knapweedspring_relay._knowledge._store_confirmation import StoreConfirmation
from knapweedspring_relay._knowledge._store_health import StoreHealth
from knapweedspring_relay._knowledge._sync_step import WATCH_WAIT_S, SyncStep
from knapweedspring_relay._logs import DecisionLog

__all__ = ["ConfigurationSync"]

#: Checks in a row without an answer after which the store counts as failing. One answer
#: may be lost while the store answers others.
MAX_FAILED_CHECKS = 2


class ConfigurationSync:
    """Reads the configuration from the store, then watches it for changes.

    Reads it again after a failure and when a peer has a newer version. A configuration
    that was received from a peer is not read again, but watched from its position.

    :param store: store to read from.
    :param state: puts the configuration in force.
    :param health: records whether the store answers.
    :param confirmation: records when the store answered.
    :param rng: source of the jitter.
    :param log: decision log.
    :param counters: counts failures.
    """

    def __init__(
        self,
        store: DeploymentStore,
        state: DeclaredState,
        health: StoreHealth,
        confirmation: StoreConfirmation,
        rng: random.Random,
        log: DecisionLog,
        counters: Counters,
    ) -> None:
        self._store = store
        self._state = state
        self._health = health
        self._confirmation = confirmation
        self._backoff = Backoff(rng)
        self._log = log
        self._counters = counters
        self._last_problem = ""
        #: Watches in a row for which the store had no history.
        self._n_lost_histories = 0
        #: Checks in a row that the store left without an answer.
        self._n_failed_checks = 0
        #: Set to end the pending watch and to begin another one on a new connection.
        self._watch_again = asyncio.Event()
        self._has_pending_watch = False

    @property
    def has_pending_watch(self) -> bool:
        """Whether a watch waits for the store."""
        return self._has_pending_watch

    async def run(self) -> None:
        """Apply the store's configuration to this node until the task is cancelled."""
        is_known = self._state.position != ORIGIN
        step = SyncStep.WATCH if is_known else SyncStep.READ
        self._n_failed_checks = 0
        self._watch_again.clear()
        while True:
            step = await self._run_step(step)

    async def read_once(self) -> bool:
        """Read the configuration once, on a node that does not watch the store.

        :return: whether the store answered.
        """
        read = await self._store.read_configuration()
        if isinstance(read, Ok):
            self._apply_read(read.ok_value)
        return isinstance(read, Ok)

    async def check_watch(self) -> StorePosition | None:
        """Ask the store whether the pending watch misses a change, and apply it.

        A watch that missed one, or that began before the store left a check without an
        answer, is replaced.

        :return: position of the store; None when the store gives no answer.
        """
        asked_at, version = now_s(), self._state.version
        read = await self._store.check_configuration(self._state.position)
        if isinstance(read, Err) and isinstance(read.err_value, StoreHistoryGone):
            read = await self._store.read_configuration()
        if isinstance(read, Err):
            self._record_failed_check(read.err_value)
            return None
        is_suspect = self._n_failed_checks > 0
        self._n_failed_checks = 0
        self._health.record_result("configuration", None)
        self._apply_read(read.ok_value)
        self._confirmation.record(asked_at)
        if is_suspect or self._state.version > version:
            self._log.write_state(
                "store:watch-replaced", version=self._state.version, previous=version
            )
            self._counters.add("store_watches_replaced")
            self._watch_again.set()
        return read.ok_value.position

    def _record_failed_check(self, error: StoreError) -> None:
        self._n_failed_checks += 1
        self._counters.add("store_failures", "check")
        if self._n_failed_checks >= MAX_FAILED_CHECKS:
            self._health.record_result("configuration", error)

    async def _run_step(self, step: SyncStep) -> SyncStep:
        if step is SyncStep.READ:
            asked_at = now_s()
            read = await self._store.read_configuration()
            if isinstance(read, Ok):
                self._confirmation.record(asked_at)
        else:
            read = await self._watch_or_reread()
        if isinstance(read, Err):
            error = read.err_value
            if isinstance(error, StoreHistoryGone):
                self._n_lost_histories += 1
                if self._n_lost_histories > 1:
                    await self._backoff.wait()
                return SyncStep.READ
            self._health.record_result("configuration", error)
            self._counters.add("store_failures", "configuration")
            await self._backoff.wait()
            return SyncStep.READ
        if step is SyncStep.WATCH:
            self._n_lost_histories = 0
        self._health.record_result("configuration", None)
        self._backoff.reset()
        self._apply_read(read.ok_value)
        if self._state.newer_exists.is_set():
            # A peer has a newer version than the store returned; reading the store
            # again at once would return the same version.
            await self._backoff.wait()
            return SyncStep.READ
        return SyncStep.WATCH

    async def _watch_or_reread(self) -> Result[ConfigurationRead, StoreError]:
        """Watch the configuration; read it at once when a peer has a newer version."""
        watch = asyncio.ensure_future(
            self._store.watch_configuration(self._state.position, WATCH_WAIT_S)
        )
        newer_known = asyncio.ensure_future(self._state.newer_exists.wait())
        watch_again = asyncio.ensure_future(self._watch_again.wait())
        self._has_pending_watch = True
        try:
            await asyncio.wait(
                {watch, newer_known, watch_again}, return_when=asyncio.FIRST_COMPLETED
            )
            if watch.done():
                watched = watch.result()
                if isinstance(watched, Ok):
                    self._confirmation.record(now_s())
                return watched
        finally:
            self._has_pending_watch = False
            watch.cancel()
            newer_known.cancel()
            watch_again.cancel()
        if self._watch_again.is_set():
            self._watch_again.clear()
            return Ok(ConfigurationRead(self._state.position, None))
        return await self._store.read_configuration()

    def _apply_read(self, read: ConfigurationRead) -> None:
        self._health.observe_era(read.position.era)
        self._state.advance(read.position)
        if read.problem and read.problem != self._last_problem:
            self._log.write_state("configuration:unusable", reason=read.problem)
        self._last_problem = read.problem
        if read.configuration is not None:
            self._state.apply(read.configuration, "store")
