"""Steps that alternate while a part of the store is synchronised."""

from enum import StrEnum

__all__ = ["WATCH_WAIT_S", "SyncStep"]

#: Longest wait of one watch for a change, in seconds. It is long, because each call to
#: the store has a cost.
WATCH_WAIT_S = 25.0


class SyncStep(StrEnum):
    """Next step of a synchronisation with the store."""

    #: Read everything.
    READ = "read"
    #: Wait for changes after the last position.
    WATCH = "watch"
