"""Waits until versions of declarations are in force in every data centre."""

import time
from dataclasses import dataclass

from result import Err, Ok

from knapweedspring_core import (
    STATUS_KIND,
    DataCentreStatus,
    ObjectKey,
    Platform,
    PlatformVersionTooOld,
    RolloutState,
    parse_status,
)

__all__ = ["Lag", "WaitResult", "wait_until_in_force"]

#: Longest wait of one watch for a change.
WATCH_WAIT_S = 5.0
#: Longest pause between reads while the platform is unavailable.
OUTAGE_PAUSE_S = 0.5
#: State of a data centre that has no status object.
NO_STATUS = "no status object"


@dataclass(frozen=True, slots=True)
class Lag:
    """A version that is not in force in a data centre."""

    #: Name of the data centre.
    data_centre: str
    #: The declaration, as ``kind/name``.
    declaration: str
    #: Version that the command waited for.
    version: int
    #: ``lagging``, ``invalid``, or :data:`NO_STATUS`.
    state: str
    #: Some of the nodes that have not confirmed it.
    nodes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class UnreachableNodes:
    """Nodes that need not confirm, because their data centre cannot reach them."""

    #: Name of the data centre.
    data_centre: str
    #: Number of these nodes.
    n_nodes: int
    #: Names of some of them.
    nodes: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class WaitResult:
    """State at the end of a wait."""

    #: Data centres that had to confirm the versions.
    data_centres: tuple[str, ...]
    #: Versions not in force; empty when all are in force in every data centre.
    lags: tuple[Lag, ...]
    #: Nodes that need not confirm; one that is alive may still apply older versions.
    unreachable: tuple[UnreachableNodes, ...]
    #: Duration of the wait, in seconds.
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
        """Apply the changes since the last update, waiting for at most ``wait_s``.

        :param wait_s: seconds to wait for a change.
        """
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


def wait_until_in_force(
    platform: Platform,
    versions: dict[ObjectKey, int],
    data_centres: tuple[str, ...],
    timeout_s: float,
) -> WaitResult:
    """Wait until the versions are in force or the timeout has passed.

    :param platform: the object API, for the status objects.
    :param versions: the version to wait for, by declaration.
    :param data_centres: data centres that must confirm; all that have a status
        object when empty.
    :param timeout_s: seconds to wait at most.
    """
    started_at = time.monotonic()
    view = _StatusView(platform)
    while True:
        remaining_s = timeout_s - (time.monotonic() - started_at)
        view.update(max(0.0, min(remaining_s, WATCH_WAIT_S)))
        confirming = tuple(sorted(data_centres or view.statuses))
        lags = _find_lags(view.statuses, versions, confirming)
        elapsed_s = time.monotonic() - started_at
        if (confirming and not lags) or elapsed_s >= timeout_s:
            unreachable = _find_unreachable(view.statuses, confirming)
            return WaitResult(confirming, lags, unreachable, elapsed_s)


def _find_unreachable(
    statuses: dict[str, DataCentreStatus], data_centres: tuple[str, ...]
) -> tuple[UnreachableNodes, ...]:
    return tuple(
        UnreachableNodes(name, part.n_unreachable, part.unreachable)
        for name in data_centres
        if name in statuses
        for part in statuses[name].parts
        if part.n_unreachable
    )


def _find_lags(
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
            rollout_state = status.rollout_state(key, version)
            if rollout_state is not RolloutState.IN_FORCE:
                nodes = status.lagging(key)
                lags.append(
                    Lag(data_centre, str(key), version, str(rollout_state), nodes)
                )
    return tuple(lags)
