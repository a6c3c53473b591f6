"""Guards against messages that one of two versions cannot read during an upgrade.

Nodes of the version in service (c6fd8e9) and of this one run side by side while VMs are
replaced. The older version knows the fields that are listed here, and no workspaces.
"""

import asyncio

import msgspec
import pytest
from _deployment import ROUTES, Deployment, answer_ok, make_configuration

from knapweedspring_core import Counters
from knapweedspring_relay import CallKind, Workspace, digest_key
from knapweedspring_relay._configuration import Configuration, Route
from knapweedspring_relay._crash_records import CrashRecords
from knapweedspring_relay._frame_reader import FrameReader
from knapweedspring_relay._hop import GateReport, HopCall, HopOutcome
from knapweedspring_relay._hop_frames import (
    AnswerFrame,
    CancelFrame,
    FrameError,
    QuotaLeaseFrame,
    encode_frame,
)
from knapweedspring_relay._knowledge import ORIGIN, DeclaredState, Directory
from knapweedspring_relay._knowledge._peer_snapshot import (
    PeerSnapshot,
    apply_peer_snapshot,
    make_peer_snapshot,
)
from knapweedspring_relay._knowledge._skipped_entries import SkippedEntryReporter

#: Number of leading fields of each array that the version in service knows.
N_FIELDS_IN_SERVICE = {
    HopCall: 13,
    GateReport: 12,
    PeerSnapshot: 10,
    AnswerFrame: 7,
    CancelFrame: 1,
}
#: Fields of objects that the version in service knows.
FIELDS_IN_SERVICE = {
    Configuration: ("version", "routes", "services", "limits"),
    Route: (
        "name",
        "host",
        "path_prefix",
        "kind",
        "destinations",
        "goal_s",
        "timeout_s",
        "max_attempts",
        "priority",
    ),
}

WORKSPACE = Workspace("w1", (digest_key(b"k1"),))
CALL = HopCall(
    "id",
    "svc",
    "i-0",
    1.0,
    2,
    1,
    CallKind.IDEMPOTENT,
    "read",
    "svc",
    3,
    workspace="w1",
    workspace_priority=0,
)


class SilentLog:
    def write_state(self, *_, **__):
        pass


def in_service(struct_type):
    """Return the type of a message as the version in service defines it."""
    fields = msgspec.structs.fields(struct_type)[: N_FIELDS_IN_SERVICE[struct_type]]
    defined = []
    for field in fields:
        if field.default is not msgspec.NODEFAULT:
            defined.append((field.name, field.type, field.default))
        else:
            defined.append((field.name, field.type))
    tag = struct_type.__struct_config__.tag
    return msgspec.defstruct(struct_type.__name__, defined, array_like=True, tag=tag)


def without_new_fields(value):
    """Return a decoded message without the fields of this version."""
    for known in FIELDS_IN_SERVICE.values():
        if isinstance(value, dict) and set(known) <= value.keys():
            return {name: without_new_fields(value[name]) for name in known}
    if isinstance(value, dict):
        return {name: without_new_fields(part) for name, part in value.items()}
    if isinstance(value, list):
        return [without_new_fields(part) for part in value]
    return value


def make_state(configuration=None):
    state = DeclaredState(SilentLog(), Counters())
    if configuration is not None:
        state.apply(configuration, "store")
    return state


def snapshot_of(state):
    return make_peer_snapshot(state, Directory(), (), 0, ORIGIN, True, "a:1")


REPORT = GateReport(HopOutcome.SHED, "r", 1, 2, 3, 0.1, 0.2, 4, "i-0")


@pytest.mark.parametrize(
    "message",
    [
        CALL,
        REPORT,
        AnswerFrame(5, REPORT, 200, b"a: b\r\n", 2, b"ok", True, True),
        CancelFrame(5),
    ],
)
def test_version_in_service_reads_messages_of_this_one(message):
    old_type = in_service(type(message))
    decoded = msgspec.msgpack.decode(msgspec.msgpack.encode(message), type=old_type)
    for field in msgspec.structs.fields(old_type):
        assert getattr(decoded, field.name) == getattr(message, field.name)


