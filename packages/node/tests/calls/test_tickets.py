"""A ticket runs at most once, whoever presents it and however often."""

import threading
import time

import pytest

from knapweedspring_core import Outcome, Reason, Refusal
from knapweedspring_node._calls._mac_codec import MacCodec
from knapweedspring_node._calls._reply import Refused, Relayed, refuse
from knapweedspring_node._calls._request import CallSignature
from knapweedspring_node._calls._tickets import ClaimState, TicketBook

KEY = bytes(range(32))
CALL = CallSignature("POST", "/orders/new", b"digest", 5)


def _book(node_id="node-1", epoch=7, lifetime_s=60.0, key=KEY):
    return TicketBook(node_id, epoch, MacCodec(key, "ticket"), lifetime_s)


def _ticket(book, service="orders"):
    return book.read(book.issue(service).text, service).unwrap()


def _answer(body=b"done"):
    return Relayed(200, "OK", (), body)


def _soon(seconds=5.0):
    return time.monotonic() + seconds


def test_first_claim_runs_and_the_repeat_gets_the_held_answer():
    book = _book()
    ticket = _ticket(book)
    assert book.claim(ticket, CALL, 2, _soon()).unwrap().state is ClaimState.RUN
    book.settle(ticket, _answer(b"order 17"))
    claim = book.claim(ticket, CALL, 2, _soon()).unwrap()
    assert claim.state is ClaimState.OVER
    assert claim.reply.body == b"order 17"


def test_unknown_outcome_is_final():
    book = _book()
    ticket = _ticket(book)
    book.claim(ticket, CALL, 2, _soon())
    book.settle(ticket, refuse(Outcome.UNKNOWN, Reason.PEER_BROKE_OFF))
    claim = book.claim(ticket, CALL, 2, _soon()).unwrap()
    assert claim.state is ClaimState.OVER
    assert claim.reply.outcome is Outcome.UNKNOWN


def test_not_run_may_run_again_until_the_budget_is_spent():
    book = _book()
    ticket = _ticket(book)
    not_run = refuse(Outcome.NOT_RUN, Reason.OVERLOADED)
    states = []
    for _ in range(3):
        claimed = book.claim(ticket, CALL, 2, _soon())
        states.append(claimed.unwrap().state)
        book.settle(ticket, not_run)
    assert states == [ClaimState.RUN] * 3
    refusal = book.claim(ticket, CALL, 2, _soon()).unwrap_err()
    assert refusal.reason is Reason.BUDGET_SPENT
    assert refusal.outcome is Outcome.NOT_RUN


def test_streamed_answer_is_reported_as_ran():
    book = _book()
    ticket = _ticket(book)
    book.claim(ticket, CALL, 0, _soon())
    book.settle(ticket, Relayed(200, "OK", (), None, iter([b"x"])))
    reply = book.claim(ticket, CALL, 0, _soon()).unwrap().reply
    assert reply == Refused(Refusal(Outcome.RAN, Reason.TICKET_SPENT))


def test_many_claims_at_once_start_one_run():
    book = _book()
    ticket = _ticket(book)
    claims = []
    barrier = threading.Barrier(8)

    def present():
        barrier.wait()
        claim = book.claim(ticket, CALL, 2, _soon(20)).unwrap()
        claims.append(claim)
        if claim.state is ClaimState.RUN:
            book.settle(ticket, _answer())

    threads = [threading.Thread(target=present) for _ in range(8)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(30)
    states = [claim.state for claim in claims]
    assert len(states) == 8
    assert states.count(ClaimState.RUN) == 1


def test_waiting_claim_gives_up_as_unknown_at_its_deadline():
    book = _book()
    ticket = _ticket(book)
    book.claim(ticket, CALL, 2, _soon())
    refusal = book.claim(ticket, CALL, 2, time.monotonic() + 0.01).unwrap_err()
    assert refusal.outcome is Outcome.UNKNOWN


def test_expired_ticket_is_unknown():
    book = _book(lifetime_s=0.0)
    refusal = book.claim(_ticket(book), CALL, 2, _soon()).unwrap_err()
    assert (refusal.outcome, refusal.reason) == (
        Outcome.UNKNOWN,
        Reason.TICKET_EXPIRED,
    )


def test_forged_foreign_and_misdirected_tickets_are_refused():
    book = _book()
    text = book.issue("orders").text
    foreign = _book(key=bytes(32)).issue("orders").text
    forged = ("A" if text[0] != "A" else "B") + text[1:]
    for bad, service in ((forged, "orders"), (foreign, "orders"), (text, "recipes")):
        refusal = book.read(bad, service).unwrap_err()
        assert refusal.reason is Reason.TICKET_INVALID
        assert refusal.outcome is Outcome.NOT_RUN


def test_only_the_issuing_process_owns_a_ticket():
    ticket = _ticket(_book())
    assert _book().owns(ticket)
    assert not _book(epoch=8).owns(ticket)
    assert not _book(node_id="node-2").owns(ticket)


def test_stop_waits_for_tickets_that_are_unused_or_running():
    book = _book()
    first, second = _ticket(book), _ticket(book)
    assert book.n_unfinished == 2
    book.claim(first, CALL, 1, _soon())
    assert book.n_unfinished == 2
    book.settle(first, _answer())
    assert book.n_unfinished == 1
    book.claim(second, CALL, 1, _soon())
    book.settle(second, _answer())
    assert book.n_unfinished == 0


def test_stop_does_not_wait_for_expired_tickets():
    book = _book(lifetime_s=0.0)
    book.issue("orders")
    assert book.n_unfinished == 0


@pytest.mark.parametrize(
    "other",
    [
        CallSignature("PUT", "/orders/new", b"digest", 5),
        CallSignature("POST", "/orders/old", b"digest", 5),
        CallSignature("POST", "/orders/new", b"other", 5),
        CallSignature("POST", "/orders/new", b"digest", 6),
    ],
)
def test_ticket_answers_no_other_request_than_the_first(other):
    book = _book()
    ticket = _ticket(book)
    book.claim(ticket, CALL, 2, _soon())
    book.settle(ticket, _answer())
    refusal = book.claim(ticket, other, 2, _soon()).unwrap_err()
    assert refusal.reason is Reason.TICKET_INVALID
    assert refusal.outcome is Outcome.NOT_RUN
