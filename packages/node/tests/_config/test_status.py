"""Status objects and contacts of a data centre.

Guards against declarations that are reported as in force although a live node lags,
reporters of a partitioned data centre that overwrite each other's part, and writes
to the platform although nothing has changed.
"""

import pytest

from knapweedspring_core import (
    DataCentreStatus,
    DeclarationStatus,
    Member,
    MemberState,
    ObjectKey,
    RolloutState,
    StaticMembershipView,
    StatusPage,
    parse_contacts,
    parse_status,
)
from knapweedspring_node._config import ContactsWriter, Roles, StatusWriter
from knapweedspring_node._config._report_aggregator import ReportAggregator

KEY = ObjectKey("RequestClass", "a")
STATUS_KEY = ObjectKey("Status", "sandton")


class _Clock:
    def __init__(self):
        self.now_s = 100.0

    def __call__(self):
        return self.now_s


class _ChangingView(StaticMembershipView):
    def __init__(self, members):
        super().__init__(())
        self.current = members

    def members(self):
        return self.current


def _page(node_id, version, in_force, invalid_path=""):
    declaration = DeclarationStatus(
        "RequestClass", "a", version, in_force, invalid_path=invalid_path
    )
    return StatusPage(node_id, 1, "sandton", (declaration,))


def _member(node_id, state=MemberState.ALIVE):
    return Member(node_id, 1, "sandton", "", f"{node_id}:1", f"{node_id}:2", state)


def _rollout_state(part, version):
    return DataCentreStatus("sandton", (part,)).rollout_state(KEY, version)


LIVE = frozenset({"n1", "n2"})


@pytest.mark.parametrize(
    ("pages", "rollout_state"),
    [
        ([_page("n1", 5, 5), _page("n2", 5, 5)], RolloutState.IN_FORCE),
        ([_page("n1", 5, 5), _page("n2", 6, 6)], RolloutState.IN_FORCE),
        ([_page("n1", 5, 5), _page("n2", 4, 4)], RolloutState.LAGGING),
        ([_page("n1", 5, 5)], RolloutState.LAGGING),
        ([_page("n1", 4, 4), _page("n2", 4, 4)], RolloutState.LAGGING),
        ([_page("n1", 5, 4, "$.x"), _page("n2", 5, 4, "$.x")], RolloutState.INVALID),
        ([], RolloutState.LAGGING),
    ],
)
def test_in_force_needs_every_live_node(pages, rollout_state):
    aggregator = ReportAggregator()
    for page in pages:
        aggregator.record_report(page)
    assert _rollout_state(aggregator.summarise("n1", LIVE), 5) is rollout_state


def test_a_report_expires_and_an_older_incarnation_does_not_replace_a_newer():
    clock = _Clock()
    aggregator = ReportAggregator(clock)
    aggregator.record_report(StatusPage("n1", 2, "sandton", draining=True))
    aggregator.record_report(StatusPage("n1", 1, "sandton"))
    part = aggregator.summarise("n1", LIVE)
    assert [node.node_id for node in part.draining] == ["n1"]
    assert part.n_reporting == 1
    # Longer than REPORT_EXPIRY_S.
    clock.now_s += 760
    assert aggregator.summarise("n1", LIVE).n_reporting == 0


def test_only_reports_that_differ_in_more_than_counts_are_changes():
    aggregator = ReportAggregator()
    aggregator.record_report(StatusPage("n1", 1, "sandton"))
    aggregator.record_report(StatusPage("n1", 1, "sandton", n_platform_calls=3))
    assert aggregator.n_changes == 1
    aggregator.record_report(StatusPage("n1", 1, "sandton", draining=True))
    assert aggregator.n_changes == 2


def _writer(client, node_id, clock, members=()):
    roles = Roles(StaticMembershipView(members), node_id, "sandton")
    return StatusWriter(client, roles, clock)


def _stored(client):
    return parse_status(client.get(STATUS_KEY).unwrap()).unwrap()


