"""Answers that keep slots of the upstream, since their callers read them slowly."""

from knapweedspring_core import Counters
from knapweedspring_relay._admission import AdmissionQueue
from knapweedspring_relay._answer import Answer
from knapweedspring_relay._logs import DecisionLog

__all__ = ["UnreadAnswers"]

#: Time for which the upstream must have waited for the reader of an answer before the
#: answer may be broken off for other calls, in seconds. A caller that reads as fast as
#: its link allows makes it wait for a few round trips.
MIN_READER_WAIT_S = 0.5


class UnreadAnswers:
    """The answers that are passed on while they arrive.

    An answer that is read slowly keeps its slot, since the upstream still sends it. It
    is broken off when other calls wait for the slot.

    :param queue: admission queue of the gate.
    :param request_id_header: name of the header with the id of a request.
    :param log: decision log.
    :param counters: counts the answers that are broken off.
    """

    def __init__(
        self,
        queue: AdmissionQueue,
        request_id_header: bytes,
        log: DecisionLog,
        counters: Counters,
    ) -> None:
        self._queue = queue
        self._request_id_header = request_id_header
        self._log = log
        self._counters = counters
        self._answers: dict[int, Answer] = {}

    def add(self, answer: Answer) -> None:
        """Add an answer whose body is still arriving."""
        self._answers[id(answer)] = answer

    def remove(self, answer: Answer) -> None:
        """Remove an answer that has ended."""
        self._answers.pop(id(answer), None)

    def free_slots(self, now: float) -> None:
        """Break answers off while calls wait for their slots, the slowest first.

        :param now: current time on the monotonic clock, in seconds.
        """
        while self._queue.needs_slot:
            answer = self._find_slowest(now)
            if answer is None:
                return
            self._break_off(answer, now)

    def _find_slowest(self, now: float) -> Answer | None:
        """Return the answer whose reader has made the upstream wait for longest."""
        slowest, longest_s = None, MIN_READER_WAIT_S
        for answer in self._answers.values():
            wait_s = answer.reader_wait_s(now)
            if wait_s >= longest_s:
                slowest, longest_s = answer, wait_s
        return slowest

    def _break_off(self, answer: Answer, now: float) -> None:
        self._counters.add("answers_ended", "unread")
        if self._log.admits_call_line(True):
            request_id = answer.header(self._request_id_header) or b""
            self._log.write_call(
                True,
                "gate:answer-ended",
                request_id=request_id.decode("latin-1"),
                reader_wait_s=round(answer.reader_wait_s(now), 2),
                n_running=self._queue.n_running,
                n_waiting=self._queue.n_waiting,
            )
        self.remove(answer)
        answer.abandon()
