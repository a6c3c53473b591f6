"""State of the upstream beside this node, from its heartbeats and its departure."""

from dataclasses import dataclass, replace
from enum import StrEnum

from knapweedspring_relay._directory import UpstreamState

__all__ = [
    "ASSUMED_SEQUENCE",
    "Heartbeat",
    "HeartbeatVerdict",
    "LocalUpstream",
    "UpstreamTracker",
]

#: Departed processes that are remembered, so that their late heartbeats lose.
MAX_DEPARTED = 64
#: Sequence of an upstream that is known from what was published only.
ASSUMED_SEQUENCE = -1


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """What an upstream says of itself."""

    #: Identity of the process; may be that of an earlier process.
    instance: str
    #: Service that it runs.
    service: str
    #: Address that it serves at, as ``ip:port``.
    address: str
    #: Requests that it works on at the same time.
    slots: int
    #: Its state.
    state: UpstreamState
    #: How much longer it is slow after its start, in seconds.
    cold_left_s: float
    #: Grows with each heartbeat of one process.
    sequence: int
    #: Start of the process, in milliseconds since the epoch.
    born_ms: int


class HeartbeatVerdict(StrEnum):
    """What became of a heartbeat."""

    #: The state of the upstream changed.
    CHANGED = "changed"
    #: Nothing new.
    UNCHANGED = "unchanged"
    #: It was sent before what is known, and is of no effect.
    LATE = "late"
    #: It is of a process that another one has replaced.
    SUPERSEDED = "superseded"
    #: It is not about the upstream beside this node.
    FOREIGN = "foreign"


@dataclass(frozen=True, slots=True)
class LocalUpstream:
    """The upstream beside this node."""

    #: Identity of the process.
    instance: str
    #: Service that it runs.
    service: str
    #: Requests that it works on at the same time.
    slots: int
    #: Its state.
    state: UpstreamState
    #: Start of the process, in milliseconds since the epoch.
    born_ms: int
    #: Greatest sequence heard of this process.
    sequence: int
    #: When it stops being slow, on the monotonic clock, in seconds.
    warm_at: float
    #: When it was first known to drain, on the monotonic clock; None before.
    draining_since: float | None = None

    @property
    def is_ready(self) -> bool:
        """Whether it takes new requests."""
        return self.state is UpstreamState.READY


@dataclass(frozen=True, slots=True)
class _ProcessKey:
    """One start of an upstream."""

    #: Identity that it uses.
    instance: str
    #: When it started.
    born_ms: int


class UpstreamTracker:
    """Keeps the newest state of the upstream at one address.

    A process that said it drains or leaves never becomes ready again, whatever
    arrives late; only a process that started later replaces it.

    :param address: address of the upstream, as ``ip:port``.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._current: LocalUpstream | None = None
        self._departed: dict[_ProcessKey, None] = {}

    @property
    def current(self) -> LocalUpstream | None:
        """The upstream; None when none has been heard of."""
        return self._current

    def assume(self, upstream: LocalUpstream) -> None:
        """Take over what this node published before a restart."""
        if self._current is None:
            self._current = upstream

    def drop_unconfirmed(self) -> bool:
        """Forget an upstream that was assumed and sent no heartbeat since.

        It may have left after what was published: a departure that was acknowledged
        just before the restart is not known any more.

        :return: whether there was one.
        """
        current = self._current
        if current is None or current.sequence != ASSUMED_SEQUENCE:
            return False
        self._current = None
        return True

    def take_heartbeat(self, heartbeat: Heartbeat, now: float) -> HeartbeatVerdict:
        """Take in a heartbeat.

        :param heartbeat: what the upstream says.
        :param now: monotonic time, in seconds.
        """
        if heartbeat.address != self._address:
            return HeartbeatVerdict.FOREIGN
        if _ProcessKey(heartbeat.instance, heartbeat.born_ms) in self._departed:
            return HeartbeatVerdict.LATE
        current = self._current
        if current is not None:
            if heartbeat.born_ms < current.born_ms:
                return HeartbeatVerdict.SUPERSEDED
            if _is_same_process(current, heartbeat):
                return self._refresh(current, heartbeat, now)
        self._current = _upstream_of(heartbeat, now)
        return HeartbeatVerdict.CHANGED

    def take_departure(self, instance: str, now: float) -> HeartbeatVerdict:
        """Take in that a process says it leaves.

        :param instance: identity of the process.
        :param now: monotonic time, in seconds.
        """
        current = self._current
        if current is None or current.instance != instance:
            return HeartbeatVerdict.LATE
        self._departed[_ProcessKey(instance, current.born_ms)] = None
        while len(self._departed) > MAX_DEPARTED:
            del self._departed[next(iter(self._departed))]
        if not current.is_ready:
            return HeartbeatVerdict.UNCHANGED
        self._current = _drained(current, now)
        return HeartbeatVerdict.CHANGED

    def _refresh(
        self, current: LocalUpstream, heartbeat: Heartbeat, now: float
    ) -> HeartbeatVerdict:
        is_late = heartbeat.sequence <= current.sequence
        if heartbeat.state is UpstreamState.DRAINING and current.is_ready:
            # Draining is final, so it holds however late the heartbeat is.
            self._current = _drained(current, now)
            return HeartbeatVerdict.CHANGED
        if is_late:
            return HeartbeatVerdict.LATE
        changed = heartbeat.slots != current.slots
        self._current = replace(
            current,
            sequence=heartbeat.sequence,
            slots=heartbeat.slots,
            warm_at=now + heartbeat.cold_left_s,
        )
        return HeartbeatVerdict.CHANGED if changed else HeartbeatVerdict.UNCHANGED


def _is_same_process(current: LocalUpstream, heartbeat: Heartbeat) -> bool:
    return (
        current.instance == heartbeat.instance and current.born_ms == heartbeat.born_ms
    )


def _upstream_of(heartbeat: Heartbeat, now: float) -> LocalUpstream:
    is_draining = heartbeat.state is UpstreamState.DRAINING
    return LocalUpstream(
        instance=heartbeat.instance,
        service=heartbeat.service,
        slots=heartbeat.slots,
        state=heartbeat.state,
        born_ms=heartbeat.born_ms,
        sequence=heartbeat.sequence,
        warm_at=now + heartbeat.cold_left_s,
        draining_since=now if is_draining else None,
    )


def _drained(upstream: LocalUpstream, now: float) -> LocalUpstream:
    return replace(upstream, state=UpstreamState.DRAINING, draining_since=now)
