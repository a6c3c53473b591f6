"""State of the upstream beside this node, from its heartbeats and departure."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Any

from knapweedspring_relay._clock import time_of_day_ms
from knapweedspring_relay._knowledge import (
    GateEntry,
    UpstreamState,
    problem_of_upstream,
)

__all__ = [
    "ASSUMED_SEQUENCE",
    "Heartbeat",
    "HeartbeatVerdict",
    "LocalUpstream",
    "UpstreamTracker",
    "problem_of_heartbeat",
    "published_upstream",
]

#: Greatest sequence number: a heartbeat per microsecond would take ages to reach it.
MAX_SEQUENCE = 2**63 - 1
#: Longest slow phase after a start, in seconds. A longer one is a mistake, and would
#: keep the upstream from its share of the requests.
MAX_COLD_S = 86_400.0
#: Greatest length of the name of a service, in characters.
MAX_SERVICE_LENGTH = 256
#: Maximum number of departed processes that are remembered, so that their late
#: heartbeats have no effect; beyond it, the first to depart is forgotten.
MAX_DEPARTED = 64
#: Time for which the departure of a process that was not known is remembered by its
#: identity, in seconds. Heartbeats arrive seconds late at most, so a process that still
#: sends some after that time runs, whatever start it states.
UNKNOWN_DEPARTURE_LIFETIME_S = 15.0
#: Time after the start of the node in which an upstream that was running before has
#: sent its first heartbeat, in seconds: more than two of its periods.
FIRST_HEARTBEAT_S = 4.0
#: Shortest time after which a second heartbeat shows that its sender runs, in seconds.
#: Heartbeats that were held up together arrive together.
CONFIRMATION_DELAY_S = 0.5
#: Sequence number of an upstream known only from the entry that this node published.
ASSUMED_SEQUENCE = -1


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """State that an upstream reports about its process."""

    #: Identity of the process; an earlier process may have had the same identity.
    instance: str
    #: Service that the upstream runs.
    service: str
    #: Address at which the upstream serves, as ``ip:port``.
    address: str
    #: Maximum number of requests that the upstream runs concurrently.
    slots: int
    #: State of the upstream.
    state: UpstreamState
    #: Time from the heartbeat until the process no longer runs slowly after its start,
    #: in seconds; 0 once that time has passed.
    cold_left_s: float
    #: Sequence number of the heartbeat; each heartbeat of a process has a greater one
    #: than those sent before it.
    sequence: int
    #: Start of the process, in milliseconds since the epoch.
    born_ms: int


def problem_of_heartbeat(heartbeat: Heartbeat) -> str:
    """Return why a heartbeat cannot be used; empty when it can.

    :param heartbeat: the heartbeat, whose fields have the declared types.
    """
    service = heartbeat.service
    if not 0 < len(service) <= MAX_SERVICE_LENGTH or not service.isprintable():
        return "the service is empty, too long or not printable"
    if not heartbeat.address:
        return "the address is empty"
    if not 0 <= heartbeat.sequence <= MAX_SEQUENCE:
        return "the sequence number is out of range"
    if not heartbeat.cold_left_s <= MAX_COLD_S:
        return f"the slow phase is longer than {MAX_COLD_S} s"
    return problem_of_upstream(heartbeat.instance, heartbeat.born_ms, heartbeat.slots)


class HeartbeatVerdict(StrEnum):
    """Effect of a heartbeat, a departure or an answer."""

    #: The state of the upstream changed.
    CHANGED = "changed"
    #: Neither the state nor the number of slots of the upstream changed.
    UNCHANGED = "unchanged"
    #: The heartbeat is older than the known state and has no effect, or the departure
    #: is not from the known process and is remembered by its identity.
    LATE = "late"
    #: The heartbeat is from a process that another one has replaced.
    SUPERSEDED = "superseded"
    #: The heartbeat is not from the upstream beside this node.
    FOREIGN = "foreign"
    #: The heartbeat is the first of a process that should have sent one long before, so
    #: it may be late and its sender gone; a second one shows that it runs.
    UNCONFIRMED = "unconfirmed"


@dataclass(frozen=True, slots=True)
class LocalUpstream:
    """State of the upstream beside this node."""

    #: Identity of the process.
    instance: str
    #: Service that the upstream runs.
    service: str
    #: Maximum number of requests that the upstream runs concurrently.
    slots: int
    #: State of the upstream.
    state: UpstreamState
    #: Start of the process, in milliseconds since the epoch.
    born_ms: int
    #: Greatest sequence number received from this process.
    sequence: int
    #: End of the slow phase after the start of the process, on the monotonic clock, in
    #: seconds.
    cold_ends_at: float
    #: Time of the first report that the process drains, on the monotonic clock, in
    #: seconds; None when it has not reported that.
    draining_at: float | None = None

    @property
    def is_ready(self) -> bool:
        """Whether the upstream accepts new requests."""
        return self.state is UpstreamState.READY

    def is_same_process(self, other: "Heartbeat | LocalUpstream") -> bool:
        """Return whether a state or a heartbeat is of the same process."""
        return self.instance == other.instance and self.born_ms == other.born_ms


@dataclass(frozen=True, slots=True)
class _ProcessKey:
    """Key of one upstream process."""

    #: Identity of the process.
    instance: str
    #: Start of the process, in milliseconds since the epoch.
    born_ms: int


@dataclass(frozen=True, slots=True)
class _UnknownDeparture:
    """Departure of a process whose start is not known."""

    #: Time of day of the departure, in milliseconds since the epoch. Any process with
    #: the identity that started before is the one that departed.
    departed_at_ms: int
    #: Time until which it is remembered, on the monotonic clock, in seconds.
    expires_at: float


class UpstreamTracker:
    """Tracks the newest state of the upstream at one address.

    A process that reported draining or its departure never becomes ready again, even
    when earlier heartbeats arrive late, or when its departure is the first that this
    node learns of it. Only a process that started later replaces it.

    :param address: address of the upstream, as ``ip:port``.
    :param time_of_day: returns the time of day, in milliseconds since the epoch. The
        upstream runs on the same VM and states its start by the same clock.
    """

    def __init__(
        self, address: str, time_of_day: Callable[[], int] = time_of_day_ms
    ) -> None:
        self._address = address
        self._time_of_day = time_of_day
        self._current: LocalUpstream | None = None
        self._departed: dict[_ProcessKey, None] = {}
        self._unknown_departures: dict[str, _UnknownDeparture] = {}
        #: Time at which the node was started again, on the monotonic clock, in seconds.
        self._restarted_at: float | None = None
        self._restarted_at_ms = 0
        self._unconfirmed: Heartbeat | None = None
        self._unconfirmed_at = 0.0

    @property
    def address(self) -> str:
        """Address of the upstream, as ``ip:port``."""
        return self._address

    @property
    def current(self) -> LocalUpstream | None:
        """State of the upstream; None when no upstream is known."""
        return self._current

    def record_restart(self, now: float) -> None:
        """Record that the node was started again, beside an upstream that may run.

        :param now: monotonic time, in seconds.
        """
        self._restarted_at = now
        self._restarted_at_ms = self._time_of_day()

    def assume_published(
        self, upstream: LocalUpstream, now: float, may_be_ready: bool = True
    ) -> HeartbeatVerdict:
        """Restore the state that this node published before a restart.

        A state from heartbeats has precedence, except over a process that started later
        or that had drained before the restart.

        :param upstream: the published state, with sequence ``ASSUMED_SEQUENCE``.
        :param now: monotonic time, in seconds.
        :param may_be_ready: whether a state other than draining is restored.
        :return: effect on the state.
        """
        if self._has_departed(upstream.instance, upstream.born_ms, now):
            self._remember_departed(upstream.instance, upstream.born_ms)
            if upstream.is_ready:
                upstream = _as_draining(upstream, now)
        if upstream.is_ready and not may_be_ready:
            return HeartbeatVerdict.UNCHANGED
        current = self._current
        if current is None or upstream.born_ms > current.born_ms:
            self._current = upstream
            return HeartbeatVerdict.CHANGED
        if not current.is_same_process(upstream):
            return HeartbeatVerdict.SUPERSEDED
        if upstream.is_ready or not current.is_ready:
            return HeartbeatVerdict.UNCHANGED
        self._current = _as_draining(current, now)
        return HeartbeatVerdict.CHANGED

    def apply_known_leaving(
        self, instance: str, born_ms: int, now: float
    ) -> HeartbeatVerdict:
        """Apply that another node knows a process to leave.

        :param instance: identity of the process.
        :param born_ms: start of the process, in milliseconds since the epoch.
        :param now: monotonic time, in seconds.
        :return: effect on the state.
        """
        self._remember_departed(instance, born_ms)
        current = self._current
        if current is None or not current.is_ready:
            return HeartbeatVerdict.UNCHANGED
        if (current.instance, current.born_ms) != (instance, born_ms):
            return HeartbeatVerdict.UNCHANGED
        self._current = _as_draining(current, now)
        return HeartbeatVerdict.CHANGED

    def drop_unconfirmed(self) -> bool:
        """Discard a restored upstream that has sent no heartbeat since the restart.

        The upstream may have left after the entry was published. One that drained
        before the restart is kept: it gets no requests, and the entry that tells later
        processes of this node of its leaving stays in the store.

        :return: whether an upstream was discarded.
        """
        current = self._current
        if current is None or current.sequence != ASSUMED_SEQUENCE:
            return False
        if not current.is_ready:
            return False
        self._current = None
        return True

    def apply_heartbeat(self, heartbeat: Heartbeat, now: float) -> HeartbeatVerdict:
        """Apply a heartbeat.

        :param heartbeat: heartbeat of the upstream.
        :param now: monotonic time, in seconds.
        :return: effect of the heartbeat.
        """
        if heartbeat.address != self._address:
            return HeartbeatVerdict.FOREIGN
        if self._has_departed(heartbeat.instance, heartbeat.born_ms, now):
            return HeartbeatVerdict.LATE
        current = self._current
        if current is not None:
            if heartbeat.born_ms < current.born_ms:
                return HeartbeatVerdict.SUPERSEDED
            if current.is_same_process(heartbeat):
                return self._update_current(current, heartbeat, now)
        elif self._may_be_gone(heartbeat, now):
            return HeartbeatVerdict.UNCONFIRMED
        self._current = _upstream_from(heartbeat, now)
        return HeartbeatVerdict.CHANGED

    def apply_departure(self, instance: str, now: float) -> HeartbeatVerdict:
        """Apply the departure of a process: it drains and never becomes ready again.

        The departure of a process that is not known is remembered by its identity.

        :param instance: identity of the process.
        :param now: monotonic time, in seconds.
        :return: effect of the departure.
        """
        current = self._current
        if current is None or current.instance != instance:
            self._unknown_departures[instance] = _UnknownDeparture(
                self._time_of_day(), now + UNKNOWN_DEPARTURE_LIFETIME_S
            )
            _limit_size(self._unknown_departures, MAX_DEPARTED)
            return HeartbeatVerdict.LATE
        self._remember_departed(current.instance, current.born_ms)
        if not current.is_ready:
            return HeartbeatVerdict.UNCHANGED
        self._current = _as_draining(current, now)
        return HeartbeatVerdict.CHANGED

    def apply_leaving(self, process: LocalUpstream, now: float) -> HeartbeatVerdict:
        """Apply that an answer of a process said that it leaves.

        :param process: the process that was sent the request.
        :param now: monotonic time, in seconds.
        :return: effect on the state.
        """
        current = self._current
        if current is None or not current.is_same_process(process):
            return HeartbeatVerdict.LATE
        if not current.is_ready:
            return HeartbeatVerdict.UNCHANGED
        self._current = _as_draining(current, now)
        return HeartbeatVerdict.CHANGED

    def _may_be_gone(self, heartbeat: Heartbeat, now: float) -> bool:
        """Return whether the first heartbeat since a restart may be a late one.

        Its sender was running before the restart, and has been silent since.
        """
        is_expected = (
            self._restarted_at is None
            or now - self._restarted_at <= FIRST_HEARTBEAT_S
            or heartbeat.born_ms > self._restarted_at_ms
            or heartbeat.state is UpstreamState.DRAINING
        )
        earlier, waited_s = self._unconfirmed, now - self._unconfirmed_at
        is_second = (
            earlier is not None
            and (earlier.instance, earlier.born_ms)
            == (heartbeat.instance, heartbeat.born_ms)
            and heartbeat.sequence > earlier.sequence
        )
        if is_expected or (is_second and waited_s >= CONFIRMATION_DELAY_S):
            return False
        if not is_second:
            self._unconfirmed, self._unconfirmed_at = heartbeat, now
        return True

    def _has_departed(self, instance: str, born_ms: int, now: float) -> bool:
        if _ProcessKey(instance, born_ms) in self._departed:
            return True
        departure = self._unknown_departures.get(instance)
        if departure is None:
            return False
        return now < departure.expires_at and born_ms <= departure.departed_at_ms

    def _remember_departed(self, instance: str, born_ms: int) -> None:
        self._departed[_ProcessKey(instance, born_ms)] = None
        _limit_size(self._departed, MAX_DEPARTED)

    def _update_current(
        self, current: LocalUpstream, heartbeat: Heartbeat, now: float
    ) -> HeartbeatVerdict:
        is_late = heartbeat.sequence <= current.sequence
        if heartbeat.state is UpstreamState.DRAINING and current.is_ready:
            # Draining is final, so it applies however late the heartbeat arrives.
            self._current = _as_draining(current, now)
            return HeartbeatVerdict.CHANGED
        if is_late:
            return HeartbeatVerdict.LATE
        changed = heartbeat.slots != current.slots
        self._current = replace(
            current,
            sequence=heartbeat.sequence,
            slots=heartbeat.slots,
            cold_ends_at=now + heartbeat.cold_left_s,
        )
        return HeartbeatVerdict.CHANGED if changed else HeartbeatVerdict.UNCHANGED


def published_upstream(entry: GateEntry, now: float) -> LocalUpstream:
    """Return the state that a node published, until a heartbeat confirms it.

    :param entry: the entry that the node published.
    :param now: monotonic time, in seconds.
    """
    is_ready = entry.state is UpstreamState.READY
    return LocalUpstream(
        instance=entry.instance,
        service=entry.service,
        slots=entry.slots,
        state=entry.state,
        born_ms=entry.born_ms,
        sequence=ASSUMED_SEQUENCE,
        cold_ends_at=0.0,
        draining_at=None if is_ready else now,
    )


def _limit_size(remembered: dict[Any, Any], max_size: int) -> None:
    """Remove the entries that were added first."""
    while len(remembered) > max_size:
        del remembered[next(iter(remembered))]


def _upstream_from(heartbeat: Heartbeat, now: float) -> LocalUpstream:
    is_draining = heartbeat.state is UpstreamState.DRAINING
    return LocalUpstream(
        instance=heartbeat.instance,
        service=heartbeat.service,
        slots=heartbeat.slots,
        state=heartbeat.state,
        born_ms=heartbeat.born_ms,
        sequence=heartbeat.sequence,
        cold_ends_at=now + heartbeat.cold_left_s,
        draining_at=now if is_draining else None,
    )


def _as_draining(upstream: LocalUpstream, now: float) -> LocalUpstream:
    return replace(upstream, state=UpstreamState.DRAINING, draining_at=now)
