"""Memory that one connection of a caller holds, by what it is held for."""

import asyncio
from typing import Any

from knapweedspring_relay._memory_budget import (
    REQUEST_BYTES,
    STREAM_BYTES,
    MemoryAccount,
)

__all__ = ["HeldMemory"]


class HeldMemory:
    """Splits the account of a connection into message, requests and unsent answers.

    :param account: account of the connection.
    """

    def __init__(self, account: MemoryAccount) -> None:
        self._account = account
        self._n_message_bytes = 0
        self._n_waiting_bytes = 0
        self._n_current_bytes = 0
        self._n_unsent_bytes = 0

    @property
    def account(self) -> MemoryAccount:
        """Account of the connection."""
        return self._account

    @property
    def n_unsent_bytes(self) -> int:
        """Bytes held for answers that the caller has not read."""
        return self._n_unsent_bytes

    def hold_message(self, n_bytes: int) -> bool:
        """Hold what the message that arrives takes so far.

        :param n_bytes: bytes of the message, with those that are held already.
        :return: whether they are held.
        """
        n_more = n_bytes - self._n_message_bytes
        if n_more > 0:
            if not self._account.hold(n_more):
                return False
            self._n_message_bytes = n_bytes
        return True

    def queue_message(self) -> int:
        """Hold the message, which is whole, as a request that waits.

        :return: bytes of the request, for :meth:`begin_request`.
        """
        n_bytes, self._n_message_bytes = self._n_message_bytes, 0
        self._n_waiting_bytes += n_bytes
        return n_bytes

    def begin_request(self, n_bytes: int) -> bool:
        """Hold a request that waited as the one that is being answered.

        :param n_bytes: bytes of the request while it waited.
        :return: whether there is memory to answer it.
        """
        self._n_waiting_bytes -= n_bytes
        self._n_current_bytes = n_bytes
        if not self._account.hold(REQUEST_BYTES):
            return False
        self._n_current_bytes += REQUEST_BYTES
        return True

    def hold_stream(self) -> bool:
        """Hold what an answer takes that is passed on while it arrives.

        :return: whether it is held.
        """
        if not self._account.hold(STREAM_BYTES):
            return False
        self._n_current_bytes += STREAM_BYTES
        return True

    def end_request(
        self, n_body_bytes: int, body_holder: "asyncio.Future[Any] | None"
    ) -> None:
        """Release the answered request.

        :param n_body_bytes: bytes of its body.
        :param body_holder: what still holds the body; None when nothing does.
        """
        n_bytes, self._n_current_bytes = self._n_current_bytes, 0
        if body_holder is not None:
            n_bytes -= n_body_bytes
            account = self._account
            body_holder.add_done_callback(lambda _: account.release(n_body_bytes))
        self._account.release(n_bytes)

    def hold_unsent(self, n_bytes: int) -> bool:
        """Hold answers that the caller has not read.

        :param n_bytes: their bytes now.
        :return: whether they are held.
        """
        n_more = n_bytes - self._n_unsent_bytes
        if n_more > 0 and not self._account.hold(n_more):
            return False
        if n_more < 0:
            self._account.release(-n_more)
        self._n_unsent_bytes = n_bytes
        return True

    def release_waiting(self) -> None:
        """Release all but the request that is being answered."""
        n_bytes = self._n_message_bytes + self._n_waiting_bytes + self._n_unsent_bytes
        self._n_message_bytes = self._n_waiting_bytes = self._n_unsent_bytes = 0
        self._account.release(n_bytes)

    def close(self) -> None:
        """Release all but the request that is being answered, and forget the peer."""
        self.release_waiting()
        self._account.close()
