"""Share of the deployment's retry budget that one node may spend."""

from collections import deque

from knapweedspring_core import Counters

__all__ = ["RetryBudget"]

#: Shares of the allowed ratio and of the fixed allowance for retries of requests that
#: did not run. The allowance is divided among the nodes, and a service's calls are not
#: spread evenly over nodes and windows.
NOT_RUN_RATIO_SHARE = 0.4
NOT_RUN_SLACK_SHARE = 0.3
#: Shares for retries of requests that may have run; retries of requests that did not
#: run may use them too. A second run makes its own calls again. These count as retries
#: at each service further down the call chain, so the shares add up over a chain.
MAY_HAVE_RUN_RATIO_SHARE = 0.15
MAY_HAVE_RUN_SLACK_SHARE = 0.1
#: Share of a service's allowance that low-priority requests may not use.
RESERVED_SHARE = 0.7


class RetryBudget:
    """Limits the retries to each service within a sliding window.

    The nodes do not coordinate: each spends at most its share of the fixed allowance
    and a part of the ratio of the requests that it sent itself. So the retries of all
    nodes together stay within the limit, whatever each node spends.

    :param ratio: retries allowed per request.
    :param slack: fixed allowance of retries per window, for all nodes together.
    :param window_s: length of the window, in seconds.
    :param counters: counts granted and denied retries.
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
        """Replace the limits, after a reload of the settings.

        :param ratio: retries allowed per request.
        :param slack: fixed allowance of retries per window, for all nodes together.
        :param window_s: length of the window, in seconds.
        """
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s

    def set_n_nodes(self, n_nodes: int) -> None:
        """Set the number of nodes that share the fixed allowance.

        :param n_nodes: the number; values below 1 count as 1.
        """
        self._n_nodes = max(1, n_nodes)

    def count_request(self, service: str, now: float) -> None:
        """Count a request, without its retries.

        :param service: service that the request is sent to.
        :param now: monotonic time, in seconds.
        """
        self._window(service).count_request(now, self._window_s)

    def try_spend(
        self, service: str, is_low_priority: bool, may_have_run: bool, now: float
    ) -> bool:
        """Spend one retry if the budget allows it.

        :param service: service that the request is sent to again.
        :param is_low_priority: whether the request has low priority.
        :param may_have_run: whether the request may have run and made calls of its own.
        :param now: monotonic time, in seconds.
        :return: whether the retry is granted.
        """
        window = self._window(service)
        window.discard_before(now, self._window_s)
        n_requests = window.max_requests(now, self._window_s)
        granted = self._is_allowed(window, n_requests, is_low_priority, may_have_run)
        if granted:
            window.count_retry(now, may_have_run)
        self._counters.add("retries_granted" if granted else "retries_denied", service)
        return granted

    def _is_allowed(
        self,
        window: "_ServiceWindow",
        n_requests: int,
        is_low_priority: bool,
        may_have_run: bool,
    ) -> bool:
        by_ratio = self._ratio * n_requests
        slack = self._slack / self._n_nodes
        may_have_run_allowance = (
            MAY_HAVE_RUN_RATIO_SHARE * by_ratio + MAY_HAVE_RUN_SLACK_SHARE * slack
        )
        not_run_allowance = NOT_RUN_RATIO_SHARE * by_ratio + NOT_RUN_SLACK_SHARE * slack
        priority_share = 1.0 - RESERVED_SHARE if is_low_priority else 1.0
        n_may_have_run, n_not_run = (
            len(window.may_have_run_retried_at),
            len(window.not_run_retried_at),
        )
        if (
            may_have_run
            and n_may_have_run + 1 > priority_share * may_have_run_allowance
        ):
            return False
        return n_may_have_run + n_not_run + 1 <= priority_share * (
            may_have_run_allowance + not_run_allowance
        )

    def _window(self, service: str) -> "_ServiceWindow":
        return self._services.setdefault(service, _ServiceWindow())


class _ServiceWindow:
    """Requests of the last two windows and retries of the last window to a service."""

    def __init__(self) -> None:
        self._requests: deque[_TimeSlice] = deque()
        #: Times of retries of requests that may have run.
        self.may_have_run_retried_at: deque[float] = deque()
        #: Times of retries of requests that did not run.
        self.not_run_retried_at: deque[float] = deque()

    def count_request(self, now: float, window_s: float) -> None:
        """Count a request to the service, without its retries.

        :param now: monotonic time, in seconds.
        :param window_s: length of the window, in seconds.
        """
        if not self._requests or now - self._requests[-1].starts_at > window_s / 20:
            self._requests.append(_TimeSlice(now))
            self.discard_before(now, window_s)
        self._requests[-1].n_requests += 1

    def count_retry(self, now: float, may_have_run: bool) -> None:
        """Count a retry of a request to the service.

        :param now: monotonic time, in seconds.
        :param may_have_run: whether the request may have run before.
        """
        retried_at = (
            self.may_have_run_retried_at if may_have_run else self.not_run_retried_at
        )
        retried_at.append(now)

    def max_requests(self, now: float, window_s: float) -> int:
        """Return the greatest number of requests in three overlapping windows.

        The windows end now, half a window ago and one window ago. A service that sheds
        receives fewer calls, since chains end at the first call that fails. The calls
        that it received earlier still allow the retries that chains need to complete.

        :param now: monotonic time, in seconds.
        :param window_s: length of the window, in seconds.
        """
        max_n_requests = 0
        for age_s in (0.0, window_s / 2, window_s):
            end = now - age_s
            begin = end - window_s
            n_requests = sum(
                time_slice.n_requests
                for time_slice in self._requests
                if begin <= time_slice.starts_at <= end
            )
            max_n_requests = max(max_n_requests, n_requests)
        return max_n_requests

    def discard_before(self, now: float, window_s: float) -> None:
        """Discard requests older than two windows and retries older than one.

        :param now: monotonic time, in seconds.
        :param window_s: length of the window, in seconds.
        """
        while self._requests and self._requests[0].starts_at < now - 2 * window_s:
            self._requests.popleft()
        for retried_at in (self.may_have_run_retried_at, self.not_run_retried_at):
            while retried_at and retried_at[0] < now - window_s:
                retried_at.popleft()


class _TimeSlice:
    """Number of requests within a twentieth of the window."""

    def __init__(self, starts_at: float) -> None:
        self.starts_at = starts_at
        self.n_requests = 0
