"""Bytes that processes send over TCP, from the kernel's socket counters."""

import re
import subprocess
from collections import defaultdict

__all__ = ["SentBytesCounter"]

#: Size of the IPv4 and TCP headers of a segment with the timestamp option.
SEGMENT_HEADER_BYTES = 52

_PROCESS_PATTERN = re.compile(r"pid=(\d+)")
_COUNTS_PATTERN = re.compile(r"bytes_sent:(\d+).*?segs_out:(\d+)")


class SentBytesCounter:
    """Sums the bytes that processes send to and from given ports, with headers.

    The kernel discards the counters of a connection when the connection closes. Bytes
    that were sent after the last :meth:`sample` are then not counted, so call it at
    intervals that are short compared with the life of a connection.

    :param ports: server ports; bytes that either end of a connection to one of these
        ports sends are counted.
    """

    def __init__(self, ports: frozenset[str]) -> None:
        self._ports = ports
        self._sent: dict[tuple[str, str, str], int] = {}

    @property
    def by_pid(self) -> dict[int, int]:
        """Number of bytes that each process sent until the last sample, by its id."""
        total: dict[int, int] = defaultdict(int)
        for (pid, _, _), n_bytes in self._sent.items():
            total[int(pid)] += n_bytes
        return total

    def sample(self) -> None:
        """Read the counters of all open connections."""
        listing = subprocess.run(
            ["ss", "-tinpH", "state", "established"],
            capture_output=True,
            text=True,
            check=True,
        ).stdout
        lines = listing.splitlines()
        for socket_line, counts_line in zip(lines[::2], lines[1::2], strict=False):
            self._count_socket(socket_line, counts_line)

    def _count_socket(self, socket_line: str, counts_line: str) -> None:
        process = _PROCESS_PATTERN.search(socket_line)
        counts = _COUNTS_PATTERN.search(counts_line)
        if process is None or counts is None:
            return
        _, _, local, remote = socket_line.split()[:4]
        ports = {local.rpartition(":")[2], remote.rpartition(":")[2]}
        if not ports & self._ports:
            return
        n_bytes = int(counts[1]) + int(counts[2]) * SEGMENT_HEADER_BYTES
        self._sent[process[1], local, remote] = n_bytes
