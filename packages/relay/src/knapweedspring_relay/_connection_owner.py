"""Interface of the listener of a connection."""

import asyncio
from abc import ABC, abstractmethod

from knapweedspring_relay._exchange import RequestHandler
from knapweedspring_relay._memory_budget import MemoryAccount
from knapweedspring_relay._owned_connection import OwnedConnection
from knapweedspring_relay._requests import Request

__all__ = ["ConnectionOwner"]


class ConnectionOwner(ABC):
    """Listener of a connection."""

    @property
    @abstractmethod
    def loop(self) -> asyncio.AbstractEventLoop:
        """Event loop that the listener runs on."""

    @property
    @abstractmethod
    def handler(self) -> RequestHandler:
        """Handler of the requests."""

    @property
    @abstractmethod
    def is_draining(self) -> bool:
        """Whether connections are closed after their next answer."""

    @abstractmethod
    def add_connection(self, connection: OwnedConnection) -> None:
        """Add an accepted connection."""

    @abstractmethod
    def remove_connection(self, connection: OwnedConnection) -> None:
        """Remove a connection that has ended."""

    @abstractmethod
    def open_account(self, connection: OwnedConnection) -> MemoryAccount:
        """Return an account for an accepted connection."""

    @abstractmethod
    def report_error(self, request: Request, error: Exception) -> None:
        """Report an exception of the handler."""

    @abstractmethod
    def report_ended(
        self, request: Request | None, phase: str, account: MemoryAccount
    ) -> None:
        """Report a connection that is ended since memory is short."""
