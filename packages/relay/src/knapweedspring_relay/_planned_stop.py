"""Planned stop of a process: what is still served, and when the process ends."""

import asyncio

from knapweedspring_relay._clock import now_s
from knapweedspring_relay._entry import Entry
from knapweedspring_relay._entry_settings import ShutdownTimes
from knapweedspring_relay._gate import Gate
from knapweedspring_relay._hop_listener import HopListener
from knapweedspring_relay._http_server import HttpListener

__all__ = ["PlannedStop", "shutdown_times"]

#: Shortest time from the stop signal to the end of the process, in seconds. Callers are
#: redirected only after two readiness checks, one per second, that did not return 200;
#: until then the node serves callers.
MIN_SHUTDOWN_S = 2.6
#: Time from the stop signal until calls of other nodes are refused, in seconds; callers
#: are still served.
GATE_CLOSE_DELAY_S = 1.6
#: Time before the end of the grace period at which requests without an answer are
#: answered, in seconds; ``MIN_SHUTDOWN_S`` has precedence.
SHUTDOWN_MARGIN_S = 0.4
#: Time before these answers at which requests that no upstream has got are withdrawn,
#: in seconds. It covers connecting to another node and a round trip between data
#: centres, after which the gate has confirmed that the request does not run.
WITHDRAWAL_LEAD_S = 0.6
#: Time for which unsent bytes of answers are waited for after that, in seconds. The
#: rest of ``SHUTDOWN_MARGIN_S`` is left for the end of the process.
UNSENT_WAIT_S = 0.15
#: Period of the checks during a stop, in seconds.
CHECK_PERIOD_S = 0.05


def shutdown_times(stop_at: float, grace_s: float) -> ShutdownTimes:
    """Return the times of a stop.

    :param stop_at: time of the stop signal, on the monotonic clock, in seconds.
    :param grace_s: time from the signal to the forced end of the process, in seconds.
    """
    ends_at = stop_at + max(MIN_SHUTDOWN_S, grace_s - SHUTDOWN_MARGIN_S)
    return ShutdownTimes(
        gate_closes_at=stop_at + GATE_CLOSE_DELAY_S,
        redirected_at=stop_at + MIN_SHUTDOWN_S,
        withdrawn_at=ends_at - WITHDRAWAL_LEAD_S,
        ends_at=ends_at,
        closes_at=ends_at + UNSENT_WAIT_S,
    )


class PlannedStop:
    """Ends the work of entry and gate, so that each request that was read is answered.

    :param times: times of the stop.
    :param entry: the entry of the node.
    :param gate: the gate of the node.
    :param entry_listener: receives the requests of callers.
    :param gate_listener: receives the calls of other nodes.
    """

    def __init__(
        self,
        times: ShutdownTimes,
        entry: Entry,
        gate: Gate,
        entry_listener: HttpListener,
        gate_listener: HopListener,
    ) -> None:
        self._times = times
        self._entry = entry
        self._gate = gate
        self._entry_listener = entry_listener
        self._gate_listener = gate_listener
        self._has_withdrawn = False

    @property
    def n_unfinished(self) -> int:
        """Number of requests and calls whose answers have not been sent completely."""
        return self._entry_listener.n_active + self._gate_listener.n_active

    async def finish_requests(self) -> None:
        """Wait until all requests are answered, or until the process has to end."""
        while (now := now_s()) < self._times.closes_at:
            self._end_work(now)
            if now >= self._times.redirected_at and self._is_idle():
                break
            await asyncio.sleep(CHECK_PERIOD_S)

    def _end_work(self, now: float) -> None:
        times = self._times
        if now >= times.gate_closes_at:
            self._gate.stop()
            self._gate_listener.drain()
            self._gate.refuse_unfinishable_calls(times.ends_at)
        if now >= times.withdrawn_at and not self._has_withdrawn:
            self._has_withdrawn = True
            self._entry.withdraw_requests()
            self._gate.queue.refuse_waiting("the node is stopping")
        if now >= times.ends_at:
            self._entry.end_requests()

    def _is_idle(self) -> bool:
        return self.n_unfinished == 0 and self._gate.n_running == 0
