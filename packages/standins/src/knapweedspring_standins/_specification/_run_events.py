"""Events of a recorded run, as input to the monitors of the specifications."""

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
    """Kinds of events that the monitors use, as named in a node's event log."""

    TICKET_ISSUED = "ticket:issued"
    #: The owner is about to send an attempt of a ticket.
    TICKET_ATTEMPT = "ticket:attempt"
    #: The owner has received the outcome of a refused attempt.
    ATTEMPT_REFUSED = "call:attempt-refused"
    #: The owner has the final outcome of the ticket.
    TICKET_OUTCOME = "ticket:outcome"
    GATE_REVOKED = "gate:revoked"
    #: A gate forwarded a request to its upstream.
    GATE_STARTED = "gate:started"
    #: The started request did not run: the upstream received no byte of the request or
    #: gave the request up before running it.
    GATE_WITHDRAWN = "gate:withdrawn"
    GATE_FINISHED = "gate:finished"
    GATE_CLOSED = "gate:closed"
    GATE_REOPENED = "gate:reopened"
    #: A planned stop is complete.
    NODE_DRAINED = "node:drained"
    STOP_DEADLINE_HIT = "node:stop-deadline-hit"
    DECLARATION_IN_FORCE = "declaration:in-force"


class RunOutcome(StrEnum):
    """Outcome of an attempt."""

    #: The attempt has no outcome yet, or the event is of a kind without outcome.
    NONE = ""
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    RAN = "ran"


@dataclass(frozen=True, slots=True)
class RunEvent:
    """One event, with the fields that the monitors read."""

    #: Kind of the event.
    kind: RunEventKind
    #: Time of the event.
    stamp: Stamp
    #: Process that recorded the event; a process that replaces it has another name.
    process: str
    #: Ticket of the request; empty for a request without a ticket.
    ticket: str = ""
    #: Id that matches the start and the end of a run at its gate.
    run: str = ""
    #: Outcome of the attempt; ``NONE`` for events without an outcome.
    outcome: RunOutcome = RunOutcome.NONE
    #: Key of the declaration; empty for events of other kinds.
    key: str = ""
    #: Version of the declaration; 0 for events of other kinds.
    version: int = 0


@dataclass(frozen=True, slots=True)
class ProcessLog:
    """Events of one process, oldest first."""

    #: Name of the process, unique in the run.
    process: str
    #: Events of the kinds that the monitors use.
    events: tuple[RunEvent, ...]


def log_of_node(process: str, events: Sequence[Event]) -> ProcessLog:
    """Return the events of a node's event buffer that the monitors use.

    :param process: name of the node's process, unique in the run.
    :param events: events of the buffer, oldest first.
    :return: the process's events in the form that the monitors read.
    """
    known = {kind.value for kind in RunEventKind}
    tickets = _root_tickets(events)
    converted = (_convert(process, event) for event in events if event.kind in known)
    selected = tuple(event for event in converted if _is_attributable(event, tickets))
    return ProcessLog(process, selected)


def _root_tickets(events: Iterable[Event]) -> frozenset[str]:
    """Return the tickets that are also the id of their request.

    The ticket of a child call differs from the request id.
    """
    return frozenset(
        event.fields["ticket"]
        for event in events
        if event.kind == RunEventKind.TICKET_ATTEMPT
        and event.fields.get("request", event.fields["ticket"])
        == event.fields["ticket"]
    )


def _convert(process: str, event: Event) -> RunEvent:
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


def _is_attributable(event: RunEvent, root_tickets: frozenset[str]) -> bool:
    """Return whether an event can be attributed to a single ticket.

    Refused attempts are matched by request id, which does not distinguish a child
    call from the other calls of the same request.
    """
    attempt_kinds = (RunEventKind.TICKET_ATTEMPT, RunEventKind.ATTEMPT_REFUSED)
    return event.kind not in attempt_kinds or event.ticket in root_tickets


def log_of_journal(
    process: str, journal: JournalPage, epoch_offset_s: float
) -> ProcessLog:
    """Convert an upstream's journal to the starts and ends at its gate.

    Each request that the upstream received counts as started by the gate.

    :param process: name of the node beside the upstream, as in :func:`log_of_node`.
    :param journal: journal of the upstream.
    :param epoch_offset_s: wall clock minus monotonic clock, in seconds.
    :return: the process's events in the form that the monitors read.
    """
    started = {
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
        if entry.kind is EntryKind.ABANDONED and entry.attempt not in started:
            kind = RunEventKind.GATE_WITHDRAWN
        stamp = Stamp(int((entry.time_s + epoch_offset_s) * 1_000_000), 0)
        events.append(
            RunEvent(kind, stamp, process, ticket=entry.ticket, run=entry.attempt)
        )
    return ProcessLog(process, tuple(events))


def merge_logs(logs: Iterable[ProcessLog]) -> Iterator[RunEvent]:
    """Yield the events of all processes in the order of their stamps."""
    events = [event for log in logs for event in log.events]
    # The sort is stable: events of one process with equal stamps stay in order.
    yield from sorted(events, key=lambda event: event.stamp)
