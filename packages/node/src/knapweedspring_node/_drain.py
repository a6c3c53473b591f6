"""Graceful stop of a node: refuses new calls and lets running ones finish."""

import threading
import time

from knapweedspring_core import EventLog
from knapweedspring_node._announcements import Announcements
from knapweedspring_node._calls import CallPath, CallServer

__all__ = ["Drain"]

POLL_PERIOD_S = 0.05
#: Shortest drain, in seconds: time for the leaving state to reach the peers.
MIN_DRAIN_S = 1.0
#: Time before the stop deadline, in seconds, at which calls without an answer are
#: answered: twice what a gate may take to confirm that a run never started.
END_LEAD_S = 1.0
#: Most of the time until the stop deadline that this may take.
END_LEAD_SHARE = 0.25


class Drain:
    """Drains a node before it stops.

    :param announcements: closes the gates and publishes the upstreams as leaving.
    :param calls: returns the numbers of calls in flight and of unfinished tickets.
    :param server: call server; returns the number of requests being handled.
    :param events: records the start and the end of the drain.
    """

    def __init__(
        self,
        announcements: Announcements,
        calls: CallPath,
        server: CallServer,
        events: EventLog,
    ) -> None:
        self._announcements = announcements
        self._calls = calls
        self._events = events
        self._server = server
        self._stopping = threading.Event()

    @property
    def draining(self) -> bool:
        """Whether the node refuses new root requests; child calls still run."""
        return self._stopping.is_set() or self._announcements.is_leaving

    @property
    def n_unfinished(self) -> int:
        """Number of requests being handled and of tickets that can still be used."""
        n_requests = max(self._server.n_busy, self._calls.n_in_flight)
        return n_requests + self._calls.tickets.n_unfinished

    def run(self, stop_deadline_ms: int) -> bool:
        """Close the gates, publish the upstreams as leaving, and wait until calls end.

        Implements the actions ``node:exit`` and ``node:exit at the stop deadline`` of
        the specification.

        Tickets issued by this node can be used at no other node, so the drain also
        waits until each of these tickets was used or has expired.

        :param stop_deadline_ms: longest wait in milliseconds.
        :return: whether all calls and tickets finished before the stop deadline.
        """
        self._stopping.set()
        self._events.record("node:draining", stop_deadline_ms=stop_deadline_ms)
        self._announcements.close_gates()
        self._server.begin_drain()
        began_at = time.monotonic()
        drain_s = stop_deadline_ms / 1_000
        ends_at = began_at + drain_s - min(END_LEAD_S, END_LEAD_SHARE * drain_s)
        while self._must_wait(began_at):
            if time.monotonic() >= ends_at:
                self._events.record(
                    "node:stop-deadline-hit",
                    n_requests=self._server.n_busy,
                    n_tickets=self._calls.tickets.n_unfinished,
                )
                self._answer_waiting_calls(began_at + drain_s)
                return False
            time.sleep(POLL_PERIOD_S)
        self._events.record("node:drained")
        return True

    def _answer_waiting_calls(self, deadline_at: float) -> None:
        """End the waits of calls, and wait until their callers are answered.

        :param deadline_at: end of the drain, on the monotonic clock, in seconds.
        """
        self._calls.end_waits()
        while self._server.n_busy > 0 and time.monotonic() < deadline_at:
            time.sleep(POLL_PERIOD_S)
        self._events.record("node:calls-ended", n_cut=self._server.n_busy)

    def _must_wait(self, began_at: float) -> bool:
        # Peers whose view is not updated yet still send calls. A not-run answer
        # lets them use another node; a closed connection leaves the outcome open.
        if time.monotonic() < began_at + MIN_DRAIN_S:
            return True
        return self.n_unfinished > 0
