"""Interface of an accepted connection, as its listener sees it."""

from abc import abstractmethod

from knapweedspring_relay._memory_holder import MemoryHolder

__all__ = ["OwnedConnection"]


class OwnedConnection(MemoryHolder):
    """A connection that a listener has accepted."""

    @property
    @abstractmethod
    def n_pending(self) -> int:
        """Number of requests whose answers have not been sent completely."""

    @abstractmethod
    def close_when_written(self) -> None:
        """Close the connection once no request is being answered on it."""

    @abstractmethod
    def check_timeouts(self, now: float) -> None:
        """Close the connection when it is idle or its request arrives too slowly.

        :param now: current time on the monotonic clock, in seconds.
        """
