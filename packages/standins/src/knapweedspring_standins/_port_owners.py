"""Tells which started process a loopback connection comes from."""

import os
import threading
import time

__all__ = ["PortOwners"]

TCP_TABLE = "/proc/net/tcp"
#: The kernel's table may lack a line while other connections come and go.
N_LOOKUPS = 5
LOOKUP_PAUSE_S = 0.002
NO_INODE = "0"


class PortOwners:
    """Finds the name of the process that holds a local port.

    Only processes that were added are looked at.
    """

    def __init__(self) -> None:
        self._names: dict[int, str] = {}
        self._lock = threading.Lock()

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
        wanted = {f"socket:[{inode}]" for inode in _inodes_of(port)}
        if not wanted:
            return ""
        with self._lock:
            names = dict(self._names)
        for pid, name in names.items():
            if _holds(pid, wanted):
                return name
        return ""


def _inodes_of(port: int) -> set[str]:
    """Inodes of the open sockets with a local port.

    A closed connection that still waits in the kernel keeps its port without an
    inode, so that a port may stand in several lines.
    """
    suffix = f":{port:04X}"
    inodes = set()
    with open(TCP_TABLE, encoding="ascii") as table:
        next(table)
        for line in table:
            fields = line.split()
            if fields[1].endswith(suffix) and fields[9] != NO_INODE:
                inodes.add(fields[9])
    return inodes


def _holds(pid: int, wanted: set[str]) -> bool:
    directory = f"/proc/{pid}/fd"
    try:
        numbers = os.listdir(directory)
    except OSError:
        return False
    for number in numbers:
        try:
            if os.readlink(f"{directory}/{number}") in wanted:
                return True
        except OSError:
            # The process closed the file meanwhile.
            continue
    return False
