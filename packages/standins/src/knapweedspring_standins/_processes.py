"""Starts, pauses and ends processes of the product and of the stand-ins.

Each process prints one JSON line when it serves. All processes that a group
started are ended with it, by their process ids.
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
    """A process ended, or stayed silent, before it was ready."""


@dataclass(frozen=True, slots=True)
class ReadyMessage:
    """The line that a process prints when it serves."""

    #: Always true.
    ready: bool
    #: Address of a stand-in.
    address: str = ""
    #: Name of a node.
    node_id: str = ""
    #: Address of a node for calls.
    call_address: str = ""
    #: Address of a node for control messages.
    control_address: str = ""
    #: Address of a node's read-only pages.
    admin_address: str = ""


class Process:
    """One started process.

    :param name: name for messages and for the file of its standard error.
    :param command: program and arguments.
    :param directory: directory for the file of its standard error.
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
        """Exit code; None while it runs."""
        return self._popen.poll()

    @property
    def name(self) -> str:
        """Name for messages."""
        return self._name

    @property
    def pid(self) -> int:
        """Process id."""
        return self._popen.pid

    @property
    def ready(self) -> ReadyMessage:
        """The ready line; waits for it.

        :raises ProcessFailed: it did not come in time.
        """
        if not self._line_read.wait(READY_TIMEOUT_S) or self._ready is None:
            raise ProcessFailed(f"{self._name} is not ready: {self.stderr_tail()}")
        return self._ready

    def stderr_tail(self, n_bytes: int = 4_000) -> str:
        """End of its standard error."""
        data = self._stderr_file.read_bytes()
        return data[-n_bytes:].decode("utf-8", "replace")

    def cpu_s(self) -> float:
        """Processor time that it has used, in seconds; 0 once it ended."""
        try:
            text = Path(f"/proc/{self.pid}/stat").read_text(encoding="ascii")
        except OSError:
            return 0.0
        fields = text.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def memory_kb(self) -> int:
        """Resident memory in KB; 0 once it ended."""
        try:
            text = Path(f"/proc/{self.pid}/statm").read_text(encoding="ascii")
        except OSError:
            return 0
        return int(text.split()[1]) * os.sysconf("SC_PAGE_SIZE") // 1_024

    def terminate(self) -> None:
        """Ask it to stop in order (SIGTERM)."""
        self._signal(signal.SIGTERM)

    def kill(self) -> None:
        """End it at once (SIGKILL) and wait until it is gone."""
        self._signal(signal.SIGKILL)
        self._popen.wait(KILL_TIMEOUT_S)

    def pause(self) -> None:
        """Hold it (SIGSTOP)."""
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let it go on (SIGCONT)."""
        self._signal(signal.SIGCONT)

    def wait(self, timeout_s: float) -> int | None:
        """Wait for its end.

        :return: exit code, or None when the time passed first.
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
        # Drains the rest, so that a talkative process never blocks.
        while stream.read(65_536):
            pass
        stream.close()


class ProcessGroup:
    """Processes that end together; a context manager.

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
        """All processes, in the order of their starts."""
        return tuple(self._processes)

    def start(self, name: str, command: list[str]) -> Process:
        """Start a process; does not wait until it is ready."""
        process = Process(name, command, self._directory)
        self._processes.append(process)
        return process

    def start_standin(self, name: str, arguments: list[str]) -> Process:
        """Start a subcommand of the stand-ins."""
        module = "knapweedspring_standins"
        return self.start(name, [sys.executable, "-m", module, *arguments])

    def start_node(self, settings: object) -> Process:
        """Start a node.

        :param settings: frozen data class with the fields of the node's
            settings file, ``node_id`` among them.
        """
        fields = msgspec.to_builtins(settings)
        name = fields["node_id"]
        n_before = sum(process.name.startswith(name) for process in self._processes)
        unique = f"{name}-{n_before}" if n_before else name
        file = self._directory / f"{unique}.json"
        file.write_bytes(msgspec.json.encode(fields))
        module = "knapweedspring_node"
        command = [sys.executable, "-m", module, "--settings", str(file)]
        return self.start(unique, command)

    def close(self) -> None:
        """Kill what still runs and remove the temporary directory."""
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
    """Poll a condition.

    :param condition: callable without arguments.
    :return: whether it became true in time.
    """
    until = time.monotonic() + timeout_s
    while time.monotonic() < until:
        if condition():
            return True
        time.sleep(interval_s)
    return False
