"""Writes the contacts of a data centre to the platform."""

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

__all__ = ["ContactsWriter"]

#: Shortest time between two writes in seconds, also after a failed write.
WRITE_PERIOD_S = 3.0


class ContactsWriter:
    """Writes the ``Contacts`` object when the contacts should change.

    The watcher supplies the stored object, so that no platform calls are made
    while the contacts stay the same.

    :param platform: client with which the ``Contacts`` object is written.
    :param roles: returns the live nodes of the data centre and their ranks.
    :param members: returns every known member, whatever its state and data centre.
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
        self._stored: ObjectRecord | None = None
        self._last_put_at = float("-inf")

    def update_stored_contacts(self, record: ObjectRecord) -> None:
        """Record the stored ``Contacts`` object that the watcher has read.

        Objects of other data centres and older versions are ignored.

        :param record: stored version of a ``Contacts`` object.
        """
        if record.key == self._key and record.version > self._stored_version:
            self._stored = record

    def write_if_due(self) -> Result[bool, PlatformError]:
        """Write the contacts if they should change, at most once in ``WRITE_PERIOD_S``.

        Call it only while the watcher is up to date with the platform.

        :return: whether the contacts were written, or the platform's error.
        """
        stored = Contacts() if self._stored is None else parse_contacts(self._stored)
        wanted = choose_contacts(stored, self._candidates(), self._members())
        if wanted == stored or self._now() - self._last_put_at < WRITE_PERIOD_S:
            return Ok(False)
        self._last_put_at = self._now()
        exists = self._stored is not None and not self._stored.deleted
        written = self._platform.put(
            self._key,
            msgspec.json.encode(wanted).decode(),
            self._roles.node_id,
            self._stored_version if exists else 0,
        )
        if isinstance(written, Err):
            # After a conflict, the watcher supplies the version written by
            # another node, and the next call compares the contacts with that version.
            return written
        self._stored = written.ok_value
        return Ok(True)

    @property
    def _stored_version(self) -> int:
        return 0 if self._stored is None else self._stored.version

    def _candidates(self) -> tuple[Member, ...]:
        """Return the live members of the data centre, sorted by rank."""
        by_id = {member.node_id: member for member in self._roles.live_members()}
        ranked = self._roles.ranked_ids()
        return tuple(by_id[node_id] for node_id in ranked if node_id in by_id)
