"""Object table of the platform stand-in, with one version counter for all objects."""

import threading
import time
from dataclasses import dataclass, replace

from result import Err, Ok, Result

from knapweedspring_core import ObjectKey, ObjectRecord

__all__ = ["ObjectTable", "Revision", "VersionConflict", "VersionTooOld"]


@dataclass(frozen=True, slots=True)
class Revision:
    """Objects together with the table version at which they were read."""

    #: Version of the whole table.
    version: int
    #: Objects, lowest version first.
    items: tuple[ObjectRecord, ...]


@dataclass(frozen=True, slots=True)
class VersionConflict:
    """Rejection of a write whose expected version is not the current one."""

    #: Current version of the object; 0 when it does not exist.
    version: int


@dataclass(frozen=True, slots=True)
class VersionTooOld:
    """Rejection of a watch from a version whose history was discarded."""

    #: Lowest version that a watch may start from.
    oldest: int


class ObjectTable:
    """Versioned objects in memory; safe for use from any thread."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._objects: dict[ObjectKey, ObjectRecord] = {}
        self._version = 0
        self._oldest = 0
        self._n_interrupts = 0

    def get(self, key: ObjectKey) -> ObjectRecord | None:
        """Return an object; None when it does not exist."""
        with self._changed:
            existing = self._objects.get(key)
            return None if existing is None or existing.deleted else existing

    def list_all(self, kinds: frozenset[str] = frozenset()) -> Revision:
        """Return all objects except tombstones.

        :param kinds: kinds of objects to return; empty for all kinds.
        """
        with self._changed:
            existing = [
                record
                for record in self._changes_after(-1, kinds).items
                if not record.deleted
            ]
            return Revision(self._version, tuple(existing))

    def watch(
        self, version: int, wait_s: float, kinds: frozenset[str] = frozenset()
    ) -> Result[Revision, VersionTooOld]:
        """Wait until objects have changed, and return the changed objects.

        :param version: table version; only objects with a later version are returned.
        :param wait_s: longest wait in seconds.
        :param kinds: kinds of objects to return; empty for all kinds.
        :return: changed objects, including tombstones; none after the longest wait or
            :meth:`interrupt_watches`. An error if the history from ``version`` on was
            discarded.
        """
        give_up_at = time.monotonic() + wait_s
        with self._changed:
            n_interrupts = self._n_interrupts
            while True:
                if version < self._oldest:
                    return Err(VersionTooOld(self._oldest))
                remaining_s = give_up_at - time.monotonic()
                changes = self._changes_after(version, kinds)
                if changes.items or remaining_s <= 0:
                    return Ok(changes)
                self._changed.wait(remaining_s)
                if n_interrupts != self._n_interrupts:
                    return Ok(Revision(version, ()))

    def put(
        self, key: ObjectKey, expected_version: int, content: str, writer: str
    ) -> Result[ObjectRecord, VersionConflict]:
        """Write an object if its current version is the expected one.

        :param expected_version: version that the object must have; 0 to create it.
        :return: the stored record, or a conflict with the current version.
        """
        record = ObjectRecord(key, 0, False, writer, content)
        return self._write(record, expected_version)

    def delete(
        self, key: ObjectKey, expected_version: int, writer: str
    ) -> Result[ObjectRecord, VersionConflict]:
        """Replace an object by a tombstone if its version is the expected one.

        :return: the tombstone, or a conflict with the current version.
        """
        return self._write(ObjectRecord(key, 0, True, writer, ""), expected_version)

    def interrupt_watches(self) -> None:
        """End all waiting watches, which then return no objects."""
        with self._changed:
            self._n_interrupts += 1
            self._changed.notify_all()

    def forget_history(self) -> None:
        """Discard the tombstones; from now on, watches from earlier versions fail."""
        with self._changed:
            self._oldest = self._version
            self._objects = {
                key: record
                for key, record in self._objects.items()
                if not record.deleted
            }
            self._changed.notify_all()

    def _write(
        self, record: ObjectRecord, expected_version: int
    ) -> Result[ObjectRecord, VersionConflict]:
        with self._changed:
            existing = self._objects.get(record.key)
            current = 0 if existing is None or existing.deleted else existing.version
            if current != expected_version:
                return Err(VersionConflict(current))
            self._version += 1
            stored = replace(record, version=self._version)
            self._objects[record.key] = stored
            self._changed.notify_all()
            return Ok(stored)

    def _changes_after(self, version: int, kinds: frozenset[str]) -> Revision:
        changed = [
            record
            for record in self._objects.values()
            if record.version > version and (not kinds or record.key.kind in kinds)
        ]
        changed.sort(key=lambda record: record.version)
        return Revision(self._version, tuple(changed))
