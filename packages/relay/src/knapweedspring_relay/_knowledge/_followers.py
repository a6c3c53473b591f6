"""Passes configuration and directory on to the nodes that follow this one."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import NamedTuple

import msgspec

from knapweedspring_relay._clock import now_s
from knapweedspring_relay._crash_records import CrashRecords
from knapweedspring_relay._hop_frames import FollowFrame, FrameSender, KnowledgeFrame
from knapweedspring_relay._knowledge._leavings import Leavings
from knapweedspring_relay._knowledge._peer_snapshot import PeerSnapshot
from knapweedspring_relay._knowledge._position import StorePosition
from knapweedspring_relay._upstream_process import UpstreamProcess

__all__ = ["FollowHandler", "Followers"]

#: Longest time between two frames, in seconds, of followers that get a confirmation of
#: the store with the next frame. Others get it at once, since it would be too old.
MAX_PATIENCE_S = 0.5
#: Time by which a timer may fire before a frame is due, in seconds.
TIMER_TOLERANCE_S = 0.05

_encoder = msgspec.msgpack.Encoder()


class FollowHandler(ABC):
    """Receives the connections of nodes that follow this one."""

    @abstractmethod
    def add(self, follower: FrameSender, request: FollowFrame) -> None:
        """Send a follower what it lacks, now and after each change.

        :param follower: the connection.
        :param request: what the follower has.
        """

    @abstractmethod
    def remove(self, follower: FrameSender) -> None:
        """Remove a follower, if it is one, whose connection has ended."""


class _Known(NamedTuple):
    """What a follower has received."""

    #: Version of the configuration.
    version: int
    #: Position of the directory.
    position: StorePosition
    #: Whether this node watches the store.
    is_watching: bool
    #: Value of ``CrashRecords.n_changes`` at the last frame; -1 before the first.
    n_refused_changes: int
    #: Value of ``Leavings.n_changes`` at the last frame; -1 before the first.
    n_leavings: int


class _Encoded(NamedTuple):
    """A frame, and what a follower knows after it."""

    #: The frame.
    frame: KnowledgeFrame
    #: What the follower knows then.
    known: _Known


@dataclass(slots=True)
class _Progress:
    """Progress of a follower."""

    #: What it has received.
    known: _Known
    #: Longest time between two frames that it expects, in seconds.
    period_s: float
    #: Time of the last frame, on the monotonic clock, in seconds.
    sent_at: float


class Followers(FollowHandler):
    """The followers of this node, with what each of them has received.

    :param snapshot: returns what this node knows beyond a version of the configuration
        and a position of the directory.
    :param crashes: requests that this node refuses.
    :param leavings: processes that are known to leave.
    :param on_leaving: called with the leaving processes that a follower knows.
    """

    def __init__(
        self,
        snapshot: Callable[[int, StorePosition], PeerSnapshot],
        crashes: CrashRecords,
        leavings: Leavings,
        on_leaving: Callable[[Iterable[UpstreamProcess]], None],
    ) -> None:
        self._snapshot = snapshot
        self._crashes = crashes
        self._leavings = leavings
        self._on_leaving = on_leaving
        self._progress: dict[FrameSender, _Progress] = {}

    @property
    def n_followers(self) -> int:
        """Number of followers."""
        return len(self._progress)

    def add(self, follower: FrameSender, request: FollowFrame) -> None:
        """Send a follower what it lacks, now and after each change."""
        position = StorePosition(request.era, request.revision)
        known = _Known(request.version, position, False, -1, -1)
        progress = _Progress(known, request.period_s, float("-inf"))
        self._progress[follower] = progress
        self._send_due(follower, progress, {}, now_s())
        self._on_leaving(request.leaving)

    def remove(self, follower: FrameSender) -> None:
        """Remove a follower whose connection has ended."""
        self._progress.pop(follower, None)

    def publish(self) -> None:
        """Send each follower what it lacks, or a sign of life when one is due."""
        now = now_s()
        # Most followers have received the same, so each content is encoded once.
        encoded: dict[_Known, _Encoded] = {}
        for follower, progress in tuple(self._progress.items()):
            self._send_due(follower, progress, encoded, now)

    def publish_confirmation(self) -> None:
        """Tell the followers in other data centres that the store has answered."""
        now = now_s()
        encoded: dict[_Known, _Encoded] = {}
        for follower, progress in tuple(self._progress.items()):
            if progress.period_s > MAX_PATIENCE_S:
                self._send_due(follower, progress, encoded, now, is_urgent=True)

    def _send_due(
        self,
        follower: FrameSender,
        progress: _Progress,
        encoded: dict[_Known, _Encoded],
        now: float,
        is_urgent: bool = False,
    ) -> None:
        known = progress.known
        found = encoded.get(known)
        if found is None:
            snapshot = self._snapshot(known.version, known.position)
            n_refused_changes = self._crashes.n_changes
            if known.n_refused_changes == n_refused_changes:
                snapshot = msgspec.structs.replace(snapshot, refused=())
            n_leavings = self._leavings.n_changes
            if known.n_leavings == n_leavings:
                snapshot = msgspec.structs.replace(snapshot, leaving=())
            found = encoded[known] = _Encoded(
                KnowledgeFrame(_encoder.encode(snapshot)),
                _Known(
                    max(known.version, snapshot.version),
                    max(known.position, snapshot.position),
                    snapshot.is_watching,
                    n_refused_changes,
                    n_leavings,
                ),
            )
        is_due = now - progress.sent_at >= progress.period_s - TIMER_TOLERANCE_S
        if found.known != known or is_due or is_urgent:
            follower.send(found.frame)
            progress.known, progress.sent_at = found.known, now
