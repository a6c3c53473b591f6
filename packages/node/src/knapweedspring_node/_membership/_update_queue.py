"""Queue of the updates that wait to be pushed to the neighbours."""

import threading

from knapweedspring_core import Member, ObjectKey, ObjectRecord

__all__ = ["UpdateQueue"]

#: Largest number of nodes with a queued entry. While it is reached, entries of other
#: nodes are dropped unless they are urgent; peers get them by anti-entropy.
#: The number of entries kept for repetition has the same limit.
MEMBERS_CAPACITY = 512
#: Largest number of members in one message.
MEMBERS_PER_MESSAGE = 24
#: Number of probes and replies that repeat an entry after its push.
N_REPEATS = 4
#: Largest number of entries that one probe or reply repeats.
REPEATS_PER_MESSAGE = 6
#: When the declarations in a message have this many bytes or more, no further
#: declaration is added; the others stay queued.
RECORDS_BYTES_PER_MESSAGE = 16_384


class UpdateQueue:
    """Holds the newest version of each changed member and declaration."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._members: dict[str, Member] = {}
        self._records: dict[ObjectKey, ObjectRecord] = {}
        self._n_repeats_left: dict[str, int] = {}
        self._pushed: dict[str, Member] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no update is queued."""
        return not self._members and not self._records

    def add_member(self, member: Member, urgent: bool = False) -> None:
        """Queue an entry, which replaces a queued entry of the same node.

        While the queue is full, an entry of a node without a queued entry is
        dropped, unless it is urgent.

        :param member: the changed entry.
        :param urgent: whether to queue the entry before all others.
        """
        with self._lock:
            if urgent:
                self._members.pop(member.node_id, None)
                self._members = {member.node_id: member, **self._members}
            elif member.node_id in self._members or not self._is_full:
                self._members[member.node_id] = member

    def add_record(self, record: ObjectRecord) -> None:
        """Queue a declaration; it replaces a queued version of the same object."""
        with self._lock:
            self._records[record.key] = record

    def pop_batch(self) -> tuple[tuple[Member, ...], tuple[ObjectRecord, ...]]:
        """Remove and return the updates for one message.

        Urgent entries come first, then the entries that were queued first.
        """
        with self._lock:
            return self._pop_members(), self._pop_records()

    def next_repeats(self) -> tuple[Member, ...]:
        """Return recently pushed entries for a probe or reply to repeat.

        Each call counts as one repetition of the entries that it returns.
        """
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
        self._n_repeats_left[node_id] -= 1
        if self._n_repeats_left[node_id] == 0:
            del self._n_repeats_left[node_id], self._pushed[node_id]

    def _pop_members(self) -> tuple[Member, ...]:
        node_ids = list(self._members)[:MEMBERS_PER_MESSAGE]
        members = tuple(self._members.pop(node_id) for node_id in node_ids)
        for member in members:
            if len(self._pushed) < MEMBERS_CAPACITY:
                self._pushed[member.node_id] = member
                self._n_repeats_left[member.node_id] = N_REPEATS
        return members

    def _pop_records(self) -> tuple[ObjectRecord, ...]:
        popped = []
        n_bytes = 0
        while self._records and n_bytes < RECORDS_BYTES_PER_MESSAGE:
            record = self._records.pop(next(iter(self._records)))
            n_bytes += len(record.content)
            popped.append(record)
        return tuple(popped)
