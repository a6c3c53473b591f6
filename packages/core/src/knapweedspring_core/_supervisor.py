"""Supervisor tree: threads that are restarted when they fail."""

import threading
from abc import ABC, abstractmethod
from collections.abc import Callable

__all__ = ["Child", "Supervisor", "ThreadChild"]

RESTART_BACKOFF_MAX_S = 5.0
RESTART_BACKOFF_MIN_S = 0.05


class Child(ABC):
    """One branch or leaf of the tree."""

    @property
    @abstractmethod
    def name(self) -> str:
        """Name for events and status pages."""

    @abstractmethod
    def start(self) -> None:
        """Begin to work; returns at once."""

    @abstractmethod
    def stop(self) -> None:
        """Ask the child to end; returns at once."""

    @abstractmethod
    def join(self, timeout_s: float) -> bool:
        """Wait until the child ended; False when the timeout passed first."""


class ThreadChild(Child):
    """A leaf: one function that runs in a thread of its own.

    The function is started again, with a growing pause, when it raises; it is
    not when it returns.

    :param name: name of the thread.
    :param run: the function; it must return soon after ``stop`` was called.
    :param stop: makes ``run`` return.
    :param on_error: told of each exception.
    """

    def __init__(
        self,
        name: str,
        run: Callable[[], None],
        stop: Callable[[], None],
        on_error: Callable[[str, BaseException], None],
    ) -> None:
        self._name = name
        self._run = run
        self._stop = stop
        self._on_error = on_error
        self._stopping = threading.Event()
        self._n_restarts = 0
        self._thread = threading.Thread(target=self._keep_running, name=name)
        self._thread.daemon = True

    @property
    def name(self) -> str:
        """Name of the thread."""
        return self._name

    @property
    def n_restarts(self) -> int:
        """How often the function has failed."""
        return self._n_restarts

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Ask the function to return, and do not start it again."""
        self._stopping.set()
        self._stop()

    def join(self, timeout_s: float) -> bool:
        """Wait for the thread."""
        self._thread.join(timeout_s)
        return not self._thread.is_alive()

    def _keep_running(self) -> None:
        backoff_s = RESTART_BACKOFF_MIN_S
        while not self._stopping.is_set():
            try:
                self._run()
                return
            except Exception as error:  # noqa: BLE001
                self._n_restarts += 1
                self._on_error(self._name, error)
            self._stopping.wait(backoff_s)
            backoff_s = min(backoff_s * 2, RESTART_BACKOFF_MAX_S)


class Supervisor(Child):
    """A branch: starts its children in order and stops them in reverse."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._children: list[Child] = []

    @property
    def name(self) -> str:
        """Name of the branch."""
        return self._name

    @property
    def children(self) -> tuple[Child, ...]:
        """The children, in starting order."""
        return tuple(self._children)

    def add(self, child: Child) -> None:
        """Append a child; call before :meth:`start`."""
        self._children.append(child)

    def start(self) -> None:
        """Start the children in order."""
        for child in self._children:
            child.start()

    def stop(self) -> None:
        """Ask the children to end, last first."""
        for child in reversed(self._children):
            child.stop()

    def join(self, timeout_s: float) -> bool:
        """Wait for all children, each at most ``timeout_s`` seconds."""
        ended = [child.join(timeout_s) for child in reversed(self._children)]
        return all(ended)
