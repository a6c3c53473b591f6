"""The page from which nodes read a peer's configuration and directory."""

from collections.abc import Callable, Iterable
from urllib.parse import quote_from_bytes, unquote

import msgspec

from knapweedspring_relay._http_server import Exchange, RequestHandler
from knapweedspring_relay._knowledge._entry_rules import problem_of_upstream
from knapweedspring_relay._knowledge._peer_snapshot import PeerSnapshot
from knapweedspring_relay._knowledge._position import StorePosition
from knapweedspring_relay._numbers import parse_decimal
from knapweedspring_relay._upstream_process import UpstreamProcess

__all__ = [
    "ControlHandler",
    "PeerPageHandler",
    "PeerPages",
    "decode_peer_snapshot",
    "peer_page_target",
]

#: Path of the peer page, which the knowledge and the heartbeat address both serve.
PEER_PAGE_PATH = b"/knowledge"
#: Begin of the part of the query that names a process that leaves. Older nodes read
#: only the parts before it.
LEAVING_KEY = b"leaving="

_decoder = msgspec.json.Decoder(PeerSnapshot)


def decode_peer_snapshot(body: bytes) -> PeerSnapshot | None:
    """Decode a peer page; return None when it is malformed."""
    try:
        return _decoder.decode(body)
    except (msgspec.DecodeError, RecursionError):
        return None


def peer_page_target(
    version: int, position: StorePosition, leaving: UpstreamProcess | None = None
) -> bytes:
    """Return the path and query with which a node reads a peer's page.

    :param version: version of the reader's configuration.
    :param position: position of the reader's directory.
    :param leaving: a process beside the reader that leaves; None when there is none.
    """
    numbers = (version, position.era, position.revision)
    target = b"%b?%d&%d&%d" % (PEER_PAGE_PATH, *numbers)
    if leaving is None:
        return target
    texts = (leaving.node, leaving.instance, str(leaving.born_ms))
    parts = [quote_from_bytes(text.encode(), safe="").encode() for text in texts]
    return b"%b&%b%b" % (target, LEAVING_KEY, b",".join(parts))


def _leaving_of(query: list[bytes]) -> UpstreamProcess | None:
    """Return the process that a reader names as leaving; None when it names none."""
    for part in query:
        if not part.startswith(LEAVING_KEY):
            continue
        texts = part.removeprefix(LEAVING_KEY).decode("latin-1").split(",")
        if len(texts) != 3:
            return None
        node, instance, number = map(unquote, texts)
        born_ms = parse_decimal(number.encode())
        if born_ms is None or problem_of_upstream(instance, born_ms, 1):
            return None
        return UpstreamProcess(node, instance, born_ms)
    return None


class PeerPages:
    """Serves the peer page.

    :param snapshot: returns what this node knows beyond a version of the configuration
        and a position of the directory.
    :param on_leaving: called with the processes that a reader knows to leave.
    """

    def __init__(
        self,
        snapshot: Callable[[int, StorePosition], PeerSnapshot],
        on_leaving: Callable[[Iterable[UpstreamProcess]], None],
    ) -> None:
        self._snapshot = snapshot
        self._on_leaving = on_leaving

    def answer_request(self, exchange: Exchange) -> None:
        """Answer with the parts that are newer than the numbers in the query."""
        path, _, query = exchange.request.target.partition(b"?")
        if path != PEER_PAGE_PATH:
            exchange.send_answer(404, [])
            return
        parts = query.split(b"&")
        leaving = _leaving_of(parts[3:])
        if leaving is not None:
            self._on_leaving((leaving,))
        numbers = [parse_decimal(text) or 0 for text in parts[:3]]
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
