"""Tickets: the right to run one request at most once, kept by one node.

Only the process that issued a ticket ever starts its run. Any other node passes
the call on to it, so no two nodes can act for one ticket, whatever they believe
of each other.
"""

import itertools
import threading
import time
from collections import OrderedDict
from dataclasses import dataclass, replace
from enum import Enum, auto

from result import Err, Ok, Result

from knapweedspring_core import Outcome, Reason, Refusal
from knapweedspring_node._calls._budget import RetryBudget
from knapweedspring_node._calls._context import RunKey
from knapweedspring_node._calls._mac_codec import MacCodec
from knapweedspring_node._calls._reply import Refused, Relayed, Reply
from knapweedspring_node._calls._request import CallSignature

__all__ = ["Claim", "ClaimState", "IssuedTicket", "Ticket", "TicketBook"]

MAX_RECORDS = 50_000
MAX_HELD_BYTES = 64 * 1_024 * 1_024


@dataclass(frozen=True, slots=True)
class Ticket:
    """Content of a ticket's text."""

    #: The run that it allows, and who owns it.
    key: RunKey
    #: Service that it is for.
    service: str
    #: Expiry on the owner's monotonic clock, in ms.
    expires_at_ms: int


@dataclass(frozen=True, slots=True)
class IssuedTicket:
    """A fresh ticket."""

    #: The run that it allows.
    key: RunKey
    #: Text for the caller.
    text: str


class ClaimState(Enum):
    """What a caller that presents a ticket finds."""

    #: The caller's call is to run now.
    RUN = auto()
    #: The run is over and this is its reply.
    OVER = auto()


@dataclass(frozen=True, slots=True)
class Claim:
    """Result of presenting a ticket at its owner."""

    #: Whether to run or to reply.
    state: ClaimState
    #: Retry tokens of the whole request, shared by all its repeats.
    budget: RetryBudget
    #: The reply when the run is over.
    reply: Reply | None = None


class _Record:
    """A ticket that was presented at least once."""

    def __init__(
        self, signature: CallSignature, budget: RetryBudget, expires_at: float
    ) -> None:
        self.signature = signature
        self.condition = threading.Condition()
        self.budget = budget
        self.expires_at = expires_at
        self.running = True
        self.reply: Reply | None = None


