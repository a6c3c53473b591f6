"""Guards against a failing subscriber that stops the callbacks of all others."""

import threading

from knapweedspring_core import TimerService


def test_failing_subscriber_does_not_stop_the_others():
    errors = []
    ticked = threading.Event()
    timers = TimerService(on_error=errors.append)

    def fail():
        raise ValueError("faulty part")

    timers.call_every(0.001, fail)
    timers.call_every(0.002, lambda: errors and ticked.set())
    thread = threading.Thread(target=timers.run)
    thread.start()
    assert ticked.wait(10)
    timers.stop()
    thread.join(10)
    assert not thread.is_alive()


def test_cancelled_subscriber_is_not_called():
    calls = []
    done = threading.Event()
    timers = TimerService(on_error=calls.append)
    timers.call_every(0.001, lambda: calls.append(1)).cancel()
    timers.call_every(0.01, done.set)
    thread = threading.Thread(target=timers.run)
    thread.start()
    assert done.wait(10)
    timers.stop()
    thread.join(10)
    assert calls == []
