"""Asks the store at short intervals whether its pending watches miss something."""

import asyncio
from collections.abc import Callable

from knapweedspring_relay._clock import now_s
from knapweedspring_relay._knowledge._configuration_sync import ConfigurationSync
from knapweedspring_relay._knowledge._directory import Directory
from knapweedspring_relay._knowledge._directory_sync import DirectorySync
from knapweedspring_relay._knowledge._position import ORIGIN, StorePosition
from knapweedspring_relay._knowledge._store_confirmation import StoreConfirmation

__all__ = ["CHECK_PERIOD_S", "MAX_CONFIRMED_AGE_S", "StoreChecks"]

#: Time after the last confirmation from which the store is asked, in seconds. A change
#: whose watch was lost is in force everywhere within two seconds.
CHECK_PERIOD_S = 1.4
#: Age of a confirmation up to which it is not overdue, in seconds: the period, that of
#: the checks of sources, and the time of a call.
MAX_CONFIRMED_AGE_S = 1.7
#: Time by which the watchers of later data centres ask later, and its maximum, in
#: seconds: one call then confirms the knowledge of all of them.
DELAY_PER_DATA_CENTRE_S = 0.25
MAX_DELAY_S = 0.75
#: Pause after a check without an answer, in seconds.
RETRY_S = 0.3
#: Shortest time between two checks of the directory, in seconds. Other writers may
#: change the store all the time.
DIRECTORY_PERIOD_S = 5.0


class StoreChecks:
    """Checks the watches of a node that watches the store.

    Each answer is passed on to the watchers that follow this node, so that the watchers
    of all data centres together ask once in a period.

    :param configuration: synchronises the configuration.
    :param directory_sync: synchronises the directory.
    :param directory: the directory.
    :param confirmation: when the store last answered.
    :param on_confirmed: called after an answer.
    """

    def __init__(
        self,
        configuration: ConfigurationSync,
        directory_sync: DirectorySync,
        directory: Directory,
        confirmation: StoreConfirmation,
        on_confirmed: Callable[[], None],
    ) -> None:
        self._configuration = configuration
        self._directory_sync = directory_sync
        self._directory = directory
        self._confirmation = confirmation
        self._on_confirmed = on_confirmed
        self._check: asyncio.Task[None] | None = None
        self._failed_at = float("-inf")
        self._directory_checked_at = float("-inf")
        #: Position of the store at the last check.
        self._last_position = ORIGIN

    def start_if_due(self, data_centre_index: int, now: float) -> None:
        """Check the watches if the last confirmation is too old.

        :param data_centre_index: number of the node's data centre in the order in which
            their watchers ask.
        :param now: monotonic time, in seconds.
        """
        is_running = self._check is not None and not self._check.done()
        if is_running or not self._configuration.has_pending_watch:
            return
        delay_s = min(MAX_DELAY_S, data_centre_index * DELAY_PER_DATA_CENTRE_S)
        is_due = self._confirmation.age_s(now) >= CHECK_PERIOD_S + delay_s
        if is_due and now - self._failed_at >= RETRY_S:
            self._check = asyncio.ensure_future(self._run())

    def stop(self) -> None:
        """Cancel a check in progress."""
        if self._check is not None:
            self._check.cancel()

    async def _run(self) -> None:
        position = await self._configuration.check_watch()
        if position is None:
            self._failed_at = now_s()
            return
        self._on_confirmed()
        await self._check_directory(position)

    async def _check_directory(self, position: StorePosition) -> None:
        """Check the directory if it lacks a change of the store for a whole period.

        The change may as well be one of another kind of object.
        """
        is_behind = self._directory.position < self._last_position
        self._last_position, now = position, now_s()
        if is_behind and now - self._directory_checked_at >= DIRECTORY_PERIOD_S:
            self._directory_checked_at = now
            await self._directory_sync.check_watch()
