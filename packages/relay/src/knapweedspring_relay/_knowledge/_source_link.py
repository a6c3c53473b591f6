"""Connection over which a node receives what another node knows."""

import asyncio
from collections.abc import Callable
from typing import cast

import msgspec

from knapweedspring_relay._clock import now_s
from knapweedspring_relay._hop_frames import (
    FollowFrame,
    FrameError,
    FrameReader,
    GoAwayFrame,
    KnowledgeFrame,
    encode_frame,
)
from knapweedspring_relay._knowledge._peer_snapshot import PeerSnapshot
from knapweedspring_relay._sockets import set_timeouts

__all__ = ["SourceLink"]

#: Time limit for establishing the connection, in seconds.
CONNECT_TIMEOUT_S = 0.4
#: Time for which sent bytes may stay unacknowledged, in seconds.
UNACKNOWLEDGED_S = 1.0

_decoder = msgspec.msgpack.Decoder(PeerSnapshot)


class SourceLink(asyncio.Protocol):
    """Follows one node.

    :param node: name of the node that is followed.
    :param address: address of its gate, as ``ip:port``.
    :param period_s: longest time between two frames of the node, in seconds.
    :param request: makes the request that states what this node has.
    :param on_snapshot: called with the link and each snapshot received.
    :param on_end: called with the link and a reason when it has ended.
    """

    def __init__(
        self,
        node: str,
        address: str,
        period_s: float,
        request: Callable[[float], FollowFrame],
        on_snapshot: Callable[["SourceLink", PeerSnapshot], None],
        on_end: Callable[["SourceLink", str], None],
    ) -> None:
        self._node = node
        self._address = address
        self._period_s = period_s
        self._request = request
        self._on_snapshot = on_snapshot
        self._on_end = on_end
        self._frames = FrameReader()
        self._transport: asyncio.Transport | None = None
        self._has_ended = False
        self._heard_at = now_s()
        self._not_watching_since: float | None = self._heard_at
        self._task = asyncio.ensure_future(self._connect())

    @property
    def node(self) -> str:
        """Name of the node that is followed."""
        return self._node

    @property
    def address(self) -> str:
        """Address of the gate of the node that is followed, ``ip:port``."""
        return self._address

    @property
    def period_s(self) -> float:
        """Longest time between two frames of the node, in seconds."""
        return self._period_s

    @property
    def is_watching(self) -> bool:
        """Whether the last snapshot says that the node watches the store."""
        return self._not_watching_since is None

    def silent_s(self, now: float) -> float:
        """Return for how long nothing has been received, in seconds.

        :param now: monotonic time, in seconds.
        """
        return now - self._heard_at

    def not_watching_s(self, now: float) -> float:
        """Return for how long the node has not been known to watch the store.

        :param now: monotonic time, in seconds.
        :return: time in seconds; 0 when it watches the store.
        """
        since = self._not_watching_since
        return now - since if since is not None else 0.0

    def close(self) -> None:
        """Close the connection without a call of ``on_end``."""
        self._has_ended = True
        self._task.cancel()
        if self._transport is not None:
            self._transport.abort()

    async def _connect(self) -> None:
        host, _, port = self._address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.create_connection(lambda: self, host, int(port))
        except (OSError, TimeoutError, ValueError) as error:
            self._end(f"not connected: {error or 'timed out'}")

    # Protocol callbacks.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Ask for the knowledge of the node."""
        self._transport = cast(asyncio.Transport, transport)
        set_timeouts(self._transport, UNACKNOWLEDGED_S)
        self._heard_at = now_s()
        self._transport.write(encode_frame(self._request(self._period_s)))

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the link."""
        self._end(str(exc) if exc else "closed by the other node")

    def data_received(self, data: bytes) -> None:
        """Decode the received frames and pass their snapshots on."""
        self._heard_at = now_s()
        try:
            for frame in self._frames.feed(data):
                if isinstance(frame, KnowledgeFrame):
                    self._receive_snapshot(_decoder.decode(frame.content))
                elif isinstance(frame, GoAwayFrame):
                    self._abort("the other node is stopping")
        except (FrameError, msgspec.DecodeError) as error:
            self._abort(f"malformed: {error}")

    def _receive_snapshot(self, snapshot: PeerSnapshot) -> None:
        if self._has_ended:
            return
        if snapshot.is_watching:
            self._not_watching_since = None
        elif self._not_watching_since is None:
            self._not_watching_since = self._heard_at
        self._on_snapshot(self, snapshot)

    def _abort(self, reason: str) -> None:
        if self._transport is not None:
            self._transport.abort()
        self._end(reason)

    def _end(self, reason: str) -> None:
        if not self._has_ended:
            self._has_ended = True
            self._on_end(self, reason)
