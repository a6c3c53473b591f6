"""Retry tokens of a request, the node's retry ratio, and backoff."""

import random
import threading
import time

__all__ = ["RetryBudget", "RetryRatio", "backoff_max_s", "backoff_s", "may_retry"]

BACKOFF_BASE_S = 0.01
BACKOFF_MAX_S = 0.5
RETRY_RATIO = 0.1
RETRY_RESERVE = 10.0


class RetryBudget:
    """Retry tokens that one hop of a request holds.

    The tokens of all hops together never exceed what the root was given: a loan
    leaves this budget, and only what the child reports unspent comes back.

    >>> budget = RetryBudget(3)
    >>> budget.lend()
    2
    >>> budget.take(), budget.take()
    (True, False)

    :param tokens: attempts beyond the first that this hop may make or lend.
    """

    def __init__(self, tokens: int) -> None:
        self._lock = threading.Lock()
        self._tokens = max(0, tokens)
        self._n_lent = 0
        self._closed = False

    @property
    def tokens(self) -> int:
        """Tokens held now."""
        return self._tokens

    def take(self) -> bool:
        """Spend a token on a retry.

        :return: False when none is left.
        """
        with self._lock:
            if self._tokens == 0:
                return False
            self._tokens -= 1
            return True

    def lend(self) -> int:
        """Lend the larger half of the tokens to a child call.

        :return: the number lent; children that run at the same time split.
        """
        with self._lock:
            n_lent = (self._tokens + 1) // 2
            self._tokens -= n_lent
            self._n_lent += n_lent
            return n_lent

    def give_back(self, n_tokens: int) -> None:
        """Take back what a child did not spend; more than was lent is ignored."""
        with self._lock:
            n_returned = max(0, min(n_tokens, self._n_lent))
            self._n_lent -= n_returned
            if not self._closed:
                self._tokens += n_returned

    def close(self) -> int:
        """End the hop: what a child returns from now on counts as spent.

        :return: the tokens left, which go back to the parent; none stays here.
        """
        with self._lock:
            n_left = self._tokens
            self._tokens = 0
            self._closed = True
            return n_left


class RetryRatio:
    """Bounds the retries of a node to a share of its calls.

    The top class may overdraw the credit by the reserve, which the other classes
    then have to wait for.

    :param ratio: retries allowed per call.
    :param reserve: retries that a quiet node may make at once.
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

    def take(self, is_top: bool = False) -> bool:
        """Spend credit on a retry.

        :param is_top: whether the request is of the top class.
        :return: False when the share is used up.
        """
        lowest = -self._reserve if is_top else 0.0
        with self._lock:
            if self._credit - 1.0 < lowest:
                return False
            self._credit -= 1.0
            return True


def backoff_max_s(attempt: int) -> float:
    """Return the longest pause before a retry.

    :param attempt: 1 for the first retry.
    """
    return min(BACKOFF_MAX_S, BACKOFF_BASE_S * 2.0 ** (attempt - 1))


def backoff_s(attempt: int, rng: random.Random) -> float:
    """Return the pause before a retry, exponential with full jitter.

    :param attempt: 1 for the first retry.
    :param rng: source of the jitter.
    """
    return rng.uniform(0.0, backoff_max_s(attempt))


def may_retry(deadline_at: float, expected_s: float) -> bool:
    """Tell whether a retry can still finish in time.

    :param deadline_at: end of the request on the monotonic clock, in seconds.
    :param expected_s: pause and service time that the retry would take.
    """
    return time.monotonic() + expected_s < deadline_at
