"""Run journal of an upstream: what it received, began, finished and abandoned."""

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
    """Step in the life of one attempt at an upstream."""

    #: The request's header section was read; nothing ran yet.
    RECEIVED = "received"
    #: A slot was taken and work began.
    STARTED = "started"
    #: The answer was sent.
    FINISHED = "finished"
    #: Work ended, or never began, without an answer that counts.
    ABANDONED = "abandoned"
    #: The upstream's own state changed; the detail names the new state.
    STATE = "state"


@dataclass(frozen=True, slots=True)
class JournalEntry:
    """One line of the journal."""

    #: What happened.
    kind: EntryKind
    #: Seconds on the machine's monotonic clock, the same for all processes.
    time_s: float
    #: Service of the upstream.
    service: str
    #: Address of the upstream.
    upstream: str = ""
    #: Identity of the attempt, unique over all upstreams.
    attempt: str = ""
    #: HTTP method.
    method: str = ""
    #: Path as the upstream received it.
    path: str = ""
    #: Request id that the mesh gave.
    request_id: str = ""
    #: Ticket that came along, if any.
    ticket: str = ""
    #: Context token that came along, if any.
    context: str = ""
    #: The caller's name of the logical request, extended by each child call.
    nonce: str = ""
    #: The caller's name of one root request as the mesh counts it.
    chain: str = ""
    #: Attempt of the upstream that made this child call; empty for a root.
    parent_attempt: str = ""
    #: HTTP status of the answer; 0 where none was sent.
    status: int = 0
    #: Seconds of a slot that the attempt used up to now.
    work_s: float = 0.0
    #: Explanation, such as the reason of an abandonment.
    detail: str = ""


@dataclass(frozen=True, slots=True)
class JournalPage:
    """A journal as read from its upstream."""

    #: Address of the upstream.
    upstream: str
    #: Service of the upstream.
    service: str
    #: Entries, oldest first.
    entries: tuple[JournalEntry, ...]
    #: Most connections that were open at once.
    n_connections_max: int = 0


class Journal:
    """Appends entries from any thread.

    :param file: file that gets each entry as a line of JSON at once, so that
        it outlives a killed process; empty for none.
    """

    def __init__(self, file: str = "") -> None:
        self._lock = threading.Lock()
        self._entries: list[JournalEntry] = []
        self._fd = os.open(file, OPEN_FLAGS) if file else -1

    @property
    def entries(self) -> tuple[JournalEntry, ...]:
        """Everything written so far, oldest first."""
        with self._lock:
            return tuple(self._entries)

    def append(self, entry: JournalEntry) -> None:
        """Write one entry."""
        with self._lock:
            self._entries.append(entry)
            if self._fd >= 0:
                os.write(self._fd, msgspec.json.encode(entry) + b"\n")


def parse_page(data: bytes) -> JournalPage:
    """Parse the JSON of ``GET /-/journal``.

    :raises msgspec.ValidationError: the text is no journal.
    """
    return msgspec.json.decode(data, type=JournalPage)


def read_journal(file: Path) -> JournalPage:
    """Read the file of a journal, also of a process that was killed.

    :raises msgspec.DecodeError: a whole line is no entry.
    """
    data = file.read_bytes()
    # A process killed within a write leaves a last line without its end.
    whole = data[: data.rfind(b"\n") + 1]
    entries = msgspec.json.Decoder(JournalEntry).decode_lines(whole)
    if not entries:
        return JournalPage("", "", ())
    return JournalPage(entries[0].upstream, entries[0].service, tuple(entries))
