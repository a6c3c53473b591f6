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

#: Longest time that one watch request waits for a change.
WATCH_WAIT_S = 5.0
#: Longest pause before the next read while the platform is unavailable.
OUTAGE_PAUSE_S = 0.5
#: State of a data centre that has no status object.
NO_STATUS = "no status object"


@dataclass(frozen=True, slots=True)
class Lag:
    """A version of a declaration that is not in force in one data centre."""

    #: Name of the data centre.
    data_centre: str
    #: The declaration, as ``kind/name``.
    declaration: str
    #: Version that the command waited for.
    version: int
    #: ``lagging``, ``invalid``, or :data:`NO_STATUS`.
    state: str
    #: Names of some of the nodes on which the version is not in force.
    nodes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class UnreachableNodes:
    """Nodes that a data centre's reporter sees as suspect or dead.

    The wait does not count the dead ones; the suspect ones still count as live.
    """

    #: Name of the data centre.
    data_centre: str
    #: Number of unreachable nodes.
    n_nodes: int
    #: Names of some of the unreachable nodes.
    nodes: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class WaitResult:
    """State of the data centres at the end of a wait."""

    #: Names of the data centres in which the versions had to be in force.
    data_centres: tuple[str, ...]
    #: Versions that are not in force; empty when each version is in force in every data
    #: centre.
    lags: tuple[Lag, ...]
    #: Unreachable nodes; such a node may be alive and still apply older versions.
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
        """Last status that was read, by name of the data centre."""
        return self._statuses

    def update(self, wait_s: float) -> None:
        """Read the status objects, or wait for changes since the last update.

        While the platform is unavailable, the call pauses and leaves the statuses as
        they are.

        :param wait_s: longest wait for a change, in seconds.
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

    :param platform: platform from which the status objects are read.
    :param versions: the version to wait for, by declaration.
    :param data_centres: names of the data centres in which the versions must be in
        force; when empty, all data centres that have a status object.
    :param timeout_s: longest wait in seconds.
    :return: the state of the data centres when the wait ended.
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
