"""Timer service on the event loop: parts subscribe to be called periodically."""

import asyncio
from collections.abc import Callable

from knapweedspring_core import Subscription

__all__ = ["LoopTimers"]


class LoopTimers:
    """Calls subscribers back from the event loop.

    An exception of a callback is handed to ``on_error`` and the subscriber keeps
    its place.

    :param on_error: told of each exception of a callback.
    """

    def __init__(self, on_error: Callable[[BaseException], None]) -> None:
        self._on_error = on_error

    def every(self, interval_s: float, callback: Callable[[], None]) -> Subscription:
        """Subscribe a callback.

        :param interval_s: seconds between two calls.
        :param callback: must return quickly.
        """
        subscription = Subscription(interval_s, callback)
        self._schedule(subscription)
        return subscription

    def _schedule(self, subscription: Subscription) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(subscription.interval_s, self._fire, subscription)

    def _fire(self, subscription: Subscription) -> None:
        if subscription.cancelled:
            return
        try:
            subscription.fire()
        except Exception as error:
            self._on_error(error)
        self._schedule(subscription)
