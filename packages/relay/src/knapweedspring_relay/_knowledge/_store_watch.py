"""The tasks with which a node watches the store while it is a watcher."""

from collections.abc import Awaitable, Callable, Mapping

from knapweedspring_core import Counters
from knapweedspring_relay._knowledge._store_health import StoreHealth
from knapweedspring_relay._logs import DecisionLog
from knapweedspring_relay._task_supervisor import TaskSupervisor

__all__ = ["StoreWatch"]


class StoreWatch:
    """Runs the synchronisations with the store while the node watches it.

    :param tasks: functions that each synchronise a part of the store until they are
        cancelled, by purpose.
    :param health: state of the store for each purpose.
    :param log: decision log.
    :param counters: counts failed tasks.
    """

    def __init__(
        self,
        tasks: Mapping[str, Callable[[], Awaitable[None]]],
        health: StoreHealth,
        log: DecisionLog,
        counters: Counters,
    ) -> None:
        self._tasks = tasks
        self._health = health
        self._log = log
        self._counters = counters
        self._supervisor: TaskSupervisor | None = None

    @property
    def is_running(self) -> bool:
        """Whether the node watches the store, or tries to."""
        return self._supervisor is not None

    @property
    def is_failing(self) -> bool:
        """Whether the store does not answer one of the tasks."""
        return self._health.fails_for(self._tasks)

    def set_running(self, is_running: bool) -> None:
        """Start or stop to watch the store.

        :param is_running: whether the tasks are to run from now on.
        """
        if is_running and self._supervisor is None:
            self._supervisor = TaskSupervisor(self._log, self._counters)
            for purpose, run in self._tasks.items():
                self._supervisor.start(purpose, run)
        elif not is_running and self._supervisor is not None:
            self._supervisor.stop()
            self._supervisor = None
            for purpose in self._tasks:
                self._health.forget(purpose)
