"""``timeline``: merges the events of all nodes in the order of their stamps."""

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
from knapweedspring_ctl._exit_codes import ExitCode
from knapweedspring_ctl._nodes import find_node_clients, read_all_events
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


#: Default number of events on one HTML page; browsers render larger charts slowly.
MAX_PAGE_EVENTS = 5_000


class TimelineFormat(StrEnum):
    """Output format of the timeline."""

    TEXT = "text"
    #: One JSON object per line, for each event.
    JSON_LINES = "jsonl"
    #: One self-contained page with a chart and a table.
    HTML = "html"


@dataclass(frozen=True, slots=True)
class TimelineOptions:
    """Options of ``timeline``."""

    #: Format of the output.
    output_format: TimelineFormat
    #: Prefix of the kinds of the events to show; empty to show all events.
    kind_prefix: str = ""
    #: Paths of saved event pages to read instead of the nodes' pages; empty to read
    #: the pages of the nodes.
    files: tuple[str, ...] = ()
    #: Number of newest events to show. None shows :data:`MAX_PAGE_EVENTS` events in the
    #: HTML format and all events in the other formats.
    n_newest: int | None = None


@dataclass(frozen=True, slots=True)
class Timeline:
    """Events of several processes in the order of their stamps."""

    #: Events, oldest first.
    events: tuple[Event, ...]


def merge_events(event_lists: Iterable[tuple[Event, ...]]) -> tuple[Event, ...]:
    """Merge events of several processes in the order of their stamps.

    Stamps respect causality: an event that a message caused follows the sending of
    that message.

    :param event_lists: lists of events, such as one list for each process.
    :return: the events, oldest first and without duplicates.
    """
    events = {
        (event.stamp, event.process, event.kind): event
        for event_list in event_lists
        for event in event_list
    }
    return tuple(events[key] for key in sorted(events))


def format_event(event: Event) -> str:
    """Format an event as one line of text."""
    moment = datetime.fromtimestamp(event.stamp.wall_us / 1_000_000, UTC)
    time_text = moment.strftime("%Y-%m-%dT%H:%M:%S.%fZ")
    fields = " ".join(f"{name}={value}" for name, value in event.fields.items())
    return f"{time_text} {event.process} {event.kind} {fields}".rstrip()


def show_timeline(
    settings: CtlSettings, options: TimelineOptions, output: Output
) -> Result[ExitCode, CtlError]:
    """Write the merged events of all nodes, or of saved pages, to standard output."""
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
    if n_newest is None and options.output_format is TimelineFormat.HTML:
        n_newest = MAX_PAGE_EVENTS
    if n_newest is not None and n_newest < len(events):
        output.write_message(f"showing the newest {n_newest} of {len(events)} events")
        events = events[len(events) - n_newest :]
    sys.stdout.write(_render(events, options.output_format))
    return Ok(ExitCode.OK)


def _render(events: tuple[Event, ...], output_format: TimelineFormat) -> str:
    if output_format is TimelineFormat.HTML:
        return render_page(events)
    if output_format is TimelineFormat.JSON_LINES:
        lines = [msgspec.json.encode(event).decode() for event in events]
    else:
        lines = [format_event(event) for event in events]
    return "".join(f"{line}\n" for line in lines)


def _read_nodes(
    settings: CtlSettings, output: Output
) -> Result[list[EventsPage], CtlError]:
    opened = open_platform(settings)
    platform = opened.ok_value if isinstance(opened, Ok) else None
    found = find_node_clients(settings, platform)
    if isinstance(found, Err):
        return found
    pages: list[EventsPage] = []
    for answer in read_all_events(found.ok_value):
        if isinstance(answer, Err):
            output.write_message(
                f"events of one node are missing: {answer.err_value.message}"
            )
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
