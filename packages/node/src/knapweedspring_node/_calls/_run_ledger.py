"""Decisions of a gate on runs that may happen at most once."""

import threading
import time
from collections import OrderedDict
from enum import StrEnum

from knapweedspring_node._calls._context import RunKey

__all__ = ["RunLedger", "RunState"]

MAX_ENTRIES = 200_000
#: Largest number of owner processes whose highest expired sequence number is kept. The
#: process whose number was recorded least recently is dropped first.
MAX_EXPIRED_OWNERS = 20_000


class RunState(StrEnum):
    """State of a run at one gate."""

    STARTED = "started"
    REVOKED = "revoked"


class RunLedger:
    """Records, once for each run key, whether the run was started or revoked.

    An entry is kept for the ticket's lifetime and a margin for delayed messages.
    For each owner's process, the ledger keeps the highest sequence number of its
    expired entries. A run that has no entry counts as started when its number is not
    above this highest number, so that a delayed message cannot start it again.

    :param lifetime_s: how long entries are kept, in seconds.
    """

    def __init__(self, lifetime_s: float) -> None:
        self._lifetime_s = lifetime_s
        self._lock = threading.Lock()
        self._entries: OrderedDict[RunKey, tuple[RunState, float]] = OrderedDict()
        self._expired_sequences: OrderedDict[tuple[str, int], int] = OrderedDict()

    def __len__(self) -> int:
        return len(self._entries)

    def start(self, key: RunKey) -> RunState | None:
        """Record a run as started unless it was started or revoked before.

        Actions ``gate:started`` and ``gate:already-started`` of the specification.

        :return: None when the run may start now, else its earlier state.
        """
        return self._decide(key, RunState.STARTED)

    def revoke(self, key: RunKey) -> RunState | None:
        """Record a run as revoked unless it was started or revoked before.

        Action ``gate:revoked`` of the specification.

        :return: None when the run is revoked now, else its earlier state.
        """
        return self._decide(key, RunState.REVOKED)

    def withdraw(self, key: RunKey) -> None:
        """Remove the entry of a run that did not happen, so that it may start later."""
        with self._lock:
            self._entries.pop(key, None)

    def is_full(self) -> bool:
        """Whether a new run must be refused until entries expire."""
        with self._lock:
            self._expire(time.monotonic())
            return len(self._entries) >= MAX_ENTRIES

    def _decide(self, key: RunKey, state: RunState) -> RunState | None:
        now = time.monotonic()
        with self._lock:
            self._expire(now)
            entry = self._entries.get(key)
            if entry is not None:
                return entry[0]
            if key.sequence <= self._expired_sequences.get((key.owner, key.epoch), 0):
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
            self._record_expired(key)

    def _record_expired(self, key: RunKey) -> None:
        owner = (key.owner, key.epoch)
        self._expired_sequences[owner] = max(
            key.sequence, self._expired_sequences.pop(owner, 0)
        )
        if len(self._expired_sequences) > MAX_EXPIRED_OWNERS:
            self._expired_sequences.popitem(last=False)
