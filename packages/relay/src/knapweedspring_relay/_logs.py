"""Decision log: JSON lines on standard output, bounded and never blocking."""

import os
from collections import deque
from enum import IntEnum
from typing import Any

import eliot
import msgspec

from knapweedspring_core import Counters
from knapweedspring_relay._clock import now_s

__all__ = ["DecisionLog", "LineBuffer", "Severity"]

#: Lines a second for calls that went well.
ROUTINE_LINES_PER_S = 10
#: Lines a second for calls that failed or were refused.
FAILURE_LINES_PER_S = 40
#: Lines a second for changes of what the process believes.
STATE_LINES_PER_S = 60
#: Bytes that wait for a slow reader; what comes then is dropped and counted.
MAX_WAITING_BYTES = 1_048_576


class Severity(IntEnum):
    """Which share of the lines a line counts against."""

    #: A call that went well.
    ROUTINE = 0
    #: A call that failed or was refused.
    FAILURE = 1
    #: The process changed what it believes.
    STATE = 2


class LineBuffer:
    """Lines that wait to be written to a descriptor that does not block.

    :param descriptor: where the lines go.
    :param counters: counts the lines that a full buffer dropped.
    """

    def __init__(self, descriptor: int, counters: Counters) -> None:
        self._descriptor = descriptor
        self._counters = counters
        self._lines: deque[bytes] = deque()
        self._n_bytes = 0
        os.set_blocking(descriptor, False)

    def add(self, message: dict[str, Any]) -> None:
        """Take in a line; eliot's destination."""
        line = msgspec.json.encode(message, enc_hook=str) + b"\n"
        if self._n_bytes + len(line) > MAX_WAITING_BYTES:
            self._counters.add("log_lines_dropped", "buffer")
            return
        self._lines.append(line)
        self._n_bytes += len(line)

    def flush(self) -> None:
        """Write what can be written without waiting."""
        while self._lines:
            data = b"".join(self._lines)
            try:
                n_written = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError as error:
                # Nobody reads any more; the counter is all that can tell.
                self._counters.add("log_lines_dropped", error.strerror or "error")
                n_written = len(data)
            self._lines.clear()
            self._n_bytes = len(data) - n_written
            if n_written < len(data):
                self._lines.append(data[n_written:])
                return


class DecisionLog:
    """Writes one line for a decision, within a number of lines a second.

    Each severity has its own share, so that a flood of calls that went well hides
    neither failures nor changes of state. Suppressed lines are counted and told
    once a second.

    :param node: name of this node.
    :param counters: counts written and suppressed lines.
    """

    def __init__(self, node: str, counters: Counters) -> None:
        self._node = node
        self._counters = counters
        self._second = 0
        self._n_lines = [0, 0, 0]
        self._n_suppressed = [0, 0, 0]

    def write(self, severity: Severity, event: str, **fields: Any) -> None:
        """Write a line unless this second's share is used up.

        :param severity: which share it counts against.
        :param event: what was decided, such as ``call``.
        :param fields: request id, inputs with their age or version, outcome.
        """
        second = int(now_s())
        if second != self._second:
            self._tell_suppressed()
            self._second = second
        if self._n_lines[severity] >= _LINES_PER_S[severity]:
            self._suppress(severity)
            return
        self._n_lines[severity] += 1
        eliot.log_message(message_type=event, node=self._node, **fields)

    def has_room(self, failed: bool) -> bool:
        """Tell whether a line about a call would be written; a suppressed one counts.

        Callers ask first, so that they need not collect the fields of a line that is
        not written.

        :param failed: whether the call was refused or failed.
        """
        severity = _severity_of_call(failed)
        if self._n_lines[severity] < _LINES_PER_S[severity]:
            return True
        if int(now_s()) != self._second:
            return True
        self._suppress(severity)
        return False

    def call(self, failed: bool, event: str, **fields: Any) -> None:
        """Write a line about a call.

        :param failed: whether it was refused or failed.
        :param event: what was decided.
        :param fields: request id, inputs with their age or version, outcome.
        """
        severity = _severity_of_call(failed)
        self.write(severity, event, **fields)

    def _suppress(self, severity: Severity) -> None:
        self._n_suppressed[severity] += 1
        self._counters.add("log_lines_suppressed", severity.name.lower())

    def state(self, event: str, **fields: Any) -> None:
        """Write a line about a change of what the process believes."""
        self.write(Severity.STATE, event, **fields)

    def _tell_suppressed(self) -> None:
        suppressed, self._n_suppressed = self._n_suppressed, [0, 0, 0]
        self._n_lines = [0, 0, 0]
        if any(suppressed):
            eliot.log_message(
                message_type="log:suppressed",
                node=self._node,
                n_routine=suppressed[Severity.ROUTINE],
                n_failures=suppressed[Severity.FAILURE],
                n_states=suppressed[Severity.STATE],
            )


_LINES_PER_S = (ROUTINE_LINES_PER_S, FAILURE_LINES_PER_S, STATE_LINES_PER_S)


def _severity_of_call(failed: bool) -> Severity:
    return Severity.FAILURE if failed else Severity.ROUTINE
