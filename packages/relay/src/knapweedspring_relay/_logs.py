"""Decision log: JSON lines on standard output, bounded and never blocking."""

import os
from collections import deque
from enum import IntEnum
from typing import Any

import eliot
import msgspec

from knapweedspring_core import Counters
from knapweedspring_relay._clock import now_s

__all__ = ["DecisionLog", "LineBuffer", "LineKind"]

#: Maximum number of lines per second about successful calls.
ROUTINE_LINES_PER_S = 10
#: Maximum number of lines per second about calls that failed or were refused.
FAILURE_LINES_PER_S = 40
#: Maximum number of lines per second about changes of the process's state.
STATE_LINES_PER_S = 60
#: Maximum number of bytes buffered for a slow reader; further lines are dropped and
#: counted.
MAX_BUFFERED_BYTES = 1_048_576


class LineKind(IntEnum):
    """Kind of a line; each kind has its own limit of lines per second."""

    #: A successful call.
    ROUTINE = 0
    #: A call that failed or was refused.
    FAILURE = 1
    #: A change of the process's state.
    STATE = 2


class LineBuffer:
    """Buffer of lines in front of a non-blocking file descriptor.

    :param descriptor: file descriptor that the lines are written to.
    :param counters: counts the dropped lines.
    """

    def __init__(self, descriptor: int, counters: Counters) -> None:
        self._descriptor = descriptor
        self._counters = counters
        self._lines: deque[bytes] = deque()
        self._n_bytes = 0
        os.set_blocking(descriptor, False)

    def add(self, message: dict[str, Any]) -> None:
        """Append a message as a line; this is an eliot destination."""
        line = msgspec.json.encode(message, enc_hook=str) + b"\n"
        if self._n_bytes + len(line) > MAX_BUFFERED_BYTES:
            self._counters.add("log_lines_dropped", "buffer")
            return
        self._lines.append(line)
        self._n_bytes += len(line)

    def flush(self) -> None:
        """Write buffered lines until none is left or a write would block."""
        while self._lines:
            data = b"".join(self._lines)
            try:
                n_written = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError as error:
                # The reader has closed the pipe, so only the counter can show the loss.
                self._counters.add("log_lines_dropped", error.strerror or "error")
                n_written = len(data)
            self._lines.clear()
            self._n_bytes = len(data) - n_written
            if n_written < len(data):
                self._lines.append(data[n_written:])
                return


class DecisionLog:
    """Writes one line per decision, up to a limit of lines per second.

    Each kind of line has its own limit, so that a flood of successful calls hides
    neither failures nor changes of state. Suppressed lines are counted; the counts of a
    second are logged before the first line of a later second.

    :param node: name of this node.
    :param counters: counts written and suppressed lines.
    """

    def __init__(self, node: str, counters: Counters) -> None:
        self._node = node
        self._counters = counters
        self._second = 0
        self._n_lines = [0, 0, 0]
        self._n_suppressed = [0, 0, 0]

    def write(self, line_kind: LineKind, event: str, **fields: Any) -> None:
        """Write a line unless the limit of its kind for this second is reached.

        :param line_kind: kind of the line, whose limit applies.
        :param event: kind of the event, such as ``gate:call``.
        :param fields: further fields: request id, outcome, and the inputs of the
            decision with their age or version.
        """
        second = int(now_s())
        if second != self._second:
            self._report_suppressed()
            self._second = second
        if self._n_lines[line_kind] >= _LINES_PER_S[line_kind]:
            self._suppress(line_kind)
            return
        self._n_lines[line_kind] += 1
        eliot.log_message(message_type=event, node=self._node, **fields)

    def admits_call_line(self, failed: bool) -> bool:
        """Return whether a line about a call would be written.

        A line that would not be written is counted as suppressed. Check this before the
        fields of a line are collected, to avoid that work for a suppressed line.

        :param failed: whether the call was refused or failed.
        """
        line_kind = _line_kind_of_call(failed)
        if self._n_lines[line_kind] < _LINES_PER_S[line_kind]:
            return True
        if int(now_s()) != self._second:
            return True
        self._suppress(line_kind)
        return False

    def write_call(self, failed: bool, event: str, **fields: Any) -> None:
        """Write a line about a call.

        :param failed: whether the call was refused or failed.
        :param event: kind of the event.
        :param fields: further fields: request id, outcome, and the inputs of the
            decision with their age or version.
        """
        line_kind = _line_kind_of_call(failed)
        self.write(line_kind, event, **fields)

    def _suppress(self, line_kind: LineKind) -> None:
        self._n_suppressed[line_kind] += 1
        self._counters.add("log_lines_suppressed", line_kind.name.lower())

    def write_state(self, event: str, **fields: Any) -> None:
        """Write a line about a change of the process's state.

        :param event: kind of the event.
        :param fields: further fields: outcome, and the inputs of the decision with
            their age or version.
        """
        self.write(LineKind.STATE, event, **fields)

    def _report_suppressed(self) -> None:
        suppressed, self._n_suppressed = self._n_suppressed, [0, 0, 0]
        self._n_lines = [0, 0, 0]
        if any(suppressed):
            eliot.log_message(
                message_type="log:suppressed",
                node=self._node,
                n_routine=suppressed[LineKind.ROUTINE],
                n_failures=suppressed[LineKind.FAILURE],
                n_states=suppressed[LineKind.STATE],
            )


_LINES_PER_S = (ROUTINE_LINES_PER_S, FAILURE_LINES_PER_S, STATE_LINES_PER_S)


def _line_kind_of_call(failed: bool) -> LineKind:
    return LineKind.FAILURE if failed else LineKind.ROUTINE
