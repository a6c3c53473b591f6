"""Requests that were running when upstreams ended, by fingerprint."""

from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from knapweedspring_relay._upstream_process import UpstreamProcess

__all__ = ["CrashRecord", "CrashRecords"]

#: Number of upstream processes that ended while they ran a request from which the
#: request counts as the cause and is refused. Other requests in flight with it were
#: often retried at the same upstreams, so fewer crashes do not show the cause.
MIN_CRASHES = 3
#: Time after its last crash for which a request is refused, in seconds.
KEEP_S = 3_600.0
#: Maximum number of requests that are kept with fewer crashes than ``MIN_CRASHES``.
#: The one that was in flight in a crash longest ago is forgotten first.
MAX_SUSPECTS = 4_096
#: Maximum number of requests that are kept as refused, forgotten in the same order.
MAX_REFUSED = 1_024
#: Maximum number of requests that are remembered as successful, forgotten in the order
#: of their last success.
MAX_SUCCESSFUL = 2_048


class CrashRecord(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """What a node tells others about one request."""

    #: Fingerprint of the request.
    fingerprint: bytes
    #: Processes that ended while they ran the request, ``MIN_CRASHES`` at most.
    processes: tuple[UpstreamProcess, ...]
    #: Time since the last of these crashes, in seconds.
    age_s: float


@dataclass(slots=True)
class _Crashes:
    """Crashes in which one request was in flight."""

    #: Processes that ended.
    processes: tuple[UpstreamProcess, ...]
    #: Time of the last crash, on the monotonic clock, in seconds.
    crashed_at: float


class CrashRecords:
    """Counts for each request the upstream processes that ended while they ran it.

    A request that has succeeded is not the cause of a crash, however often it was in
    flight. The number of remembered requests is bounded.

    :param on_refused: called with the record of a request that is refused from now on.
    """

    def __init__(self, on_refused: Callable[[CrashRecord], None]) -> None:
        self._on_refused = on_refused
        self._suspects: dict[bytes, _Crashes] = {}
        self._refused: dict[bytes, _Crashes] = {}
        self._successful: dict[bytes, None] = {}
        self._n_changes = 0

    @property
    def n_suspects(self) -> int:
        """Number of requests with fewer crashes than ``MIN_CRASHES``."""
        return len(self._suspects)

    @property
    def n_refused(self) -> int:
        """Number of requests that are refused."""
        return len(self._refused)

    @property
    def n_changes(self) -> int:
        """Number of changes of the refused requests."""
        return self._n_changes

    def is_refused(self, fingerprint: bytes, now: float) -> bool:
        """Return whether a request crashed so many upstreams that it is refused.

        :param fingerprint: fingerprint of the request.
        :param now: monotonic time, in seconds.
        """
        crashes = self._refused.get(fingerprint)
        if crashes is None:
            return False
        if now - crashes.crashed_at <= KEEP_S:
            return True
        del self._refused[fingerprint]
        return False

    def is_likely_cause(self, fingerprint: bytes) -> bool:
        """Return whether one more crash would show that a request is the cause.

        :param fingerprint: fingerprint of the request.
        """
        crashes = self._suspects.get(fingerprint) if self._suspects else None
        return crashes is not None and len(crashes.processes) == MIN_CRASHES - 1

    def n_crashes(self, fingerprint: bytes) -> int:
        """Return the number of known crashes with a request in flight.

        :param fingerprint: fingerprint of the request.
        :return: the number, ``MIN_CRASHES`` at most.
        """
        crashes = self._crashes_of(fingerprint)
        return len(crashes.processes) if crashes is not None else 0

    def record_of(self, fingerprint: bytes, now: float) -> CrashRecord | None:
        """Return the record of a request; None when no crash is known.

        :param fingerprint: fingerprint of the request.
        :param now: monotonic time, in seconds.
        """
        crashes = self._crashes_of(fingerprint)
        if crashes is None:
            return None
        return CrashRecord(fingerprint, crashes.processes, now - crashes.crashed_at)

    def refused_records(self, now: float) -> tuple[CrashRecord, ...]:
        """Return the records of all refused requests.

        :param now: monotonic time, in seconds.
        """
        return tuple(
            CrashRecord(fingerprint, crashes.processes, now - crashes.crashed_at)
            for fingerprint, crashes in self._refused.items()
        )

    def merge(self, record: CrashRecord, now: float) -> None:
        """Add the crashes of a record that are not known yet.

        :param record: the record.
        :param now: monotonic time, in seconds.
        """
        crashed_at = now - max(0.0, record.age_s)
        if now - crashed_at > KEEP_S or record.fingerprint in self._successful:
            return
        known = self._crashes_of(record.fingerprint)
        processes = known.processes if known is not None else ()
        added = tuple(p for p in record.processes if p not in processes)
        if not added or len(processes) >= MIN_CRASHES:
            return
        if known is not None:
            crashed_at = max(crashed_at, known.crashed_at)
        crashes = _Crashes((*processes, *added)[:MIN_CRASHES], crashed_at)
        self._suspects.pop(record.fingerprint, None)
        if len(crashes.processes) < MIN_CRASHES:
            _put(self._suspects, record.fingerprint, crashes, MAX_SUSPECTS)
            return
        _put(self._refused, record.fingerprint, crashes, MAX_REFUSED)
        self._n_changes += 1
        self._on_refused(
            CrashRecord(record.fingerprint, crashes.processes, now - crashed_at)
        )

    def record_success(self, fingerprint: bytes) -> None:
        """Record that a request was answered with success.

        :param fingerprint: fingerprint of the request.
        """
        if self._suspects:
            self._suspects.pop(fingerprint, None)
        self._successful.pop(fingerprint, None)
        self._successful[fingerprint] = None
        if len(self._successful) > MAX_SUCCESSFUL:
            del self._successful[next(iter(self._successful))]

    def _crashes_of(self, fingerprint: bytes) -> _Crashes | None:
        return self._refused.get(fingerprint) or self._suspects.get(fingerprint)


def _put(
    table: dict[bytes, _Crashes], fingerprint: bytes, crashes: _Crashes, limit: int
) -> None:
    table[fingerprint] = crashes
    if len(table) > limit:
        del table[next(iter(table))]
