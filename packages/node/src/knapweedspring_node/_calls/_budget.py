"""Retry budget of a request, retry ratio of a node, and backoff."""

import random
import threading
import time

__all__ = ["RetryBudget", "RetryRatio", "backoff_max_s", "backoff_s", "may_retry"]

BACKOFF_BASE_S = 0.01
BACKOFF_MAX_S = 0.5
#: Number of retries that a node may make per call, on average.
RETRY_RATIO = 0.1
#: Largest credit, and largest overdraft of the top class, in retries.
RETRY_RESERVE = 10.0


class RetryBudget:
    """Retry tokens of one hop of a request.

    The tokens of all hops together never exceed those of the root: lent tokens leave
    this budget, and only the tokens that the child call reports as unspent return.

    >>> budget = RetryBudget(3)
    >>> budget.lend_tokens()
    2
    >>> budget.spend_token(), budget.spend_token()
    (True, False)

    :param n_tokens: number of retries that this hop may make or lend.
    """

    def __init__(self, n_tokens: int) -> None:
        self._lock = threading.Lock()
        self._n_tokens = max(0, n_tokens)
        self._n_lent = 0
        self._closed = False

    @property
    def n_tokens(self) -> int:
        """Number of tokens left."""
        return self._n_tokens

    def spend_token(self) -> bool:
        """Spend a token on a retry.

        :return: False when no token is left.
        """
        with self._lock:
            if self._n_tokens == 0:
                return False
            self._n_tokens -= 1
            return True

    def lend_tokens(self) -> int:
        """Lend the larger half of the tokens to a child call.

        Concurrent child calls thus share the tokens.

        :return: the number of tokens lent.
        """
        with self._lock:
            n_lent = (self._n_tokens + 1) // 2
            self._n_tokens -= n_lent
            self._n_lent += n_lent
            return n_lent

    def return_tokens(self, n_tokens: int) -> None:
        """Return tokens that a child call did not spend.

        :param n_tokens: number of tokens; those beyond the number lent are ignored.
        """
        with self._lock:
            n_returned = max(0, min(n_tokens, self._n_lent))
            self._n_lent -= n_returned
            if not self._closed:
                self._n_tokens += n_returned

    def close(self) -> int:
        """End the hop; tokens that a child call returns later count as spent.

        :return: the number of tokens left, which return to the budget that lent them.
        """
        with self._lock:
            n_left = self._n_tokens
            self._n_tokens = 0
            self._closed = True
            return n_left


class RetryRatio:
    """Limits the retries of a node to a share of its calls.

    The top class may overdraw the credit by the reserve; the other classes get no
    retry until the overdraft is repaid.

    :param ratio: number of retries allowed per call.
    :param reserve: largest credit, in retries.
    """

    def __init__(
        self, ratio: float = RETRY_RATIO, reserve: float = RETRY_RESERVE
    ) -> None:
        self._lock = threading.Lock()
        self._ratio = ratio
        self._reserve = reserve
        self._credit = reserve

    def count_call(self) -> None:
        """Count the first attempt of a call."""
        with self._lock:
            self._credit = min(self._reserve, self._credit + self._ratio)

    def spend_credit(self, is_top: bool = False) -> bool:
        """Spend credit on a retry.

        :param is_top: whether the request is of the top class.
        :return: False when the credit is used up.
        """
        lowest = -self._reserve if is_top else 0.0
        with self._lock:
            if self._credit - 1.0 < lowest:
                return False
            self._credit -= 1.0
            return True


def backoff_max_s(retry: int) -> float:
    """Return the longest pause before a retry, in seconds.

    :param retry: number of the retry, 1 for the first.
    """
    return min(BACKOFF_MAX_S, BACKOFF_BASE_S * 2.0 ** (retry - 1))


def backoff_s(retry: int, rng: random.Random) -> float:
    """Return the pause before a retry in seconds, exponential with full jitter.

    :param retry: number of the retry, 1 for the first.
    :param rng: source of the jitter.
    """
    return rng.uniform(0.0, backoff_max_s(retry))


def may_retry(deadline_at: float, expected_s: float) -> bool:
    """Return whether a retry can still finish in time.

    :param deadline_at: deadline of the request, on the monotonic clock, in seconds.
    :param expected_s: expected pause and service time of the retry, in seconds.
    """
    return time.monotonic() + expected_s < deadline_at
