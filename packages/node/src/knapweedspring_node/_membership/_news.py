"""Entries that changed lately and have to be passed on."""

import threading

from knapweedspring_core import Member, ObjectKey, ObjectRecord

__all__ = ["NewsQueue"]

#: Members that may wait; the comparison of digests repairs what is dropped.
MEMBERS_CAPACITY = 512
#: Members of one message.
MEMBERS_PER_MESSAGE = 24
#: Probes and replies that repeat an entry after it was pushed.
N_REPEATS = 4
#: Entries that one probe or reply repeats.
REPEATS_PER_MESSAGE = 6
#: Bytes of declarations after which a message takes no further one.
RECORDS_BYTES_PER_MESSAGE = 16_384


class NewsQueue:
    """Holds the newest version of each changed entry, declarations first."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._members: dict[str, Member] = {}
        self._records: dict[ObjectKey, ObjectRecord] = {}
        self._repeats: dict[str, int] = {}
        self._pushed: dict[str, Member] = {}

    @property
    def empty(self) -> bool:
        """Whether nothing waits."""
        return not self._members and not self._records

    def add_member(self, member: Member, urgent: bool = False) -> None:
        """Queue an entry; it replaces an older one of the same node.

        :param urgent: puts it before all others, and takes it even when the
            queue is full.
        """
        with self._lock:
            if urgent:
                self._members.pop(member.node_id, None)
                self._members = {member.node_id: member, **self._members}
            elif member.node_id in self._members or not self._is_full:
                self._members[member.node_id] = member

    def add_record(self, record: ObjectRecord) -> None:
        """Queue a declaration; it replaces an older version."""
        with self._lock:
            self._records[record.key] = record

    def take(self) -> tuple[tuple[Member, ...], tuple[ObjectRecord, ...]]:
        """Remove and return what fits one message, oldest first."""
        with self._lock:
            return self._take_members(), self._take_records()

    def repeat(self) -> tuple[Member, ...]:
        """Return some entries that were pushed lately, for a probe to carry."""
        with self._lock:
            node_ids = list(self._pushed)[:REPEATS_PER_MESSAGE]
            chosen = tuple(self._pushed[node_id] for node_id in node_ids)
            for node_id in node_ids:
                self._count_repeat(node_id)
            return chosen

    @property
    def _is_full(self) -> bool:
        return len(self._members) >= MEMBERS_CAPACITY

    def _count_repeat(self, node_id: str) -> None:
        self._repeats[node_id] -= 1
        if self._repeats[node_id] == 0:
            del self._repeats[node_id], self._pushed[node_id]

    def _take_members(self) -> tuple[Member, ...]:
        node_ids = list(self._members)[:MEMBERS_PER_MESSAGE]
        members = tuple(self._members.pop(node_id) for node_id in node_ids)
        for member in members:
            if len(self._pushed) < MEMBERS_CAPACITY:
                self._pushed[member.node_id] = member
                self._repeats[member.node_id] = N_REPEATS
        return members

    def _take_records(self) -> tuple[ObjectRecord, ...]:
        taken = []
        n_bytes = 0
        while self._records and n_bytes < RECORDS_BYTES_PER_MESSAGE:
            record = self._records.pop(next(iter(self._records)))
            n_bytes += len(record.content)
            taken.append(record)
        return tuple(taken)
