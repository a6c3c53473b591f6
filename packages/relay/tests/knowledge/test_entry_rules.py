"""Guards against an entry that is accepted and then fails a later step of a node.

Numbers over 64 bits could not be sent to the nodes that follow, and ports out of range
failed the task that connected to them.
"""

from dataclasses import replace

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from knapweedspring_core import Counters
from knapweedspring_relay._crash_records import CrashRecords
from knapweedspring_relay._knowledge._declared_state import DeclaredState
from knapweedspring_relay._knowledge._directory import (
    Directory,
    DirectorySnapshot,
    GateEntry,
    UpstreamState,
)
from knapweedspring_relay._knowledge._entry_rules import (
    MAX_BORN_MS,
    MAX_SLOTS,
    MAX_TEXT_LENGTH,
    problem_of_entry,
)
from knapweedspring_relay._knowledge._peer_pages import decode_peer_snapshot
from knapweedspring_relay._knowledge._peer_snapshot import (
    PeerSnapshot,
    apply_peer_snapshot,
    make_peer_snapshot,
)
from knapweedspring_relay._knowledge._position import ORIGIN, StorePosition
from knapweedspring_relay._knowledge._skipped_entries import SkippedEntryReporter
from knapweedspring_relay._knowledge._source_selector import rank_watchers

ENTRY = GateEntry(
    "a", "10.0.0.1:1", "10.0.0.1:2", "dc", "svc", "i-1", 100, 20, UpstreamState.READY
)
OTHER = replace(ENTRY, node="b", gate_address="10.0.0.2:1", instance="i-2")
ODD_TEXTS = ["", "a\r\nb", "a\0", "\ud800", "x" * (MAX_TEXT_LENGTH + 1)]
ODD_CHANGES = [
    *(
        {field: text}
        for field in ("node", "data_centre", "instance")
        for text in ODD_TEXTS
    ),
    *({"service": text} for text in ODD_TEXTS if text),
    *(
        {"born_ms": number}
        for number in (-1, MAX_BORN_MS + 1, 2**64, -(2**64), 10**400)
    ),
    *({"slots": number} for number in (-1, 0, MAX_SLOTS + 1, 2**64, 10**400)),
    *(
        {field: address}
        for field in ("gate_address", "knowledge_address")
        for address in ("", "10.0.0.1", "10.0.0.1:65536", "name:80", "10.0.0.1:\ud800")
    ),
]


class Log:
    def __init__(self):
        self.lines = []

    def write_state(self, event, **fields):
        self.lines.append((event, fields))


@pytest.mark.parametrize(
    "changes", ODD_CHANGES, ids=lambda changes: ascii(changes)[:60]
)
def test_entry_that_a_later_step_cannot_use_is_not_accepted(changes):
    assert problem_of_entry(replace(ENTRY, **changes))


@pytest.mark.parametrize(
    "changes",
    [
        {},
        {"service": ""},
        {"node": "a/b é"},
        {"born_ms": 0},
        {"born_ms": MAX_BORN_MS, "slots": MAX_SLOTS},
        {"gate_address": "::1:80"},
    ],
)
def test_sound_entry_is_accepted(changes):
    assert problem_of_entry(replace(ENTRY, **changes)) == ""


texts = st.text(st.characters(codec=None), max_size=300) | st.sampled_from(
    ["10.0.0.1:80", "10.0.0.1:99999", "10.0.0.1:-1", "dc", "svc"]
)
numbers = st.integers() | st.integers(0, MAX_SLOTS)
entries = st.builds(
    GateEntry,
    *[texts | st.just(getattr(ENTRY, f)) for f in ("node", "gate_address")],
    texts | st.just("10.0.0.1:2"),
    *[texts | st.just("x")] * 3,
    numbers,
    numbers,
    st.sampled_from(UpstreamState),
)


@settings(max_examples=500, deadline=None, derandomize=True)
@given(entry=entries)
def test_any_accepted_entry_can_be_passed_on(entry):
    if problem_of_entry(entry):
        return
    directory = Directory()
    directory.apply_listing(
        DirectorySnapshot(StorePosition(0, 5), {entry.node: entry, "b": OTHER}), 0.0
    )
    snapshot = make_peer_snapshot(
        DeclaredState(Log(), Counters()), directory, (), 0, ORIGIN, True, "10.0.0.1:1"
    )
    encoded = msgspec.msgpack.encode(snapshot)
    assert msgspec.msgpack.decode(encoded, type=PeerSnapshot) == snapshot
    assert decode_peer_snapshot(msgspec.json.encode(snapshot)) == snapshot
    rank_watchers(directory.listed_entries(), entry.data_centre)


def snapshot_with(entries, is_listing):
    return PeerSnapshot(
        configuration=None,
        version=0,
        configuration_position=ORIGIN,
        position=StorePosition(0, 5),
        entries=tuple(entries),
        is_listing=is_listing,
    )


@pytest.mark.parametrize("is_listing", [True, False])
@pytest.mark.parametrize(
    "changes", ODD_CHANGES, ids=lambda changes: ascii(changes)[:60]
)
def test_odd_entry_that_a_peer_passes_on_costs_only_itself(changes, is_listing):
    directory, log = Directory(), Log()
    if not is_listing:
        directory.apply_listing(
            DirectorySnapshot(StorePosition(0, 4), {"a": ENTRY}), 0.0
        )
    odd = replace(ENTRY, **changes)
    apply_peer_snapshot(
        snapshot_with([odd, OTHER], is_listing),
        DeclaredState(log, Counters()),
        directory,
        CrashRecords(lambda *_: None),
        SkippedEntryReporter(log, Counters()),
        1.0,
    )
    assert directory.position == StorePosition(0, 5)
    assert directory.listed_entry("b") == OTHER
    assert odd not in directory.listed_entries()
    if not is_listing and odd.node == "a":
        assert directory.listed_entry("a") is None
    assert [event for event, _ in log.lines] == ["directory:entry-skipped"]


@pytest.mark.parametrize(
    "body", [b"[" * 100_000, b'["\\ud83d"]', b"\xff", b"[NaN]", b"{}", b""]
)
def test_unreadable_page_of_a_peer_is_malformed(body):
    assert decode_peer_snapshot(body) is None
