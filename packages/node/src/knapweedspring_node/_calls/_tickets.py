"""Tickets, each of which allows at most one run of one request.

Only the process that issued a ticket, its owner, starts the run. Every other node
forwards the call to the owner, so that two nodes cannot run the same ticket even
when their membership views differ.
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
from knapweedspring_node._calls._reply import RefusedReply, RelayedReply, Reply
from knapweedspring_node._calls._request import CallFingerprint

__all__ = ["Claim", "ClaimState", "IssuedTicket", "Ticket", "TicketTable"]

MAX_RECORDS = 50_000
MAX_STORED_BYTES = 64 * 1_024 * 1_024


@dataclass(frozen=True, slots=True)
class Ticket:
    """Content of a ticket's text."""

    #: Key of the run that the ticket allows; includes the owner.
    key: RunKey
    #: Name of the service that the ticket is for.
    service: str
    #: Expiry on the owner's monotonic clock, in ms.
    expires_at_ms: int


@dataclass(frozen=True, slots=True)
class IssuedTicket:
    """A new ticket."""

    #: Key of the run that the ticket allows.
    key: RunKey
    #: Text of the ticket, for the caller.
    text: str


class ClaimState(Enum):
    """State of a ticket's run when a call claims it."""

    #: The run is to start with this call.
    RUN = auto()
    #: The run has finished and its reply is stored.
    FINISHED = auto()


@dataclass(frozen=True, slots=True)
class Claim:
    """Result of a call's claim of the run of its ticket."""

    #: Whether to start the run or to send the stored reply.
    state: ClaimState
    #: Retry tokens of the root request, shared by all its repeats.
    budget: RetryBudget
    #: The stored reply of a finished run; None when the run is to start.
    reply: Reply | None = None


class _TicketRecord:
    """Record of a ticket that a call has used at least once."""

    def __init__(
        self, fingerprint: CallFingerprint, budget: RetryBudget, expires_at: float
    ) -> None:
        self.fingerprint = fingerprint
        self.condition = threading.Condition()
        self.budget = budget
        self.expires_at = expires_at
        self.running = True
        self.reply: Reply | None = None


