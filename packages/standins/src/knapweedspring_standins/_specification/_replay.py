"""Replay of a recorded run, to check that the specifications allow it.

Each monitor tracks the actions of one specification and reports the rule that an
event breaks. A monitor checks only what was recorded. A run without events of a kind
gives no result about that kind, so callers should also check
:attr:`ReplayReport.n_events`.
"""

from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from enum import Enum

from knapweedspring_standins._specification._declaration_propagation import (
    PropagationRule,
)
from knapweedspring_standins._specification._drain import DrainRule
from knapweedspring_standins._specification._run_events import (
    ProcessLog,
    RunEvent,
    RunEventKind,
    RunOutcome,
    merge_logs,
)
from knapweedspring_standins._specification._tickets import TicketRule

__all__ = ["Breach", "Monitor", "ReplayReport", "replay"]

US_PER_S = 1_000_000


@dataclass(frozen=True, slots=True)
class Breach:
    """An event that the specification does not allow after the preceding events."""

    #: Rule that the event breaks.
    rule: Enum
    #: Event that breaks the rule.
    event: RunEvent
    #: Explanation of how the event breaks the rule.
    detail: str


@dataclass(frozen=True, slots=True)
class ReplayReport:
    """Outcome of a replay."""

    #: Events that a specification does not allow.
    breaches: tuple[Breach, ...]
    #: Number of events processed, by kind.
    n_events: Mapping[RunEventKind, int]


class Monitor(ABC):
    """Base class of the monitors, each of which checks one specification."""

    def __init__(self) -> None:
        self._breaches: list[Breach] = []

    @property
    def breaches(self) -> tuple[Breach, ...]:
        """Events processed so far that the specification does not allow."""
        return tuple(self._breaches)

    @abstractmethod
    def process_event(self, event: RunEvent) -> None:
        """Check the next event of the run."""

    def _report(self, rule: Enum, event: RunEvent, detail: str) -> None:
        self._breaches.append(Breach(rule, event, detail))


class TicketMonitor(Monitor):
    """Checks ``TicketSpecification``: one attempt at a time, at most one run."""

    def __init__(self) -> None:
        super().__init__()
        self._owners: dict[str, str] = {}
        self._outcomes: dict[str, RunOutcome] = {}
        self._running: dict[str, set[tuple[str, str]]] = {}
        self._revoked: set[tuple[str, str]] = set()

    def process_event(self, event: RunEvent) -> None:
        """Check the next event of the run."""
        if not event.ticket:
            return
        if event.kind is RunEventKind.TICKET_ISSUED:
            self._owners[event.ticket] = event.process
        elif event.kind is RunEventKind.TICKET_ATTEMPT:
            self._check_attempt(event)
        elif event.kind is RunEventKind.ATTEMPT_REFUSED:
            self._outcomes[event.ticket] = event.outcome
        elif event.kind is RunEventKind.TICKET_OUTCOME:
            self._check_outcome(event)
        elif event.kind is RunEventKind.GATE_REVOKED:
            self._apply_revocation(event)
        elif event.kind is RunEventKind.GATE_STARTED:
            self._check_start(event)
        elif event.kind is RunEventKind.GATE_WITHDRAWN:
            running = self._running.setdefault(event.ticket, set())
            running.discard((event.process, event.run))

    def _check_attempt(self, event: RunEvent) -> None:
        owner = self._owners.setdefault(event.ticket, event.process)
        if owner != event.process:
            detail = f"the ticket belongs to {owner}"
            self._report(TicketRule.OWNER_PROCESS_ONLY, event, detail)
        previous = self._outcomes.get(event.ticket, RunOutcome.NOT_RUN)
        if previous is not RunOutcome.NOT_RUN:
            detail = (
                f"the outcome of the previous attempt is {previous.value or 'none yet'}"
            )
            self._report(TicketRule.ONE_ATTEMPT_AT_A_TIME, event, detail)
        self._outcomes[event.ticket] = RunOutcome.NONE

    def _check_outcome(self, event: RunEvent) -> None:
        self._outcomes[event.ticket] = event.outcome
        if event.outcome is RunOutcome.NOT_RUN and self._running.get(event.ticket):
            detail = "outcome not-run, but an upstream received the request"
            self._report(TicketRule.STARTED_IS_UNKNOWN, event, detail)

    def _apply_revocation(self, event: RunEvent) -> None:
        self._revoked.add((event.ticket, event.process))
        if self._outcomes.get(event.ticket) is RunOutcome.UNKNOWN:
            self._outcomes[event.ticket] = RunOutcome.NOT_RUN

    def _check_start(self, event: RunEvent) -> None:
        if (event.ticket, event.process) in self._revoked:
            detail = "started after its revocation"
            self._report(TicketRule.TOMBSTONE, event, detail)
        running = self._running.setdefault(event.ticket, set())
        if running:
            detail = "an upstream already received the request"
            self._report(TicketRule.START_ONCE, event, detail)
        running.add((event.process, event.run))


