"""Budget of the process for all that its peers make it hold: memory and connections."""

from dataclasses import dataclass

from knapweedspring_relay._clock import now_s
from knapweedspring_relay._memory_holder import MemoryHolder
from knapweedspring_relay._sockets import BACKLOG

__all__ = [
    "CONNECTION_BYTES",
    "HEADER_BYTES",
    "REQUEST_BYTES",
    "SMALLEST_VM_BYTES",
    "SMALLEST_VM_DESCRIPTORS",
    "STREAM_BYTES",
    "WAITING_REQUEST_BYTES",
    "BudgetLimits",
    "MemoryAccount",
    "MemoryBudget",
]

#: Memory of an open connection besides what it sends: parser, transport and the state
#: of the protocol, in bytes.
CONNECTION_BYTES = 6_144
#: Memory of a parsed header besides its name and value: the pair, the two objects and
#: the place in the list, in bytes.
HEADER_BYTES = 176
#: Memory of a request that waits until earlier ones on its connection are answered,
#: besides its head and body, in bytes.
WAITING_REQUEST_BYTES = 512
#: Memory of a request that is handled, besides its head and body: its task, its state
#: and its timers, in bytes.
REQUEST_BYTES = 8_192
#: Memory of an answer that is passed on while it arrives: what the upstream's and the
#: caller's connections and the window between nodes buffer, in bytes.
STREAM_BYTES = 262_144

#: Memory in bytes and file descriptors of the smallest VM of the deployments.
SMALLEST_VM_BYTES = 200_000_000
SMALLEST_VM_DESCRIPTORS = 4_100
#: Memory of the process itself, with its knowledge of the deployment, in bytes.
PROCESS_BYTES = 64_000_000
#: Share of the rest of the VM's memory that peers may make the process hold before the
#: holder of most for longest is ended, and share above which nothing more is held. What
#: is left is for copies while a message is read or written, and for fragments.
ROOM_SHARE = 0.53
MAX_SHARE = 0.6
#: Share of the limit that is freed at once, so that the holders are not ranked for each
#: message.
FREED_SHARE = 0.1
#: Descriptors of the VM that the platform reserves for files.
N_FILE_DESCRIPTORS = 200
#: Share of the other descriptors that peers' connections may take; the rest is for
#: connections to upstreams, other nodes and the store.
ACCEPTED_SHARE = 0.75
#: Smallest memory, in bytes, and number of connections that are shared out, for a VM
#: with very little memory or few descriptors.
MIN_BYTES = 16_000_000
MIN_CONNECTIONS = 64


@dataclass(frozen=True, slots=True)
class BudgetLimits:
    """Limits of a budget."""

    #: Bytes above which the holder of most for longest is ended.
    room_bytes: int
    #: Bytes above which nothing more is held.
    max_bytes: int
    #: Number of accepted connections above which the oldest is ended.
    n_connections: int

    @classmethod
    def of_vm(cls, memory_bytes: int, n_descriptors: int) -> "BudgetLimits":
        """Return the limits for a VM.

        :param memory_bytes: memory above which the process is killed, in bytes.
        :param n_descriptors: file descriptors that the process may have open.
        """
        # A listener accepts all connections that the kernel has queued before any of
        # them can be ended.
        n_accepted = int(ACCEPTED_SHARE * (n_descriptors - N_FILE_DESCRIPTORS))
        n_bytes = max(MIN_BYTES, memory_bytes - PROCESS_BYTES)
        return cls(
            room_bytes=int(ROOM_SHARE * n_bytes),
            max_bytes=int(MAX_SHARE * n_bytes),
            n_connections=max(MIN_CONNECTIONS, n_accepted - BACKLOG),
        )


class MemoryAccount:
    """Memory that one peer makes the process hold.

    :param budget: budget of the process.
    :param holder: what is ended when memory is short.
    :param is_connection: whether the holder also takes a file descriptor.
    """

    def __init__(
        self, budget: "MemoryBudget", holder: MemoryHolder, is_connection: bool
    ) -> None:
        self._budget = budget
        self._holder: MemoryHolder | None = holder
        self._is_connection = is_connection
        self._is_connection_kept = False
        self._n_bytes = 0
        self._since = now_s()
        self._is_ended = False

    @property
    def budget(self) -> "MemoryBudget":
        """Budget that the account belongs to."""
        return self._budget

    @property
    def n_bytes(self) -> int:
        """Bytes that are held, without those of an idle connection."""
        return self._n_bytes

    @property
    def since(self) -> float:
        """Time since which bytes are held, or since which none are, on the monotonic
        clock, in seconds.
        """
        return self._since

    @property
    def is_connection(self) -> bool:
        """Whether the holder also takes a file descriptor."""
        return self._is_connection

    @property
    def is_ended(self) -> bool:
        """Whether the holder was ended to free memory."""
        return self._is_ended

    def keep_connection(self) -> None:
        """End the connection no more only because too many are open."""
        self._is_connection_kept = True

    @property
    def may_close(self) -> bool:
        """Whether the connection may be ended when too many are open."""
        return self._is_connection and not (self._is_connection_kept or self._is_ended)

    def mark_ended(self) -> None:
        """Choose the holder no more, since it is being ended."""
        self._is_ended = True

    def end_holder(self) -> None:
        """End what holds the memory."""
        if self._holder is not None:
            self._holder.end_for_memory()

    def hold(self, n_bytes: int) -> bool:
        """Hold further bytes.

        :param n_bytes: bytes to hold.
        :return: whether they are held; False when memory is short and no other peer
            holds more for longer.
        """
        if not self._budget.reserve(self, n_bytes):
            return False
        if self._n_bytes == 0:
            self._since = now_s()
        self._n_bytes += n_bytes
        return True

    def release(self, n_bytes: int) -> None:
        """Release bytes that were held."""
        if n_bytes:
            self._n_bytes -= n_bytes
            self._budget.release(n_bytes)
            if self._n_bytes == 0:
                self._since = now_s()

    def close(self) -> None:
        """Forget the holder; bytes that are still held are to be released later."""
        # A holder that refers to its account would keep its memory until the garbage
        # collector runs.
        self._holder = None
        self._budget.close_account(self)


