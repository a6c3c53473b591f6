"""Callers with open-loop Poisson arrivals and aggressive retries."""

import hashlib
import json
import queue
import random
import socket
import threading
import time
from collections.abc import Iterator
from dataclasses import dataclass, replace
from itertools import accumulate
from pathlib import Path

import msgspec
import urllib3
from urllib3.connection import HTTPConnection

from knapweedspring_core import Header
from knapweedspring_standins._answer import AnswerBody
from knapweedspring_standins._caller_plan import (
    CallerPlan,
    CallerResult,
    RequestKind,
)
from knapweedspring_standins._content import bundle_chunks
from knapweedspring_standins._entries import EntryList
from knapweedspring_standins._records import Answer, SendRecord

__all__ = ["Arrival", "Callers", "arrivals", "run_callers"]

#: Seconds between an arrival's due time and its first send, beyond which the arrival
#: counts as late.
LATE_START_S = 0.05
CONNECT_TIMEOUT_S = 2.0
READ_BYTES = 65_536
BUDGET_SPENT = "budget-spent"
DRAINING = "draining"
#: Results of a send after which the next send avoids the entry node that was used.
UNUSABLE_ENTRY_ANSWERS = (Answer.UNSENT, Answer.BROKEN)


@dataclass(frozen=True, slots=True)
class Arrival:
    """Arrival of one logical request."""

    #: Monotonic time at which the request is due, in seconds.
    due_at: float
    #: Kind of the request.
    kind: RequestKind
    #: Identifies the logical request over all its sends.
    nonce: str


def arrivals(plan: CallerPlan) -> Iterator[Arrival]:
    """Yield random arrivals for a plan; the same seed gives the same arrivals.

    :param plan: plan with the rates, the request mix and the seed.
    :return: arrivals in the order in which they are due.
    """
    rng = random.Random(plan.seed)
    weights = [kind.weight for kind in plan.kinds]
    ends = accumulate(phase.seconds for phase in plan.phases)
    offset_s = 0.0
    number = 0
    for phase, end_s in zip(plan.phases, ends, strict=True):
        offset_s = end_s - phase.seconds
        while phase.rate > 0:
            offset_s += rng.expovariate(phase.rate)
            if offset_s >= end_s:
                break
            number += 1
            kind = rng.choices(plan.kinds, weights)[0]
            yield Arrival(plan.start_s + offset_s, kind, f"{plan.name}-{number}")


