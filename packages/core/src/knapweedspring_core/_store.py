"""Declarations in force on a node: the highest version of each object wins.

Merging is commutative, associative and idempotent, so that any order of
messages from the platform and from peers leads to the same content, and a
version once seen is never replaced by a lower one.
"""

import threading
from collections.abc import Callable
from dataclasses import dataclass

from result import Err

from knapweedspring_core._declarations import (
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

__all__ = ["DeclarationStore", "InvalidObject"]


@dataclass(frozen=True, slots=True)
class InvalidObject:
    """A stored version that is not in force because its content is invalid."""

    #: The version that was rejected.
    record: ObjectRecord
    #: What is wrong with it.
    error: DeclarationError


class DeclarationStore:
    """Holds the highest version of each object and what is in force.

    Reads of what is in force take no lock: the dictionaries are only replaced
    entry by entry, which is atomic in CPython.

    >>> store = DeclarationStore()
    >>> store.service("orders") is None
    True
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._records: dict[ObjectKey, ObjectRecord] = {}
        self._in_force: dict[ObjectKey, Declaration] = {}
        self._invalid: dict[ObjectKey, InvalidObject] = {}
        self._subscribers: list[Callable[[ObjectRecord], None]] = []

    @property
    def records(self) -> tuple[ObjectRecord, ...]:
        """The highest version of each object, tombstones included."""
        with self._lock:
            return tuple(self._records.values())

    @property
    def is_empty(self) -> bool:
        """Whether no object has been heard of yet."""
        return not self._records

    @property
    def invalid(self) -> tuple[InvalidObject, ...]:
        """Objects whose highest version is not in force."""
        with self._lock:
            return tuple(self._invalid.values())

    def subscribe(self, callback: Callable[[ObjectRecord], None]) -> None:
        """Have ``callback`` called, outside the lock, after each new version."""
        self._subscribers.append(callback)

    def merge(self, record: ObjectRecord) -> bool:
        """Take a version in.

        :return: True when it was higher than the one held before.
        """
        with self._lock:
            held = self._records.get(record.key)
            if held is not None and held.version >= record.version:
                return False
            self._records[record.key] = record
            self._apply(record)
        for callback in self._subscribers:
            callback(record)
        return True

    def version_of(self, key: ObjectKey) -> int:
        """Return the highest version held of an object, 0 when unknown."""
        record = self._records.get(key)
        return 0 if record is None else record.version

    def service(self, name: str) -> Service | None:
        """Return the service declaration in force."""
        found = self._in_force.get(ObjectKey("Service", name))
        return found if isinstance(found, Service) else None

    def request_class(self, name: str) -> RequestClass | None:
        """Return the request class in force."""
        found = self._in_force.get(ObjectKey("RequestClass", name))
        return found if isinstance(found, RequestClass) else None

    def upstream_intent(self, node_id: str) -> UpstreamIntent | None:
        """Return what operators want of the upstream beside a node."""
        found = self._in_force.get(ObjectKey("UpstreamIntent", node_id))
        return found if isinstance(found, UpstreamIntent) else None

    def policy(self) -> Policy:
        """Return the mesh's policy, or the default one."""
        found = self._in_force.get(ObjectKey("Policy", "mesh"))
        return found if isinstance(found, Policy) else Policy()

    def _apply(self, record: ObjectRecord) -> None:
        if record.deleted:
            self._in_force.pop(record.key, None)
            self._invalid.pop(record.key, None)
            return
        parsed = parse_declaration(record.key.kind, record.content)
        if isinstance(parsed, Err):
            # The version before stays in force; status names the invalid one.
            self._invalid[record.key] = InvalidObject(record, parsed.err_value)
            return
        self._invalid.pop(record.key, None)
        self._in_force[record.key] = parsed.ok_value
