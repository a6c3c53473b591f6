"""Connection that a node keeps to another node for frames without calls."""

import asyncio
from abc import ABC, abstractmethod
from typing import cast

import msgspec

from knapweedspring_relay._addresses import split_address
from knapweedspring_relay._clock import now_s
from knapweedspring_relay._frame_reader import FrameReader
from knapweedspring_relay._hop_frames import (
    Frame,
    FrameError,
    FrameSender,
    GoAwayFrame,
    encode_frame,
)
from knapweedspring_relay._sockets import set_timeouts

__all__ = ["PeerLink"]

#: Time limit for establishing the connection, in seconds.
CONNECT_TIMEOUT_S = 0.4
#: Time for which sent bytes may stay unacknowledged, in seconds.
UNACKNOWLEDGED_S = 1.0


class PeerLink(asyncio.Protocol, FrameSender, ABC):
    """A connection to the gate address of another node, opened at once.

    :param node: name of the other node.
    :param address: address of its gate, as ``ip:port``.
    """

    def __init__(self, node: str, address: str) -> None:
        self._node = node
        self._address = address
        self._frames = FrameReader()
        self._transport: asyncio.Transport | None = None
        self._has_ended = False
        self._heard_at = now_s()
        self._task = asyncio.ensure_future(self._connect())

    @property
    def node(self) -> str:
        """Name of the other node."""
        return self._node

    @property
    def address(self) -> str:
        """Address of the other node's gate, ``ip:port``."""
        return self._address

    def silent_s(self, now: float) -> float:
        """Return for how long nothing has been received, in seconds.

        :param now: monotonic time, in seconds.
        """
        return now - self._heard_at

    def send(self, frame: Frame) -> None:
        """Send a frame unless the connection is closed."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(encode_frame(frame))

    def close(self) -> None:
        """Close the connection without a report of its end."""
        self._has_ended = True
        self._task.cancel()
        if self._transport is not None:
            self._transport.abort()

    def close_when_sent(self) -> None:
        """Close the connection once sent frames have left, without a report."""
        self._has_ended = True
        self._task.cancel()
        if self._transport is not None:
            self._transport.close()

    @abstractmethod
    def handle_open(self) -> None:
        """Handle that the connection is established."""

    @abstractmethod
    def handle_frame(self, frame: Frame) -> None:
        """Handle a frame of the other node.

        :param frame: the frame.
        """

    @abstractmethod
    def handle_end(self, reason: str) -> None:
        """Handle the end of the connection, which the other node or a failure caused.

        :param reason: why it ended.
        """

    async def _connect(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            host, port = split_address(self._address)
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.create_connection(lambda: self, host, port)
        except (OSError, TimeoutError, ValueError) as error:
            self._end(f"not connected: {error or 'timed out'}")

    # Protocol callbacks.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the kernel's timeouts."""
        self._transport = cast(asyncio.Transport, transport)
        set_timeouts(self._transport, UNACKNOWLEDGED_S)
        self._heard_at = now_s()
        self.handle_open()

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the link."""
        self._end(str(exc) if exc else "closed by the other node")

    def data_received(self, data: bytes) -> None:
        """Decode the received frames and handle them."""
        self._heard_at = now_s()
        try:
            for frame in self._frames.feed(data):
                if isinstance(frame, GoAwayFrame):
                    self._abort("the other node is stopping")
                elif not self._has_ended:
                    self.handle_frame(frame)
        except (FrameError, msgspec.DecodeError, RecursionError) as error:
            self._abort(f"malformed: {error}")

    def _abort(self, reason: str) -> None:
        if self._transport is not None:
            self._transport.abort()
        self._end(reason)

    def _end(self, reason: str) -> None:
        if not self._has_ended:
            self._has_ended = True
            self.handle_end(reason)
