"""What nodes read from each other: the configuration and the directory."""

from collections.abc import Callable

import msgspec

from knapweedspring_relay._configuration import Configuration, RouteTable
from knapweedspring_relay._directory import Directory, GateEntry
from knapweedspring_relay._http_server import Exchange, RequestHandler

__all__ = [
    "ControlHandler",
    "PEER_PAGE_PATH",
    "PeerKnowledge",
    "PeerPages",
    "KnowledgeHandler",
    "decode_knowledge",
]

#: Path of the page on the knowledge address.
PEER_PAGE_PATH = b"/knowledge"


class PeerKnowledge(msgspec.Struct, frozen=True):
    """What one node knows; parts that the reader has already are left out."""

    #: Declarations in force.
    configuration: Configuration | None
    #: Revision of the directory.
    revision: int
    #: Entries of the directory; None when the reader's are as new.
    entries: tuple[GateEntry, ...] | None


_decoder = msgspec.json.Decoder(PeerKnowledge)


def decode_knowledge(body: bytes) -> PeerKnowledge | None:
    """Return what a peer told; None when it cannot be read."""
    try:
        return _decoder.decode(body)
    except msgspec.DecodeError:
        return None


class PeerPages:
    """Answers other nodes, and learns from their calls that a version exists.

    :param table: returns the routes in force; None before the first configuration.
    :param directory: the gates.
    :param on_newer_version: told when a peer goes by a newer configuration.
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

    def note_version(self, version: int) -> None:
        """Take in the version that a peer goes by."""
        table = self._table()
        if table is None or version > table.configuration.version:
            self._on_newer_version(version)

    def answer(self, exchange: Exchange) -> None:
        """Answer a peer's question for what it does not know."""
        path, _, query = exchange.request.target.partition(b"?")
        if path != PEER_PAGE_PATH:
            exchange.answer(404, [])
            return
        version, _, revision = query.partition(b"&")
        knowledge = self._newer_than(_number(version), _number(revision))
        exchange.answer(200, [], msgspec.json.encode(knowledge))

    def _newer_than(self, version: int, revision: int) -> PeerKnowledge:
        table = self._table()
        configuration = table.configuration if table is not None else None
        if configuration is not None and configuration.version <= version:
            configuration = None
        own_revision = self._directory.revision
        entries = None
        if own_revision > revision:
            entries = tuple(self._directory.entries.values())
        return PeerKnowledge(configuration, own_revision, entries)


def _number(text: bytes) -> int:
    return int(text) if text.isdigit() else 0


class KnowledgeHandler(RequestHandler):
    """Serves other nodes only.

    :param pages: answers them.
    """

    def __init__(self, pages: PeerPages) -> None:
        self._pages = pages

    async def handle(self, exchange: Exchange) -> None:
        """Answer another node."""
        self._pages.answer(exchange)


class ControlHandler(RequestHandler):
    """Serves heartbeats, and nodes that know no other address than this one.

    :param heartbeats: answers the upstream.
    :param pages: answers other nodes.
    """

    def __init__(self, heartbeats: RequestHandler, pages: PeerPages) -> None:
        self._heartbeats = heartbeats
        self._pages = pages

    async def handle(self, exchange: Exchange) -> None:
        """Answer the upstream or another node."""
        if exchange.request.target.startswith(PEER_PAGE_PATH):
            self._pages.answer(exchange)
        else:
            await self._heartbeats.handle(exchange)
