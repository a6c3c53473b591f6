"""Keeps the contacts of a data centre on the platform."""

import time
from collections.abc import Callable

import msgspec
from result import Err, Ok, Result

from knapweedspring_core import (
    CONTACTS_KIND,
    Contacts,
    Member,
    ObjectKey,
    ObjectRecord,
    Platform,
    PlatformError,
    parse_contacts,
)
from knapweedspring_node._config._contacts import choose_contacts
from knapweedspring_node._config._roles import Roles

__all__ = ["ContactsKeeper"]

#: Shortest time between two writes.
WRITE_PERIOD_S = 3.0


class ContactsKeeper:
    """Writes the ``Contacts`` object when it no longer serves.

    It learns from the watcher what is stored, so that it makes no calls while
    nothing changes.

    :param platform: the object API.
    :param roles: tell who is live, and the rank of each.
    :param members: every known member, whatever its state and data centre.
    :param now: monotonic clock in seconds.
    """

    def __init__(
        self,
        platform: Platform,
        roles: Roles,
        members: Callable[[], tuple[Member, ...]],
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self._platform = platform
        self._roles = roles
        self._members = members
        self._now = now
        self._key = ObjectKey(CONTACTS_KIND, roles.data_centre)
        self._held: ObjectRecord | None = None
        self._tried_at = float("-inf")

    def observe(self, record: ObjectRecord) -> None:
        """Take in a ``Contacts`` object that the watcher read."""
        if record.key == self._key and record.version > self._held_version:
            self._held = record

    def write_if_due(self) -> Result[bool, PlatformError]:
        """Write the list if it should be another, at most once in a while.

        Call it while the watcher is up to date.

        :return: whether it was written.
        """
        stored = Contacts() if self._held is None else parse_contacts(self._held)
        wanted = choose_contacts(stored, self._candidates(), self._members())
        if wanted == stored or self._now() - self._tried_at < WRITE_PERIOD_S:
            return Ok(False)
        self._tried_at = self._now()
        exists = self._held is not None and not self._held.deleted
        written = self._platform.put(
            self._key,
            msgspec.json.encode(wanted).decode(),
            self._roles.node_id,
            self._held_version if exists else 0,
        )
        if isinstance(written, Err):
            # What came instead arrives by the watch, and is judged anew.
            return written
        self._held = written.ok_value
        return Ok(True)

    @property
    def _held_version(self) -> int:
        return 0 if self._held is None else self._held.version

    def _candidates(self) -> tuple[Member, ...]:
        by_id = {member.node_id: member for member in self._roles.live_members()}
        ranked = self._roles.ranked_ids()
        return tuple(by_id[node_id] for node_id in ranked if node_id in by_id)
