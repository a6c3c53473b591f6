"""Errors of the relay's layers; each layer turns those from below into its own."""

__all__ = [
    "BadAnswer",
    "CallError",
    "ConnectFailed",
    "ConnectionBroke",
    "MessageError",
    "RelayError",
]


class RelayError(Exception):
    """Base of all errors of this package."""


class MessageError(RelayError):
    """A request that cannot be read.

    :param status: status of the answer that it gets.
    :param detail: what is wrong, for the log.
    """

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self._status = status

    @property
    def status(self) -> int:
        """Status of the answer."""
        return self._status


class CallError(RelayError):
    """Base of the failures of an outgoing call."""


class ConnectFailed(CallError):
    """No connection was established, so nothing was sent."""


class ConnectionBroke(CallError):
    """The connection ended before the answer was whole."""


class BadAnswer(CallError):
    """The bytes that came back are not an answer to this request."""
