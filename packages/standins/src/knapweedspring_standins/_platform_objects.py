"""Objects of the platform stand-in: one table with a version counter."""

import threading
import time
from dataclasses import dataclass, replace

from result import Err, Ok, Result

from knapweedspring_core import ObjectKey, ObjectRecord

__all__ = ["ObjectTable", "Revision", "VersionConflict", "VersionTooOld"]


@dataclass(frozen=True, slots=True)
class Revision:
    """Objects together with the version that they stand for."""

    #: Version of the whole table.
    version: int
    #: Objects, lowest version first.
    items: tuple[ObjectRecord, ...]


@dataclass(frozen=True, slots=True)
class VersionConflict:
    """A conditional write whose condition does not hold."""

    #: Version that the object has, 0 when it does not exist.
    version: int


@dataclass(frozen=True, slots=True)
class VersionTooOld:
    """A watch that asks for changes which are no longer held."""

    #: Lowest version that a watch may start from.
    oldest: int


class ObjectTable:
    """Versioned objects in memory; every method may be called by any thread."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._objects: dict[ObjectKey, ObjectRecord] = {}
        self._version = 0
        self._oldest = 0
        self._n_interrupts = 0

    def get(self, key: ObjectKey) -> ObjectRecord | None:
        """Return an object, None when it does not exist."""
        with self._changed:
            held = self._objects.get(key)
            return None if held is None or held.deleted else held

    def list_all(self, kinds: frozenset[str] = frozenset()) -> Revision:
        """Return the objects that exist; tombstones are left out.

        :param kinds: only these kinds; all when empty.
        """
        with self._changed:
            existing = [
                record for record in self._after(-1, kinds).items if not record.deleted
            ]
            return Revision(self._version, tuple(existing))

    def watch(
        self, version: int, wait_s: float, kinds: frozenset[str] = frozenset()
    ) -> Result[Revision, VersionTooOld]:
        """Wait for changes.

        :param version: only objects changed after it are returned.
        :param wait_s: seconds to wait at most.
        :param kinds: only these kinds; all when empty.
        :return: the changes; none after the wait and after :meth:`interrupt`.
        """
        give_up_at = time.monotonic() + wait_s
        with self._changed:
            n_interrupts = self._n_interrupts
            while True:
                if version < self._oldest:
                    return Err(VersionTooOld(self._oldest))
                left_s = give_up_at - time.monotonic()
                changes = self._after(version, kinds)
                if changes.items or left_s <= 0:
                    return Ok(changes)
                self._changed.wait(left_s)
                if n_interrupts != self._n_interrupts:
                    return Ok(Revision(version, ()))

    def put(
        self, key: ObjectKey, expected_version: int, content: str, writer: str
    ) -> Result[ObjectRecord, VersionConflict]:
        """Write an object if it has the expected version, 0 to create it."""
        record = ObjectRecord(key, 0, False, writer, content)
        return self._write(record, expected_version)

    def delete(
        self, key: ObjectKey, expected_version: int, writer: str
    ) -> Result[ObjectRecord, VersionConflict]:
        """Replace an object by a tombstone if it has the expected version."""
        return self._write(ObjectRecord(key, 0, True, writer, ""), expected_version)

    def interrupt(self) -> None:
        """End the waiting watches without a change."""
        with self._changed:
            self._n_interrupts += 1
            self._changed.notify_all()

    def forget_history(self) -> None:
        """Drop the tombstones, and with them all watches from before now."""
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
            held = self._objects.get(record.key)
            current = 0 if held is None or held.deleted else held.version
            if current != expected_version:
                return Err(VersionConflict(current))
            self._version += 1
            stored = replace(record, version=self._version)
            self._objects[record.key] = stored
            self._changed.notify_all()
            return Ok(stored)

    def _after(self, version: int, kinds: frozenset[str]) -> Revision:
        changed = [
            record
            for record in self._objects.values()
            if record.version > version and (not kinds or record.key.kind in kinds)
        ]
        changed.sort(key=lambda record: record.version)
        return Revision(self._version, tuple(changed))
