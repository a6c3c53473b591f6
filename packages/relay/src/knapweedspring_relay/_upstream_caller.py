"""Sends calls to the upstream beside this node and checks its answers."""

from collections.abc import Callable

from knapweedspring_relay._answer import Answer
from knapweedspring_relay._clock import now_s
from knapweedspring_relay._errors import BadAnswer
from knapweedspring_relay._headers import CallHeaders
from knapweedspring_relay._hop import HopCall
from knapweedspring_relay._http_client import ConnectionPool
from knapweedspring_relay._local_upstream import LocalUpstream
from knapweedspring_relay._messages import encode_forwarded_request
from knapweedspring_relay._requests import Body, ForwardedRequest
from knapweedspring_relay._upstream_notices import UpstreamNotices

__all__ = ["UpstreamCaller"]

#: Longest idle time of a connection for a request that must not run twice, in seconds:
#: the upstream may be closing a connection that has been idle for longer.
NON_REPEATABLE_MAX_IDLE_S = 1.0
#: Time past a call's deadline for which the gate still waits for the upstream's answer,
#: in seconds.
LATE_ANSWER_GRACE_S = 0.08
#: Statuses that promise a caller that its request has not run and never will. An answer
#: makes this promise only together with the header that states it.
PROMISE_STATUSES = frozenset({408, 429, 503})


class UpstreamCaller:
    """Sends admitted calls to the upstream.

    :param address: address of the upstream, as ``ip:port``.
    :param pool: connections to the upstream.
    :param headers: names of the headers that upstreams read and write.
    :param notices: receives each answer.
    """

    def __init__(
        self,
        address: str,
        pool: ConnectionPool,
        headers: CallHeaders,
        notices: UpstreamNotices,
    ) -> None:
        self._address = address
        self._pool = pool
        self._headers = headers
        self._notices = notices

    async def call(
        self,
        call: HopCall,
        request: ForwardedRequest,
        upstream: LocalUpstream,
        deadline_at: float,
        check: Callable[[float], None],
    ) -> Answer:
        """Send a call and wait for its answer; a long body may still be arriving.

        :param call: description of the call.
        :param request: the HTTP request to send.
        :param upstream: the process that is expected at the address.
        :param deadline_at: deadline of the call, on the monotonic clock, in seconds.
        :param check: called with the monotonic time in seconds once there is a
            connection; raises :class:`CallWithdrawn` if the call must not be sent.
        :return: the answer.
        :raises ConnectFailed: when nothing was sent.
        :raises CallWithdrawn: as raised by ``check``.
        :raises TimeoutError: when the answer does not arrive in time.
        :raises CallError: when no usable answer arrives.
        """
        names = self._headers
        sent_at = 0.0

        def encode() -> list[Body]:
            nonlocal sent_at
            sent_at = now_s()
            check(sent_at)
            return self._encode(call, request, upstream, deadline_at - sent_at)

        repeatable = call.kind.is_repeatable
        answer = await self._pool.call(
            self._address,
            encode,
            call.request_id.encode("latin-1").strip(),
            is_head_request=request.method == b"HEAD",
            max_idle_s=float("inf") if repeatable else NON_REPEATABLE_MAX_IDLE_S,
            timeout_s=max(0.0, deadline_at - now_s()) + LATE_ANSWER_GRACE_S,
        )
        self._notices.observe_answer(answer, upstream, sent_at, now_s())
        if answer.header(b"content-encoding") is not None:
            answer.abandon()
            raise BadAnswer("the body is encoded, which nobody asked for")
        is_success = 200 <= answer.status < 300
        if is_success and answer.header(names.signature) is None:
            answer.abandon()
            raise BadAnswer("the answer is not signed")
        states_not_run = answer.header(names.not_executed) is not None
        if answer.status in PROMISE_STATUSES and not states_not_run:
            answer.abandon()
            raise BadAnswer("the answer promises a status that it does not state")
        return answer

    def _encode(
        self,
        call: HopCall,
        request: ForwardedRequest,
        upstream: LocalUpstream,
        left_s: float,
    ) -> list[Body]:
        names = self._headers
        added_lines = b"%b: %d\r\n%b: %b\r\n%b: %b\r\n" % (
            names.deadline_ms,
            max(1, int(left_s * 1_000)),
            names.expected_instance,
            upstream.instance.encode(),
            names.caller_service,
            call.caller.encode(),
        )
        if call.workspace:
            added_lines += b"%b: %b\r\n" % (names.workspace, call.workspace.encode())
        return encode_forwarded_request(request, added_lines)
