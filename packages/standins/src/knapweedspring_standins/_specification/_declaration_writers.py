"""Specification of concurrent writes of a declaration whose answers may be lost.

The model has one object on the platform, whose initial version was written by the
first of the two writers. Each writer reads the object and replaces the version that
it read. A request and its answer may each be late or lost. A request takes effect at
most once for each time that it was sent. An outage is the loss of all requests and
answers.

Bounds: two writers, three sends of a write by each, one object.

Properties: ``no version has two winners``: each version is confirmed to at most one
writer; ``confirmed versions belong to their writer``; ``writes reported as not
written are never stored``, neither before nor after the report; ``no unread version
is overwritten``: no writer replaces a version that it did not read.

States: 2,584.
"""

from collections.abc import Iterator
from enum import Enum, auto
from typing import NamedTuple

from knapweedspring_standins._specification._checking import (
    Property,
    Specification,
    Step,
)

__all__ = ["WriterRule", "WriterSpecification", "WriterState"]

N_WRITERS = 2
N_SENDS_MAX = 3
#: Value in ``WriterState.history`` for the initial version.
INITIAL_WRITE = -1
#: Index of the writer that wrote the initial version, by an earlier write.
INITIAL_WRITER = 0


class WriterRule(Enum):
    """Rules of the protocol, each needed by a property."""

    #: The platform writes only if the object still has the version that was read.
    CONDITIONAL = auto()
    #: A writer that gets no answer reads the object back.
    READ_BACK = auto()
    #: Each write puts a new writer id into the object.
    ID_PER_WRITE = auto()
    #: A conflict after a lost answer may be with the writer's own write, so the
    #: writer reads the object back.
    CONFLICT_AFTER_LOSS_READS_BACK = auto()
    #: If the object is unchanged, the writer sends its write again with the same
    #: condition.
    UNCHANGED_IS_SENT_AGAIN = auto()
    #: Another writer's version may have replaced the version of the writer, so the
    #: writer reports the result as unsure.
    REPLACED_IS_UNSURE = auto()


class Phase(Enum):
    """State of a writer, or the result of its write."""

    READY = auto()
    WAITING = auto()
    READING_BACK = auto()
    WON = auto()
    NOT_WRITTEN = auto()
    UNSURE = auto()


class Writer(NamedTuple):
    """One operator's write."""

    phase: Phase
    #: Version that the writer read and sends as the condition of its write.
    read_version: int
    n_sends: int
    #: Version that was confirmed to the writer as its own, 0 for none.
    won: int


class Answer(NamedTuple):
    """Answer to a write; it is never removed from the network."""

    writer: int
    #: Version written, 0 for a conflict.
    version: int


class WriterState(NamedTuple):
    """State of the platform, the writers and the network."""

    #: Writer of each version, ``INITIAL_WRITE`` for the first version.
    history: tuple[int, ...]
    writers: tuple[Writer, ...]
    #: Number of requests in the network, by writer.
    requests: tuple[int, ...]
    answers: frozenset[Answer]
    #: Whether a writer replaced a version that it did not read.
    overwritten_unread: bool

    @property
    def version(self) -> int:
        """Version of the object."""
        return len(self.history)


