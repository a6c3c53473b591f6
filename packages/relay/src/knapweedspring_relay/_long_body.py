"""Bodies of calls that are longer than a frame between nodes."""

import msgspec

from knapweedspring_relay._clock import now_s
from knapweedspring_relay._hop_frames import CallFrame, LongCallFrame
from knapweedspring_relay._memory_budget import MemoryAccount, MemoryBudget
from knapweedspring_relay._memory_holder import MemoryHolder

__all__ = ["MAX_CALL_BODY_BYTES", "LongBody"]

#: Longest body that the frame of a call holds, in bytes.
MAX_CALL_BODY_BYTES = 32 * 1_048_576


class LongBody(MemoryHolder):
    """The body of one long call that arrives at a gate.

    :param budget: budget of the process for what peers make it hold.
    :param frame: the call.
    """

    def __init__(self, budget: MemoryBudget, frame: LongCallFrame) -> None:
        self._frame = frame
        self._body = bytearray()
        self._account: MemoryAccount = budget.open_account(self)
        self._begun_at = now_s()
        self._is_ended = False

    @property
    def is_ended(self) -> bool:
        """Whether the call is to be refused, since memory is short."""
        return self._is_ended

    @property
    def is_whole(self) -> bool:
        """Whether the whole body has arrived."""
        return len(self._body) >= self._frame.n_body_bytes

    def add(self, piece: bytes) -> None:
        """Add a part of the body."""
        if self._is_ended:
            return
        if self._account.hold(len(piece)):
            self._body += piece
        else:
            self.end_for_memory()

    def end_for_memory(self) -> None:
        """Discard the body; its call is refused with the next part."""
        self._is_ended = True
        self.release()

    def release(self) -> None:
        """Discard the body and release its memory."""
        self._body = bytearray()
        self._account.release(self._account.n_bytes)
        self._account.close()

    def to_call(self) -> CallFrame:
        """Return the call with its whole body, and release the memory of the body."""
        frame, body = self._frame, self._body
        self.release()
        left_s = frame.call.left_s - (now_s() - self._begun_at)
        call = msgspec.structs.replace(frame.call, left_s=left_s)
        request = msgspec.structs.replace(frame.request, body=body)
        return CallFrame(frame.stream, call, request)
