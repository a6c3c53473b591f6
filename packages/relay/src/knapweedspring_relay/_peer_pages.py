"""The page from which nodes read a peer's configuration and directory."""

from collections.abc import Callable

import msgspec

from knapweedspring_relay._configuration import Configuration, RouteTable
from knapweedspring_relay._directory import Directory, GateEntry
from knapweedspring_relay._http_server import Exchange, RequestHandler

__all__ = [
    "ControlHandler",
    "PEER_PAGE_PATH",
    "PeerSnapshot",
    "PeerPages",
    "PeerPageHandler",
    "decode_peer_snapshot",
]

#: Path of the peer page, which the knowledge and the heartbeat address both serve.
PEER_PAGE_PATH = b"/knowledge"


class PeerSnapshot(msgspec.Struct, frozen=True):
    """Content of the peer page, limited to parts that are newer than the reader's."""

    #: Configuration in force at the peer; None when it is not newer than the reader's
    #: configuration, or when there is none.
    configuration: Configuration | None
    #: Revision of the peer's directory.
    revision: int
    #: Entries of the peer's directory; None when its revision is not newer than the
    #: reader's.
    entries: tuple[GateEntry, ...] | None


_decoder = msgspec.json.Decoder(PeerSnapshot)


def decode_peer_snapshot(body: bytes) -> PeerSnapshot | None:
    """Decode a peer page; return None when it is malformed."""
    try:
        return _decoder.decode(body)
    except msgspec.DecodeError:
        return None


class PeerPages:
    """Serves the peer page, and detects newer configuration versions of peers.

    :param table: returns the routes in force; None before the first configuration.
    :param directory: directory of the gates.
    :param on_newer_version: called with the version when a peer has a newer one.
    """

    def __init__(
        self,
        table: Callable[[], RouteTable | None],
        directory: Directory,
        on_newer_version: Callable[[int], None],
    ) -> None:
        self._table = table
        self._directory = directory
        self._on_newer_version = on_newer_version

    def report_version(self, version: int) -> None:
        """Report the configuration version that a peer has in force.

        :param version: version of the peer's configuration.
        """
        table = self._table()
        if table is None or version > table.configuration.version:
            self._on_newer_version(version)

    def answer_request(self, exchange: Exchange) -> None:
        """Answer with the parts that are newer than the versions in the query."""
        path, _, query = exchange.request.target.partition(b"?")
        if path != PEER_PAGE_PATH:
            exchange.send_answer(404, [])
            return
        version, _, revision = query.partition(b"&")
        peer_snapshot = self._snapshot_newer_than(
            _parse_number(version), _parse_number(revision)
        )
        exchange.send_answer(200, [], msgspec.json.encode(peer_snapshot))

    def _snapshot_newer_than(self, version: int, revision: int) -> PeerSnapshot:
        table = self._table()
        configuration = table.configuration if table is not None else None
        if configuration is not None and configuration.version <= version:
            configuration = None
        own_revision = self._directory.revision
        entries = None
        if own_revision > revision:
            entries = tuple(self._directory.entries.values())
        return PeerSnapshot(configuration, own_revision, entries)


def _parse_number(text: bytes) -> int:
    return int(text) if text.isdigit() else 0


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
