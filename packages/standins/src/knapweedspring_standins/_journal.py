"""Journal of an upstream: the attempts that it received, started and ended."""

import os
import threading
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path

import msgspec

__all__ = [
    "EntryKind",
    "Journal",
    "JournalEntry",
    "JournalPage",
    "parse_page",
    "read_journal",
]

OPEN_FLAGS = os.O_WRONLY | os.O_APPEND | os.O_CREAT


class EntryKind(StrEnum):
    """Kind of a journal entry: a step of an attempt, or a change of state."""

    #: The request was read completely; nothing has run yet.
    RECEIVED = "received"
    #: The attempt got a slot and started to run.
    STARTED = "started"
    #: The answer was sent.
    FINISHED = "finished"
    #: The attempt was shed or cancelled, or it missed its deadline, possibly before it
    #: started.
    ABANDONED = "abandoned"
    #: The upstream's own state changed; the detail names the new state.
    STATE = "state"


@dataclass(frozen=True, slots=True)
class JournalEntry:
    """One entry of the journal."""

    #: Kind of the entry.
    kind: EntryKind
    #: Time on the machine's monotonic clock, which all processes share, in seconds.
    time_s: float
    #: Service of the upstream.
    service: str
    #: Address of the upstream.
    upstream: str = ""
    #: Id of the attempt, unique over all upstreams.
    attempt: str = ""
    #: HTTP method.
    method: str = ""
    #: Path as the upstream received it.
    path: str = ""
    #: Request id that the mesh assigned.
    request_id: str = ""
    #: Ticket in the request; empty for none.
    ticket: str = ""
    #: Context token in the request; empty for none.
    context: str = ""
    #: Identifier of the logical request; each child call appends a slash and an index.
    nonce: str = ""
    #: Chain of the root request; see :attr:`SendRecord.chain`.
    chain: str = ""
    #: Id of the attempt that made this child call; empty for a root request.
    parent_attempt: str = ""
    #: HTTP status of the answer; 0 if none was sent.
    status: int = 0
    #: Time for which the attempt has occupied a slot, in seconds.
    work_s: float = 0.0
    #: Explanation, such as the reason of an abandonment.
    detail: str = ""


@dataclass(frozen=True, slots=True)
class JournalPage:
    """The journal of one upstream, as read over HTTP or from its file."""

    #: Address of the upstream.
    upstream: str
    #: Service of the upstream.
    service: str
    #: Entries, oldest first.
    entries: tuple[JournalEntry, ...]
    #: Maximum number of connections that were open at the same time; 0 in a journal
    #: that was read from a file.
    n_connections_max: int = 0


class Journal:
    """Journal in memory and optionally in a file; safe for use by several threads.

    :param file: path of a file to which each entry is written immediately as a line
        of JSON, so that it is kept when the process is killed; empty for no file.
    """

    def __init__(self, file: str = "") -> None:
        self._lock = threading.Lock()
        self._entries: list[JournalEntry] = []
        self._fd = os.open(file, OPEN_FLAGS) if file else -1

    @property
    def entries(self) -> tuple[JournalEntry, ...]:
        """Entries appended so far, oldest first."""
        with self._lock:
            return tuple(self._entries)

    def append(self, entry: JournalEntry) -> None:
        """Append one entry."""
        with self._lock:
            self._entries.append(entry)
            if self._fd >= 0:
                os.write(self._fd, msgspec.json.encode(entry) + b"\n")


def parse_page(data: bytes) -> JournalPage:
    """Parse the answer of ``GET /-/journal``.

    :param data: JSON text.
    :return: journal of the upstream that answered.
    :raises msgspec.ValidationError: the text is not a journal.
    """
    return msgspec.json.decode(data, type=JournalPage)


def read_journal(file: Path) -> JournalPage:
    """Read a journal file, which may be that of a killed process.

    :param file: path of the file.
    :return: the journal, without a truncated last line.
    :raises msgspec.DecodeError: a complete line is not an entry.
    """
    data = file.read_bytes()
    # A process that is killed during a write leaves a truncated last line.
    complete = data[: data.rfind(b"\n") + 1]
    entries = msgspec.json.Decoder(JournalEntry).decode_lines(complete)
    if not entries:
        return JournalPage("", "", ())
    return JournalPage(entries[0].upstream, entries[0].service, tuple(entries))
