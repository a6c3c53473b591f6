"""Store of the declarations in force on a node: the highest valid version wins.

Merging is commutative, associative and idempotent, so that any order of
messages from the platform and from peers leads to the same content, and a
version is never replaced by a lower one.

Besides the declarations, the store holds two kinds of records that nodes
exchange in the same way and that are never written to the platform:

``LastValid:<kind>``
    The highest valid version of an object, stored once a higher, invalid version
    has been merged. A node that starts later receives both and puts the valid
    one in force.
``Checkpoint``
    The keys of all objects that existed at one version of the platform. With it,
    a node ignores older versions of deleted objects that a lagging peer still
    sends.
"""

import threading
from collections.abc import Callable
from dataclasses import dataclass, replace

import msgspec
from result import Err

from knapweedspring_core._declarations import (
    DECLARATION_TYPES,
    Declaration,
    ObjectKey,
    ObjectRecord,
    Policy,
    RequestClass,
    Service,
    UpstreamIntent,
    parse_declaration,
)
from knapweedspring_core._errors import DeclarationError

__all__ = [
    "CHECKPOINT_KEY",
    "DeclarationStore",
    "DeclarationState",
    "InvalidObject",
    "declaration_key",
]

LAST_VALID_KIND_PREFIX = "LastValid:"

#: Key of the record with the list of existing objects.
CHECKPOINT_KEY = ObjectKey("Checkpoint", "objects")


@dataclass(frozen=True, slots=True)
class InvalidObject:
    """A stored version that is not in force because its content is invalid."""

    #: The version that was rejected.
    record: ObjectRecord
    #: What is wrong with the content.
    error: DeclarationError


@dataclass(frozen=True, slots=True)
class DeclarationState:
    """State of one declaration on a node."""

    #: Record of the highest version that the node received.
    record: ObjectRecord
    #: Version in force; 0 when no valid version was received. It is lower than the
    #: highest version when the highest version is invalid.
    in_force_version: int
    #: What is wrong with the highest version; None when it is valid.
    error: DeclarationError | None = None


