"""The page from which nodes read a peer's configuration and directory."""

from collections.abc import Callable

import msgspec

from knapweedspring_relay._http_server import Exchange, RequestHandler
from knapweedspring_relay._knowledge._peer_snapshot import PeerSnapshot
from knapweedspring_relay._knowledge._position import StorePosition
from knapweedspring_relay._numbers import parse_decimal

__all__ = [
    "ControlHandler",
    "PeerPageHandler",
    "PeerPages",
    "decode_peer_snapshot",
    "peer_page_target",
]

#: Path of the peer page, which the knowledge and the heartbeat address both serve.
PEER_PAGE_PATH = b"/knowledge"

_decoder = msgspec.json.Decoder(PeerSnapshot)


def decode_peer_snapshot(body: bytes) -> PeerSnapshot | None:
    """Decode a peer page; return None when it is malformed."""
    try:
        return _decoder.decode(body)
    except (msgspec.DecodeError, RecursionError):
        return None


def peer_page_target(version: int, position: StorePosition) -> bytes:
    """Return the path and query with which a node reads a peer's page.

    :param version: version of the reader's configuration.
    :param position: position of the reader's directory.
    """
    return b"%b?%d&%d&%d" % (PEER_PAGE_PATH, version, position.era, position.revision)


class PeerPages:
    """Serves the peer page.

    :param snapshot: returns what this node knows beyond a version of the configuration
        and a position of the directory.
    """

    def __init__(self, snapshot: Callable[[int, StorePosition], PeerSnapshot]) -> None:
        self._snapshot = snapshot

    def answer_request(self, exchange: Exchange) -> None:
        """Answer with the parts that are newer than the numbers in the query."""
        path, _, query = exchange.request.target.partition(b"?")
        if path != PEER_PAGE_PATH:
            exchange.send_answer(404, [])
            return
        numbers = [parse_decimal(text) or 0 for text in query.split(b"&")]
        version, era, revision = (*numbers, 0, 0, 0)[:3]
        snapshot = self._snapshot(version, StorePosition(era, revision))
        exchange.send_answer(200, [], msgspec.json.encode(snapshot))


class PeerPageHandler(RequestHandler):
    """Serves the peer page on the knowledge address.

    :param pages: answers other nodes.
    """

    def __init__(self, pages: PeerPages) -> None:
        self._pages = pages

    async def handle(self, exchange: Exchange) -> None:
        """Answer a request of another node for the peer page."""
        self._pages.answer_request(exchange)


class ControlHandler(RequestHandler):
    """Serves heartbeats, and the peer page for nodes that use this one as a seed.

    :param heartbeats: handles the requests of the upstream.
    :param pages: answers other nodes.
    """

    def __init__(self, heartbeats: RequestHandler, pages: PeerPages) -> None:
        self._heartbeats = heartbeats
        self._pages = pages

    async def handle(self, exchange: Exchange) -> None:
        """Answer a heartbeat of the upstream, or a request for the peer page."""
        if exchange.request.target.startswith(PEER_PAGE_PATH):
            self._pages.answer_request(exchange)
        else:
            await self._heartbeats.handle(exchange)
