"""Decides whether an answer on a connection belongs to the request that waits there."""

__all__ = ["AnswerMatcher"]

#: Status from which an answer reports an error. The sender of such a request may send
#: it again.
MIN_ERROR_STATUS = 400
#: Number of requests with error answers after which a connection is not used again,
#: which bounds the memory of their ids.
MAX_FAILED_REQUESTS = 64


class AnswerMatcher:
    """Matches the answers on one connection to its requests by their ids.

    A server may send an answer again at any later time. The id tells the copy from the
    answer to a request with another id. It does not tell the copy from the answer to
    the same request, sent again, and a copy without an id from no other answer. So a
    request whose answer reported an error is not sent on the same connection again, and
    a connection is not used again after an answer without an id.

    Connections whose requests carry no id accept every answer: those to the store and
    to other nodes, which send no answer twice.
    """

    def __init__(self) -> None:
        self._expected_id: bytes | None = None
        self._failed_ids: set[bytes] = set()
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
        return request_id not in self._failed_ids

    def begin_request(self, request_id: bytes | None) -> None:
        """Expect the answer to a request.

        :param request_id: id that the answer carries; None accepts any answer.
        """
        self._expected_id = request_id

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
        return True
