"""Signal that ends the waits of calls shortly before the process ends."""

import socket

__all__ = ["StopSignal"]


class StopSignal:
    """Becomes readable, for every thread that polls it, when it is set.

    A wait for an answer polls it beside the connections of the call, so that the caller
    gets an answer before the process ends.
    """

    def __init__(self) -> None:
        self._reader, self._writer = socket.socketpair()
        self._is_set = False

    @property
    def is_set(self) -> bool:
        """Whether the process is about to end."""
        return self._is_set

    def set(self) -> None:
        """End the waits that poll the signal, and those that begin later."""
        self._is_set = True
        # The end of the stream stays readable, unlike bytes that one thread takes.
        self._writer.close()

    def fileno(self) -> int:
        """Return the file descriptor to poll."""
        return self._reader.fileno()
