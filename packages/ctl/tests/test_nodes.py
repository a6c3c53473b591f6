"""Guards against commands that miss nodes or events of a request.

The commands read the membership view of one node and merge the pages of all nodes in
this view. Events of gates carry the ticket of a call instead of its request id.
"""

import json

import pytest

from knapweedspring_core import Counters, EventLog, Member, MetricsPage, StatusPage
from knapweedspring_ctl import ExitCode, main
from knapweedspring_node._admin import AdminBackend, AdminPages


class _Backend(AdminBackend):
    def __init__(self, node_id):
        self.node_id = node_id
        self.log = EventLog(node_id)
        self.view = ()

    def status(self):
        return StatusPage(self.node_id, 1, "sandton")

    def members(self):
        return self.view

    def events(self):
        return self.log.events

    def announce(self, upstream):
        raise NotImplementedError

    def receive_report(self, page):
        raise NotImplementedError


@pytest.fixture(scope="module")
def mesh():
    backends = [_Backend("n1"), _Backend("n2")]
    pages = [AdminPages(one, MetricsPage(Counters())) for one in backends]
    addresses = [page.bind("127.0.0.1:0").unwrap() for page in pages]
    view = tuple(
        Member(one.node_id, 1, "sandton", "", "", address)
        for one, address in zip(backends, addresses, strict=True)
    )
    for one, page in zip(backends, pages, strict=True):
        one.view = view
        page.start()
    backends[0].log.trace("call:attempt", request="r1", ticket="t1")
    backends[1].log.trace("gate:started", ticket="t1")
    backends[1].log.trace("gate:started", ticket="t2")
    backends[0].log.trace("call:settled", request="r1")
    yield addresses
    for page in pages:
        page.stop()
        page.join(20)


def test_explain_merges_the_events_of_a_request_and_of_its_ticket(mesh, capsys):
    assert main(["explain", "r1", "--node", mesh[1]]) == ExitCode.OK
    lines = capsys.readouterr().out.splitlines()
    assert [line.split()[1:3] for line in lines] == [
        ["n1", "call:attempt"],
        ["n2", "gate:started"],
        ["n1", "call:settled"],
    ]


def test_explain_reports_an_unknown_request(mesh, capsys):
    assert main(["explain", "r9", "--node", mesh[0]]) == ExitCode.NOT_FOUND
    assert "r9" in capsys.readouterr().err


def test_timeline_reads_every_node(mesh, capsys):
    main(["timeline", "--node", mesh[0], "--output", "json"])
    lines = capsys.readouterr().out.splitlines()
    assert {json.loads(line)["process"] for line in lines} == {"n1", "n2"}


def test_status_shows_one_node(mesh, capsys):
    assert main(["status", "--node", mesh[0]]) == ExitCode.OK
    assert "node n1 of sandton" in capsys.readouterr().out


@pytest.mark.parametrize("command", [["timeline"], ["explain", "r1"], ["status"]])
def test_without_an_address_the_command_asks_for_one(command, capsys):
    assert main(command) == ExitCode.USAGE
    assert "name" in capsys.readouterr().err
