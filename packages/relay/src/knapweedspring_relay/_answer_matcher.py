"""Decides whether an answer on a connection belongs to the request that waits there."""

__all__ = ["AnswerMatcher"]

#: Status from which an answer reports an error. The sender of such a request may send
#: it again.
MIN_ERROR_STATUS = 400
#: Number of requests with error answers after which a connection is not used again,
#: which bounds the memory of their ids.
MAX_FAILED_REQUESTS = 64
#: Longest time between two sends of one request, in seconds. A call that an upstream
#: makes is sent again when the request that it belongs to runs again, which ends at
#: the deadline of the caller; deadlines are far shorter.
MAX_RESEND_S = 60.0


class AnswerMatcher:
    """Matches the answers on one connection to its requests by their ids.

    A server may send an answer again at any later time. The id tells the copy from the
    answer to a request with another id. It does not tell the copy from the answer to
    the same request, sent again, and a copy without an id from no other answer. So no
    request is sent twice on one connection, and a connection is not used again after an
    answer without an id.

    A request whose answer reported an error is remembered as long as the connection is
    open, since a copy of that answer could deny a run. Another one is remembered for as
    long as it may be sent again: a call that an upstream makes, with an id that follows
    from that of the request for which it is made, returns if that request runs again.

    Connections whose requests carry no id accept every answer: those to the store and
    to other nodes, which send no answer twice.
    """

    def __init__(self) -> None:
        self._expected_id: bytes | None = None
        self._failed_ids: set[bytes] = set()
        #: Times until which requests with other answers may be sent again, by id, in
        #: the order of these times.
        self._answered_ids: dict[bytes, float] = {}
        self._begun_at = 0.0
        self._has_anonymous_answer = False

    @property
    def allows_reuse(self) -> bool:
        """Whether later answers on the connection can be matched to their requests."""
        if self._has_anonymous_answer:
            return False
        return len(self._failed_ids) < MAX_FAILED_REQUESTS

    def allows_request(self, request_id: bytes | None) -> bool:
        """Return whether the answer to a request could be told from earlier answers.

        :param request_id: id of the request; None when its answer carries none.
        """
        return request_id not in self._failed_ids and (
            request_id not in self._answered_ids
        )

    def begin_request(self, request_id: bytes | None, now: float) -> None:
        """Expect the answer to a request.

        :param request_id: id that the answer carries; None accepts any answer.
        :param now: current time on the monotonic clock, in seconds.
        """
        self._expected_id = request_id
        self._begun_at = now
        self._forget_old_requests(now)

    def accepts(self, status: int, found_id: bytes | None) -> bool:
        """Return whether an answer belongs to the current request, and record it if so.

        :param status: status code of the answer.
        :param found_id: id that the answer carries; None when it carries none.
        """
        expected_id = self._expected_id
        if expected_id is None:
            return True
        if found_id is None:
            # Error answers may lack the id; other answers must carry it.
            if status < MIN_ERROR_STATUS:
                return False
            self._has_anonymous_answer = True
            return True
        if found_id.strip() != expected_id:
            return False
        if status >= MIN_ERROR_STATUS:
            self._failed_ids.add(expected_id)
        else:
            self._answered_ids[expected_id] = self._begun_at + MAX_RESEND_S
        return True

    def _forget_old_requests(self, now: float) -> None:
        while self._answered_ids:
            request_id = next(iter(self._answered_ids))
            if self._answered_ids[request_id] > now:
                return
            del self._answered_ids[request_id]
