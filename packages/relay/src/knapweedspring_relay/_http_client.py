"""HTTP/1.1 client on the event loop: pools of connections with one call at a time."""

import asyncio
from collections.abc import Callable

from knapweedspring_relay._addresses import split_address
from knapweedspring_relay._answer import Answer
from knapweedspring_relay._client_connection import (
    ClientConnection,
    ClientConnectionOwner,
)
from knapweedspring_relay._clock import now_s
from knapweedspring_relay._connection_settings import ConnectionSettings
from knapweedspring_relay._errors import CallWithdrawn, ConnectFailed
from knapweedspring_relay._requests import Body

__all__ = ["ConnectionPool", "ConnectionSettings"]

#: Longest wait for an answer unless the caller sets a timeout, in seconds.
DEFAULT_TIMEOUT_S = 60.0


class ConnectionPool(ClientConnectionOwner):
    """Connections to servers; a call uses the most recently used idle connection.

    :param settings: settings of the connections.
    """

    def __init__(self, settings: ConnectionSettings) -> None:
        self._settings = settings
        self._idle: dict[str, list[ClientConnection]] = {}
        self._n_opened = 0
        self._n_numbered = 0
        self._n_skipped_answers = 0

    @property
    def settings(self) -> ConnectionSettings:
        """Settings of the connections."""
        return self._settings

    @property
    def n_opened(self) -> int:
        """Number of connections established so far."""
        return self._n_opened

    @property
    def n_skipped_answers(self) -> int:
        """Number of answers that belonged to another request."""
        return self._n_skipped_answers

    def next_connection_number(self) -> int:
        """Return the number of a connection that is about to be opened."""
        self._n_numbered += 1
        return self._n_numbered

    def count_skipped_answer(self) -> None:
        """Count an answer that belongs to another request."""
        self._n_skipped_answers += 1

    async def call(
        self,
        address: str,
        data: bytes | Callable[[], list[Body]],
        request_id: bytes | None = None,
        is_head_request: bool = False,
        max_idle_s: float = float("inf"),
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> Answer:
        """Send a request and wait for its answer.

        Cancellation aborts the connection, so that the server drops the request.

        :param address: ``ip:port`` of the server.
        :param data: encoded request, or a function that encodes it in parts once there
            is a connection, or raises :class:`CallWithdrawn`.
        :param request_id: id that the answer must carry; None accepts any answer.
        :param is_head_request: whether the method is HEAD, so the answer has no body.
        :param max_idle_s: use only connections idle for less than this, in seconds.
        :param timeout_s: longest wait for connection and answer, in seconds.
        :return: the answer; a long body may still be arriving.
        :raises TimeoutError: when the answer does not arrive in time.
        :raises ConnectFailed: when nothing was sent.
        :raises CallWithdrawn: as raised by ``data``.
        :raises ConnectionBroke: when the connection ends before the answer does.
        :raises BadAnswer: when the received bytes are not a valid answer.
        """
        ends_at = now_s() + timeout_s
        connection = self._pop_idle(address, request_id, max_idle_s)
        connection = connection or await self._open_connection(address, timeout_s)
        try:
            parts: list[Body] = [data] if isinstance(data, bytes) else data()
            left_s = ends_at - now_s()
            return await connection.call(parts, request_id, is_head_request, left_s)
        except CallWithdrawn:
            self.add_idle(connection)
            raise
        except BaseException:
            connection.abort_connection()
            raise

    async def refuses_connections(self, address: str) -> bool:
        """Return whether no process listens at an address.

        A connection that is established is kept for the next call.

        :param address: ``ip:port`` of the server.
        :return: False also when nothing answers in time: the server may be busy.
        """
        try:
            connection = await self._open_connection(address)
        except ConnectFailed as error:
            return error.is_refused
        self.add_idle(connection)
        return False

    def add_idle(self, connection: ClientConnection) -> None:
        """Add an idle connection for the next call."""
        self._idle.setdefault(connection.address, []).append(connection)

    def remove_idle(self, connection: ClientConnection) -> None:
        """Remove a connection from the idle connections, so that no call uses it."""
        idle = self._idle.get(connection.address)
        if idle is not None and connection in idle:
            idle.remove(connection)

    def close_idle(self, address: str) -> None:
        """Close the idle connections to a server.

        :param address: ``ip:port`` of the server.
        """
        for connection in self._idle.pop(address, ()):
            connection.abort_connection()

    def close_expired(self) -> None:
        """Close connections that have been idle for too long; called periodically."""
        now = now_s()
        for address, idle in tuple(self._idle.items()):
            stale = [c for c in idle if not c.is_fresh(now, self._settings.idle_s)]
            for connection in stale:
                idle.remove(connection)
                connection.abort_connection()
            if not idle:
                del self._idle[address]

    def _pop_idle(
        self, address: str, request_id: bytes | None, max_idle_s: float
    ) -> ClientConnection | None:
        idle = self._idle.get(address, [])
        now = now_s()
        # Removal keeps the order of the connections before the current one.
        for index in reversed(range(len(idle))):
            connection = idle[index]
            if not connection.is_fresh(now, max_idle_s):
                del idle[index]
                connection.abort_connection()
            elif connection.allows_request(request_id):
                del idle[index]
                return connection
        return None

    async def _open_connection(
        self, address: str, timeout_s: float = DEFAULT_TIMEOUT_S
    ) -> ClientConnection:
        loop = asyncio.get_running_loop()
        try:
            host, port = split_address(address)
            async with asyncio.timeout(min(timeout_s, self._settings.connect_s)):
                _, connection = await loop.create_connection(
                    lambda: ClientConnection(self, address, loop), host, port
                )
        except (OSError, TimeoutError, ValueError) as error:
            # Compiled code does not keep the cause of an exception.
            is_refused = isinstance(error, ConnectionRefusedError)
            detail = f"{address}: {error or 'timed out'}"
            raise ConnectFailed(detail, is_refused) from error
        self._n_opened += 1
        connection.mark_used(now_s())
        return connection