class DrainMonitor(Monitor):
    """Checks ``DrainSpecification``: no start after the close, no aborted request.

    :param recording_delay_s: longest time in seconds from the gate's decision to start
        a request to the record of the start; 0 when the gate itself records the start.
    """

    def __init__(self, recording_delay_s: float) -> None:
        super().__init__()
        self._recording_delay_us = recording_delay_s * US_PER_S
        self._closed_us: dict[str, int] = {}
        self._running: dict[str, set[str]] = {}

    def process_event(self, event: RunEvent) -> None:
        """Check the next event of the run."""
        running = self._running.setdefault(event.process, set())
        if event.kind is RunEventKind.GATE_CLOSED:
            self._closed_us.setdefault(event.process, event.stamp.wall_us)
        elif event.kind is RunEventKind.GATE_REOPENED:
            self._closed_us.pop(event.process, None)
        elif event.kind is RunEventKind.GATE_STARTED:
            self._check_start(event)
            running.add(event.run)
        elif event.kind in (RunEventKind.GATE_FINISHED, RunEventKind.GATE_WITHDRAWN):
            running.discard(event.run)
        elif event.kind is RunEventKind.NODE_DRAINED and running:
            detail = f"{len(running)} requests were still running"
            self._report(DrainRule.EXIT_WAITS_FOR_REQUESTS, event, detail)

    def _check_start(self, event: RunEvent) -> None:
        closed_us = self._closed_us.get(event.process)
        if closed_us is None:
            return
        late_us = event.stamp.wall_us - closed_us
        if late_us > self._recording_delay_us:
            detail = f"started {late_us / US_PER_S:.3f} s after the close"
            self._report(DrainRule.CHECK_AND_START_TOGETHER, event, detail)


class DeclarationMonitor(Monitor):
    """Checks ``PropagationSpecification``: no process reverts to a lower version."""

    def __init__(self) -> None:
        super().__init__()
        self._versions: dict[tuple[str, str], int] = {}

    def process_event(self, event: RunEvent) -> None:
        """Check the next event of the run."""
        if event.kind is not RunEventKind.DECLARATION_IN_FORCE:
            return
        highest = self._versions.get((event.process, event.key), 0)
        if event.version < highest:
            detail = f"version {highest} was in force"
            self._report(PropagationRule.HIGHEST_WINS, event, detail)
        self._versions[event.process, event.key] = max(highest, event.version)


def replay(logs: Iterable[ProcessLog], recording_delay_s: float = 0.0) -> ReplayReport:
    """Check a recorded run against the specifications.

    :param logs: events that each process recorded.
    :param recording_delay_s: longest time in seconds from a gate's decision to start a
        request to the record of the start by another process; 0 when the gates record
        the starts.
    :return: events that a specification does not allow, and the number of events
        processed.
    """
    monitors = (TicketMonitor(), DrainMonitor(recording_delay_s), DeclarationMonitor())
    n_events: Counter[RunEventKind] = Counter()
    for event in merge_logs(logs):
        n_events[event.kind] += 1
        for monitor in monitors:
            monitor.process_event(event)
    return ReplayReport(tuple(_breaches(monitors)), n_events)


def _breaches(monitors: Iterable[Monitor]) -> Iterator[Breach]:
    for monitor in monitors:
        yield from monitor.breaches
