"""Share of the deployment's retry budget that one node may spend."""

from collections import deque

from knapweedspring_core import Counters

__all__ = ["RetryBudget"]

#: Parts of the allowed ratio and of the fixed allowance for requests that did not run.
#: The allowance is divided among the nodes, and a service's calls are not spread
#: evenly over nodes and windows.
NOT_RUN_RATIO_SHARE = 0.4
NOT_RUN_SLACK_SHARE = 0.3
#: The same for requests that may have run. Such a run makes its own calls again, and
#: they count as second sends at each deeper service: over a chain these parts add up.
RUN_RATIO_SHARE = 0.15
RUN_SLACK_SHARE = 0.1
#: Share of a service's allowance that only ranks above the lowest may use.
RESERVED_SHARE = 0.5


class RetryBudget:
    """Limits second sends, for each service, within a sliding window.

    The nodes do not talk about it: each spends at most its share of the fixed
    allowance and a part of the ratio of the requests that it sent itself. So their
    sum stays within the limit, whatever the others do.

    :param ratio: second sends allowed for each request.
    :param slack: second sends allowed besides, in all nodes together.
    :param window_s: length of the window, in seconds.
    :param counters: counts what was granted and denied.
    """

    def __init__(
        self, ratio: float, slack: float, window_s: float, counters: Counters
    ) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._counters = counters
        self._services: dict[str, _ServiceWindow] = {}
        self._n_nodes = 1

    def set_limits(self, ratio: float, slack: float, window_s: float) -> None:
        """Take over changed limits."""
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s

    def set_n_nodes(self, n_nodes: int) -> None:
        """Take over how many nodes divide the fixed allowance."""
        self._n_nodes = max(1, n_nodes)

    def count_request(self, service: str, now: float) -> None:
        """Count the first send of a request."""
        self._window(service).count_request(now, self._window_s)

    def take(
        self, service: str, is_low_rank: bool, may_have_run: bool, now: float
    ) -> bool:
        """Spend one second send.

        :param service: service that the request is sent to again.
        :param is_low_rank: whether the request is of the lowest rank.
        :param may_have_run: whether it may have run, and made calls of its own.
        :param now: monotonic time, in seconds.
        :return: False when the share is used up.
        """
        window = self._window(service)
        window.forget_before(now - self._window_s)
        repeats = window.repeats_of_runs if may_have_run else window.repeats_of_others
        allowed = self._allowed(window.n_requests, may_have_run)
        if is_low_rank:
            allowed *= 1.0 - RESERVED_SHARE
        granted = len(repeats) + 1 <= allowed
        if granted:
            repeats.append(now)
        self._counters.add("retries_granted" if granted else "retries_denied", service)
        return granted

    def _allowed(self, n_requests: int, may_have_run: bool) -> float:
        slack = self._slack / self._n_nodes
        if may_have_run:
            ratio = RUN_RATIO_SHARE * self._ratio
            return ratio * n_requests + RUN_SLACK_SHARE * slack
        ratio = NOT_RUN_RATIO_SHARE * self._ratio
        return ratio * n_requests + NOT_RUN_SLACK_SHARE * slack

    def _window(self, service: str) -> "_ServiceWindow":
        return self._services.setdefault(service, _ServiceWindow())


class _ServiceWindow:
    """Requests and second sends of one service within the window."""

    def __init__(self) -> None:
        #: Requests in the current and the last completed fraction of the window.
        self._requests: deque[_Slice] = deque()
        self._n_requests = 0
        #: When requests that may have run were sent again.
        self.repeats_of_runs: deque[float] = deque()
        #: When requests that did not run were sent again.
        self.repeats_of_others: deque[float] = deque()

    @property
    def n_requests(self) -> int:
        """Requests within the window."""
        return self._n_requests

    def count_request(self, now: float, window_s: float) -> None:
        """Count a request."""
        if not self._requests or now - self._requests[-1].begins_at > window_s / 20:
            self._requests.append(_Slice(now))
            self.forget_before(now - window_s)
        self._requests[-1].n_requests += 1
        self._n_requests += 1

    def forget_before(self, begin: float) -> None:
        """Forget what is older than the window."""
        while self._requests and self._requests[0].begins_at < begin:
            self._n_requests -= self._requests.popleft().n_requests
        for repeats in (self.repeats_of_runs, self.repeats_of_others):
            while repeats and repeats[0] < begin:
                repeats.popleft()


class _Slice:
    """Requests within a twentieth of the window."""

    def __init__(self, begins_at: float) -> None:
        self.begins_at = begins_at
        self.n_requests = 0
