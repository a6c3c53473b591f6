"""One call of another node at the gate, and the memory that it holds."""

import asyncio
from abc import ABC, abstractmethod

from knapweedspring_relay._answer import Answer
from knapweedspring_relay._hop import HopCall
from knapweedspring_relay._hop_frames import CallFrame
from knapweedspring_relay._memory_budget import (
    REQUEST_BYTES,
    STREAM_BYTES,
    MemoryAccount,
    MemoryBudget,
)
from knapweedspring_relay._memory_holder import MemoryHolder

__all__ = ["CallOwner", "RunningCall"]


class CallOwner(ABC):
    """Listener that has received a call."""

    @property
    @abstractmethod
    def budget(self) -> MemoryBudget:
        """Budget of the process for what peers make it hold."""

    @abstractmethod
    def withdraw_call(self, call: HopCall) -> None:
        """Withdraw a call if it still waits at the gate.

        :param call: description of the call.
        """

    @abstractmethod
    def finish_call(self, frame: CallFrame, account: MemoryAccount) -> None:
        """Release the memory of a call once nothing holds its request any more."""

    @abstractmethod
    def report_ended(self, call: HopCall, phase: str, account: MemoryAccount) -> None:
        """Report a call that is ended since memory is short."""


class RunningCall(MemoryHolder):
    """One call of another node, from its arrival to its answer.

    :param listener: listener that has received the call.
    :param frame: the call and its request.
    """

    def __init__(self, listener: CallOwner, frame: CallFrame) -> None:
        self._listener = listener
        self._frame = frame
        self._account = listener.budget.open_account(self)
        #: Task that serves the call; None until it is admitted.
        self.task: asyncio.Task[None] | None = None
        #: Answer that is sent while it arrives, if any.
        self.answer: Answer | None = None

    @property
    def call(self) -> HopCall:
        """Description of the call."""
        return self._frame.call

    def hold(self) -> bool:
        """Hold the memory of the call; return whether it is held."""
        request = self._frame.request
        n_bytes = len(request.body) + len(request.lines) + len(request.target)
        if self._account.hold(n_bytes + REQUEST_BYTES):
            return True
        self._account.close()
        return False

    def hold_stream(self, answer: Answer) -> bool:
        """Hold the memory of an answer that is sent while it arrives.

        :param answer: the answer.
        :return: whether it is held.
        """
        self.answer = answer
        return self._account.hold(STREAM_BYTES)

    def finish(self) -> None:
        """Release the memory of the call."""
        # The error of a cancelled task refers to this object; both would keep the
        # memory of the call until the garbage collector runs.
        self.task = self.answer = None
        self._listener.finish_call(self._frame, self._account)

    def end_for_memory(self) -> None:
        """Refuse the call if it waits, or break its answer off.

        A call that the upstream runs goes on; its deadline ends it.
        """
        if self.answer is not None:
            self._listener.report_ended(self.call, "unread", self._account)
            self.answer.abandon()
        else:
            self._listener.report_ended(self.call, "waiting", self._account)
            self._listener.withdraw_call(self.call)
