"""Errors of the relay's layers; each layer translates those of the layer below."""

__all__ = [
    "BadAnswer",
    "CallError",
    "CallWithdrawn",
    "ConnectFailed",
    "ConnectionBroke",
    "MessageError",
    "RelayError",
]


class RelayError(Exception):
    """Base of all errors of this package."""


class MessageError(RelayError):
    """A request that cannot be received: malformed, too large or too slow.

    :param status: HTTP status of the answer.
    :param detail: what is wrong, for the log.
    """

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self._status = status

    @property
    def status(self) -> int:
        """HTTP status of the answer."""
        return self._status


class CallError(RelayError):
    """Base of the failures of an outgoing call."""


class ConnectFailed(CallError):
    """No connection was established, so nothing was sent.

    :param detail: what failed, for the log.
    :param is_refused: whether no process listens at the address.
    """

    def __init__(self, detail: str, is_refused: bool = False) -> None:
        super().__init__(detail)
        self._is_refused = is_refused

    @property
    def is_refused(self) -> bool:
        """Whether no process listens at the address."""
        return self._is_refused


class CallWithdrawn(CallError):
    """The call was withdrawn before it was sent."""


class ConnectionBroke(CallError):
    """The connection was closed or reset before the answer was complete."""


class BadAnswer(CallError):
    """The received bytes are not a valid answer to this request."""
