"""Withdrawal of a call that was offered to the gate of another node."""

from collections.abc import Callable

from knapweedspring_relay._errors import CallWithdrawn

__all__ = ["Withdrawal"]


class Withdrawal:
    """Withdraws one call as long as its gate has not sent it to the upstream.

    The gate decides: only its report that the call was refused shows that the call does
    not run.
    """

    def __init__(self) -> None:
        self._is_requested = False
        self._ask_gate: Callable[[], None] | None = None

    def request(self) -> None:
        """Withdraw the call: do not send it, or ask the gate to refuse it."""
        self._is_requested = True
        if self._ask_gate is not None:
            self._ask_gate()

    def begin_call(self, ask_gate: Callable[[], None]) -> None:
        """Prepare to send the call to the gate.

        :param ask_gate: asks the gate to refuse the call if it still waits there.
        :raises CallWithdrawn: when the call has been withdrawn and must not be sent.
        """
        if self._is_requested:
            raise CallWithdrawn("withdrawn before it was sent")
        self._ask_gate = ask_gate