def test_this_version_reads_frames_of_the_version_in_service():
    """An older gate does not confirm withdrawals, and an older cancel is none."""
    for frame in (AnswerFrame(5, REPORT), CancelFrame(5)):
        fields = msgspec.msgpack.decode(msgspec.msgpack.encode(frame))
        content = msgspec.msgpack.encode(fields[: 1 + N_FIELDS_IN_SERVICE[type(frame)]])
        data = len(content).to_bytes(4, "big") + content
        assert list(FrameReader().feed(data)) == [frame]


def test_this_version_reads_a_call_of_the_version_in_service():
    known = msgspec.structs.astuple(CALL)[: N_FIELDS_IN_SERVICE[HopCall]]
    decoded = msgspec.msgpack.decode(msgspec.msgpack.encode(known), type=HopCall)
    assert (decoded.workspace, decoded.request_id) == ("", "id")


def test_version_in_service_reads_a_configuration_with_workspaces():
    state = make_state(make_configuration(3, workspaces=(WORKSPACE,)))
    encoded = msgspec.msgpack.encode(snapshot_of(state))
    old_type = in_service(PeerSnapshot)
    decoded = msgspec.msgpack.decode(encoded, type=old_type)
    assert decoded.configuration.version == 3
    assert len(decoded.configuration.routes) == len(ROUTES)


def test_configuration_without_workspaces_of_an_older_node_is_not_put_in_force():
    """It would open all routes; the store has the whole configuration."""
    older = make_state(make_configuration(3, workspaces=(WORKSPACE,)))
    raw = msgspec.msgpack.decode(msgspec.msgpack.encode(snapshot_of(older)))
    fields = without_new_fields(raw)[: N_FIELDS_IN_SERVICE[PeerSnapshot]]
    snapshot = msgspec.msgpack.decode(msgspec.msgpack.encode(fields), type=PeerSnapshot)
    assert snapshot.configuration is not None
    state = make_state()
    crashes = CrashRecords(lambda *_: None)
    skipped = SkippedEntryReporter(None, Counters())
    apply_peer_snapshot(snapshot, state, Directory(), crashes, skipped, 0.0)
    assert state.version == 0
    assert state.newer_exists.is_set()


def test_question_for_units_ends_only_its_own_connection_at_an_older_node():
    """The version in service reads frames with the tags 1 to 12."""
    content = encode_frame(QuotaLeaseFrame("n0"))[4:]
    tag = msgspec.msgpack.decode(content)[0]
    assert tag > 12
    unknown = msgspec.msgpack.encode([99, "n0"])
    with pytest.raises(FrameError):
        list(FrameReader().feed(len(unknown).to_bytes(4, "big") + unknown))


def test_workspaces_are_served_while_no_other_node_answers_questions_for_units():
    """All other nodes are older: a node uses its own share."""

    async def scenario():
        from knapweedspring_relay import Quota

        limited = Workspace("w1", (digest_key(b"k1"),), quota=Quota(40.0, 40.0))
        declared = make_configuration(1, workspaces=(limited,))
        async with Deployment([answer_ok] * 2, declared) as deployment:
            for relay in deployment.relays:
                relay._gate_listener._quota_handler = RefusingHandler()
            await asyncio.sleep(2.0)
            statuses = [
                (await deployment.call(x_key="k1", index=index))[0]
                for index in (0, 1)
                for _ in range(5)
            ]
            assert statuses.count(200) >= 8

    class RefusingHandler:
        def receive(self, sender, frame):
            sender._transport.abort()

        def remove(self, sender):
            pass

    asyncio.run(asyncio.wait_for(scenario(), 20))


# Guards against a confirmation of the store that an older node never sent.
def test_snapshot_of_an_older_node_confirms_nothing():
    snapshot = make_peer_snapshot(
        make_state(), Directory(), (), 0, ORIGIN, True, "a:1", 0.5
    )
    names = [field.name for field in msgspec.structs.fields(PeerSnapshot)]
    n_known = names.index("confirmed_age_s")
    fields = msgspec.msgpack.decode(msgspec.msgpack.encode(snapshot))
    assert fields[n_known] == 0.5
    older = msgspec.msgpack.encode(fields[:n_known])
    decoded = msgspec.msgpack.decode(older, type=PeerSnapshot)
    assert decoded.confirmed_age_s is None
    assert decoded.leaving == ()
    assert decoded.is_watching
    old_type = in_service(PeerSnapshot)
    assert msgspec.msgpack.decode(
        msgspec.msgpack.encode(snapshot), type=old_type
    ).is_watching
