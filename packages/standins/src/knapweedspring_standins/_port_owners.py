"""Finds which child process opened a loopback connection."""

import os
import threading
import time
from collections.abc import Iterator

__all__ = ["PortOwners"]

TCP_TABLE = "/proc/net/tcp"
#: Maximum number of lookups of one port. A lookup that finds no owner is repeated,
#: because the kernel's table of sockets may lack an open socket while other connections
#: open and close.
N_LOOKUPS_MAX = 5
LOOKUP_PAUSE_S = 0.002
NO_INODE = "0"
SOCKET_PREFIX = "socket:["


class PortOwners:
    """Maps local ports to the names of the processes that hold them.

    Only processes that were added are examined. Concurrent lookups share one scan
    of the kernel's tables. Fault proxies use this class to identify the source of a
    connection.
    """

    def __init__(self) -> None:
        self._names: dict[int, str] = {}
        self._lock = threading.Lock()
        self._scan_lock = threading.Lock()
        self._scanned_at = 0.0
        self._owners: dict[int, str] = {}

    def add(self, pid: int, name: str) -> None:
        """Register a process under a name.

        :param pid: id of a process that runs as the same user.
        :param name: name that :meth:`owner_of` returns for its ports.
        """
        with self._lock:
            self._names[pid] = name

    def owner_of(self, port: int) -> str:
        """Return the name of the process that holds a port; empty if unknown."""
        for _ in range(N_LOOKUPS_MAX):
            name = self._look_up(port)
            if name:
                return name
            time.sleep(LOOKUP_PAUSE_S)
        return ""

    def _look_up(self, port: int) -> str:
        requested_at = time.monotonic()
        with self._scan_lock:
            # A scan from before this lookup may show an earlier holder of the port.
            if self._scanned_at < requested_at:
                self._scan()
            return self._owners.get(port, "")

    def _scan(self) -> None:
        self._scanned_at = time.monotonic()
        with self._lock:
            names = dict(self._names)
        holders = {
            inode: name for pid, name in names.items() for inode in _inodes_of(pid)
        }
        self._owners = {
            port: holders[inode] for port, inode in _open_ports() if inode in holders
        }


def _open_ports() -> Iterator[tuple[int, str]]:
    """Yield the local ports of open sockets with their inodes.

    The kernel's table has one line for each socket, so a port may appear in several
    lines. Lines without an inode are skipped: a closed connection in TIME_WAIT keeps
    its port but has no inode.
    """
    with open(TCP_TABLE, encoding="ascii") as table:
        next(table)
        for line in table:
            fields = line.split()
            if fields[9] != NO_INODE:
                yield int(fields[1].rpartition(":")[2], 16), fields[9]


def _inodes_of(pid: int) -> Iterator[str]:
    """Yield the inodes of the sockets that a process has open."""
    directory = f"/proc/{pid}/fd"
    try:
        numbers = os.listdir(directory)
    except OSError:
        return
    for number in numbers:
        try:
            target = os.readlink(f"{directory}/{number}")
        except OSError:
            # The process closed the file since the listing.
            continue
        if target.startswith(SOCKET_PREFIX):
            yield target.removeprefix(SOCKET_PREFIX).removesuffix("]")
