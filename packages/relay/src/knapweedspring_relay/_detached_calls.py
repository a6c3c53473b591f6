"""Calls that go on when their callers leave, since their effects cannot be undone."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from knapweedspring_relay._gate_result import GateResult, abandon_result
from knapweedspring_relay._requests import ForwardedRequest

__all__ = ["DetachedCalls"]


class DetachedCalls:
    """Runs calls that a cancellation of their callers does not cancel."""

    def __init__(self) -> None:
        #: By the identity of the request.
        self._tasks: dict[int, asyncio.Task[GateResult]] = {}
        self._abandoned: set[int] = set()

    async def run(
        self, request: ForwardedRequest, call: Coroutine[Any, Any, GateResult]
    ) -> GateResult:
        """Run a call; it goes on when this method is cancelled.

        :param request: the request of the call.
        :param call: sends the request and waits for its answer.
        """
        key = id(request)
        task = asyncio.ensure_future(call)
        self._tasks[key] = task
        task.add_done_callback(lambda _: self._forget(key))
        try:
            # The shield keeps the call running when the caller leaves.
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            self._abandoned.add(key)
            task.add_done_callback(abandon_result)
            raise

    def task_of(self, request: ForwardedRequest) -> "asyncio.Future[GateResult] | None":
        """Return the running call of a request; None when there is none.

        :param request: the request.
        """
        return self._tasks.get(id(request))

    def is_abandoned(self, request: ForwardedRequest) -> bool:
        """Return whether the caller of a running call has left.

        :param request: the request.
        """
        return id(request) in self._abandoned

    def _forget(self, key: int) -> None:
        self._tasks.pop(key, None)
        self._abandoned.discard(key)
