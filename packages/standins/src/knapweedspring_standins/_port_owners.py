"""Tells which started process a loopback connection comes from."""

import os
import threading
import time
from collections.abc import Iterator

__all__ = ["PortOwners"]

TCP_TABLE = "/proc/net/tcp"
#: The kernel's table may lack a line while other connections come and go.
N_LOOKUPS = 5
LOOKUP_PAUSE_S = 0.002
NO_INODE = "0"
SOCKET_PREFIX = "socket:["


class PortOwners:
    """Finds the name of the process that holds a local port.

    Only processes that were added are looked at. Many ports that are asked for at
    once share one scan of the kernel's tables.
    """

    def __init__(self) -> None:
        self._names: dict[int, str] = {}
        self._lock = threading.Lock()
        self._scan_lock = threading.Lock()
        self._scanned_at = 0.0
        self._owners: dict[int, str] = {}

    def add(self, pid: int, name: str) -> None:
        """Name a process.

        :param pid: process of the same user.
        :param name: name that :meth:`owner_of` gives for its ports.
        """
        with self._lock:
            self._names[pid] = name

    def owner_of(self, port: int) -> str:
        """Name of the process that connected from a port; empty if unknown."""
        for _ in range(N_LOOKUPS):
            name = self._look_up(port)
            if name:
                return name
            time.sleep(LOOKUP_PAUSE_S)
        return ""

    def _look_up(self, port: int) -> str:
        asked_at = time.monotonic()
        with self._scan_lock:
            # An earlier scan may show the port's holder before this connection.
            if self._scanned_at < asked_at:
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
    """Local ports of open sockets and their inodes.

    A closed connection that still waits in the kernel keeps its port without an
    inode, so that a port may stand in several lines.
    """
    with open(TCP_TABLE, encoding="ascii") as table:
        next(table)
        for line in table:
            fields = line.split()
            if fields[9] != NO_INODE:
                yield int(fields[1].rpartition(":")[2], 16), fields[9]


def _inodes_of(pid: int) -> Iterator[str]:
    """Inodes of the sockets that a process holds."""
    directory = f"/proc/{pid}/fd"
    try:
        numbers = os.listdir(directory)
    except OSError:
        return
    for number in numbers:
        try:
            target = os.readlink(f"{directory}/{number}")
        except OSError:
            # The process closed the file meanwhile.
            continue
        if target.startswith(SOCKET_PREFIX):
            yield target.removeprefix(SOCKET_PREFIX).removesuffix("]")
