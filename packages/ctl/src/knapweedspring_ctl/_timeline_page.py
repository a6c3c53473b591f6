"""Renders the timeline as one self-contained HTML page: a chart and a table.

The chart has one lane for each process, time from left to right, and a mark for
each event; hovering over a mark shows the event.
"""

from dataclasses import dataclass
from datetime import UTC, datetime
from html import escape

from knapweedspring_core import Event

__all__ = ["render_page"]

WIDTH_PX = 1_400
LABEL_WIDTH_PX = 160
LANE_HEIGHT_PX = 30
AXIS_HEIGHT_PX = 40
MARGIN_PX = 20
MARK_RADIUS_PX = 5
N_AXIS_STEPS = 8

#: Colours of the kind groups. A group is the part of a kind before the colon, such as
#: ``node`` of ``node:draining``. Groups get the colours in the order in which they
#: first appear; after the last colour, the first is used again.
PALETTE = (
    "#1f77b4",
    "#d62728",
    "#2ca02c",
    "#9467bd",
    "#ff7f0e",
    "#17becf",
    "#8c564b",
    "#e377c2",
    "#bcbd22",
    "#7f7f7f",
)

_STYLE = """
body { font: 14px sans-serif; margin: 1.5em; }
svg text { font: 12px sans-serif; }
table { border-collapse: collapse; margin-top: 1em; }
td, th { padding: 2px 8px; border-bottom: 1px solid #ddd; text-align: left; }
td:first-child { font-family: monospace; white-space: nowrap; }
circle:hover { stroke: #000; stroke-width: 2; }
"""


@dataclass(frozen=True, slots=True)
class _Scale:
    """Maps wall clock times of stamps to the horizontal axis."""

    first_us: int
    last_us: int

    def x(self, wall_us: int) -> float:
        """Return the position of a time on the axis, in pixels."""
        span_us = max(1, self.last_us - self.first_us)
        share = (wall_us - self.first_us) / span_us
        return LABEL_WIDTH_PX + share * (WIDTH_PX - LABEL_WIDTH_PX - MARGIN_PX)


def render_page(events: tuple[Event, ...]) -> str:
    """Render the HTML page with the chart and the table of events.

    :param events: events to show, oldest first.
    :return: HTML without references to other resources.
    """
    body = _chart(events) + _table(events) if events else "<p>No events.</p>"
    return (
        '<!DOCTYPE html>\n<html lang="en"><head><meta charset="utf-8">'
        f"<title>Timeline</title><style>{_STYLE}</style></head>\n"
        f"<body><h1>Timeline</h1>\n{body}</body></html>\n"
    )


def _chart(events: tuple[Event, ...]) -> str:
    lanes = sorted({event.process for event in events})
    scale = _Scale(events[0].stamp.wall_us, events[-1].stamp.wall_us)
    colours = _colours(events)
    height = AXIS_HEIGHT_PX + LANE_HEIGHT_PX * len(lanes)
    parts = [
        f'<svg viewBox="0 0 {WIDTH_PX} {height}" width="100%" role="img" '
        'aria-label="One lane for each process">\n<g>'
    ]
    parts += [_lane(index, name) for index, name in enumerate(lanes)]
    parts.append("</g>\n<g>")
    parts += _axis(scale, height)
    parts.append("</g>\n<g>")
    y_by_lane = {name: _lane_middle(index) for index, name in enumerate(lanes)}
    parts += [
        _mark(event, scale.x(event.stamp.wall_us), y_by_lane[event.process], colours)
        for event in events
    ]
    parts.append("</g>\n</svg>\n")
    return "\n".join(parts) + _legend(colours)


def _lane(index: int, name: str) -> str:
    y = AXIS_HEIGHT_PX + index * LANE_HEIGHT_PX
    fill = "#f4f4f4" if index % 2 else "#ffffff"
    return (
        f'<rect x="0" y="{y}" width="{WIDTH_PX}" height="{LANE_HEIGHT_PX}" '
        f'fill="{fill}"/><text x="4" y="{_lane_middle(index) + 4}">'
        f"{escape(name)}</text>"
    )


def _lane_middle(index: int) -> int:
    return AXIS_HEIGHT_PX + index * LANE_HEIGHT_PX + LANE_HEIGHT_PX // 2


def _axis(scale: _Scale, height: int) -> list[str]:
    span_us = scale.last_us - scale.first_us
    steps = []
    for step in range(N_AXIS_STEPS + 1):
        wall_us = scale.first_us + span_us * step // N_AXIS_STEPS
        x = scale.x(wall_us)
        steps.append(
            f'<line x1="{x:.1f}" y1="{AXIS_HEIGHT_PX - 8}" x2="{x:.1f}" y2="{height}" '
            f'stroke="#ddd"/><text x="{x:.1f}" y="{AXIS_HEIGHT_PX - 14}" '
            f'text-anchor="middle">+{(wall_us - scale.first_us) / 1_000_000:.3f} s'
            "</text>"
        )
    return steps


def _mark(event: Event, x: float, y: int, colours: dict[str, str]) -> str:
    colour = colours[_kind_group(event)]
    label = escape(
        f"{_format_time(event)} {event.process} {event.kind} {_format_fields(event)}"
    )
    return (
        f'<circle cx="{x:.1f}" cy="{y}" r="{MARK_RADIUS_PX}" fill="{colour}" '
        f'fill-opacity="0.75"><title>{label}</title></circle>'
    )


def _legend(colours: dict[str, str]) -> str:
    entries = " ".join(
        f'<span style="color:{colour}">&#9679;</span> {escape(group)}'
        for group, colour in colours.items()
    )
    return f"<p>{entries}</p>\n"


def _table(events: tuple[Event, ...]) -> str:
    rows = "\n".join(
        f"<tr><td>{_format_time(event)}</td><td>{escape(event.process)}</td>"
        f"<td>{escape(event.kind)}</td><td>{escape(_format_fields(event))}</td></tr>"
        for event in events
    )
    header = "<tr><th>Time</th><th>Process</th><th>Event</th><th>Details</th></tr>"
    return f"<table>{header}\n{rows}\n</table>\n"


def _colours(events: tuple[Event, ...]) -> dict[str, str]:
    groups = dict.fromkeys(_kind_group(event) for event in events)
    return {group: PALETTE[index % len(PALETTE)] for index, group in enumerate(groups)}


def _kind_group(event: Event) -> str:
    return event.kind.partition(":")[0]


def _format_time(event: Event) -> str:
    moment = datetime.fromtimestamp(event.stamp.wall_us / 1_000_000, UTC)
    return moment.strftime("%H:%M:%S.%f")


def _format_fields(event: Event) -> str:
    return " ".join(f"{name}={value}" for name, value in event.fields.items())