class MemoryBudget:
    """Counts what peers hold and ends the holder of most for longest when it is short.

    Holders are ranked by their bytes times the time for which they hold them, so a
    caller that has just come and holds little is the last to be ended.

    :param limits: limits of the budget.
    """

    def __init__(self, limits: BudgetLimits) -> None:
        self._limits = limits
        self._accounts: dict[int, MemoryAccount] = {}
        self._n_bytes = 0
        self._n_connections = 0
        #: Connections that were ended and are still open.
        self._n_ending_connections = 0
        self._n_ended = 0

    @classmethod
    def of_smallest_vm(cls) -> "MemoryBudget":
        """Return a budget for a process whose VM is not known."""
        return cls(BudgetLimits.of_vm(SMALLEST_VM_BYTES, SMALLEST_VM_DESCRIPTORS))

    @property
    def n_bytes(self) -> int:
        """Bytes that all peers hold, with those of their connections."""
        return self._n_bytes

    @property
    def limits(self) -> BudgetLimits:
        """Limits of the budget."""
        return self._limits

    @property
    def n_connections(self) -> int:
        """Number of open connections of peers."""
        return self._n_connections

    @property
    def n_ended(self) -> int:
        """Number of holders that were ended so far."""
        return self._n_ended

    def open_account(
        self, holder: MemoryHolder, is_connection: bool = False
    ) -> MemoryAccount:
        """Return an account for a peer that begins to hold something.

        :param holder: what is ended when memory is short.
        :param is_connection: whether the holder also takes a file descriptor.
        """
        if is_connection:
            n_over = self._n_connections - self._n_ending_connections
            n_over -= self._limits.n_connections
            if n_over >= 0:
                self._end_old_connections(n_over + 1)
            self._n_connections += 1
            self._n_bytes += CONNECTION_BYTES
        account = MemoryAccount(self, holder, is_connection)
        self._accounts[id(account)] = account
        return account

    def close_account(self, account: MemoryAccount) -> None:
        """Forget the holder of an account; see :meth:`MemoryAccount.close`."""
        found = self._accounts.pop(id(account), None)
        if found is not None and account.is_connection:
            self._n_connections -= 1
            self._n_ending_connections -= int(account.is_ended)
            self._n_bytes -= CONNECTION_BYTES

    def reserve(self, account: MemoryAccount, n_bytes: int) -> bool:
        """Count bytes as held, and make room for them when memory is short.

        :param account: account that is to hold the bytes.
        :param n_bytes: the bytes.
        :return: whether they are counted.
        """
        if account.is_ended:
            return False
        if self._n_bytes + n_bytes > self._limits.room_bytes:
            self._make_room(account, n_bytes)
            if account.is_ended or self._n_bytes + n_bytes > self._limits.max_bytes:
                return False
        self._n_bytes += n_bytes
        return True

    def release(self, n_bytes: int) -> None:
        """Count bytes as held no more."""
        self._n_bytes -= n_bytes

    def _make_room(self, account: MemoryAccount, n_bytes: int) -> None:
        """End holders until there is room, or until it is the turn of the account."""
        now = now_s()
        wanted = int((1.0 - FREED_SHARE) * self._limits.room_bytes) - n_bytes
        ranked = []
        n_ending_bytes = 0
        for other in self._accounts.values():
            n_held = other.n_bytes
            if other.is_ended:
                n_ending_bytes += n_held
            elif n_held > 0:
                ranked.append((n_held * (now - other.since), id(other)))
        ranked.sort(reverse=True)
        n_left = self._n_bytes - n_ending_bytes
        for _, key in ranked:
            if n_left <= wanted:
                return
            chosen = self._accounts.get(key)
            if chosen is None:
                continue
            if chosen is account:
                # The account itself is next; its holder learns it from the result.
                self._mark_ended(account)
                return
            n_left -= chosen.n_bytes
            self._end(chosen)

    def _end_old_connections(self, n_least: int) -> None:
        """End the connections that are as they are for longest.

        :param n_least: number of connections to end at least.
        """
        connections = [
            (other.since, key)
            for key, other in self._accounts.items()
            if other.may_close
        ]
        connections.sort()
        n_wanted = n_least + int(FREED_SHARE * self._limits.n_connections)
        for _, key in connections[:n_wanted]:
            found = self._accounts.get(key)
            if found is not None:
                self._end(found)

    def _end(self, account: MemoryAccount) -> None:
        self._mark_ended(account)
        account.end_holder()

    def _mark_ended(self, account: MemoryAccount) -> None:
        account.mark_ended()
        self._n_ended += 1
        self._n_ending_connections += int(account.is_connection)
