"""Runs that must not happen twice, as the gate beside the upstream knows them."""

import threading
import time
from collections import OrderedDict
from enum import StrEnum

from knapweedspring_node._calls._context import RunKey

__all__ = ["RunLedger", "RunState"]

MAX_ENTRIES = 200_000
MAX_FLOORS = 20_000


class RunState(StrEnum):
    """State of a run at one gate."""

    STARTED = "started"
    REVOKED = "revoked"


class RunLedger:
    """Decides, once for each run key, between starting and revoking.

    An entry is kept for the ticket's lifetime and a margin for delayed messages.
    Of entries that were dropped, the highest sequence of each owner's process
    stays: a message that is older still counts as one whose run has started.

    :param lifetime_s: how long entries are kept.
    """

    def __init__(self, lifetime_s: float) -> None:
        self._lifetime_s = lifetime_s
        self._lock = threading.Lock()
        self._entries: OrderedDict[RunKey, tuple[RunState, float]] = OrderedDict()
        self._floors: OrderedDict[tuple[str, int], int] = OrderedDict()

    def __len__(self) -> int:
        return len(self._entries)

    def start(self, key: RunKey) -> RunState | None:
        """Mark a run as started unless it is already decided.

        Actions ``gate:started`` and ``gate:already-started`` of the specification.

        :return: None when it is started now, else the earlier decision.
        """
        return self._decide(key, RunState.STARTED)

    def revoke(self, key: RunKey) -> RunState | None:
        """Forbid a run unless it is already decided.

        Action ``gate:revoked`` of the specification.

        :return: None when it is forbidden now, else the earlier decision.
        """
        return self._decide(key, RunState.REVOKED)

    def withdraw(self, key: RunKey) -> None:
        """Take back a start of which no byte reached the upstream."""
        with self._lock:
            self._entries.pop(key, None)

    def is_full(self) -> bool:
        """Whether a new run must be refuse until entries expire."""
        with self._lock:
            self._expire(time.monotonic())
            return len(self._entries) >= MAX_ENTRIES

    def _decide(self, key: RunKey, state: RunState) -> RunState | None:
        now = time.monotonic()
        with self._lock:
            self._expire(now)
            held = self._entries.get(key)
            if held is not None:
                return held[0]
            if key.sequence <= self._floors.get((key.owner, key.epoch), 0):
                return RunState.STARTED
            self._entries[key] = (state, now + self._lifetime_s)
            return None

    def _expire(self, now: float) -> None:
        # Entries are in order of insertion and share one lifetime.
        while self._entries:
            key, (_, expires_at) = next(iter(self._entries.items()))
            if expires_at > now:
                return
            del self._entries[key]
            self._raise_floor(key)

    def _raise_floor(self, key: RunKey) -> None:
        owner = (key.owner, key.epoch)
        self._floors[owner] = max(key.sequence, self._floors.pop(owner, 0))
        if len(self._floors) > MAX_FLOORS:
            self._floors.popitem(last=False)
