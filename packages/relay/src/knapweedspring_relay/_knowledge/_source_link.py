"""Connection over which a node receives what another node knows."""

from collections.abc import Callable

import msgspec

from knapweedspring_relay._hop_frames import FollowFrame, Frame, KnowledgeFrame
from knapweedspring_relay._knowledge._peer_snapshot import PeerSnapshot
from knapweedspring_relay._peer_link import PeerLink

__all__ = ["SourceLink"]

_decoder = msgspec.msgpack.Decoder(PeerSnapshot)


class SourceLink(PeerLink):
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
        super().__init__(node, address)
        self._period_s = period_s
        self._request = request
        self._on_snapshot = on_snapshot
        self._on_end = on_end
        self._not_watching_since: float | None = self._heard_at
        self._passes_confirmations_on = False

    @property
    def period_s(self) -> float:
        """Longest time between two frames of the node, in seconds."""
        return self._period_s

    @property
    def is_watching(self) -> bool:
        """Whether the last snapshot says that the node watches the store."""
        return self._not_watching_since is None

    @property
    def passes_confirmations_on(self) -> bool:
        """Whether the node says when the store confirmed its knowledge."""
        return self._passes_confirmations_on

    def not_watching_s(self, now: float) -> float:
        """Return for how long the node has not been known to watch the store.

        :param now: monotonic time, in seconds.
        :return: time in seconds; 0 when it watches the store.
        """
        since = self._not_watching_since
        return now - since if since is not None else 0.0

    def handle_open(self) -> None:
        """Ask for the knowledge of the node."""
        self.renew_request()

    def renew_request(self) -> None:
        """Ask again, since the request also says what this node knows."""
        self.send(self._request(self._period_s))

    def handle_frame(self, frame: Frame) -> None:
        """Pass a snapshot on."""
        if not isinstance(frame, KnowledgeFrame):
            return
        snapshot = _decoder.decode(frame.content)
        self._passes_confirmations_on = snapshot.confirmed_age_s is not None
        if snapshot.is_watching:
            self._not_watching_since = None
        elif self._not_watching_since is None:
            self._not_watching_since = self._heard_at
        self._on_snapshot(self, snapshot)

    def handle_end(self, reason: str) -> None:
        """Report the end of the link."""
        self._on_end(self, reason)
