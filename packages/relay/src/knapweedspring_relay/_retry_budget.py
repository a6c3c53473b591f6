"""Share of the deployment's retry budget that one node may spend."""

from collections import deque

from knapweedspring_core import Counters

__all__ = ["RetryBudget"]

#: Parts of the allowed ratio and of the fixed allowance for requests that did not run.
#: The allowance is divided among the nodes, and a service's calls are not spread
#: evenly over nodes and windows.
NOT_RUN_RATIO_SHARE = 0.4
NOT_RUN_SLACK_SHARE = 0.3
#: The same for requests that may have run, which requests that did not run may use as
#: well. Such a run makes its own calls again, and they count as second sends at each
#: deeper service: over a chain these parts add up.
RUN_RATIO_SHARE = 0.15
RUN_SLACK_SHARE = 0.1
#: Share of a service's allowance that only ranks above the lowest may use.
RESERVED_SHARE = 0.7


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
        window.forget_before(now, self._window_s)
        n_requests = window.most_requests(now, self._window_s)
        granted = self._is_allowed(window, n_requests, is_low_rank, may_have_run)
        if granted:
            window.count_repeat(now, may_have_run)
        self._counters.add("retries_granted" if granted else "retries_denied", service)
        return granted

    def _is_allowed(
        self,
        window: "_ServiceWindow",
        n_requests: int,
        is_low_rank: bool,
        may_have_run: bool,
    ) -> bool:
        by_ratio = self._ratio * n_requests
        slack = self._slack / self._n_nodes
        for_runs = RUN_RATIO_SHARE * by_ratio + RUN_SLACK_SHARE * slack
        for_others = NOT_RUN_RATIO_SHARE * by_ratio + NOT_RUN_SLACK_SHARE * slack
        rank_share = 1.0 - RESERVED_SHARE if is_low_rank else 1.0
        n_runs, n_others = len(window.repeats_of_runs), len(window.repeats_of_others)
        if may_have_run and n_runs + 1 > rank_share * for_runs:
            return False
        return n_runs + n_others + 1 <= rank_share * (for_runs + for_others)

    def _window(self, service: str) -> "_ServiceWindow":
        return self._services.setdefault(service, _ServiceWindow())


class _ServiceWindow:
    """Requests of one service in two windows, and its second sends in the last one."""

    def __init__(self) -> None:
        self._requests: deque[_Slice] = deque()
        #: When requests that may have run were sent again.
        self.repeats_of_runs: deque[float] = deque()
        #: When requests that did not run were sent again.
        self.repeats_of_others: deque[float] = deque()

    def count_request(self, now: float, window_s: float) -> None:
        """Count a request."""
        if not self._requests or now - self._requests[-1].begins_at > window_s / 20:
            self._requests.append(_Slice(now))
            self.forget_before(now, window_s)
        self._requests[-1].n_requests += 1

    def count_repeat(self, now: float, may_have_run: bool) -> None:
        """Count a second send."""
        repeats = self.repeats_of_runs if may_have_run else self.repeats_of_others
        repeats.append(now)

    def most_requests(self, now: float, window_s: float) -> int:
        """Return the requests of this window, the last one or the one between.

        A service that sheds gets fewer calls, since chains end at the first one that
        fails; what it got before still allows the repeats that help them.
        """
        most = 0
        for age_s in (0.0, window_s / 2, window_s):
            end = now - age_s
            begin = end - window_s
            n_requests = sum(
                found.n_requests
                for found in self._requests
                if begin <= found.begins_at <= end
            )
            most = max(most, n_requests)
        return most

    def forget_before(self, now: float, window_s: float) -> None:
        """Forget what no window needs any more."""
        while self._requests and self._requests[0].begins_at < now - 2 * window_s:
            self._requests.popleft()
        for repeats in (self.repeats_of_runs, self.repeats_of_others):
            while repeats and repeats[0] < now - window_s:
                repeats.popleft()


class _Slice:
    """Requests within a twentieth of the window."""

    def __init__(self, begins_at: float) -> None:
        self.begins_at = begins_at
        self.n_requests = 0
