"""What the answers of the upstream say about it: a rate limit, or that it leaves."""

from collections.abc import Callable
from dataclasses import dataclass

from knapweedspring_core import Counters
from knapweedspring_relay._answer import Answer
from knapweedspring_relay._headers import CallHeaders
from knapweedspring_relay._local_upstream import LocalUpstream, UpstreamTracker
from knapweedspring_relay._logs import DecisionLog
from knapweedspring_relay._numbers import parse_rate

__all__ = ["UpstreamNotices"]

#: Shortest time between two log lines about a limit that changes while it is in force,
#: in seconds. An upstream may name another limit in each answer.
LOG_PERIOD_S = 1.0
#: Status of the answer of another process that listens at the upstream's address.
OTHER_PROCESS_STATUS = 421
#: Value of the header in the answers of an upstream that leaves.
LEAVING_VALUE = b"1"


@dataclass(slots=True)
class _RateLimit:
    """Rate limit of one upstream process."""

    #: Identity of the process.
    instance: str
    #: Start of the process, in milliseconds since the epoch.
    born_ms: int
    #: Rate in requests per second; None when the process names no limit.
    rate_per_s: float | None
    #: Time at which the limit was last named, on the monotonic clock, in seconds.
    named_at: float


class UpstreamNotices:
    """Keeps the rate limit that the upstream names, and reports when it leaves.

    Notices of a process end with it. The limit of a process ends with an answer that
    names none, if its request was sent after an answer that named one: an answer that
    began earlier may overtake the first one that names a limit.

    :param tracker: tracks the process of the upstream.
    :param headers: names of the headers that upstreams write.
    :param on_rate_change: called with the rate in requests per second, or None, and the
        monotonic time in seconds, when the limit changes.
    :param on_leaving: called with the process that leaves.
    :param log: decision log.
    :param counters: counts headers that cannot be read.
    """

    def __init__(
        self,
        tracker: UpstreamTracker,
        headers: CallHeaders,
        on_rate_change: Callable[[float | None, float], None],
        on_leaving: Callable[[LocalUpstream], None],
        log: DecisionLog,
        counters: Counters,
    ) -> None:
        self._tracker = tracker
        self._headers = headers
        self._on_rate_change = on_rate_change
        self._on_leaving = on_leaving
        self._log = log
        self._counters = counters
        self._limit: _RateLimit | None = None
        self._logged_at = float("-inf")

    @property
    def rate_limit(self) -> float | None:
        """Rate that the current process accepts, in requests per second."""
        return self._limit.rate_per_s if self._limit is not None else None

    def observe_answer(
        self, answer: Answer, sender: LocalUpstream, sent_at: float, now: float
    ) -> None:
        """Apply what an answer says.

        :param answer: the answer, whose head is complete.
        :param sender: the process that the request was sent to.
        :param sent_at: time at which the request was sent, on the monotonic clock, in
            seconds.
        :param now: monotonic time, in seconds.
        """
        current = self._tracker.current
        is_current = current is not None and _is_process(current, sender)
        if not is_current or answer.status == OTHER_PROCESS_STATUS:
            return
        self._observe_limit(answer, sender, sent_at, now)
        if answer.header(self._headers.leaving) == LEAVING_VALUE:
            self._on_leaving(sender)

    def adopt_limit(self, rate_per_s: float | None, instance: str, now: float) -> None:
        """Use a limit that another node learned before this process was started.

        Has no effect once an answer of the upstream has arrived.

        :param rate_per_s: the limit, in requests per second; None when there is none.
        :param instance: identity of the process that named it.
        :param now: monotonic time, in seconds.
        """
        if rate_per_s is None or self._limit is not None:
            return
        current = self._tracker.current
        if current is not None and current.instance == instance:
            self._set_limit(current, rate_per_s, now, "peer")

    def forget_replaced_process(self, now: float) -> None:
        """End the limit of a process that another one has replaced.

        :param now: monotonic time, in seconds.
        """
        limit, current = self._limit, self._tracker.current
        if limit is None or (current is not None and _is_process(current, limit)):
            return
        self._limit = None
        if limit.rate_per_s is not None:
            self._on_rate_change(None, now)
            self._write_change(None, limit.instance, "replaced", now)

    def _observe_limit(
        self, answer: Answer, sender: LocalUpstream, sent_at: float, now: float
    ) -> None:
        text = answer.header(self._headers.rate_limit)
        if text is not None:
            rate_per_s = parse_rate(text)
            if rate_per_s is None:
                # The last readable limit stays in force.
                self._counters.add("rate_limits_unreadable")
                return
            self._set_limit(sender, rate_per_s, now, "answer")
            return
        if not self._is_from_upstream(answer):
            return
        limit = self._limit
        if limit is None or limit.rate_per_s is None:
            self._limit = _RateLimit(sender.instance, sender.born_ms, None, now)
        elif sent_at >= limit.named_at:
            self._set_limit(sender, None, now, "answer")

    def _is_from_upstream(self, answer: Answer) -> bool:
        """Return whether the upstream wrote the whole head of an answer."""
        names = (self._headers.signature, self._headers.not_executed)
        return any(answer.header(name) is not None for name in names)

    def _set_limit(
        self, process: LocalUpstream, rate_per_s: float | None, now: float, source: str
    ) -> None:
        previous = self.rate_limit
        self._limit = _RateLimit(process.instance, process.born_ms, rate_per_s, now)
        if rate_per_s != previous:
            self._on_rate_change(rate_per_s, now)
            is_new = previous is None or rate_per_s is None
            if is_new or now - self._logged_at >= LOG_PERIOD_S:
                self._write_change(rate_per_s, process.instance, source, now)

    def _write_change(
        self, rate_per_s: float | None, instance: str, source: str, now: float
    ) -> None:
        self._logged_at = now
        self._log.write_state(
            "upstream:rate-limit",
            instance=instance,
            rate_per_s=rate_per_s,
            source=source,
        )


def _is_process(upstream: LocalUpstream, other: LocalUpstream | _RateLimit) -> bool:
    return (upstream.instance, upstream.born_ms) == (other.instance, other.born_ms)
