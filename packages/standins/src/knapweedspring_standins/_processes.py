"""Starts, suspends and ends processes of nodes and stand-ins.

Each process prints one JSON line when it is ready to serve. A group ends all
processes that it started, by their process ids.
"""

import atexit
import contextlib
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import msgspec

__all__ = ["Process", "ProcessFailed", "ProcessGroup", "ReadyMessage", "poll_until"]

READY_TIMEOUT_S = 30.0
KILL_TIMEOUT_S = 10.0


class ProcessFailed(Exception):
    """A process did not get ready, or a request to a process failed."""


@dataclass(frozen=True, slots=True)
class ReadyMessage:
    """JSON line that a process prints when it is ready to serve."""

    #: Always true.
    ready: bool
    #: Address that a stand-in serves on.
    address: str = ""
    #: Id of a node.
    node_id: str = ""
    #: Call address of a node.
    call_address: str = ""
    #: Control address of a node.
    control_address: str = ""
    #: Admin address of a node, which serves its read-only pages.
    admin_address: str = ""


class Process:
    """One started process.

    :param name: name of the process in messages, and of the file for its standard
        error.
    :param command: program and arguments.
    :param directory: directory of the file for its standard error.
    """

    def __init__(self, name: str, command: list[str], directory: Path) -> None:
        self._name = name
        self._stderr_file = directory / f"{name}.stderr"
        with self._stderr_file.open("wb") as stderr:
            self._popen = subprocess.Popen(
                command,
                stdin=subprocess.DEVNULL,
                stdout=subprocess.PIPE,
                stderr=stderr,
            )
        self._ready: ReadyMessage | None = None
        self._line_read = threading.Event()
        threading.Thread(target=self._read_stdout, daemon=True).start()

    @property
    def exit_code(self) -> int | None:
        """Exit code; None while the process runs."""
        return self._popen.poll()

    @property
    def name(self) -> str:
        """Name of the process in messages."""
        return self._name

    @property
    def pid(self) -> int:
        """Process id."""
        return self._popen.pid

    @property
    def ready(self) -> ReadyMessage:
        """Ready message of the process; waits until the message arrives.

        :raises ProcessFailed: the message did not arrive in time.
        """
        if not self._line_read.wait(READY_TIMEOUT_S) or self._ready is None:
            raise ProcessFailed(f"{self._name} is not ready: {self.stderr_tail()}")
        return self._ready

    def stderr_tail(self, n_bytes: int = 4_000) -> str:
        """Return the last bytes of the process's standard error as text."""
        data = self._stderr_file.read_bytes()
        return data[-n_bytes:].decode("utf-8", "replace")

    def cpu_s(self) -> float:
        """Return the CPU time used so far in seconds; 0 after the process ended."""
        try:
            text = Path(f"/proc/{self.pid}/stat").read_text(encoding="ascii")
        except OSError:
            return 0.0
        fields = text.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def memory_kb(self) -> int:
        """Return the resident memory in KB; 0 after the process ended."""
        try:
            text = Path(f"/proc/{self.pid}/statm").read_text(encoding="ascii")
        except OSError:
            return 0
        return int(text.split()[1]) * os.sysconf("SC_PAGE_SIZE") // 1_024

    def terminate(self) -> None:
        """Request a graceful stop (SIGTERM)."""
        self._signal(signal.SIGTERM)

    def kill(self) -> None:
        """Kill the process (SIGKILL) and wait until it ended."""
        self._signal(signal.SIGKILL)
        self._popen.wait(KILL_TIMEOUT_S)

    def pause(self) -> None:
        """Suspend the process (SIGSTOP)."""
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume the process (SIGCONT)."""
        self._signal(signal.SIGCONT)

    def wait(self, timeout_s: float) -> int | None:
        """Wait until the process ends.

        :return: exit code, or None after the timeout.
        """
        try:
            return self._popen.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None

    def _signal(self, number: int) -> None:
        if self._popen.poll() is None:
            self._popen.send_signal(number)

    def _read_stdout(self) -> None:
        stream = self._popen.stdout
        assert stream is not None
        line = stream.readline()
        with contextlib.suppress(msgspec.DecodeError):
            self._ready = msgspec.json.decode(line, type=ReadyMessage)
        self._line_read.set()
        # Discards further output, so that a full pipe never blocks the process.
        while stream.read(65_536):
            pass
        stream.close()


class ProcessGroup:
    """Processes that are ended together; a context manager.

    >>> with ProcessGroup() as group:
    ...     platform = group.start_standin("platform", ["platform"])
    """

    def __init__(self) -> None:
        self._directory = Path(tempfile.mkdtemp(prefix="knapweedspring-"))
        self._processes: list[Process] = []
        self._closed = False
        atexit.register(self.close)

    def __enter__(self) -> "ProcessGroup":
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    @property
    def directory(self) -> Path:
        """Temporary directory of the group."""
        return self._directory

    @property
    def processes(self) -> tuple[Process, ...]:
        """All processes in the order in which they were started."""
        return tuple(self._processes)

    def start(self, name: str, command: list[str]) -> Process:
        """Start a process without waiting until it is ready."""
        process = Process(name, command, self._directory)
        self._processes.append(process)
        return process

    def start_standin(self, name: str, arguments: list[str]) -> Process:
        """Start a subcommand of the stand-ins' program."""
        module = "knapweedspring_standins"
        return self.start(name, [sys.executable, "-m", module, *arguments])

    def start_node(self, settings: object) -> Process:
        """Start a node.

        :param settings: frozen data class with the fields of the node's
            settings file, including ``node_id``.
        """
        fields = msgspec.to_builtins(settings)
        name = fields["node_id"]
        n_before = sum(process.name.startswith(name) for process in self._processes)
        unique_name = f"{name}-{n_before}" if n_before else name
        file = self._directory / f"{unique_name}.json"
        file.write_bytes(msgspec.json.encode(fields))
        module = "knapweedspring_node"
        command = [sys.executable, "-m", module, "--settings", str(file)]
        return self.start(unique_name, command)

    def close(self) -> None:
        """Kill running processes and remove the temporary directory."""
        if self._closed:
            return
        self._closed = True
        atexit.unregister(self.close)
        running = [p for p in self._processes if p.exit_code is None]
        for process in running:
            process.kill()
        shutil.rmtree(self._directory, ignore_errors=True)


def poll_until(
    condition: Callable[[], object],
    timeout_s: float = READY_TIMEOUT_S,
    interval_s: float = 0.05,
) -> bool:
    """Poll a condition until it is true.

    :param condition: callable whose result is tested for truth.
    :return: whether the condition became true before the timeout.
    """
    deadline_at = time.monotonic() + timeout_s
    while time.monotonic() < deadline_at:
        if condition():
            return True
        time.sleep(interval_s)
    return False