class Callers:
    """Executes one plan with a pool of worker threads.

    :param plan: requests to send, with their rates, timeouts and retries.
    """

    def __init__(self, plan: CallerPlan) -> None:
        self._plan = plan
        self._entries = EntryList(plan.entries_file)
        self._queue: queue.SimpleQueue[Arrival | None] = queue.SimpleQueue()
        self._records: list[SendRecord] = []
        self._n_arrivals = 0
        self._n_late = 0
        self._pool = urllib3.PoolManager(
            num_pools=128,
            maxsize=plan.n_workers,
            retries=False,
            socket_options=[
                *HTTPConnection.default_socket_options,
                (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
            ],
        )

    def run(self) -> CallerResult:
        """Send every arrival of the plan and wait for the last answer.

        :return: records of all sends, and counts of the arrivals.
        """
        workers = [
            threading.Thread(target=self._run_worker)
            for _ in range(self._plan.n_workers)
        ]
        for worker in workers:
            worker.start()
        for arrival in arrivals(self._plan):
            time.sleep(max(0.0, arrival.due_at - time.monotonic()))
            self._n_arrivals += 1
            self._queue.put(arrival)
        for _ in workers:
            self._queue.put(None)
        for worker in workers:
            worker.join()
        return CallerResult(tuple(self._records), self._n_arrivals, self._n_late)

    def _run_worker(self) -> None:
        while (arrival := self._queue.get()) is not None:
            if time.monotonic() - arrival.due_at > LATE_START_S:
                self._n_late += 1
            request = _LogicalRequest(self._plan, self._entries, self._pool, arrival)
            self._records += request.run()


class _LogicalRequest:
    """One logical request with all its sends."""

    def __init__(
        self,
        plan: CallerPlan,
        entries: EntryList,
        pool: urllib3.PoolManager,
        arrival: Arrival,
    ) -> None:
        self._plan = plan
        self._entries = entries
        self._pool = pool
        self._kind = arrival.kind
        self._arrival = arrival
        self._records: list[SendRecord] = []
        self._random = random.Random(f"{plan.seed}:{arrival.nonce}")
        self._data_centre = entries.pick_data_centre(self._random)
        self._n_sends = 0
        self._n_chains = 0
        self._ticket = ""
        self._request_id = ""
        self._avoided = ""
        self._body = arrival.nonce.encode().ljust(self._kind.n_body_bytes, b".")

    def run(self) -> list[SendRecord]:
        """Send until an answer is final or the retry limits are reached.

        :return: one record for each send.
        """
        limits = self._plan.patience
        give_up_at = self._arrival.due_at + limits.total_ms / 1_000
        while True:
            record, ticket = self._send()
            self._records.append(record)
            if ticket and not self._ticket:
                # The node refused the request because it had no ticket, so no upstream
                # ran it. The refusal contains a new ticket, which the next send uses.
                self._ticket = ticket
                self._request_id = ""
                continue
            if self._is_final(record) or self._n_sends >= limits.n_sends_max:
                return self._records
            pause_s = limits.pause_ms / 1_000 * self._random.uniform(0.5, 2.0)
            if time.monotonic() + pause_s >= give_up_at:
                return self._records
            time.sleep(pause_s)

    def _is_final(self, record: SendRecord) -> bool:
        if record.answer in (Answer.WHOLE, Answer.SHORT, Answer.CROSSED):
            return True
        if self._ticket:
            return record.outcome in ("unknown", "ran")
        # No ticket was issued. The mesh runs a non-repeatable request only with a
        # ticket, so a retry without a ticket is safe. An error answer of the upstream
        # is final: it shows that the mesh required no ticket, so the request may have
        # run.
        return not self._kind.repeatable and record.answer is Answer.FAILED

    def _send(self) -> tuple[SendRecord, str]:
        self._n_sends += 1
        entry = self._entries.pick(self._data_centre, self._random, self._avoided)
        kind = self._kind
        now = time.monotonic()
        template = SendRecord(
            nonce=self._arrival.nonce,
            chain=self._chain(),
            kind=kind.name,
            request_class=kind.request_class,
            repeatable=kind.repeatable,
            entry=entry,
            arrival_s=self._arrival.due_at,
            start_s=now,
            end_s=now,
            answer=Answer.UNSENT,
            ticket=self._ticket,
        )
        record, ticket = self._exchange(entry, template)
        entry_unusable = (
            record.reason == DRAINING or record.answer in UNUSABLE_ENTRY_ANSWERS
        )
        self._avoided = entry if entry_unusable else ""
        if record.reason == BUDGET_SPENT:
            # An aggressive client retries as a new request, without the request id of
            # the earlier sends.
            self._request_id = ""
        elif kind.repeats_with_id or self._ticket:
            self._request_id = self._request_id or record.request_id
        return replace(record, end_s=time.monotonic()), ticket

    def _chain(self) -> str:
        """Chain of the next send; the mesh treats sends of one chain as one request."""
        nonce = self._arrival.nonce
        if self._ticket:
            return f"{nonce}.ticket"
        if not self._request_id:
            self._n_chains += 1
        return f"{nonce}.{self._n_chains}"

    def _headers(self, chain: str) -> dict[str, str]:
        kind = self._kind
        headers = {
            "X-Nonce": self._arrival.nonce,
            "X-Chain": chain,
            Header.REQUEST_CLASS.value: kind.request_class,
            Header.DEADLINE_MS.value: str(int(self._plan.patience.timeout_ms)),
        }
        if kind.n_echo_bytes:
            headers["X-Echo-Bytes"] = str(kind.n_echo_bytes)
        if self._ticket:
            headers[Header.TICKET.value] = self._ticket
        if self._request_id:
            headers[Header.REQUEST_ID.value] = self._request_id
        return headers

    def _exchange(self, entry: str, template: SendRecord) -> tuple[SendRecord, str]:
        kind = self._kind
        timeout_s = self._plan.patience.timeout_ms / 1_000
        try:
            response = self._pool.request(
                kind.method,
                f"http://{entry}/{kind.service}{kind.path}",
                body=self._body if kind.n_body_bytes else None,
                headers=self._headers(template.chain),
                timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=timeout_s),
                preload_content=False,
            )
            try:
                return self._classify(response, template)
            finally:
                # A connection whose answer was read completely is already back in the
                # pool. A connection with a partly read answer must not be reused.
                response.close()
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            return replace(template, answer=Answer.UNSENT, detail=repr(error)), ""
        except urllib3.exceptions.TimeoutError:
            return replace(template, answer=Answer.GIVEN_UP), ""
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return replace(template, answer=Answer.BROKEN, detail=repr(error)), ""

    def _classify(
        self, response: urllib3.BaseHTTPResponse, template: SendRecord
    ) -> tuple[SendRecord, str]:
        headers = response.headers
        record = replace(
            template,
            status=response.status,
            outcome=headers.get(Header.OUTCOME.value, ""),
            reason=headers.get(Header.REASON.value, ""),
            request_id=headers.get(Header.REQUEST_ID.value, ""),
            attempt=headers.get("X-Attempt", ""),
        )
        if response.status != 200 or record.outcome:
            response.read()
            answer = Answer.REFUSED if record.outcome else Answer.FAILED
            ticket = headers.get(Header.TICKET.value, "")
            ticket_required = response.status == 428
            return replace(record, answer=answer), ticket if ticket_required else ""
        answer, detail = self._verify_answer(response)
        return replace(record, answer=answer, detail=detail), ""

    def _verify_answer(self, response: urllib3.BaseHTTPResponse) -> tuple[Answer, str]:
        if self._kind.n_echo_bytes:
            return self._verify_bundle(response)
        try:
            body = msgspec.json.decode(response.read(), type=AnswerBody)
        except msgspec.DecodeError as error:
            return Answer.SHORT, str(error)
        sent_body = self._body if self._kind.n_body_bytes else b""
        if body.nonce != self._arrival.nonce:
            return Answer.CROSSED, f"answer to {body.nonce}"
        if body.body_sha256 != hashlib.sha256(sent_body).hexdigest():
            return Answer.CROSSED, "answer to another body"
        return Answer.WHOLE, ""

    def _verify_bundle(self, response: urllib3.BaseHTTPResponse) -> tuple[Answer, str]:
        nonce = response.headers.get("X-Nonce", "")
        if nonce != self._arrival.nonce:
            response.read()
            return Answer.CROSSED, f"answer to {nonce}"
        expected = hashlib.sha256()
        for chunk in bundle_chunks(nonce, self._kind.n_echo_bytes):
            expected.update(chunk)
        received = hashlib.sha256()
        while chunk := response.read(READ_BYTES):
            received.update(chunk)
        if received.digest() != expected.digest():
            return Answer.SHORT, "the bytes differ"
        return Answer.WHOLE, ""


def run_callers(plan_file: str, result_file: str) -> None:
    """Execute the plan in one file and write the result to another.

    :param plan_file: JSON of a :class:`CallerPlan`.
    :param result_file: receives the JSON of a :class:`CallerResult`.
    """
    plan = msgspec.json.decode(Path(plan_file).read_bytes(), type=CallerPlan)
    print(json.dumps({"ready": True}), flush=True)
    result = Callers(plan).run()
    Path(result_file).write_bytes(msgspec.json.encode(result))
