"""``timeline``: merges the events of all nodes by their hybrid clock."""

import sys
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import UTC, datetime
from enum import StrEnum
from pathlib import Path

import msgspec
from result import Err, Ok, Result

from knapweedspring_core import Event, EventsPage
from knapweedspring_ctl._errors import CtlError
from knapweedspring_ctl._exits import ExitCode
from knapweedspring_ctl._nodes import find_nodes, read_all_events
from knapweedspring_ctl._output import Output
from knapweedspring_ctl._platform_access import open_platform
from knapweedspring_ctl._settings import CtlSettings
from knapweedspring_ctl._timeline_page import render_page

__all__ = [
    "Timeline",
    "TimelineFormat",
    "TimelineOptions",
    "format_event",
    "merge_events",
    "show_timeline",
]


#: Events on one page unless told otherwise; browsers draw more only slowly.
MAX_PAGE_EVENTS = 5_000


class TimelineFormat(StrEnum):
    """Form of the time line."""

    TEXT = "text"
    #: One JSON object a line.
    JSON_LINES = "jsonl"
    #: One self-contained page with a picture.
    HTML = "html"


@dataclass(frozen=True, slots=True)
class TimelineOptions:
    """What ``timeline`` was asked to show."""

    #: Form of the result.
    form: TimelineFormat
    #: Only events whose kind begins with this text.
    kind_prefix: str = ""
    #: Saved event pages to read instead of asking nodes.
    files: tuple[str, ...] = ()
    #: Newest events to show; None for the default of the form.
    n_newest: int | None = None


@dataclass(frozen=True, slots=True)
class Timeline:
    """Events of several processes in one order."""

    #: Events, oldest first.
    events: tuple[Event, ...]


def merge_events(rings: Iterable[tuple[Event, ...]]) -> tuple[Event, ...]:
    """Put events of several processes into the order of their stamps.

    Stamps respect causality: what a message caused comes after its sending.
    """
    events = {
        (event.stamp, event.process, event.kind): event
        for ring in rings
        for event in ring
    }
    return tuple(events[key] for key in sorted(events))


def format_event(event: Event) -> str:
    """Write an event as one line."""
    moment = datetime.fromtimestamp(event.stamp.wall_us / 1_000_000, UTC)
    time_text = moment.strftime("%Y-%m-%dT%H:%M:%S.%fZ")
    fields = " ".join(f"{name}={value}" for name, value in event.fields.items())
    return f"{time_text} {event.process} {event.kind} {fields}".rstrip()


def show_timeline(
    settings: CtlSettings, options: TimelineOptions, output: Output
) -> Result[ExitCode, CtlError]:
    """Write the merged events to standard output."""
    if options.files:
        read = _read_files(options.files)
    else:
        read = _read_nodes(settings, output)
    if isinstance(read, Err):
        return read
    events = tuple(
        event
        for event in merge_events(page.events for page in read.ok_value)
        if event.kind.startswith(options.kind_prefix)
    )
    n_newest = options.n_newest
    if n_newest is None and options.form is TimelineFormat.HTML:
        n_newest = MAX_PAGE_EVENTS
    if n_newest is not None and n_newest < len(events):
        output.message(f"showing the newest {n_newest} of {len(events)} events")
        events = events[len(events) - n_newest :]
    sys.stdout.write(_render(events, options.form))
    return Ok(ExitCode.OK)


def _render(events: tuple[Event, ...], form: TimelineFormat) -> str:
    if form is TimelineFormat.HTML:
        return render_page(events)
    if form is TimelineFormat.JSON_LINES:
        lines = [msgspec.json.encode(event).decode() for event in events]
    else:
        lines = [format_event(event) for event in events]
    return "".join(f"{line}\n" for line in lines)


def _read_nodes(
    settings: CtlSettings, output: Output
) -> Result[list[EventsPage], CtlError]:
    opened = open_platform(settings)
    platform = opened.ok_value if isinstance(opened, Ok) else None
    found = find_nodes(settings, platform)
    if isinstance(found, Err):
        return found
    pages: list[EventsPage] = []
    for answer in read_all_events(found.ok_value):
        if isinstance(answer, Err):
            output.message(f"left out: {answer.err_value.message}")
        else:
            pages.append(answer.ok_value)
    return Ok(pages)


def _read_files(files: tuple[str, ...]) -> Result[list[EventsPage], CtlError]:
    pages: list[EventsPage] = []
    for file in files:
        try:
            pages.append(msgspec.json.decode(Path(file).read_bytes(), type=EventsPage))
        except (OSError, msgspec.DecodeError) as error:
            message = f"{file} is not a saved /events page: {error}"
            return Err(CtlError(ExitCode.INVALID, message))
    return Ok(pages)
