"""Timer service: one thread that calls its subscribers back periodically."""

import heapq
import itertools
import threading
import time
from collections.abc import Callable

__all__ = ["Subscription", "TimerService"]


class Subscription:
    """Handle of one subscriber; :meth:`cancel` ends its callbacks."""

    def __init__(self, interval_s: float, callback: Callable[[], None]) -> None:
        self._interval_s = interval_s
        self._callback = callback
        self._cancelled = False

    @property
    def cancelled(self) -> bool:
        """Whether :meth:`cancel` was called."""
        return self._cancelled

    @property
    def interval_s(self) -> float:
        """Seconds between two callbacks."""
        return self._interval_s

    def cancel(self) -> None:
        """End the callbacks; a callback that is already running finishes."""
        self._cancelled = True

    def call_subscriber(self) -> None:
        """Call the subscriber back."""
        self._callback()


class TimerService:
    """Calls subscribers back from one thread, on the monotonic clock.

    A callback must return quickly, because it delays all others. An exception of a
    callback is passed to ``on_error``, and its subscription stays, so that a faulty
    subscriber does not stop the other ones.

    :param on_error: called from the timer thread with each exception of a callback.

    >>> timers = TimerService(on_error=print)
    >>> subscription = timers.call_every(1.0, lambda: None)
    >>> subscription.cancel()
    """

    def __init__(self, on_error: Callable[[BaseException], None]) -> None:
        self._on_error = on_error
        self._condition = threading.Condition()
        self._heap: list[tuple[float, int, Subscription]] = []
        self._counter = itertools.count()
        self._stopping = False

    def call_every(
        self, interval_s: float, callback: Callable[[], None]
    ) -> Subscription:
        """Subscribe ``callback`` to be called every ``interval_s`` seconds.

        :param interval_s: seconds before the first callback and between callbacks.
        :param callback: called from the timer thread.
        :return: the handle that cancels the subscription.
        """
        subscription = Subscription(interval_s, callback)
        with self._condition:
            self._schedule_callback(subscription, time.monotonic() + interval_s)
            self._condition.notify()
        return subscription

    def run(self) -> None:
        """Call subscribers back until :meth:`stop`; the body of the timer thread."""
        while True:
            subscription = self._wait_for_due_subscription()
            if subscription is None:
                return
            try:
                subscription.call_subscriber()
            except Exception as error:  # noqa: BLE001
                self._on_error(error)

    def stop(self) -> None:
        """Make :meth:`run` return."""
        with self._condition:
            self._stopping = True
            self._condition.notify()

    def _schedule_callback(self, subscription: Subscription, due_at: float) -> None:
        heapq.heappush(self._heap, (due_at, next(self._counter), subscription))

    def _wait_for_due_subscription(self) -> Subscription | None:
        with self._condition:
            while not self._stopping:
                if not self._heap:
                    self._condition.wait()
                    continue
                due_at, _, subscription = self._heap[0]
                now = time.monotonic()
                if due_at > now and not subscription.cancelled:
                    self._condition.wait(due_at - now)
                    continue
                heapq.heappop(self._heap)
                if subscription.cancelled:
                    continue
                # Missed intervals are skipped rather than made up for in a burst.
                self._schedule_callback(
                    subscription, max(due_at, now) + subscription.interval_s
                )
                return subscription
            return None
