"""Answers to requests that no upstream answered, and when their callers may return."""

import random

from knapweedspring_relay._clock import now_s
from knapweedspring_relay._headers import CallHeaders
from knapweedspring_relay._http_server import Exchange
from knapweedspring_relay._request_state import RequestState
from knapweedspring_relay._requests import Header

__all__ = ["Refusals"]

#: Bounds of Retry-After as shares of the route's goal. Callers' retries are spread out
#: and come early enough for their answers to be useful.
RETRY_AFTER_MIN_SHARE = 0.15
RETRY_AFTER_MAX_SHARE = 0.4
#: Bounds of Retry-After as shares of the time left, for requests that are refused early
#: while whole chains fail.
EARLY_REFUSAL_RETRY_AFTER_MIN_SHARE = 0.2
EARLY_REFUSAL_RETRY_AFTER_MAX_SHARE = 0.33
#: Retry-After of a request that is refused because upstreams ended under it, in
#: seconds. The refusal lasts longer than any caller waits.
CRASH_RETRY_AFTER_S = 300.0
#: Share by which Retry-After of requests over their quota is spread.
QUOTA_RETRY_SPREAD = 0.3
#: Retry-After of a node that has no configuration yet, in seconds.
UNCONFIGURED_RETRY_AFTER_S = 0.5


class Refusals:
    """Sends refusals and failures.

    :param headers: names of the callers' headers.
    :param rng: spreads Retry-After values.
    """

    def __init__(self, headers: CallHeaders, rng: random.Random) -> None:
        self._headers = headers
        self._rng = rng

    def send_failure(self, state: RequestState, exchange: Exchange) -> int:
        """Answer 502, 503 or 504 to a request that no upstream answered.

        A request whose key was taken away before it was sent gets 401.

        :param state: state of the request.
        :param exchange: the request and its connection.
        :return: the status.
        """
        if state.may_have_run:
            status = 504 if state.last_reason == "deadline" else 502
            exchange.send_answer(status, self._request_id_header(state))
        elif state.is_key_withdrawn:
            status = 401
            exchange.send_answer(status, self._request_id_header(state))
        else:
            status = 503
            self._refuse(status, state, exchange, self._retry_after_s(state))
        return status

    def send_early_refusal(self, state: RequestState, exchange: Exchange) -> None:
        """Refuse a request whose chain would probably fail.

        :param state: state of the request.
        :param exchange: the request and its connection.
        """
        share = self._rng.uniform(
            EARLY_REFUSAL_RETRY_AFTER_MIN_SHARE, EARLY_REFUSAL_RETRY_AFTER_MAX_SHARE
        )
        left_s = max(0.0, state.deadline_at - now_s())
        self._refuse(503, state, exchange, share * left_s)

    def send_over_quota(
        self, state: RequestState, exchange: Exchange, retry_after_s: float
    ) -> None:
        """Refuse a request whose workspace has used its quota.

        :param state: state of the request.
        :param exchange: the request and its connection.
        :param retry_after_s: time until the workspace may start a further request, in
            seconds.
        """
        spread = self._rng.uniform(1.0, 1.0 + QUOTA_RETRY_SPREAD)
        self._refuse(429, state, exchange, spread * retry_after_s)

    def send_unrouted(self, exchange: Exchange, status: int) -> bytes | None:
        """Refuse a request before it has a route.

        :param exchange: the request and its connection.
        :param status: status of the answer.
        :return: id of the request; None when it has none.
        """
        fields: list[Header] = []
        if status == 503:
            fields.append((b"retry-after", b"%.3f" % UNCONFIGURED_RETRY_AFTER_S))
        request_id = exchange.request.header(self._headers.request_id)
        if request_id is not None:
            fields.append((self._headers.request_id, request_id))
        exchange.send_answer(status, fields)
        return request_id

    def _refuse(
        self,
        status: int,
        state: RequestState,
        exchange: Exchange,
        retry_after_s: float,
    ) -> None:
        retry_after = (b"retry-after", b"%.3f" % retry_after_s)
        exchange.send_answer(status, [*self._request_id_header(state), retry_after])

    def _retry_after_s(self, state: RequestState) -> float:
        if state.is_refused_for_crashes:
            return CRASH_RETRY_AFTER_S
        share = self._rng.uniform(RETRY_AFTER_MIN_SHARE, RETRY_AFTER_MAX_SHARE)
        return share * state.route.goal_s

    def _request_id_header(self, state: RequestState) -> list[Header]:
        return [(self._headers.request_id, state.request_id.encode("latin-1"))]
