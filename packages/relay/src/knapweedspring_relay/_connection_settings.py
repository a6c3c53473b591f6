"""Settings of the connections to servers."""

from dataclasses import dataclass

__all__ = ["ConnectionSettings"]


@dataclass(frozen=True, slots=True)
class ConnectionSettings:
    """Timeouts of a pool's connections, and the header that identifies answers."""

    #: Time limit for establishing a connection, in seconds.
    connect_s: float
    #: Idle time after which a connection is not used again, in seconds.
    idle_s: float
    #: Time for which sent bytes may stay unacknowledged, in seconds.
    unacknowledged_s: float
    #: Answer header that holds the id of its request; empty when there is none.
    request_id_header: bytes = b""
