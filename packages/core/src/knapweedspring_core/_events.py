"""Event log: events stamped by a hybrid logical clock, in bounded ring buffers."""

import threading
import time
from collections import deque
from dataclasses import dataclass

import eliot

__all__ = ["Event", "EventLog", "HybridClock", "Stamp"]

#: Number of state changes in the ring buffer; a further one evicts the oldest.
STATE_CHANGE_CAPACITY = 4_096
#: Number of steps of calls in the ring buffer; a further one evicts the oldest.
TRACE_CAPACITY = 8_192


@dataclass(frozen=True, slots=True, order=True)
class Stamp:
    """Timestamp of a hybrid logical clock: wall clock, then a logical counter."""

    #: Microseconds since the epoch; at least as high as in every stamp that the clock
    #: returned or received before.
    wall_us: int
    #: Orders stamps with the same ``wall_us``, which occur within a microsecond and
    #: while the wall clock is behind an earlier stamp.
    counter: int


class HybridClock:
    """Hybrid logical clock: stamps respect causality between processes."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._last = Stamp(0, 0)

    def now(self) -> Stamp:
        """Return the stamp of a local event or of a message to be sent."""
        return self.observe(Stamp(0, 0))

    def observe(self, received: Stamp) -> Stamp:
        """Advance the clock past a stamp that came with a message.

        :param received: the stamp of the message.
        :return: a stamp later than ``received`` and than every stamp that this clock
            returned before.
        """
        wall_us = time.time_ns() // 1_000
        with self._lock:
            latest = max(self._last, received)
            if wall_us > latest.wall_us:
                self._last = Stamp(wall_us, 0)
            else:
                self._last = Stamp(latest.wall_us, latest.counter + 1)
            return self._last


@dataclass(frozen=True, slots=True)
class Event:
    """One state change, or one step of a call, in one process."""

    #: Time at which the event was recorded.
    stamp: Stamp
    #: Name of the node or program that recorded the event.
    process: str
    #: Kind, such as ``upstream:state``.
    kind: str
    #: Details: text values by field name.
    fields: dict[str, str]


class EventLog:
    """Records state changes and the steps of calls, each in a ring buffer.

    State changes are also logged as eliot messages.

    :param process: name of this process in the timeline.
    :param clock: clock that also stamps the messages of the process; None for a clock
        of its own.
    """

    def __init__(self, process: str, clock: HybridClock | None = None) -> None:
        self._process = process
        self._clock = clock or HybridClock()
        self._state_changes: deque[Event] = deque(maxlen=STATE_CHANGE_CAPACITY)
        # A separate ring, so that a high call rate does not evict state changes.
        self._traces: deque[Event] = deque(maxlen=TRACE_CAPACITY)

    @property
    def clock(self) -> HybridClock:
        """The clock that stamps the events."""
        return self._clock

    @property
    def events(self) -> tuple[Event, ...]:
        """The newest state changes and traces, oldest first."""
        return tuple(sorted((*self._state_changes, *self._traces), key=_stamp_of))

    def record(self, kind: str, **fields: object) -> Event:
        """Record a state change.

        :param kind: what changed, such as ``upstream:state``.
        :param fields: details; each is stored as text.
        :return: the recorded event.
        """
        details = {name: str(value) for name, value in fields.items()}
        event = Event(self._clock.now(), self._process, kind, details)
        self._state_changes.append(event)
        eliot.log_message(message_type=kind, process=self._process, **details)
        return event

    def trace(self, kind: str, **fields: str) -> None:
        """Record a step of one call in the ring buffer only; calls are not logged.

        :param kind: what happened, such as ``ticket:attempt``.
        :param fields: details, already text.
        """
        event = Event(self._clock.now(), self._process, kind, fields)
        self._traces.append(event)


def _stamp_of(event: Event) -> Stamp:
    return event.stamp
