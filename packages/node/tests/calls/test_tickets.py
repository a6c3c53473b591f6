"""A ticket runs at most once, also when calls use it repeatedly or concurrently.

A second run of a request that is not repeatable duplicates its effects at the
upstream.
"""

import threading
import time

import pytest

from knapweedspring_core import Outcome, Reason, Refusal
from knapweedspring_node._calls._mac_codec import MacCodec
from knapweedspring_node._calls._reply import RefusedReply, RelayedReply, refuse
from knapweedspring_node._calls._request import CallFingerprint
from knapweedspring_node._calls._tickets import ClaimState, TicketTable

KEY = bytes(range(32))
CALL = CallFingerprint("POST", "/orders/new", b"digest", 5)


def _table(node_id="node-1", epoch=7, lifetime_s=60.0, key=KEY):
    return TicketTable(node_id, epoch, MacCodec(key, "ticket"), lifetime_s)


def _ticket(table, service="orders"):
    return table.verify(table.issue(service).text, service).unwrap()


def _answer(body=b"done"):
    return RelayedReply(200, "OK", (), body)


def _deadline_in(seconds=5.0):
    return time.monotonic() + seconds


def test_first_claim_runs_and_the_repeat_gets_the_stored_answer():
    table = _table()
    ticket = _ticket(table)
    assert table.claim(ticket, CALL, 2, _deadline_in()).unwrap().state is ClaimState.RUN
    table.record_outcome(ticket, _answer(b"order 17"))
    claim = table.claim(ticket, CALL, 2, _deadline_in()).unwrap()
    assert claim.state is ClaimState.FINISHED
    assert claim.reply.body == b"order 17"


def test_unknown_outcome_is_final():
    table = _table()
    ticket = _ticket(table)
    table.claim(ticket, CALL, 2, _deadline_in())
    table.record_outcome(ticket, refuse(Outcome.UNKNOWN, Reason.PEER_BROKE_OFF))
    claim = table.claim(ticket, CALL, 2, _deadline_in()).unwrap()
    assert claim.state is ClaimState.FINISHED
    assert claim.reply.outcome is Outcome.UNKNOWN


def test_not_run_may_run_again_until_the_budget_is_spent():
    table = _table()
    ticket = _ticket(table)
    not_run = refuse(Outcome.NOT_RUN, Reason.OVERLOADED)
    states = []
    for _ in range(3):
        claimed = table.claim(ticket, CALL, 2, _deadline_in())
        states.append(claimed.unwrap().state)
        table.record_outcome(ticket, not_run)
    assert states == [ClaimState.RUN] * 3
    refusal = table.claim(ticket, CALL, 2, _deadline_in()).unwrap_err()
    assert refusal.reason is Reason.BUDGET_SPENT
    assert refusal.outcome is Outcome.NOT_RUN


def test_streamed_answer_is_reported_as_ran():
    table = _table()
    ticket = _ticket(table)
    table.claim(ticket, CALL, 0, _deadline_in())
    table.record_outcome(ticket, RelayedReply(200, "OK", (), None, iter([b"x"])))
    reply = table.claim(ticket, CALL, 0, _deadline_in()).unwrap().reply
    assert reply == RefusedReply(Refusal(Outcome.RAN, Reason.TICKET_SPENT))


def test_concurrent_claims_start_one_run():
    table = _table()
    ticket = _ticket(table)
    claims = []
    barrier = threading.Barrier(8)

    def present():
        barrier.wait()
        claim = table.claim(ticket, CALL, 2, _deadline_in(20)).unwrap()
        claims.append(claim)
        if claim.state is ClaimState.RUN:
            table.record_outcome(ticket, _answer())

    threads = [threading.Thread(target=present) for _ in range(8)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(30)
    states = [claim.state for claim in claims]
    assert len(states) == 8
    assert states.count(ClaimState.RUN) == 1


def test_waiting_claim_is_refused_as_unknown_at_its_deadline():
    table = _table()
    ticket = _ticket(table)
    table.claim(ticket, CALL, 2, _deadline_in())
    refusal = table.claim(ticket, CALL, 2, time.monotonic() + 0.01).unwrap_err()
    assert refusal.outcome is Outcome.UNKNOWN


def test_expired_ticket_is_unknown():
    table = _table(lifetime_s=0.0)
    refusal = table.claim(_ticket(table), CALL, 2, _deadline_in()).unwrap_err()
    assert (refusal.outcome, refusal.reason) == (
        Outcome.UNKNOWN,
        Reason.TICKET_EXPIRED,
    )


def test_forged_and_foreign_tickets_and_those_of_other_services_are_refused():
    table = _table()
    text = table.issue("orders").text
    foreign = _table(key=bytes(32)).issue("orders").text
    forged = ("A" if text[0] != "A" else "B") + text[1:]
    for bad, service in ((forged, "orders"), (foreign, "orders"), (text, "recipes")):
        refusal = table.verify(bad, service).unwrap_err()
        assert refusal.reason is Reason.TICKET_INVALID
        assert refusal.outcome is Outcome.NOT_RUN


def test_only_the_issuing_process_owns_a_ticket():
    ticket = _ticket(_table())
    assert _table().owns(ticket)
    assert not _table(epoch=8).owns(ticket)
    assert not _table(node_id="node-2").owns(ticket)


def test_unused_and_running_tickets_are_unfinished():
    table = _table()
    first, second = _ticket(table), _ticket(table)
    assert table.n_unfinished == 2
    table.claim(first, CALL, 1, _deadline_in())
    assert table.n_unfinished == 2
    table.record_outcome(first, _answer())
    assert table.n_unfinished == 1
    table.claim(second, CALL, 1, _deadline_in())
    table.record_outcome(second, _answer())
    assert table.n_unfinished == 0


def test_expired_tickets_are_not_unfinished():
    table = _table(lifetime_s=0.0)
    table.issue("orders")
    assert table.n_unfinished == 0


@pytest.mark.parametrize(
    "other",
    [
        CallFingerprint("PUT", "/orders/new", b"digest", 5),
        CallFingerprint("POST", "/orders/old", b"digest", 5),
        CallFingerprint("POST", "/orders/new", b"other", 5),
        CallFingerprint("POST", "/orders/new", b"digest", 6),
    ],
)
def test_ticket_answers_no_other_request_than_the_first(other):
    table = _table()
    ticket = _ticket(table)
    table.claim(ticket, CALL, 2, _deadline_in())
    table.record_outcome(ticket, _answer())
    refusal = table.claim(ticket, other, 2, _deadline_in()).unwrap_err()
    assert refusal.reason is Reason.TICKET_INVALID
    assert refusal.outcome is Outcome.NOT_RUN
