"""Timers of the event loop, which call their subscribers periodically."""

import asyncio
from collections.abc import Callable

from knapweedspring_core import Subscription

__all__ = ["LoopTimers"]


class LoopTimers:
    """Calls subscribed callbacks periodically from the event loop.

    An exception of a callback is passed to ``on_error``; the subscription continues.

    :param on_error: called with each exception of a callback.
    """

    def __init__(self, on_error: Callable[[BaseException], None]) -> None:
        self._on_error = on_error

    def call_every(
        self, interval_s: float, callback: Callable[[], None]
    ) -> Subscription:
        """Call a function periodically, first after one interval.

        :param interval_s: time between two calls, in seconds.
        :param callback: function to call; it must return quickly.
        :return: subscription, which can be cancelled.
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
            subscription.call_subscriber()
        except Exception as error:
            self._on_error(error)
        self._schedule(subscription)
