"""Writes a reporter's part of a data centre's status object.

Several reporters may write the object at the same time.
"""

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
    ReporterStatus,
    parse_status,
)
from knapweedspring_node._config._roles import Roles

__all__ = ["StatusWriter"]

#: Shortest time between two writes, in seconds.
WRITE_PERIOD_S = 2.0
#: Seconds after which even an unchanged part is written again, to show that the
#: reporter is alive.
HEARTBEAT_S = 30.0
#: The part of another reporter is removed when its sequence has stayed the same for
#: this many seconds.
OTHER_PART_EXPIRY_S = 75.0
#: Number of attempts at one write. When other reporters change the object before each
#: of them, the part stays unwritten until the next call.
MAX_WRITE_ATTEMPTS = 3


@dataclass(frozen=True, slots=True)
class _SeenPart:
    """Sequence of another reporter's part, and the time at which it was first read."""

    sequence: int
    first_seen_at: float


class StatusWriter:
    """Keeps this reporter's part of the status object up to date.

    Every write is conditional. After a conflict, the object is read again and this
    reporter's part is merged with the other reporters' parts, so that the
    reporters of a partitioned data centre do not overwrite each other's parts.

    :param platform: client with which the status object is read and written.
    :param roles: returns the data centre, the role of this node and the states of
        the other reporters.
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
        self._cached_record: ObjectRecord | None = None
        self._is_cache_valid = False
        self._seen_parts: dict[str, _SeenPart] = {}
        self._sequence = 0
        self._written_at = float("-inf")
        self._written: ReporterStatus | None = None

    @property
    def is_heartbeat_due(self) -> bool:
        """Whether the part must be written even if it did not change."""
        return self._now() - self._written_at >= HEARTBEAT_S

    @property
    def may_write(self) -> bool:
        """Whether ``WRITE_PERIOD_S`` have passed since the last write."""
        return self._now() - self._written_at >= WRITE_PERIOD_S

    def write_if_due(self, part: ReporterStatus) -> Result[bool, PlatformError]:
        """Write the part if it changed, at most once in ``WRITE_PERIOD_S``.

        A change of the budget use alone does not lead to a write; the next write
        includes it. An unchanged part is written every ``HEARTBEAT_S``.

        :param part: this reporter's part; its sequence is assigned here.
        :return: whether the part was written, or the platform's error.
        """
        if not self.may_write:
            return Ok(False)
        if self._written == _without_counts(part) and not self.is_heartbeat_due:
            return Ok(False)
        return self._write_part(part)

    def _write_part(self, part: ReporterStatus) -> Result[bool, PlatformError]:
        self._sequence += 1
        numbered = replace(part, sequence=self._sequence)
        for _ in range(MAX_WRITE_ATTEMPTS):
            if not self._is_cache_valid:
                read = self._platform.get(self._key)
                if isinstance(read, Err):
                    return read
                self._cache_record(read.ok_value)
            written = self._put_status(numbered)
            if isinstance(written, Ok):
                self._cache_record(written.ok_value)
                self._written = _without_counts(part)
                self._written_at = self._now()
                return Ok(True)
            # The version is unknown after a lost answer too, so the object must
            # be read before the next write.
            self._is_cache_valid = False
            if not isinstance(written.err_value, PlatformConflict):
                return written
        return Ok(False)

    def _put_status(self, part: ReporterStatus) -> Result[ObjectRecord, PlatformError]:
        parts = (*self._current_other_parts(), part)
        ordered = tuple(sorted(parts, key=lambda item: item.reporter))
        status = DataCentreStatus(self._roles.data_centre, ordered)
        content = msgspec.json.encode(status).decode()
        version = 0 if self._cached_record is None else self._cached_record.version
        return self._platform.put(self._key, content, self._roles.node_id, version)

    def _cache_record(self, record: ObjectRecord | None) -> None:
        self._cached_record = record
        self._is_cache_valid = True

    def _current_other_parts(self) -> tuple[ReporterStatus, ...]:
        if self._cached_record is None:
            return ()
        parsed = parse_status(self._cached_record)
        if isinstance(parsed, Err):
            return ()
        others = [
            part
            for part in parsed.ok_value.parts
            if part.reporter != self._roles.node_id
        ]
        return tuple(part for part in others if self._is_current(part))

    def _is_current(self, part: ReporterStatus) -> bool:
        """Return whether to keep another reporter's part; record a new sequence."""
        member = self._roles.find_member(part.reporter)
        if member is not None:
            # The other reporter is dead or has left, or it ranks after this node
            # and will stop reporting.
            is_gone = member.state in (MemberState.DEAD, MemberState.LEFT)
            if is_gone or self._roles.is_reporter:
                return False
        seen = self._seen_parts.get(part.reporter)
        if seen is None or seen.sequence != part.sequence:
            self._seen_parts[part.reporter] = _SeenPart(part.sequence, self._now())
            return True
        return self._now() - seen.first_seen_at < OTHER_PART_EXPIRY_S


def _without_counts(part: ReporterStatus) -> ReporterStatus:
    return replace(part, sequence=0, budget=BudgetUse())
