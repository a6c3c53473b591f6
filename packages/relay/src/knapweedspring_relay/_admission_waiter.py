"""A queued call whose decision a task can await."""

import asyncio

from knapweedspring_relay._admission import QueuedCall
from knapweedspring_relay._admission_request import AdmissionRequest

__all__ = ["AdmissionWaiter"]


class AdmissionWaiter:
    """A queued call whose decision a task can await.

    :param request: the call as the admission queue sees it.
    """

    def __init__(self, request: AdmissionRequest) -> None:
        self._decision: asyncio.Future[None] | None = None
        self.queued = QueuedCall(request, self._wake)

    async def wait_for_decision(self, loop: asyncio.AbstractEventLoop) -> None:
        """Wait until the call is admitted or refused."""
        self._decision = loop.create_future()
        await self._decision

    def _wake(self) -> None:
        if self._decision is not None and not self._decision.done():
            self._decision.set_result(None)
