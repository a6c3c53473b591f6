"""Guards against journal files that lose entries when their process is killed.

A kill during a write leaves a truncated last line, which must not make the complete
entries before it unreadable.
"""

from knapweedspring_standins._journal import (
    EntryKind,
    Journal,
    JournalEntry,
    JournalPage,
    read_journal,
)


def test_file_contains_the_appended_entries(tmp_path):
    file = tmp_path / "one.journal"
    journal = Journal(str(file))
    for kind in EntryKind:
        journal.append(JournalEntry(kind, 1.5, "orders", "10.0.0.1:80", "a/1"))
    page = read_journal(file)
    assert page.entries == journal.entries
    assert (page.upstream, page.service) == ("10.0.0.1:80", "orders")


def test_truncated_last_entry_of_a_killed_process_is_ignored(tmp_path):
    file = tmp_path / "one.journal"
    journal = Journal(str(file))
    for attempt in ("a/1", "a/2"):
        journal.append(JournalEntry(EntryKind.STARTED, 1.5, "orders", attempt=attempt))
    file.write_bytes(file.read_bytes()[:-5])
    assert [entry.attempt for entry in read_journal(file).entries] == ["a/1"]


def test_file_without_entries_gives_an_empty_page(tmp_path):
    file = tmp_path / "one.journal"
    file.touch()
    assert read_journal(file) == JournalPage("", "", ())
