"""HTTP/1.1 server on the event loop: listeners and their connections."""

import asyncio
from collections.abc import Callable

from knapweedspring_relay._clock import now_s
from knapweedspring_relay._connection_owner import ConnectionOwner
from knapweedspring_relay._exchange import Exchange, RequestHandler
from knapweedspring_relay._memory_budget import MemoryAccount, MemoryBudget
from knapweedspring_relay._owned_connection import OwnedConnection
from knapweedspring_relay._requests import Request
from knapweedspring_relay._server_connection import ServerConnection
from knapweedspring_relay._sockets import BACKLOG

__all__ = ["Exchange", "HttpListener", "RequestHandler"]

#: Called when a connection is ended since memory is short, with the request that was
#: being answered, if any, what the connection was doing, and its account.
EndedCallback = Callable[[Request | None, str, MemoryAccount], None]


class HttpListener(ConnectionOwner):
    """Accepts HTTP connections at one address.

    :param address: address to listen on, ``ip:port``; port 0 picks a free one.
    :param handler: handler of the requests.
    :param budget: budget of the process for what peers make it hold; None for one of
        the listener's own.
    """

    def __init__(
        self,
        address: str,
        handler: RequestHandler,
        budget: MemoryBudget | None = None,
    ) -> None:
        self._address = address
        self._handler = handler
        self._budget = budget or MemoryBudget.of_smallest_vm()
        self._connections: set[OwnedConnection] = set()
        self._server: asyncio.Server | None = None
        self._draining = False
        self._loop: asyncio.AbstractEventLoop | None = None
        self._on_error: Callable[[Request, Exception], None] | None = None
        self._on_ended: EndedCallback | None = None

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """Event loop that the listener runs on."""
        assert self._loop is not None
        return self._loop

    @property
    def address(self) -> str:
        """Address that the listener listens on, ``ip:port``."""
        return self._address

    @property
    def handler(self) -> RequestHandler:
        """Handler of the requests."""
        return self._handler

    @property
    def n_active(self) -> int:
        """Number of requests whose answers have not been sent completely."""
        return sum(connection.n_pending for connection in self._connections)

    @property
    def is_draining(self) -> bool:
        """Whether connections are closed after their next answer."""
        return self._draining

    async def start(self) -> None:
        """Start to listen.

        :raises OSError: when the address cannot be used.
        """
        host, port = self._address.rsplit(":", 1)
        self._loop = loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(self), host, int(port), backlog=BACKLOG
        )
        if int(port) == 0:
            bound_port = self._server.sockets[0].getsockname()[1]
            self._address = f"{host}:{bound_port}"

    def drain(self) -> None:
        """Close each connection after its next answer."""
        self._draining = True

    def close(self) -> None:
        """Stop listening; close each connection once no request is answered on it."""
        if self._server is not None:
            self._server.close()
        for connection in tuple(self._connections):
            connection.close_when_written()

    def close_expired(self) -> None:
        """Close connections that are idle or too slow; called periodically."""
        now = now_s()
        for connection in tuple(self._connections):
            connection.check_timeouts(now)

    def on_error(self, callback: Callable[[Request, Exception], None]) -> None:
        """Set the callback for exceptions that the handler raises."""
        self._on_error = callback

    def report_error(self, request: Request, error: Exception) -> None:
        """Pass an exception of the handler to the callback."""
        if self._on_error is not None:
            self._on_error(request, error)

    def add_connection(self, connection: OwnedConnection) -> None:
        """Add an accepted connection."""
        self._connections.add(connection)

    def remove_connection(self, connection: OwnedConnection) -> None:
        """Remove a connection that has ended."""
        self._connections.discard(connection)

    def open_account(self, connection: OwnedConnection) -> MemoryAccount:
        """Return an account for an accepted connection."""
        return self._budget.open_account(connection, is_connection=True)

    def on_ended(self, callback: EndedCallback) -> None:
        """Set the callback for connections that are ended since memory is short."""
        self._on_ended = callback

    def report_ended(
        self, request: Request | None, phase: str, account: MemoryAccount
    ) -> None:
        """Pass a connection that is ended since memory is short to the callback."""
        if self._on_ended is not None:
            self._on_ended(request, phase, account)
