"""Identities and retry budgets of whole requests that entered at this node."""

import itertools
import threading
import time
from collections import OrderedDict

from result import Err, Ok, Result

from knapweedspring_node._calls._budget import RetryBudget
from knapweedspring_node._calls._context import RequestId
from knapweedspring_node._calls._errors import MacError
from knapweedspring_node._calls._mac_codec import MacCodec

__all__ = ["RootBook"]

MAX_ROOTS = 100_000
LIFETIME_S = 120.0


class RootBook:
    """Remembers the budget of each request, so that a repeat is charged to it.

    :param codec: authenticates the identities.
    """

    def __init__(self, node_id: str, epoch: int, codec: MacCodec) -> None:
        self._node_id = node_id
        self._epoch = epoch
        self._codec = codec
        self._sequence = itertools.count(1)
        self._lock = threading.Lock()
        self._budgets: OrderedDict[int, tuple[RetryBudget, float]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._budgets)

    def issue(self, n_tokens: int) -> tuple[str, RetryBudget]:
        """Give a new whole request an identity and a budget.

        :return: the identity's text and the budget.
        """
        sequence = next(self._sequence)
        text = self._codec.encode(RequestId(self._node_id, self._epoch, sequence))
        budget = RetryBudget(n_tokens)
        now = time.monotonic()
        with self._lock:
            self._budgets[sequence] = (budget, now + LIFETIME_S)
            self._expire(now)
        return text, budget

    def read(self, text: str) -> Result[RequestId, MacError]:
        """Check an identity's text, whoever issued it."""
        return self._codec.decode(text, RequestId)

    def owns(self, request_id: RequestId) -> bool:
        """Whether this very process issued the identity."""
        return request_id.node_id == self._node_id and request_id.epoch == self._epoch

    def charge_repeat(self, request_id: RequestId) -> Result[RetryBudget, None]:
        """Charge one repeat of a request by its caller.

        Action ``retry:caller-repeats`` of the specification.

        :return: the request's budget; Err when it is spent or forgotten, and the
            repeat must be refuse for the bound to hold.
        """
        with self._lock:
            held = self._budgets.get(request_id.sequence)
        if held is None or not held[0].take():
            return Err(None)
        return Ok(held[0])

    def _expire(self, now: float) -> None:
        while self._budgets:
            sequence, (_, expires_at) = next(iter(self._budgets.items()))
            if expires_at > now and len(self._budgets) <= MAX_ROOTS:
                return
            del self._budgets[sequence]
