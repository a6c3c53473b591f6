"""Which call on which connection an answer belongs to."""

from dataclasses import dataclass

__all__ = ["ConnectionUse"]


@dataclass(frozen=True, slots=True)
class ConnectionUse:
    """One use of a connection by a call."""

    #: Number of the connection, in the order of the attempts to open one.
    connection: int
    #: Number of the call on the connection, from 1.
    call: int
