"""Declarations, writing side: operators race and may lose an answer.

One object on the platform, which the first of two writers had written before. Each
reads it and writes over what it saw. A request and its answer may each be late or
lost, a request takes effect at most once for each time that it was sent; an outage
is the loss of all of them.

Bounds: two writers, three sends of a write by each, one object.

Properties: ``no version has two winners``; ``told winners won``; ``told losers
never wrote``: who is told "not written" never has its content stored, then or
later; ``nothing is overwritten unseen``.

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
MAX_SENDS = 3
#: Entry of the history for the version that stood before.
OLD_WRITE = -1
#: Writer of the version that stood before.
OLD_WRITER = 0


class WriterRule(Enum):
    """Rules of the protocol, each needed by a property."""

    #: The platform writes only over the version that the writer names.
    CONDITIONAL = auto()
    #: A writer without an answer reads the object back.
    READ_BACK = auto()
    #: The writer id in the object is new for each write.
    ID_PER_WRITE = auto()
    #: A conflict after a lost answer may be with the writer's own write.
    CONFLICT_AFTER_LOSS_READS_BACK = auto()
    #: An unchanged object is written again under the same condition.
    UNCHANGED_IS_SENT_AGAIN = auto()
    #: Another's version does not prove that the own write never stood.
    REPLACED_IS_UNSURE = auto()


class Phase(Enum):
    """What a writer does, or was told."""

    READY = auto()
    WAITING = auto()
    READING_BACK = auto()
    WON = auto()
    NOT_WRITTEN = auto()
    UNSURE = auto()


class Writer(NamedTuple):
    """One operator's write."""

    phase: Phase
    #: Version that it read, and names as the one to write over.
    seen: int
    n_sends: int
    #: Version that the writer was told it won.
    won: int


class Answer(NamedTuple):
    """Answer to a write, in the network for ever."""

    writer: int
    #: Version written, 0 for a conflict.
    version: int


class WriterState(NamedTuple):
    """State of the platform, the writers and the network."""

    #: Write that made each version; the first version is entry 0.
    history: tuple[int, ...]
    writers: tuple[Writer, ...]
    #: Requests in the network, by writer.
    requests: tuple[int, ...]
    answers: frozenset[Answer]
    #: A version was written over by a writer that never saw it.
    overwritten_unseen: bool

    @property
    def version(self) -> int:
        """Version of the object."""
        return len(self.history)


class WriterSpecification(Specification[WriterState]):
    """Two operators that write the same object.

    >>> WriterSpecification().initial.version
    1
    """

    @property
    def initial(self) -> WriterState:
        """Return the state before either read the object."""
        writers = (Writer(Phase.READY, 0, 0, 0),) * N_WRITERS
        return WriterState((OLD_WRITE,), writers, (0,) * N_WRITERS, frozenset(), False)

    @property
    def properties(self) -> tuple[Property[WriterState], ...]:
        """Return what writers may rely on."""
        return (
            Property("no version has two winners", _one_winner),
            Property("told winners won", _winners_won),
            Property("told losers never wrote", _losers_never_wrote),
            Property(
                "nothing is overwritten unseen",
                lambda state: not state.overwritten_unseen,
            ),
        )

    def steps(self, state: WriterState) -> Iterator[Step]:
        """Yield what writers and platform may do."""
        for index, writer in enumerate(state.writers):
            if writer.phase is Phase.READY:
                reader = writer._replace(seen=state.version)
                yield self._send(_put(state, index, reader), index)
            if writer.phase is Phase.WAITING:
                yield from self._answer_steps(state, index)
            if writer.phase is Phase.READING_BACK:
                yield from self._read_back(state, index)
        for index, n_requests in enumerate(state.requests):
            if n_requests:
                yield from self._platform_steps(state, index)

    def _send(self, state: WriterState, index: int) -> Step:
        writer = state.writers[index]
        waiting = writer._replace(phase=Phase.WAITING, n_sends=writer.n_sends + 1)
        sent = _put(state, index, waiting)
        return Step(f"writer:put {index}", _count_request(sent, index, 1))

    def _answer_steps(self, state: WriterState, index: int) -> Iterator[Step]:
        for answer in sorted(state.answers):
            if answer.writer != index:
                continue
            if answer.version:
                yield _tell(state, index, Phase.WON, answer.version)
            else:
                yield from self._conflict(state, index)
        read_back = self.has(WriterRule.READ_BACK)
        phase = Phase.READING_BACK if read_back else Phase.NOT_WRITTEN
        yield _tell(state, index, phase)

    def _conflict(self, state: WriterState, index: int) -> Iterator[Step]:
        lost_before = state.writers[index].n_sends > 1
        if lost_before and self.has(WriterRule.CONFLICT_AFTER_LOSS_READS_BACK):
            yield _tell(state, index, Phase.READING_BACK)
        else:
            yield _tell(state, index, Phase.NOT_WRITTEN)

    def _read_back(self, state: WriterState, index: int) -> Iterator[Step]:
        current = state.history[-1]
        own = current == index
        if not self.has(WriterRule.ID_PER_WRITE) and current == OLD_WRITE:
            own = index == OLD_WRITER
        if own:
            yield _tell(state, index, Phase.WON, state.version)
        elif state.version == state.writers[index].seen:
            yield from self._unchanged(state, index)
        elif self.has(WriterRule.REPLACED_IS_UNSURE):
            yield _tell(state, index, Phase.UNSURE)
        else:
            yield _tell(state, index, Phase.NOT_WRITTEN)

    def _unchanged(self, state: WriterState, index: int) -> Iterator[Step]:
        if not self.has(WriterRule.UNCHANGED_IS_SENT_AGAIN):
            yield _tell(state, index, Phase.NOT_WRITTEN)
        elif state.writers[index].n_sends < MAX_SENDS:
            yield self._send(state, index)
        else:
            yield _tell(state, index, Phase.UNSURE)

    def _platform_steps(self, state: WriterState, index: int) -> Iterator[Step]:
        fits = state.version == state.writers[index].seen or not self.has(
            WriterRule.CONDITIONAL
        )
        after = _count_request(state, index, -1)
        # An answer that is never looked at is a lost one.
        if fits:
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
    unseen = state.version != state.writers[index].seen
    return state._replace(
        history=history,
        answers=state.answers | {Answer(index, len(history))},
        overwritten_unseen=state.overwritten_unseen or unseen,
    )


def _tell(state: WriterState, index: int, phase: Phase, won: int = 0) -> Step:
    told = state.writers[index]._replace(phase=phase, won=won)
    name = phase.name.lower().replace("_", "-")
    return Step(f"writer:{name} {index}", _put(state, index, told))


def _put(state: WriterState, index: int, writer: Writer) -> WriterState:
    writers = list(state.writers)
    writers[index] = writer
    return state._replace(writers=tuple(writers))


def _one_winner(state: WriterState) -> bool:
    won = [writer.won for writer in state.writers if writer.phase is Phase.WON]
    return len(won) == len(set(won))


def _winners_won(state: WriterState) -> bool:
    return all(
        state.history[writer.won - 1] == index
        for index, writer in enumerate(state.writers)
        if writer.phase is Phase.WON
    )


def _losers_never_wrote(state: WriterState) -> bool:
    return not any(
        writer.phase is Phase.NOT_WRITTEN and index in state.history
        for index, writer in enumerate(state.writers)
    )
