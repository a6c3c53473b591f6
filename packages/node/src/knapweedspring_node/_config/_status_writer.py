"""Writes the status object of a data centre, safely beside other reporters."""

import time
from collections.abc import Callable
from dataclasses import dataclass, replace

import msgspec
from result import Err, Ok, Result

from knapweedspring_core import (
    STATUS_KIND,
    BudgetUse,
    DataCentreStatus,
    MemberState,
    ObjectKey,
    ObjectRecord,
    Platform,
    PlatformConflict,
    PlatformError,
    ReporterPart,
    parse_status,
)
from knapweedspring_node._config._roles import Roles

__all__ = ["StatusWriter"]

#: Shortest time between two writes.
WRITE_PERIOD_S = 2.0
#: Longest time between two writes; unchanged status is a sign of life.
HEARTBEAT_S = 30.0
#: A part of another reporter that stayed the same for so long is dropped.
FOREIGN_EXPIRY_S = 75.0
MAX_ATTEMPTS = 3


@dataclass(frozen=True, slots=True)
class _Foreign:
    sequence: int
    since: float


class StatusWriter:
    """Keeps this reporter's part of the status object up to date.

    Every write is conditional. After a conflict the object is read again and
    this reporter's part is put beside those of the others, so that two
    reporters of a split data centre lose nothing of each other.

    :param platform: the object API.
    :param roles: name the data centre, and tell which reporters are gone.
    :param now: monotonic clock in seconds.
    """

    def __init__(
        self,
        platform: Platform,
        roles: Roles,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self._platform = platform
        self._roles = roles
        self._now = now
        self._key = ObjectKey(STATUS_KIND, roles.data_centre)
        self._held: ObjectRecord | None = None
        self._is_held = False
        self._foreign: dict[str, _Foreign] = {}
        self._sequence = 0
        self._written_at = float("-inf")
        self._written: ReporterPart | None = None

    @property
    def is_heartbeat_due(self) -> bool:
        """Whether the part should be written though nothing changed."""
        return self._now() - self._written_at >= HEARTBEAT_S

    @property
    def may_write(self) -> bool:
        """Whether the last write is long enough ago."""
        return self._now() - self._written_at >= WRITE_PERIOD_S

    def write_if_due(self, part: ReporterPart) -> Result[bool, PlatformError]:
        """Write the part if it changed, at most once in ``WRITE_PERIOD_S``.

        Budget use alone does not count as a change; it goes with the next write.

        :return: whether it was written.
        """
        if not self.may_write:
            return Ok(False)
        if self._written == _without_counts(part) and not self.is_heartbeat_due:
            return Ok(False)
        return self._write(part)

    def _write(self, part: ReporterPart) -> Result[bool, PlatformError]:
        self._sequence += 1
        numbered = replace(part, sequence=self._sequence)
        for _ in range(MAX_ATTEMPTS):
            if not self._is_held:
                read = self._platform.get(self._key)
                if isinstance(read, Err):
                    return read
                self._hold(read.ok_value)
            written = self._put(numbered)
            if isinstance(written, Ok):
                self._hold(written.ok_value)
                self._written = _without_counts(part)
                self._written_at = self._now()
                return Ok(True)
            # After a lost answer, too, the object must be read before the next
            # attempt, to learn the version that it has.
            self._is_held = False
            if not isinstance(written.err_value, PlatformConflict):
                return written
        return Ok(False)

    def _put(self, part: ReporterPart) -> Result[ObjectRecord, PlatformError]:
        parts = (*self._foreign_parts(), part)
        ordered = tuple(sorted(parts, key=lambda one: one.reporter))
        status = DataCentreStatus(self._roles.data_centre, ordered)
        content = msgspec.json.encode(status).decode()
        version = 0 if self._held is None else self._held.version
        return self._platform.put(self._key, content, self._roles.node_id, version)

    def _hold(self, record: ObjectRecord | None) -> None:
        self._held = record
        self._is_held = True

    def _foreign_parts(self) -> tuple[ReporterPart, ...]:
        if self._held is None:
            return ()
        parsed = parse_status(self._held)
        if isinstance(parsed, Err):
            return ()
        foreign = [
            part
            for part in parsed.ok_value.parts
            if part.reporter != self._roles.node_id
        ]
        return tuple(part for part in foreign if self._is_current(part))

    def _is_current(self, part: ReporterPart) -> bool:
        """Tell whether another reporter still stands behind its part."""
        member = self._roles.find(part.reporter)
        if member is not None:
            # In this view the other one is gone, or ranks behind this node and
            # will stop to report.
            gone = member.state in (MemberState.DEAD, MemberState.LEFT)
            if gone or self._roles.is_reporter:
                return False
        seen = self._foreign.get(part.reporter)
        if seen is None or seen.sequence != part.sequence:
            self._foreign[part.reporter] = _Foreign(part.sequence, self._now())
            return True
        return self._now() - seen.since < FOREIGN_EXPIRY_S


def _without_counts(part: ReporterPart) -> ReporterPart:
    return replace(part, sequence=0, budget=BudgetUse())
