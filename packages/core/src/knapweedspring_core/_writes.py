"""Conditional writes that survive a lost answer.

A write whose answer was lost may have taken effect. The writer puts an id into
each write that no other write has, reads the object back and looks for it.
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

__all__ = ["ResolvedWriter", "WriteConflict", "WriteError", "WriteUnsure"]

READ_BACK_PAUSE_MIN_S = 0.05
READ_BACK_PAUSE_MAX_S = 1.0


@dataclass(frozen=True, slots=True)
class _Write:
    """One write, which may be attempted several times."""

    key: ObjectKey
    expected_version: int
    #: Id that no other write has.
    writer: str
    attempt: Callable[[], Result[ObjectRecord, PlatformError]]
    is_deletion: bool = False


@dataclass(frozen=True, slots=True)
class WriteConflict:
    """Another write came first; this one had no effect."""

    #: What is stored now, None when the object does not exist.
    current: ObjectRecord | None


@dataclass(frozen=True, slots=True)
class WriteUnsure:
    """It is not known whether the write took effect.

    Either the platform stayed away until the time was up, or another write
    came after the answer was lost and hides what was stored before it.
    """

    #: Why it is not known.
    detail: str
    #: Id inside the write, by which it can be recognised later.
    writer: str
    #: What is stored now, when the platform could be read.
    current: ObjectRecord | None = None


WriteError: TypeAlias = WriteConflict | WriteUnsure | PlatformRefused


class ResolvedWriter:
    """Writes objects and finds out what became of lost answers.

    :param platform: the object API.
    :param name: who writes, such as ``operator@host``; an id is appended.
    :param give_up_after_s: seconds for the write and for reading back.
    :param pause: waits some seconds; replaced where a stop must cut it short.
    """

    def __init__(
        self,
        platform: Platform,
        name: str,
        give_up_after_s: float,
        pause: Callable[[float], object] = time.sleep,
    ) -> None:
        self._platform = platform
        self._name = name
        self._give_up_after_s = give_up_after_s
        self._pause = pause

    def put(
        self, key: ObjectKey, content: str, expected_version: int
    ) -> Result[ObjectRecord, WriteError]:
        """Write an object if its version is still ``expected_version``.

        :param expected_version: 0 to create it.
        :return: the stored version; :class:`WriteConflict` and
            :class:`PlatformRefused` when the write had no effect and never
            will; :class:`WriteUnsure` otherwise.
        """
        writer = self._new_writer()
        write = partial(self._platform.put, key, content, writer, expected_version)
        return self._resolve(_Write(key, expected_version, writer, write))

    def delete(
        self, key: ObjectKey, expected_version: int
    ) -> Result[ObjectRecord, WriteError]:
        """Delete an object if its version is still ``expected_version``.

        A deletion leaves no writer to be read back: an object that is gone
        after a lost answer counts as deleted by this write.
        """
        writer = self._new_writer()
        write = partial(self._platform.delete, key, writer, expected_version)
        return self._resolve(_Write(key, expected_version, writer, write, True))

    def _new_writer(self) -> str:
        return f"{self._name}/{uuid.uuid4().hex}"

    def _resolve(self, write: _Write) -> Result[ObjectRecord, WriteError]:
        give_up_at = time.monotonic() + self._give_up_after_s
        may_have_taken_effect = False
        while True:
            written = write.attempt()
            if isinstance(written, Ok):
                return written
            error = written.err_value
            if isinstance(error, PlatformRefused):
                return Err(error)
            if isinstance(error, PlatformUnavailable):
                may_have_taken_effect = True
            read = self._read_back(write.key, give_up_at)
            if isinstance(read, Err):
                return Err(WriteUnsure(str(read.err_value), write.writer))
            current = read.ok_value
            if not may_have_taken_effect:
                return Err(WriteConflict(current))
            if not _is_unchanged(current, write.expected_version):
                return self._find_in(current, write)
            # Writing again is safe: the condition lets at most one of the
            # attempts take effect, and all carry the same id.

    def _read_back(
        self, key: ObjectKey, give_up_at: float
    ) -> Result[ObjectRecord | None, PlatformError]:
        pause_s = READ_BACK_PAUSE_MIN_S
        while True:
            read = self._platform.get(key)
            if isinstance(read, Ok) or time.monotonic() + pause_s > give_up_at:
                return read
            self._pause(pause_s)
            pause_s = min(pause_s * 2, READ_BACK_PAUSE_MAX_S)

    def _find_in(
        self, current: ObjectRecord | None, write: _Write
    ) -> Result[ObjectRecord, WriteError]:
        if current is not None and current.writer == write.writer:
            return Ok(current)
        if current is None and write.is_deletion:
            return self._deleted(write)
        detail = "another write followed the one whose answer was lost"
        return Err(WriteUnsure(detail, write.writer, current))

    def _deleted(self, write: _Write) -> Result[ObjectRecord, WriteError]:
        listed = self._platform.list_all()
        if isinstance(listed, Err):
            return Err(WriteUnsure(str(listed.err_value), write.writer))
        # The object is gone at the version of the list, whichever version its
        # tombstone has.
        version = listed.ok_value.version
        return Ok(ObjectRecord(write.key, version, True, write.writer))


def _is_unchanged(current: ObjectRecord | None, expected_version: int) -> bool:
    return (0 if current is None else current.version) == expected_version
