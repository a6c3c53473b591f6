"""Supervisor that restarts the failed tasks of one event loop."""

import asyncio
import traceback
from collections.abc import Awaitable, Callable

from knapweedspring_core import Counters
from knapweedspring_relay._logs import DecisionLog

__all__ = ["TaskSupervisor"]

#: Pause before a failed task is restarted, in seconds.
RESTART_S = 0.2


class TaskSupervisor:
    """Runs tasks until it is stopped, and restarts those that raise.

    :param log: logs each failure.
    :param counters: counts the failures, by task.
    """

    def __init__(self, log: DecisionLog, counters: Counters) -> None:
        self._log = log
        self._counters = counters
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        """Run a function until the supervisor is stopped.

        :param name: name of the task, for the log and the counter.
        :param run: function to run; called again after it raises, but not after it
            returns.
        """
        loop = asyncio.get_running_loop()
        self._tasks.append(loop.create_task(self._keep_running(name, run)))

    def stop(self) -> None:
        """Cancel all tasks."""
        for task in self._tasks:
            task.cancel()

    async def _keep_running(
        self, name: str, run: Callable[[], Awaitable[None]]
    ) -> None:
        while True:
            try:
                await run()
                return
            except Exception as error:
                self._counters.add("task_failures", name)
                self._log.write_state(
                    "task:failed",
                    task=name,
                    error=repr(error),
                    traceback=traceback.format_exc(limit=8),
                )
            await asyncio.sleep(RESTART_S)
