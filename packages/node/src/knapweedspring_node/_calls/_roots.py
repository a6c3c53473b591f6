"""Ids and retry budgets of root requests that entered at this node."""

import itertools
import threading
import time
from collections import OrderedDict

from result import Err, Ok, Result

from knapweedspring_node._calls._budget import RetryBudget
from knapweedspring_node._calls._context import RequestId
from knapweedspring_node._calls._errors import MacError
from knapweedspring_node._calls._mac_codec import MacCodec

__all__ = ["RootRequestTable"]

MAX_ROOT_REQUESTS = 100_000
BUDGET_LIFETIME_S = 120.0


class RootRequestTable:
    """Issues the ids of root requests and keeps the retry budgets that repeats spend.

    :param node_id: name of this node.
    :param epoch: random number that identifies this process.
    :param codec: authenticates the ids.
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
        """Create the id and the budget of a new root request.

        :param n_tokens: retry tokens of the budget.
        :return: the text of the id, and the budget.
        """
        sequence = next(self._sequence)
        text = self._codec.encode_text(RequestId(self._node_id, self._epoch, sequence))
        budget = RetryBudget(n_tokens)
        now = time.monotonic()
        with self._lock:
            self._budgets[sequence] = (budget, now + BUDGET_LIFETIME_S)
            self._expire(now)
        return text, budget

    def verify(self, text: str) -> Result[RequestId, MacError]:
        """Verify and decode the text of a request id that any node issued."""
        return self._codec.decode_text(text, RequestId)

    def owns(self, request_id: RequestId) -> bool:
        """Whether this process issued the id; false after a restart."""
        return request_id.node_id == self._node_id and request_id.epoch == self._epoch

    def charge_repeat(self, request_id: RequestId) -> Result[RetryBudget, None]:
        """Charge one repeat of a request by its caller.

        Action ``retry:caller-repeats`` of the specification.

        :return: the request's budget; Err when the budget is spent or expired. The
            repeat is then refused, so that retries stay within the budget.
        """
        with self._lock:
            entry = self._budgets.get(request_id.sequence)
        if entry is None or not entry[0].spend_token():
            return Err(None)
        return Ok(entry[0])

    def _expire(self, now: float) -> None:
        while self._budgets:
            sequence, (_, expires_at) = next(iter(self._budgets.items()))
            if expires_at > now and len(self._budgets) <= MAX_ROOT_REQUESTS:
                return
            del self._budgets[sequence]