class DeclarationStore:
    """Stores the highest version of each object and the version in force.

    The methods that return one declaration in force take no lock: a change replaces
    single dictionary entries, which is atomic in CPython.

    >>> store = DeclarationStore()
    >>> store.service("orders") is None
    True
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._records: dict[ObjectKey, ObjectRecord] = {}
        self._in_force_records: dict[ObjectKey, ObjectRecord] = {}
        self._in_force_declarations: dict[ObjectKey, Declaration] = {}
        self._invalid: dict[ObjectKey, InvalidObject] = {}
        self._existing_keys: frozenset[str] = frozenset()
        self._objects: tuple[DeclarationState, ...] | None = None
        self._is_complete = False
        self._top_priority = 0
        self._subscribers: list[Callable[[ObjectRecord], None]] = []

    @property
    def records(self) -> tuple[ObjectRecord, ...]:
        """All records that nodes exchange, tombstones included."""
        with self._lock:
            return tuple(self._records.values())

    @property
    def objects(self) -> tuple[DeclarationState, ...]:
        """The state of each declaration, in the order of their keys.

        The same tuple object is returned until the store changes.
        """
        with self._lock:
            if self._objects is None:
                keys = [key for key in self._records if key.kind in DECLARATION_TYPES]
                self._objects = tuple(self._object_state(key) for key in sorted(keys))
            return self._objects

    @property
    def is_complete(self) -> bool:
        """Whether every object of one complete list has been received.

        An incomplete set of declarations must not be applied: a request could run
        twice because the rule that forbids it has not been received yet.
        """
        if not self._is_complete:
            with self._lock:
                keys = {str(key) for key in self._records}
            self._is_complete = (
                str(CHECKPOINT_KEY) in keys and self._existing_keys <= keys
            )
        return self._is_complete

    @property
    def invalid(self) -> tuple[InvalidObject, ...]:
        """Objects whose highest version is not in force."""
        with self._lock:
            return tuple(self._invalid.values())

    def subscribe(self, callback: Callable[[ObjectRecord], None]) -> None:
        """Subscribe to new versions.

        :param callback: called with each stored record by the thread that merges it,
            without the lock held.
        """
        self._subscribers.append(callback)

    def merge(self, record: ObjectRecord) -> bool:
        """Merge one version from the platform or from a peer.

        Records of kinds that the store does not hold are ignored.

        :param record: record of the version.
        :return: whether the store changed.
        """
        with self._lock:
            changed = self._merge(record)
            if changed:
                self._objects = None
        for new in changed:
            for callback in self._subscribers:
                callback(new)
        return bool(changed)

    def merge_list(self, records: tuple[ObjectRecord, ...], version: int) -> None:
        """Merge a complete list of the platform's declarations.

        Stored objects that are not listed were deleted at or before ``version``.

        :param records: every declaration that exists.
        :param version: version of the platform at which the list was read.
        """
        for record in records:
            self.merge(record)
        existing_keys = sorted(
            str(record.key) for record in records if not record.deleted
        )
        content = msgspec.json.encode(existing_keys).decode()
        self.merge(ObjectRecord(CHECKPOINT_KEY, version, content=content))

    def version_of(self, key: ObjectKey) -> int:
        """Return the highest version of an object, 0 when none was received."""
        record = self._records.get(key)
        return 0 if record is None else record.version

    def in_force_version(self, key: ObjectKey) -> int:
        """Return the version in force, 0 when no valid version was received."""
        record = self._in_force_records.get(key)
        return 0 if record is None else record.version

    def in_force_records(self) -> tuple[ObjectRecord, ...]:
        """Return the record in force of each declaration, in the order of keys.

        Declarations whose deletion is in force are left out.
        """
        with self._lock:
            existing = [
                one for one in self._in_force_records.values() if not one.deleted
            ]
        return tuple(sorted(existing, key=lambda one: one.key))

    def service(self, name: str) -> Service | None:
        """Return the service declaration in force, None when there is none."""
        found = self._in_force_declarations.get(ObjectKey("Service", name))
        return found if isinstance(found, Service) else None

    def request_class(self, name: str) -> RequestClass | None:
        """Return the request class in force, None when there is none."""
        found = self._in_force_declarations.get(ObjectKey("RequestClass", name))
        return found if isinstance(found, RequestClass) else None

    def top_priority(self) -> int:
        """Return the highest priority of the request classes in force, 0 for none."""
        return self._top_priority

    def upstream_intent(self, node_id: str) -> UpstreamIntent | None:
        """Return the intent in force for a node's upstream, None when there is none."""
        found = self._in_force_declarations.get(ObjectKey("UpstreamIntent", node_id))
        return found if isinstance(found, UpstreamIntent) else None

    def policy(self) -> Policy:
        """Return the mesh's policy in force, or the default one."""
        found = self._in_force_declarations.get(ObjectKey("Policy", "mesh"))
        return found if isinstance(found, Policy) else Policy()

    def _merge(self, record: ObjectRecord) -> list[ObjectRecord]:
        """Merge one version while the lock is held.

        :return: the records that were stored, including those that the store derived.
        """
        kind = record.key.kind
        if record.key == CHECKPOINT_KEY:
            return self._merge_checkpoint(record)
        if kind in DECLARATION_TYPES:
            return self._merge_declaration(self._tombstone_if_deleted(record))
        target = declaration_key(record.key)
        if target is None:
            return []
        changed = self._store_if_higher(record)
        if changed:
            self._put_in_force(self._tombstone_if_deleted(replace(record, key=target)))
            changed += self._store_last_valid(target)
        return changed

    def _merge_declaration(self, record: ObjectRecord) -> list[ObjectRecord]:
        changed = self._store_if_higher(record)
        error = self._put_in_force(record)
        if changed and error is not None:
            self._invalid[record.key] = InvalidObject(record, error)
        elif changed:
            self._invalid.pop(record.key, None)
        changed += self._store_last_valid(record.key)
        return changed

    def _store_if_higher(self, record: ObjectRecord) -> list[ObjectRecord]:
        """Store a record if its version is higher than the stored one.

        :return: a list with the record if it was stored, otherwise an empty list.
        """
        stored = self._records.get(record.key)
        if stored is not None and stored.version >= record.version:
            return []
        self._records[record.key] = record
        return [record]

    def _put_in_force(self, record: ObjectRecord) -> DeclarationError | None:
        """Put a version in force if it is valid and higher than the one in force.

        :return: the error if the version is invalid, otherwise None.
        """
        in_force = self._in_force_records.get(record.key)
        if in_force is not None and in_force.version >= record.version:
            return None
        if record.deleted:
            self._in_force_declarations.pop(record.key, None)
        else:
            parsed = parse_declaration(record.key.kind, record.content)
            if isinstance(parsed, Err):
                return parsed.err_value
            self._in_force_declarations[record.key] = parsed.ok_value
        self._in_force_records[record.key] = record
        self._top_priority = self._compute_top_priority()
        return None

    def _store_last_valid(self, key: ObjectKey) -> list[ObjectRecord]:
        valid = self._in_force_records.get(key)
        if valid is None or key not in self._invalid:
            return []
        copy_key = ObjectKey(LAST_VALID_KIND_PREFIX + key.kind, key.name)
        return self._store_if_higher(replace(valid, key=copy_key))

    def _merge_checkpoint(self, record: ObjectRecord) -> list[ObjectRecord]:
        try:
            existing_keys = frozenset(
                msgspec.json.decode(record.content, type=list[str])
            )
        except msgspec.DecodeError:
            # Only a peer of another release can send such content; ignoring it loses
            # nothing.
            return []
        changed = self._store_if_higher(record)
        if not changed:
            return []
        self._existing_keys = existing_keys
        for stored in (*self._records.values(), *self._in_force_records.values()):
            if stored.key.kind in DECLARATION_TYPES:
                changed += self._merge_declaration(self._tombstone_if_deleted(stored))
        return changed

    def _tombstone_if_deleted(self, record: ObjectRecord) -> ObjectRecord:
        """Replace a record by a tombstone if the checkpoint shows its deletion."""
        checkpoint_version = self.version_of(CHECKPOINT_KEY)
        if (
            record.version > checkpoint_version
            or str(record.key) in self._existing_keys
        ):
            return record
        return ObjectRecord(record.key, checkpoint_version, deleted=True)

    def _object_state(self, key: ObjectKey) -> DeclarationState:
        invalid = self._invalid.get(key)
        error = None if invalid is None else invalid.error
        return DeclarationState(self._records[key], self.in_force_version(key), error)

    def _compute_top_priority(self) -> int:
        priorities = (
            declared.priority
            for declared in self._in_force_declarations.values()
            if isinstance(declared, RequestClass)
        )
        return max(priorities, default=0)


def declaration_key(key: ObjectKey) -> ObjectKey | None:
    """Return the key of the declaration to which a record of the store belongs.

    :param key: key of a record that a subscriber was called with.
    :return: the declaration's key, or None when the record belongs to no single
        declaration.
    """
    kind = key.kind.removeprefix(LAST_VALID_KIND_PREFIX)
    return ObjectKey(kind, key.name) if kind in DECLARATION_TYPES else None
