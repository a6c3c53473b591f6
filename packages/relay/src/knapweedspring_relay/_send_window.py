"""Flow control of the bodies that a node sends to another one."""

import asyncio

from knapweedspring_relay._errors import ConnectionBroke

__all__ = ["SendWindow"]

#: Number of bytes of a streamed body that are sent before the receiver grants credit.
WINDOW_BYTES = 131_072


class SendWindow:
    """Flow control window of one streamed body."""

    def __init__(self) -> None:
        self._n_bytes = WINDOW_BYTES
        self._waiter: asyncio.Future[None] | None = None
        self._is_closed = False

    def add_credit(self, n_bytes: int) -> None:
        """Add credit for the bytes that the receiver has passed on."""
        self._n_bytes += n_bytes
        self._wake()

    def close(self) -> None:
        """Wait for credit no more, since the body has broken off."""
        self._is_closed = True
        self._wake()

    async def consume_credit(
        self, n_bytes: int, loop: asyncio.AbstractEventLoop
    ) -> None:
        """Wait until the window has credit, and deduct the bytes to send from it.

        :raises ConnectionBroke: when the body has broken off.
        """
        while self._n_bytes <= 0:
            if self._is_closed:
                raise ConnectionBroke("the body has broken off")
            self._waiter = loop.create_future()
            await self._waiter
        self._n_bytes -= n_bytes

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
