"""Events of a recorded run, in the terms of the specifications."""

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from enum import StrEnum

from knapweedspring_core import Event, Stamp
from knapweedspring_standins._journal import EntryKind, JournalPage

__all__ = [
    "ProcessLog",
    "RunEvent",
    "RunEventKind",
    "RunOutcome",
    "log_of_journal",
    "log_of_node",
    "merge_logs",
]


class RunEventKind(StrEnum):
    """Kinds of events that the monitors look at, as an event log names them."""

    TICKET_ISSUED = "ticket:issued"
    #: The owner is about to send an attempt.
    TICKET_ATTEMPT = "ticket:attempt"
    #: The owner knows what became of one attempt.
    ATTEMPT_REFUSED = "call:attempt-refused"
    #: The owner knows what became of the ticket.
    TICKET_OUTCOME = "ticket:outcome"
    GATE_REVOKED = "gate:revoked"
    #: A gate let a request through to its upstream.
    GATE_STARTED = "gate:started"
    #: The upstream got nothing of what was started, or shed it before it ran.
    GATE_WITHDRAWN = "gate:withdrawn"
    GATE_FINISHED = "gate:finished"
    GATE_CLOSED = "gate:closed"
    GATE_REOPENED = "gate:reopened"
    #: A planned stop is complete.
    NODE_DRAINED = "node:drained"
    STOP_DEADLINE_HIT = "node:stop-deadline-hit"
    DECLARATION_IN_FORCE = "declaration:in-force"


class RunOutcome(StrEnum):
    """What became of an attempt."""

    NONE = ""
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    RAN = "ran"


@dataclass(frozen=True, slots=True)
class RunEvent:
    """One event, with the fields that the monitors read."""

    #: What happened.
    kind: RunEventKind
    #: When.
    stamp: Stamp
    #: Process that recorded it; one that was replaced has another name.
    process: str
    #: Ticket, empty for requests without one.
    ticket: str = ""
    #: Identity of the run at its gate.
    run: str = ""
    #: What became of the attempt.
    outcome: RunOutcome = RunOutcome.NONE
    #: Key of the declaration.
    key: str = ""
    #: Version of the declaration.
    version: int = 0


@dataclass(frozen=True, slots=True)
class ProcessLog:
    """Events of one process, oldest first."""

    #: Process.
    process: str
    #: Its events.
    events: tuple[RunEvent, ...]


def log_of_node(process: str, events: Sequence[Event]) -> ProcessLog:
    """Pick the events of a node's ring that the monitors look at.

    :param process: name that no other process of the run has.
    """
    known = {kind.value for kind in RunEventKind}
    tickets = _root_tickets(events)
    read = (_read(process, event) for event in events if event.kind in known)
    picked = tuple(event for event in read if _is_followed(event, tickets))
    return ProcessLog(process, picked)


def _root_tickets(events: Iterable[Event]) -> frozenset[str]:
    """Return tickets that name their whole request, unlike those of child calls."""
    return frozenset(
        event.fields["ticket"]
        for event in events
        if event.kind == RunEventKind.TICKET_ATTEMPT
        and event.fields.get("request", event.fields["ticket"])
        == event.fields["ticket"]
    )


def _read(process: str, event: Event) -> RunEvent:
    fields = event.fields
    kind = RunEventKind(event.kind)
    ticket = fields.get("ticket", "")
    if kind is RunEventKind.ATTEMPT_REFUSED:
        ticket = fields["request"]
    return RunEvent(
        kind=kind,
        stamp=event.stamp,
        process=process,
        ticket=ticket,
        run=ticket,
        outcome=RunOutcome(fields.get("outcome", "")),
        key=fields.get("key", ""),
        version=int(fields.get("version", "0")),
    )


def _is_followed(event: RunEvent, root_tickets: frozenset[str]) -> bool:
    """Leave out attempts that cannot be told from others of the same request."""
    by_owner = (RunEventKind.TICKET_ATTEMPT, RunEventKind.ATTEMPT_REFUSED)
    return event.kind not in by_owner or event.ticket in root_tickets


def log_of_journal(
    process: str, journal: JournalPage, epoch_offset_s: float
) -> ProcessLog:
    """Read an upstream's journal as the starts and ends at its gate.

    The upstream is the witness: what it received, its gate had started.

    :param process: the node beside the upstream, as :func:`log_of_node` names it.
    :param epoch_offset_s: wall clock less monotonic clock.
    """
    began = {
        entry.attempt for entry in journal.entries if entry.kind is EntryKind.STARTED
    }
    kinds = {
        EntryKind.RECEIVED: RunEventKind.GATE_STARTED,
        EntryKind.FINISHED: RunEventKind.GATE_FINISHED,
        EntryKind.ABANDONED: RunEventKind.GATE_FINISHED,
    }
    events = []
    for entry in journal.entries:
        if entry.kind not in kinds or not entry.attempt:
            continue
        kind = kinds[entry.kind]
        if entry.kind is EntryKind.ABANDONED and entry.attempt not in began:
            kind = RunEventKind.GATE_WITHDRAWN
        stamp = Stamp(int((entry.time_s + epoch_offset_s) * 1_000_000), 0)
        events.append(
            RunEvent(kind, stamp, process, ticket=entry.ticket, run=entry.attempt)
        )
    return ProcessLog(process, tuple(events))


def merge_logs(logs: Iterable[ProcessLog]) -> Iterator[RunEvent]:
    """Yield the events of all processes in the order of their stamps."""
    events = [event for log in logs for event in log.events]
    # The sort is stable: events of one process with equal stamps keep their order.
    yield from sorted(events, key=lambda event: event.stamp)