class TicketTable:
    """Issues tickets and keeps a record of each used one until it expires.

    A ticket's text contains all that is needed to run it. The table keeps only the
    expiry of an unused ticket, for :attr:`n_unfinished`.

    :param node_id: name of this node.
    :param epoch: random number that identifies this process.
    :param codec: authenticates the texts.
    :param lifetime_s: how long a ticket may be used, in seconds.
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
        self._records: OrderedDict[RunKey, _TicketRecord] = OrderedDict()
        self._stored_bytes = 0
        self._unused: OrderedDict[RunKey, float] = OrderedDict()

    @property
    def n_records(self) -> int:
        """Number of records of used tickets."""
        return len(self._records)

    @property
    def n_unfinished(self) -> int:
        """Number of tickets whose run is in progress or that are unused and unexpired.

        Only this process can start their runs, so a drain waits for these tickets.
        """
        now = time.monotonic()
        with self._lock:
            self._expire_unused(now)
            n_running = sum(record.running for record in self._records.values())
            return n_running + len(self._unused)

    def new_run_key(self) -> RunKey:
        """Return the key of a new run that this process owns."""
        return RunKey(self._node_id, self._epoch, next(self._sequence))

    def issue(self, service: str) -> IssuedTicket:
        """Return a new ticket for a service."""
        now = time.monotonic()
        expires_at = now + self._lifetime_s
        key = self.new_run_key()
        with self._lock:
            self._unused[key] = expires_at
            self._expire_unused(now)
        text = self._codec.encode_text(Ticket(key, service, int(expires_at * 1_000)))
        return IssuedTicket(key, text)

    def verify(self, text: str, service: str) -> Result[Ticket, Refusal]:
        """Verify and decode the text of a ticket that any node issued.

        :param service: service of the call that uses the ticket.
        """
        verified = self._codec.decode_text(text, Ticket)
        if isinstance(verified, Err):
            detail = verified.err_value.detail
            return Err(Refusal(Outcome.NOT_RUN, Reason.TICKET_INVALID, 0, detail))
        ticket = verified.ok_value
        if ticket.service != service:
            detail = f"this ticket is for {ticket.service}"
            return Err(Refusal(Outcome.NOT_RUN, Reason.TICKET_INVALID, 0, detail))
        return Ok(ticket)

    def owns(self, ticket: Ticket) -> bool:
        """Whether this process issued the ticket; false after a restart."""
        return ticket.key.owner == self._node_id and ticket.key.epoch == self._epoch

    def claim(
        self,
        ticket: Ticket,
        fingerprint: CallFingerprint,
        n_tokens: int,
        deadline_at: float,
    ) -> Result[Claim, Refusal]:
        """Claim the run of a ticket; wait while another call runs it.

        Actions ``ticket:used``, ``ticket:expired``, ``owner:join`` and
        ``owner:answer-held`` of the specification.

        :param ticket: a ticket that this process :meth:`owns`.
        :param fingerprint: fingerprint of the call. A ticket is bound to the
            fingerprint of its first call, so that no other request gets its answer.
        :param n_tokens: retry budget of the root request, used for the first claim.
        :param deadline_at: when the wait ends, on the monotonic clock, in seconds.
        :return: the claim, or a refusal when the ticket has expired, is bound to
            another request, has no retry left, or still runs at the deadline.
        """
        now = time.monotonic()
        if ticket.expires_at_ms <= now * 1_000:
            # The record of a used ticket may have been removed after its expiry.
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
                record = _TicketRecord(fingerprint, RetryBudget(n_tokens), expires_at)
                self._records[ticket.key] = record
                return Ok(Claim(ClaimState.RUN, record.budget))
        if record.fingerprint != fingerprint:
            # This call did not run; the call that the ticket is bound to may have run.
            detail = "this ticket was used for another request; take a new one"
            return Err(Refusal(Outcome.NOT_RUN, Reason.TICKET_INVALID, 0, detail))
        return _claim_repeat(record, deadline_at)

    def record_outcome(self, ticket: Ticket, reply: Reply) -> None:
        """Record the reply of a run and wake the callers that wait for it.

        Action ``ticket:outcome`` of the specification.
        """
        record = self._records.get(ticket.key)
        if record is None:
            return
        stored = _reply_for_repeats(reply)
        with self._lock:
            self._stored_bytes += _body_size(stored)
            self._evict_oldest_bodies(record)
        with record.condition:
            record.running = False
            record.reply = stored
            record.condition.notify_all()

    def _expire_unused(self, now: float) -> None:
        while self._unused:
            key, expires_at = next(iter(self._unused.items()))
            if expires_at > now and len(self._unused) <= MAX_RECORDS:
                return
            del self._unused[key]

    def _expire(self, now: float) -> None:
        # Checks only the oldest records, to bound the time that the lock is held.
        for key, record in list(itertools.islice(self._records.items(), 8)):
            if record.expires_at <= now and not record.running:
                self._stored_bytes -= _body_size(record.reply)
                del self._records[key]

    def _evict_oldest_bodies(self, newest: _TicketRecord) -> None:
        """Replace the oldest stored bodies by refusals while they exceed the limit."""
        if self._stored_bytes <= MAX_STORED_BYTES:
            return
        for record in self._records.values():
            if record is newest or _body_size(record.reply) == 0:
                continue
            self._stored_bytes -= _body_size(record.reply)
            record.reply = RefusedReply(Refusal(Outcome.RAN, Reason.TICKET_SPENT))
            if self._stored_bytes <= MAX_STORED_BYTES:
                return


def _claim_repeat(record: _TicketRecord, deadline_at: float) -> Result[Claim, Refusal]:
    with record.condition:
        while record.running:
            time_left_s = deadline_at - time.monotonic()
            if time_left_s <= 0 or not record.condition.wait(time_left_s):
                detail = "an earlier call with this ticket is still running"
                return Err(Refusal(Outcome.UNKNOWN, Reason.TICKET_SPENT, 0, detail))
        reply = record.reply
        if not isinstance(reply, RefusedReply) or reply.outcome is not Outcome.NOT_RUN:
            return Ok(Claim(ClaimState.FINISHED, record.budget, reply))
        if not record.budget.spend_token():
            detail = "no retry is left; nothing ran, a new ticket may be used"
            return Err(Refusal(Outcome.NOT_RUN, Reason.BUDGET_SPENT, 0, detail))
        record.running = True
        record.reply = None
        return Ok(Claim(ClaimState.RUN, record.budget))


def _reply_for_repeats(reply: Reply) -> Reply:
    """Return the reply that later repeats of the request get.

    A streamed body is not stored; repeats get a refusal with the outcome ``ran``.
    """
    if isinstance(reply, RelayedReply):
        if reply.body is None:
            return RefusedReply(Refusal(Outcome.RAN, Reason.TICKET_SPENT))
        return replace(reply, n_tokens_left=0, load="")
    return reply


def _body_size(reply: Reply | None) -> int:
    """Return the size of a stored body plus 1, since 0 means that none is stored."""
    if isinstance(reply, RelayedReply) and reply.body is not None:
        return len(reply.body) + 1
    return 0
