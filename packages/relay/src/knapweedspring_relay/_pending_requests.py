"""Requests of an entry that have no final answer, and their end at a planned stop."""

import asyncio

from knapweedspring_relay._http_server import Exchange
from knapweedspring_relay._request_state import RequestState

__all__ = ["STOPPING_REASON", "PendingRequest", "PendingRequests"]

#: Reason of the answers that a stopping node gives, for logs.
STOPPING_REASON = "the node is stopping"


class PendingRequest:
    """One request without a final answer.

    :param exchange: the request and its connection.
    :param task: the task that handles the request.
    """

    def __init__(self, exchange: Exchange, task: "asyncio.Task[None] | None") -> None:
        self._exchange = exchange
        self._task = task
        self._is_ended = False
        #: State of the request; None until its route is known.
        self.state: RequestState | None = None

    @property
    def is_ended(self) -> bool:
        """Whether the shutdown ended the request, which is still to be answered."""
        return self._is_ended

    def withdraw(self, ends_at: float) -> None:
        """Refuse the request unless an upstream may have got it.

        A request whose deadline comes before the end of the process goes on.

        :param ends_at: time at which requests without an answer are answered, on the
            monotonic clock, in seconds.
        """
        state = self.state
        if self._exchange.head_sent:
            return
        if state is None:
            self._cancel()
        elif state.deadline_at >= ends_at:
            state.is_withdrawn = True
            state.last_reason = STOPPING_REASON
            if state.offer is None:
                self._cancel()
            else:
                state.offer.link.withdraw(state.offer.call)

    def end(self) -> None:
        """Stop to wait for the outcome; it is answered as far as it is known."""
        state = self.state
        if self._exchange.head_sent:
            return
        if state is not None:
            state.is_withdrawn = True
            state.last_reason = STOPPING_REASON
            if state.offer is not None:
                state.may_have_run = True
        self._cancel()

    def forget_task(self) -> None:
        """Drop the task, which is ending."""
        # The error of a cancelled task refers to this object; both would keep the
        # memory of the request until the garbage collector runs.
        self._task = None

    def _cancel(self) -> None:
        if self._task is not None:
            self._is_ended = True
            self._task.cancel()


class PendingRequests:
    """The requests of an entry without a final answer."""

    def __init__(self) -> None:
        self._requests: set[PendingRequest] = set()

    def add(self, exchange: Exchange) -> PendingRequest:
        """Add a request that the current task handles.

        :param exchange: the request and its connection.
        :return: the request; :meth:`remove` it when it is answered.
        """
        pending = PendingRequest(exchange, asyncio.current_task())
        self._requests.add(pending)
        return pending

    def remove(self, pending: PendingRequest) -> None:
        """Remove a request."""
        self._requests.discard(pending)
        pending.forget_task()

    def withdraw(self, ends_at: float) -> None:
        """Refuse the requests that outlast the process and that no upstream got.

        :param ends_at: time at which requests without an answer are answered, on the
            monotonic clock, in seconds.
        """
        for pending in tuple(self._requests):
            pending.withdraw(ends_at)

    def end_all(self) -> None:
        """End the requests whose answers have not begun."""
        for pending in tuple(self._requests):
            pending.end()
