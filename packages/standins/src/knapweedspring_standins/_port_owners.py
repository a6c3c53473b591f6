"""Tells which started process a loopback connection comes from."""

import os
import threading
import time

__all__ = ["PortOwners"]

TCP_TABLE = "/proc/net/tcp"
#: The kernel's table may lack a line while other connections come and go.
N_LOOKUPS = 5
LOOKUP_PAUSE_S = 0.002


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
        inode = _inode_of(port)
        if not inode:
            return ""
        with self._lock:
            names = dict(self._names)
        wanted = f"socket:[{inode}]"
        for pid, name in names.items():
            if _holds(pid, wanted):
                return name
        return ""


def _inode_of(port: int) -> str:
    suffix = f":{port:04X}"
    with open(TCP_TABLE, encoding="ascii") as table:
        next(table)
        for line in table:
            fields = line.split()
            if fields[1].endswith(suffix):
                return fields[9]
    return ""


def _holds(pid: int, wanted: str) -> bool:
    directory = f"/proc/{pid}/fd"
    try:
        numbers = os.listdir(directory)
    except OSError:
        return False
    for number in numbers:
        try:
            if os.readlink(f"{directory}/{number}") == wanted:
                return True
        except OSError:
            # The process closed the file meanwhile.
            continue
    return False