class WriterSpecification(Specification[WriterState]):
    """Concurrent writes of one object by two operators.

    >>> WriterSpecification().initial.version
    1
    """

    @property
    def initial(self) -> WriterState:
        """Return the state before the writers have read the object."""
        writers = (Writer(Phase.READY, 0, 0, 0),) * N_WRITERS
        return WriterState(
            (INITIAL_WRITE,), writers, (0,) * N_WRITERS, frozenset(), False
        )

    @property
    def properties(self) -> tuple[Property[WriterState], ...]:
        """Return the guarantees that the protocol gives to writers."""
        return (
            Property("no version has two winners", _one_winner),
            Property(
                "confirmed versions belong to their writer", _confirmed_versions_match
            ),
            Property(
                "writes reported as not written are never stored",
                _not_written_is_never_stored,
            ),
            Property(
                "no unread version is overwritten",
                lambda state: not state.overwritten_unread,
            ),
        )

    def steps(self, state: WriterState) -> Iterator[Step]:
        """Yield the possible steps of the writers and the platform."""
        for index, writer in enumerate(state.writers):
            if writer.phase is Phase.READY:
                reader = writer._replace(read_version=state.version)
                yield self._send_step(_with_writer(state, index, reader), index)
            if writer.phase is Phase.WAITING:
                yield from self._waiting_steps(state, index)
            if writer.phase is Phase.READING_BACK:
                yield from self._read_back_steps(state, index)
        for index, n_requests in enumerate(state.requests):
            if n_requests:
                yield from self._platform_steps(state, index)

    def _send_step(self, state: WriterState, index: int) -> Step:
        writer = state.writers[index]
        waiting = writer._replace(phase=Phase.WAITING, n_sends=writer.n_sends + 1)
        sent = _with_writer(state, index, waiting)
        return Step(f"writer:put {index}", _count_request(sent, index, 1))

    def _waiting_steps(self, state: WriterState, index: int) -> Iterator[Step]:
        for answer in sorted(state.answers):
            if answer.writer != index:
                continue
            if answer.version:
                yield _phase_step(state, index, Phase.WON, answer.version)
            else:
                yield from self._conflict_steps(state, index)
        read_back = self.has(WriterRule.READ_BACK)
        phase = Phase.READING_BACK if read_back else Phase.NOT_WRITTEN
        yield _phase_step(state, index, phase)

    def _conflict_steps(self, state: WriterState, index: int) -> Iterator[Step]:
        lost_before = state.writers[index].n_sends > 1
        if lost_before and self.has(WriterRule.CONFLICT_AFTER_LOSS_READS_BACK):
            yield _phase_step(state, index, Phase.READING_BACK)
        else:
            yield _phase_step(state, index, Phase.NOT_WRITTEN)

    def _read_back_steps(self, state: WriterState, index: int) -> Iterator[Step]:
        current = state.history[-1]
        own = current == index
        if not self.has(WriterRule.ID_PER_WRITE) and current == INITIAL_WRITE:
            # Without an id for each write, the initial version has the id of the
            # writer that wrote it.
            own = index == INITIAL_WRITER
        if own:
            yield _phase_step(state, index, Phase.WON, state.version)
        elif state.version == state.writers[index].read_version:
            yield from self._unchanged_steps(state, index)
        elif self.has(WriterRule.REPLACED_IS_UNSURE):
            yield _phase_step(state, index, Phase.UNSURE)
        else:
            yield _phase_step(state, index, Phase.NOT_WRITTEN)

    def _unchanged_steps(self, state: WriterState, index: int) -> Iterator[Step]:
        if not self.has(WriterRule.UNCHANGED_IS_SENT_AGAIN):
            yield _phase_step(state, index, Phase.NOT_WRITTEN)
        elif state.writers[index].n_sends < N_SENDS_MAX:
            yield self._send_step(state, index)
        else:
            yield _phase_step(state, index, Phase.UNSURE)

    def _platform_steps(self, state: WriterState, index: int) -> Iterator[Step]:
        matches = state.version == state.writers[index].read_version or not self.has(
            WriterRule.CONDITIONAL
        )
        after = _count_request(state, index, -1)
        # The model has no step that loses an answer: the writer of a lost answer takes
        # another step instead of receiving the answer.
        if matches:
            yield Step(f"platform:write {index}", _write(after, index))
        else:
            answers = state.answers | {Answer(index, 0)}
            conflict = after._replace(answers=answers)
            yield Step(f"platform:conflict {index}", conflict)


def _count_request(state: WriterState, index: int, change: int) -> WriterState:
    requests = list(state.requests)
    requests[index] += change
    return state._replace(requests=tuple(requests))


def _write(state: WriterState, index: int) -> WriterState:
    history = (*state.history, index)
    unread = state.version != state.writers[index].read_version
    return state._replace(
        history=history,
        answers=state.answers | {Answer(index, len(history))},
        overwritten_unread=state.overwritten_unread or unread,
    )


def _phase_step(state: WriterState, index: int, phase: Phase, won: int = 0) -> Step:
    updated = state.writers[index]._replace(phase=phase, won=won)
    name = phase.name.lower().replace("_", "-")
    return Step(f"writer:{name} {index}", _with_writer(state, index, updated))


def _with_writer(state: WriterState, index: int, writer: Writer) -> WriterState:
    writers = list(state.writers)
    writers[index] = writer
    return state._replace(writers=tuple(writers))


def _one_winner(state: WriterState) -> bool:
    won = [writer.won for writer in state.writers if writer.phase is Phase.WON]
    return len(won) == len(set(won))


def _confirmed_versions_match(state: WriterState) -> bool:
    return all(
        state.history[writer.won - 1] == index
        for index, writer in enumerate(state.writers)
        if writer.phase is Phase.WON
    )


def _not_written_is_never_stored(state: WriterState) -> bool:
    return not any(
        writer.phase is Phase.NOT_WRITTEN and index in state.history
        for index, writer in enumerate(state.writers)
    )