class TicketBook:
    """Issues tickets and keeps those that were used until they expire.

    A ticket's text holds all that is needed to run it; of one that was not yet
    presented only the expiry is kept, for the planned stop.

    :param codec: authenticates the texts.
    :param lifetime_s: how long a ticket may be used.
    """

    def __init__(
        self, node_id: str, epoch: int, codec: MacCodec, lifetime_s: float
    ) -> None:
        self._node_id = node_id
        self._epoch = epoch
        self._codec = codec
        self._lifetime_s = lifetime_s
        self._sequence = itertools.count(1)
        self._lock = threading.Lock()
        self._records: OrderedDict[RunKey, _Record] = OrderedDict()
        self._held_bytes = 0
        self._unused: OrderedDict[RunKey, float] = OrderedDict()

    @property
    def n_records(self) -> int:
        """Tickets in use or remembered."""
        return len(self._records)

    @property
    def n_unfinished(self) -> int:
        """Tickets that are running, or issued and neither presented nor expired.

        Only this process can run them, so a planned stop waits for them.
        """
        now = time.monotonic()
        with self._lock:
            self._forget_expired_unused(now)
            n_running = sum(record.running for record in self._records.values())
            return n_running + len(self._unused)

    def new_key(self) -> RunKey:
        """Return the key of a run that this node alone will ever start."""
        return RunKey(self._node_id, self._epoch, next(self._sequence))

    def issue(self, service: str) -> IssuedTicket:
        """Return a fresh ticket."""
        now = time.monotonic()
        expires_at = now + self._lifetime_s
        key = self.new_key()
        with self._lock:
            self._unused[key] = expires_at
            self._forget_expired_unused(now)
        text = self._codec.encode(Ticket(key, service, int(expires_at * 1_000)))
        return IssuedTicket(key, text)

    def read(self, text: str, service: str) -> Result[Ticket, Refusal]:
        """Check a ticket's text, whoever owns it."""
        opened = self._codec.decode(text, Ticket)
        if isinstance(opened, Err):
            detail = opened.err_value.detail
            return Err(Refusal(Outcome.NOT_RUN, Reason.TICKET_INVALID, 0, detail))
        ticket = opened.ok_value
        if ticket.service != service:
            detail = f"this ticket is for {ticket.service}"
            return Err(Refusal(Outcome.NOT_RUN, Reason.TICKET_INVALID, 0, detail))
        return Ok(ticket)

    def owns(self, ticket: Ticket) -> bool:
        """Whether this very process issued the ticket."""
        return ticket.key.owner == self._node_id and ticket.key.epoch == self._epoch

    def claim(
        self,
        ticket: Ticket,
        signature: CallSignature,
        n_tokens: int,
        deadline_at: float,
    ) -> Result[Claim, Refusal]:
        """Present a ticket; waits while another call runs with it.

        Actions ``ticket:used``, ``ticket:expired``, ``owner:join`` and
        ``owner:answer-held`` of the specification.

        :param ticket: one that :meth:`owns` is true of.
        :param signature: the call; a ticket is bound to the first one, so that no
            other request gets its answer.
        :param n_tokens: retry budget of the whole request, used at first sight.
        :param deadline_at: when this caller gives up waiting, monotonic seconds.
        """
        now = time.monotonic()
        if ticket.expires_at_ms <= now * 1_000:
            # Whether it was used is forgotten once it has expired.
            return Err(Refusal(Outcome.UNKNOWN, Reason.TICKET_EXPIRED))
        with self._lock:
            self._expire(now)
            self._unused.pop(ticket.key, None)
            record = self._records.get(ticket.key)
            if record is None:
                if len(self._records) >= MAX_RECORDS:
                    detail = "too many tickets in use"
                    refusal = Refusal(Outcome.NOT_RUN, Reason.OVERLOADED, 1_000, detail)
                    return Err(refusal)
                expires_at = ticket.expires_at_ms / 1_000
                record = _Record(signature, RetryBudget(n_tokens), expires_at)
                self._records[ticket.key] = record
                return Ok(Claim(ClaimState.RUN, record.budget))
        if record.signature != signature:
            # This call did not run; the one that the ticket is bound to may have.
            detail = "this ticket was used for another request; take a new one"
            return Err(Refusal(Outcome.NOT_RUN, Reason.TICKET_INVALID, 0, detail))
        return _claim_again(record, deadline_at)

    def settle(self, ticket: Ticket, reply: Reply) -> None:
        """Record what became of a run; callers that wait get it too.

        Action ``ticket:outcome`` of the specification.
        """
        record = self._records.get(ticket.key)
        if record is None:
            return
        held = _holdable(reply)
        with self._lock:
            self._held_bytes += _size(held)
            self._drop_oldest_replies(record)
        with record.condition:
            record.running = False
            record.reply = held
            record.condition.notify_all()

    def _forget_expired_unused(self, now: float) -> None:
        while self._unused:
            key, expires_at = next(iter(self._unused.items()))
            if expires_at > now and len(self._unused) <= MAX_RECORDS:
                return
            del self._unused[key]

    def _expire(self, now: float) -> None:
        for key, record in list(itertools.islice(self._records.items(), 8)):
            if record.expires_at <= now and not record.running:
                self._held_bytes -= _size(record.reply)
                del self._records[key]

    def _drop_oldest_replies(self, newest: _Record) -> None:
        """Forget held bodies, oldest first, when they take too much memory."""
        if self._held_bytes <= MAX_HELD_BYTES:
            return
        for record in self._records.values():
            if record is newest or _size(record.reply) == 0:
                continue
            self._held_bytes -= _size(record.reply)
            record.reply = Refused(Refusal(Outcome.RAN, Reason.TICKET_SPENT))
            if self._held_bytes <= MAX_HELD_BYTES:
                return


def _claim_again(record: _Record, deadline_at: float) -> Result[Claim, Refusal]:
    with record.condition:
        while record.running:
            left_s = deadline_at - time.monotonic()
            if left_s <= 0 or not record.condition.wait(left_s):
                detail = "an earlier call with this ticket is still running"
                return Err(Refusal(Outcome.UNKNOWN, Reason.TICKET_SPENT, 0, detail))
        reply = record.reply
        if not isinstance(reply, Refused) or reply.outcome is not Outcome.NOT_RUN:
            return Ok(Claim(ClaimState.OVER, record.budget, reply))
        if not record.budget.take():
            detail = "no retry is left; nothing ran, a new ticket may be used"
            return Err(Refusal(Outcome.NOT_RUN, Reason.BUDGET_SPENT, 0, detail))
        record.running = True
        record.reply = None
        return Ok(Claim(ClaimState.RUN, record.budget))


def _holdable(reply: Reply) -> Reply:
    """Return what later repeats get in place of the first reply."""
    if isinstance(reply, Relayed):
        if reply.body is None:
            return Refused(Refusal(Outcome.RAN, Reason.TICKET_SPENT))
        return replace(reply, n_tokens_left=0, load="")
    return reply


def _size(reply: Reply | None) -> int:
    if isinstance(reply, Relayed) and reply.body is not None:
        return len(reply.body) + 1
    return 0
