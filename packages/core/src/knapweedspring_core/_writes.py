"""Conditional writes whose outcome is determined after a lost answer.

A write whose answer was lost may have taken effect. The writer puts a unique id
into each write, reads the object back after a lost answer and compares the id.
"""

import time
import uuid
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import TypeAlias

from result import Err, Ok, Result

from knapweedspring_core._declarations import ObjectKey, ObjectRecord
from knapweedspring_core._errors import (
    PlatformError,
    PlatformRefused,
    PlatformUnavailable,
)
from knapweedspring_core._platform import Platform

__all__ = ["ResolvingWriter", "WriteConflict", "WriteError", "WriteOutcomeUnknown"]

READ_BACK_PAUSE_MIN_S = 0.05
READ_BACK_PAUSE_MAX_S = 1.0


@dataclass(frozen=True, slots=True)
class _Write:
    """One write, which may be sent several times."""

    key: ObjectKey
    expected_version: int
    #: Unique id of the write.
    writer: str
    send: Callable[[], Result[ObjectRecord, PlatformError]]
    is_deletion: bool = False


@dataclass(frozen=True, slots=True)
class WriteConflict:
    """Another write was stored first; the write of this writer had no effect."""

    #: Object that is stored now, None when it does not exist.
    current: ObjectRecord | None


@dataclass(frozen=True, slots=True)
class WriteOutcomeUnknown:
    """It is not known whether the write took effect.

    Either the platform was unavailable until the timeout, or the answer was lost
    and another write has changed the object. The other write may have replaced this
    write, or may have prevented it by being stored first.
    """

    #: Why the outcome is not known.
    detail: str
    #: Id of the write; the version that it stored, if any, contains this id.
    writer: str
    #: Object that is stored now; None when it does not exist or cannot be read.
    current: ObjectRecord | None = None


WriteError: TypeAlias = WriteConflict | WriteOutcomeUnknown | PlatformRefused


class ResolvingWriter:
    """Writes objects and resolves the outcome of writes whose answer was lost.

    :param platform: platform that stores the objects.
    :param name: name of the writer, such as ``operator@host``; a unique id is appended
        for each write.
    :param timeout_s: seconds after the first send, after which neither a failed read of
        the object nor the write is repeated.
    :param wait: waits for the given seconds; callers that must be able to interrupt
        the wait pass a function of their own.
    """

    def __init__(
        self,
        platform: Platform,
        name: str,
        timeout_s: float,
        wait: Callable[[float], object] = time.sleep,
    ) -> None:
        self._platform = platform
        self._name = name
        self._timeout_s = timeout_s
        self._wait = wait

    def put(
        self, key: ObjectKey, content: str, expected_version: int
    ) -> Result[ObjectRecord, WriteError]:
        """Write an object if its version is still ``expected_version``.

        :param key: identity of the object.
        :param content: JSON text of the object.
        :param expected_version: version to replace; 0 to create the object.
        :return: the stored record; :class:`WriteConflict` or
            :class:`PlatformRefused` when the write had no effect and will have
            none; :class:`WriteOutcomeUnknown` when it may have taken effect.
        """
        writer = self._new_writer()
        write = partial(self._platform.put, key, content, writer, expected_version)
        return self._send_until_resolved(_Write(key, expected_version, writer, write))

    def delete(
        self, key: ObjectKey, expected_version: int
    ) -> Result[ObjectRecord, WriteError]:
        """Delete an object if its version is still ``expected_version``.

        The writer of a deletion cannot be read back. If the answer was lost and the
        object does not exist, it therefore counts as deleted by this write.

        :param key: identity of the object.
        :param expected_version: the version to delete.
        :return: the tombstone, or an error as from :meth:`put`.
        """
        writer = self._new_writer()
        write = partial(self._platform.delete, key, writer, expected_version)
        return self._send_until_resolved(
            _Write(key, expected_version, writer, write, True)
        )

    def _new_writer(self) -> str:
        return f"{self._name}/{uuid.uuid4().hex}"

    def _send_until_resolved(self, write: _Write) -> Result[ObjectRecord, WriteError]:
        deadline_at = time.monotonic() + self._timeout_s
        may_have_taken_effect = False
        pause_s = READ_BACK_PAUSE_MIN_S
        while True:
            written = write.send()
            if isinstance(written, Ok):
                return written
            error = written.err_value
            if isinstance(error, PlatformRefused):
                return Err(error)
            if isinstance(error, PlatformUnavailable):
                may_have_taken_effect = True
            read = self._read_back(write.key, deadline_at)
            if isinstance(read, Err):
                return Err(WriteOutcomeUnknown(str(read.err_value), write.writer))
            current = read.ok_value
            if not may_have_taken_effect:
                return Err(WriteConflict(current))
            if not _is_unchanged(current, write.expected_version):
                return self._resolve_from_stored_object(current, write)
            if time.monotonic() + pause_s > deadline_at:
                detail = "no send was answered"
                return Err(WriteOutcomeUnknown(detail, write.writer, current))
            self._wait(pause_s)
            pause_s = min(pause_s * 2, READ_BACK_PAUSE_MAX_S)
            # Sending the write again is safe: the version condition lets at most
            # one of the sends take effect, and all carry the same id.

    def _read_back(
        self, key: ObjectKey, deadline_at: float
    ) -> Result[ObjectRecord | None, PlatformError]:
        pause_s = READ_BACK_PAUSE_MIN_S
        while True:
            read = self._platform.get(key)
            if isinstance(read, Ok) or time.monotonic() + pause_s > deadline_at:
                return read
            self._wait(pause_s)
            pause_s = min(pause_s * 2, READ_BACK_PAUSE_MAX_S)

    def _resolve_from_stored_object(
        self, current: ObjectRecord | None, write: _Write
    ) -> Result[ObjectRecord, WriteError]:
        if current is not None and current.writer == write.writer:
            return Ok(current)
        if current is None and write.is_deletion:
            return self._tombstone_from_list(write)
        detail = "the answer was lost, and another write has changed the object"
        return Err(WriteOutcomeUnknown(detail, write.writer, current))

    def _tombstone_from_list(self, write: _Write) -> Result[ObjectRecord, WriteError]:
        listed = self._platform.list_all()
        if isinstance(listed, Err):
            return Err(WriteOutcomeUnknown(str(listed.err_value), write.writer))
        # The tombstone's own version is not known. The version of the list is used
        # instead, since the object does not exist at that version.
        version = listed.ok_value.version
        return Ok(ObjectRecord(write.key, version, True, write.writer))


def _is_unchanged(current: ObjectRecord | None, expected_version: int) -> bool:
    return (0 if current is None else current.version) == expected_version
