"""Guards against a timeline that shows an effect before its cause.

The wall clocks of the processes differ, so their times alone do not give the order of
events.
"""

import json
import xml.dom.minidom

import msgspec
import pytest

from knapweedspring_core import Event, EventLog, EventsPage, HybridClock, Stamp
from knapweedspring_ctl import ExitCode, main


def _event(wall_us, counter, process, kind, **fields):
    return Event(Stamp(wall_us, counter), process, kind, fields)


@pytest.fixture()
def save(tmp_path):
    def write(process, *events):
        path = tmp_path / f"{process}.json"
        path.write_bytes(msgspec.json.encode(EventsPage(process, events)))
        return ["--file", str(path)]

    return write


@pytest.fixture()
def two_files(save):
    first = save(
        "n1",
        _event(1_000_000, 0, "n1", "node:draining"),
        _event(3_000_000, 0, "n1", "node:drained"),
    )
    second = save(
        "n2",
        _event(1_000_000, 1, "n2", "membership:state", node="n1"),
        _event(2_000_000, 0, "n2", "upstream:state", service="<orders>"),
    )
    return first + second


def test_text_and_json_lines_have_the_same_order(two_files, capsys):
    assert main(["timeline", *two_files]) == ExitCode.OK
    lines = capsys.readouterr().out.splitlines()
    assert [line.split()[1:3] for line in lines] == [
        ["n1", "node:draining"],
        ["n2", "membership:state"],
        ["n2", "upstream:state"],
        ["n1", "node:drained"],
    ]
    main(["timeline", *two_files, "--format", "jsonl", "--kind", "node:"])
    events = [json.loads(line) for line in capsys.readouterr().out.splitlines()]
    assert [event["kind"] for event in events] == ["node:draining", "node:drained"]


@pytest.mark.parametrize("value", ["-1", "0", "many"])
def test_newest_must_be_a_positive_number(two_files, capsys, value):
    with pytest.raises(SystemExit) as ended:
        main(["timeline", *two_files, "--newest", value])
    assert ended.value.code != ExitCode.OK
    assert "--newest" in capsys.readouterr().err


def test_the_page_has_a_lane_for_each_process_and_a_mark_for_each_event(
    two_files, capsys
):
    main(["timeline", *two_files, "--format", "html"])
    page = capsys.readouterr().out
    picture = page[page.index("<svg") : page.index("</svg>") + len("</svg>")]
    svg = xml.dom.minidom.parseString(picture)
    marks = svg.getElementsByTagName("circle")
    assert len(marks) == 4
    assert len({mark.getAttribute("cy") for mark in marks}) == 2
    xs = [float(mark.getAttribute("cx")) for mark in marks]
    assert xs == sorted(xs)
    assert "&lt;orders&gt;" in page
    for reference in ("src=", "href=", "http:", "https:"):
        assert reference not in page


def test_an_effect_follows_its_cause_when_its_clock_lags(save, capsys):
    cause = EventLog("n1", HybridClock())
    effect = EventLog("n2", HybridClock())
    cause.clock.observe(Stamp(4_000_000_000_000_000, 0))
    sent = cause.record("hand:sent")
    effect.clock.observe(sent.stamp)
    effect.record("hand:received")
    files = save("n2", *effect.events) + save("n1", *cause.events)
    main(["timeline", *files])
    kinds = [line.split()[2] for line in capsys.readouterr().out.splitlines()]
    assert kinds == ["hand:sent", "hand:received"]


def test_only_the_newest_events_are_shown_and_the_total_is_reported(two_files, capsys):
    main(["timeline", *two_files, "--newest", "1"])
    captured = capsys.readouterr()
    assert [line.split()[2] for line in captured.out.splitlines()] == ["node:drained"]
    assert "newest 1 of 4" in captured.err


def test_the_page_reports_that_there_are_no_events(save, capsys):
    main(["timeline", *save("n1"), "--format", "html"])
    assert "No events." in capsys.readouterr().out


def test_a_file_that_is_not_an_events_page_is_reported(tmp_path, capsys):
    path = tmp_path / "x.json"
    path.write_text("[]")
    assert main(["timeline", "--file", str(path)]) == ExitCode.INVALID
