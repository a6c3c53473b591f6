"""The planned stop: no new work, and none of the work in hand is cut."""

import threading
import time

from knapweedspring_core import EventLog
from knapweedspring_node._announcements import Announcements
from knapweedspring_node._calls import CallServer, CallStack

__all__ = ["Drain"]

POLL_S = 0.05
#: Time for peers to hear that the node leaves.
MIN_DRAIN_S = 1.0


class Drain:
    """Brings a node to rest.

    :param server: tells how many requests are in hand.
    """

    def __init__(
        self,
        announcements: Announcements,
        calls: CallStack,
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
        """Whether the node takes no new whole requests."""
        return self._stopping.is_set() or self._announcements.is_leaving

    @property
    def n_unfinished(self) -> int:
        """Requests in hand, and tickets that only this node can run."""
        n_requests = max(self._server.n_busy, self._calls.n_in_flight)
        return n_requests + self._calls.tickets.n_unfinished

    def run(self, stop_deadline_ms: int) -> bool:
        """Close the gates, tell peers, and wait until the work in hand is done.

        Actions ``node:exit`` and ``node:exit at the stop deadline`` of the
        specification.

        Tickets issued here can be run by no other node, so the node also waits
        until each was used or has expired.

        :param stop_deadline_ms: when to give up waiting, in ms.
        :return: whether everything finished in time.
        """
        self._stopping.set()
        self._events.record("node:draining", stop_deadline_ms=stop_deadline_ms)
        self._announcements.leave()
        self._server.begin_stop()
        began_at = time.monotonic()
        give_up_at = began_at + stop_deadline_ms / 1_000
        while self._is_needed(began_at):
            if time.monotonic() >= give_up_at:
                self._events.record(
                    "node:stop-deadline-hit",
                    n_requests=self._server.n_busy,
                    n_tickets=self._calls.tickets.n_unfinished,
                )
                return False
            time.sleep(POLL_S)
        self._events.record("node:drained")
        return True

    def _is_needed(self, began_at: float) -> bool:
        # Peers that have not heard yet still send calls; an answer that says
        # not-run serves them better than a broken connection.
        if time.monotonic() < began_at + MIN_DRAIN_S:
            return True
        return self.n_unfinished > 0
