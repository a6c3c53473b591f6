"""Supervisor tree: threads that are restarted when they fail."""

import threading
from abc import ABC, abstractmethod
from collections.abc import Callable

__all__ = ["Child", "Supervisor", "ThreadChild"]

RESTART_BACKOFF_MAX_S = 5.0
RESTART_BACKOFF_MIN_S = 0.05


class Child(ABC):
    """A supervised part of a program."""

    @property
    @abstractmethod
    def name(self) -> str:
        """Name for events and status pages."""

    @abstractmethod
    def start(self) -> None:
        """Start the child and return at once."""

    @abstractmethod
    def stop(self) -> None:
        """Ask the child to stop and return at once."""

    @abstractmethod
    def join(self, timeout_s: float) -> bool:
        """Wait until the child has ended.

        :param timeout_s: longest wait in seconds.
        :return: whether the child ended before the timeout.
        """


class ThreadChild(Child):
    """A child that runs one function in a thread of its own.

    When the function raises, the thread calls it again after an exponential backoff.
    When the function returns, the thread ends.

    :param name: name of the thread.
    :param run: the function; it must return soon after ``stop`` is called.
    :param stop: called by :meth:`stop`; it must make ``run`` return.
    :param on_error: called with ``name`` and each exception of the function.
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
        self._thread = threading.Thread(target=self._run_with_restarts, name=name)
        self._thread.daemon = True

    @property
    def name(self) -> str:
        """Name of the thread."""
        return self._name

    @property
    def n_restarts(self) -> int:
        """Number of times that the function has raised."""
        return self._n_restarts

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Ask the function to return, and do not call it again."""
        self._stopping.set()
        self._stop()

    def join(self, timeout_s: float) -> bool:
        """Wait until the thread has ended; return False if the timeout passes first."""
        self._thread.join(timeout_s)
        return not self._thread.is_alive()

    def _run_with_restarts(self) -> None:
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
    """A child that starts several children in order and stops them in reverse order."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._children: list[Child] = []

    @property
    def name(self) -> str:
        """Name of the supervisor."""
        return self._name

    @property
    def children(self) -> tuple[Child, ...]:
        """The children, in starting order."""
        return tuple(self._children)

    def add(self, child: Child) -> None:
        """Append a child; this must be done before :meth:`start`."""
        self._children.append(child)

    def start(self) -> None:
        """Start the children in order."""
        for child in self._children:
            child.start()

    def stop(self) -> None:
        """Ask the children to stop, last first."""
        for child in reversed(self._children):
            child.stop()

    def join(self, timeout_s: float) -> bool:
        """Wait until all children have ended, for at most ``timeout_s`` seconds each.

        :return: whether all children have ended.
        """
        ended = [child.join(timeout_s) for child in reversed(self._children)]
        return all(ended)