def _part(node_id, in_force=5):
    aggregator = ReportAggregator()
    aggregator.record_report(_page(node_id, 5, in_force))
    return aggregator.summarise(node_id, frozenset({node_id}))


def test_status_is_written_on_change_and_not_more_often_than_allowed(client):
    clock = _Clock()
    writer = _writer(client, "n1", clock)
    assert writer.write_if_due(_part("n1", 4)).unwrap()
    assert not writer.write_if_due(_part("n1")).unwrap()
    # Lets WRITE_PERIOD_S pass.
    clock.now_s += 2
    assert writer.write_if_due(_part("n1")).unwrap()
    clock.now_s += 2
    assert not writer.write_if_due(_part("n1")).unwrap()
    # Lets HEARTBEAT_S pass, after which an unchanged part is written too.
    clock.now_s += 30
    assert writer.write_if_due(_part("n1")).unwrap()
    assert _stored(client).rollout_state(KEY, 5) is RolloutState.IN_FORCE
    # The writer's one read and three writes, and the read by _stored.
    assert client.n_calls == 5


def test_two_reporters_keep_each_others_part(client):
    clock = _Clock()
    first, second = _writer(client, "n1", clock), _writer(client, "n2", clock)
    for _ in range(3):
        first.write_if_due(_part("n1")).unwrap()
        second.write_if_due(_part("n2", 4)).unwrap()
        # Longer than HEARTBEAT_S, so that the next write is due.
        clock.now_s += 31
    assert [part.reporter for part in _stored(client).parts] == ["n1", "n2"]
    assert _stored(client).rollout_state(KEY, 5) is RolloutState.LAGGING
    for _ in range(3):
        first.write_if_due(_part("n1")).unwrap()
        # The third write comes 100 s after the first one. This is longer than
        # OTHER_PART_EXPIRY_S, so that write removes the part of n2.
        clock.now_s += 50
    assert [part.reporter for part in _stored(client).parts] == ["n1"]
    assert _stored(client).rollout_state(KEY, 5) is RolloutState.IN_FORCE


def test_the_part_of_a_dead_reporter_is_dropped_at_once(client):
    clock = _Clock()
    _writer(client, "n1", clock).write_if_due(_part("n1")).unwrap()
    members = (_member("n1", MemberState.DEAD), _member("n2"))
    _writer(client, "n2", clock, members).write_if_due(_part("n2")).unwrap()
    assert [part.reporter for part in _stored(client).parts] == ["n2"]


def test_a_lost_answer_is_followed_by_a_read_and_one_more_write(client, fault):
    clock = _Clock()
    writer = _writer(client, "n1", clock)
    fault(lose_answers_after_effect=1)
    assert writer.write_if_due(_part("n1")).is_err()
    assert writer.write_if_due(_part("n1")).unwrap()
    assert [part.reporter for part in _stored(client).parts] == ["n1"]


def test_contacts_are_written_only_when_they_change(client):
    clock = _Clock()
    members = [_member("n1"), _member("n2"), _member("n3")]
    view = _ChangingView(tuple(members))
    roles = Roles(view, "n1", "sandton")
    writer = ContactsWriter(client, roles, view.members, clock)
    assert writer.write_if_due().unwrap()
    stored = client.get(ObjectKey("Contacts", "sandton")).unwrap()
    first = parse_contacts(stored).contacts
    assert len(first) == 2
    clock.now_s += 60
    assert not writer.write_if_due().unwrap()
    dead_id = first[0].node_id
    view.current = tuple(
        _member(
            member.node_id,
            MemberState.DEAD if member.node_id == dead_id else member.state,
        )
        for member in members
    )
    assert writer.write_if_due().unwrap()
    stored = client.get(ObjectKey("Contacts", "sandton")).unwrap()
    assert dead_id not in {
        contact.node_id for contact in parse_contacts(stored).contacts
    }
