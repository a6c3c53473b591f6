"""Waits until versions are in force in every data centre."""

import time
from dataclasses import dataclass

from result import Err, Ok

from knapweedspring_core import (
    STATUS_KIND,
    DataCentreStatus,
    Force,
    ObjectKey,
    Platform,
    PlatformVersionTooOld,
    parse_status,
)

__all__ = ["Lag", "WaitResult", "wait_in_force"]

WATCH_WAIT_S = 5.0
OUTAGE_PAUSE_S = 0.5
NO_STATUS = "no status object"


@dataclass(frozen=True, slots=True)
class Lag:
    """A version that is not in force in a data centre."""

    #: Name of the data centre.
    data_centre: str
    #: The declaration, as ``kind/name``.
    declaration: str
    #: Version that was waited for.
    version: int
    #: ``lagging``, ``invalid``, or that the data centre has no status object.
    state: str
    #: Some of the nodes that have not confirmed it.
    nodes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Unreachable:
    """Nodes that do not count, because their data centre cannot reach them."""

    #: Name of the data centre.
    data_centre: str
    #: How many they are.
    n_nodes: int
    #: Some of them.
    nodes: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class WaitResult:
    """State at the end of a wait."""

    #: Data centres that were asked.
    data_centres: tuple[str, ...]
    #: What is missing; empty when everything is in force everywhere.
    lags: tuple[Lag, ...]
    #: Nodes that did not count; if one is alive, it may act by older versions.
    unreachable: tuple[Unreachable, ...]
    #: How long it took, in seconds.
    elapsed_s: float


class _StatusView:
    """Status objects of the data centres, kept up to date by a watch."""

    def __init__(self, platform: Platform) -> None:
        self._platform = platform
        self._version: int | None = None
        self._statuses: dict[str, DataCentreStatus] = {}

    @property
    def statuses(self) -> dict[str, DataCentreStatus]:
        """Status by data centre."""
        return self._statuses

    def update(self, wait_s: float) -> None:
        """Read what changed, waiting for it at most ``wait_s`` seconds."""
        kinds = (STATUS_KIND,)
        if self._version is None:
            read = self._platform.list_all(kinds)
        else:
            read = self._platform.watch(self._version, wait_s, kinds)
        if isinstance(read, Err):
            if isinstance(read.err_value, PlatformVersionTooOld):
                self._version = None
                return
            time.sleep(min(wait_s, OUTAGE_PAUSE_S))
            return
        self._version = read.ok_value.version
        for record in read.ok_value.records:
            parsed = parse_status(record)
            if record.deleted:
                self._statuses.pop(record.key.name, None)
            elif isinstance(parsed, Ok):
                self._statuses[record.key.name] = parsed.ok_value


def wait_in_force(
    platform: Platform,
    versions: dict[ObjectKey, int],
    data_centres: tuple[str, ...],
    timeout_s: float,
) -> WaitResult:
    """Wait until the versions are in force, or the time is up.

    :param versions: the version to wait for, by declaration.
    :param data_centres: data centres that must confirm; all that have a status
        object when empty.
    """
    started_at = time.monotonic()
    view = _StatusView(platform)
    while True:
        left_s = timeout_s - (time.monotonic() - started_at)
        view.update(max(0.0, min(left_s, WATCH_WAIT_S)))
        asked = tuple(sorted(data_centres or view.statuses))
        lags = _lags(view.statuses, versions, asked)
        elapsed_s = time.monotonic() - started_at
        if (asked and not lags) or elapsed_s >= timeout_s:
            unreachable = _unreachable(view.statuses, asked)
            return WaitResult(asked, lags, unreachable, elapsed_s)


def _unreachable(
    statuses: dict[str, DataCentreStatus], data_centres: tuple[str, ...]
) -> tuple[Unreachable, ...]:
    return tuple(
        Unreachable(name, part.n_unreachable, part.unreachable)
        for name in data_centres
        if name in statuses
        for part in statuses[name].parts
        if part.n_unreachable
    )


def _lags(
    statuses: dict[str, DataCentreStatus],
    versions: dict[ObjectKey, int],
    data_centres: tuple[str, ...],
) -> tuple[Lag, ...]:
    lags = []
    for data_centre in data_centres:
        status = statuses.get(data_centre)
        for key, version in versions.items():
            if status is None:
                lags.append(Lag(data_centre, str(key), version, NO_STATUS))
                continue
            force = status.force_of(key, version)
            if force is not Force.IN_FORCE:
                nodes = status.lagging(key)
                lags.append(Lag(data_centre, str(key), version, str(force), nodes))
    return tuple(lags)
