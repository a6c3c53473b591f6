"""Specification of tickets: a non-repeatable request runs at most once.

The model has one ticket, its owner, two gates and a caller that may repeat the call
before it has an answer.

Bounds: two calls with the ticket, three attempts, two processes of the owner one
after the other, two processes of the first gate and one of the second. The network
keeps every message: each may arrive late, out of order, repeatedly or never. A
paused process takes no step for a while, which the interleaving covers.

Properties: ``runs at most once``; ``not-run is honest``: no call that was answered
``not-run`` caused a run, and no call is answered ``not-run`` after a run.

States: 29,324.
"""

from collections.abc import Iterator
from enum import Enum, auto
from typing import Any

from knapweedspring_standins._specification._checking import (
    Property,
    Specification,
    Step,
)
from knapweedspring_standins._specification._ticket_state import (
    INITIAL_OWNER,
    CallPhase,
    Gate,
    Message,
    MessageKind,
    Owner,
    Phase,
    TicketState,
)

__all__ = ["TicketRule", "TicketSpecification", "TicketState"]

N_ATTEMPTS = 3
N_OWNER_PROCESSES = 2
#: Number of processes of each gate, one after the other.
GATE_PROCESSES = (2, 1)


class TicketRule(Enum):
    """Rules of the protocol, each needed by a property."""

    #: Only the owner's process that issued the ticket sends attempts.
    OWNER_PROCESS_ONLY = auto()
    #: The owner sends the next attempt only after ``not-run``.
    ONE_ATTEMPT_AT_A_TIME = auto()
    #: A revocation leaves a tombstone, so that a late attempt is refused.
    TOMBSTONE = auto()
    #: A gate starts a ticket at most once, even if an attempt arrives repeatedly.
    START_ONCE = auto()
    #: A gate that refused an attempt does not start it later.
    REFUSAL_IS_FINAL = auto()
    #: Attempts and revocations name the gate's process; other processes of the gate
    #: ignore them.
    GATE_PROCESS_NAMED = auto()
    #: A gate refuses a ticket whose entry expired at the gate.
    EXPIRED_IS_REFUSED = auto()
    #: The owner answers ``unknown`` for a ticket whose entry expired at the owner.
    EXPIRED_IS_UNKNOWN = auto()
    #: A node reports ``unknown`` if its connection to the owner closes before the
    #: owner's answer.
    LOST_OWNER_IS_UNKNOWN = auto()
    #: If a revocation finds the attempt started, the owner answers ``unknown``.
    STARTED_IS_UNKNOWN = auto()


class TicketSpecification(Specification[TicketState]):
    """Issue, attempts and outcome of one ticket.

    >>> TicketSpecification().initial.n_runs
    0
    """

    @property
    def initial(self) -> TicketState:
        """Return the state after the ticket was issued."""
        gates = tuple(Gate(1, 0, False, False) for _ in GATE_PROCESSES)
        calls = (CallPhase.UNSENT, CallPhase.UNSENT)
        return TicketState(
            INITIAL_OWNER,
            gates,
            calls,
            frozenset(),
            n_runs=0,
            n_attempts=0,
            received=frozenset(),
            ran_for=frozenset(),
            false_not_run=False,
        )

    @property
    def properties(self) -> tuple[Property[TicketState], ...]:
        """Return the two guarantees about a ticket."""
        return (
            Property("runs at most once", lambda state: state.n_runs <= 1),
            Property("not-run is honest", _not_run_is_honest),
        )

    def steps(self, state: TicketState) -> Iterator[Step]:
        """Yield the possible steps of callers, owner, gates and faults."""
        if state.n_runs > 1 or not _not_run_is_honest(state):
            return
        yield from self._caller_steps(state)
        yield from self._owner_steps(state)
        yield from self._gate_steps(state)
        yield from self._fault_steps(state)

    def normalise(self, state: TicketState) -> TicketState:
        """Remove messages that no process would act on any more."""
        live = frozenset(
            message for message in state.network if self._is_live(state, message)
        )
        return state._replace(network=live)

    def _is_live(self, state: TicketState, message: Message) -> bool:
        if message.kind is not MessageKind.ATTEMPT:
            # Only the current attempt matters. All earlier attempts were refused, so a
            # late revocation of an earlier attempt has no effect.
            return message.attempt == state.owner.attempt
        gate = state.gates[message.gate]
        if self._is_for_other_process(gate, message):
            return False
        if not self.has(TicketRule.EXPIRED_IS_REFUSED):
            return True
        return not gate.expired and gate.decided < message.attempt

    def _caller_steps(self, state: TicketState) -> Iterator[Step]:
        for call, phase in enumerate(state.calls):
            if phase is CallPhase.UNSENT:
                if call and state.calls[call - 1] is CallPhase.UNSENT:
                    continue
                yield Step(f"call:sent {call}", _with_call(state, call, CallPhase.SENT))
            elif phase is CallPhase.SENT:
                # One possible step: the connection between the caller's node and the
                # owner closes before the owner's answer arrives.
                outcome = CallPhase.UNKNOWN
                if not self.has(TicketRule.LOST_OWNER_IS_UNKNOWN):
                    outcome = CallPhase.NOT_RUN
                yield Step(
                    f"call:lost-owner {call}", _with_answer(state, call, outcome)
                )

    def _owner_steps(self, state: TicketState) -> Iterator[Step]:
        for call, phase in enumerate(state.calls):
            # A call that its node has already answered may still reach the owner.
            if phase is not CallPhase.UNSENT and call not in state.received:
                arrived = state._replace(received=state.received | {call})
                yield from self._receive_call(arrived, call)
        if state.owner.phase in (Phase.ATTEMPTING, Phase.REVOKING):
            yield from self._attempt_outcome_steps(state)
        if state.owner.phase in (Phase.RAN, Phase.UNKNOWN):
            yield Step("owner:forget", _with_owner(state, phase=Phase.EXPIRED))

    def _receive_call(self, state: TicketState, call: int) -> Iterator[Step]:
        owner = state.owner
        if owner.process > 1 and self.has(TicketRule.OWNER_PROCESS_ONLY):
            answered = _with_answer(state, call, CallPhase.UNKNOWN)
            yield Step(f"owner:foreign-ticket {call}", answered)
        elif owner.phase is Phase.ISSUED:
            yield Step(
                f"owner:refuse {call}", _with_answer(state, call, CallPhase.NOT_RUN)
            )
            for target in self._targets(state):
                yield self._attempt_step(state, target, (call,))
        elif owner.phase in (Phase.ATTEMPTING, Phase.REVOKING):
            waiting = (*owner.waiting, call)
            joined = _with_owner(state, waiting=waiting)
            yield Step(f"owner:join {call}", joined)
        else:
            answered = _with_answer(state, call, self._recorded_answer(owner.phase))
            yield Step(f"owner:answer-held {call}", answered)

    def _recorded_answer(self, phase: Phase) -> CallPhase:
        if phase is Phase.RAN:
            return CallPhase.RAN
        if phase is Phase.EXPIRED and not self.has(TicketRule.EXPIRED_IS_UNKNOWN):
            return CallPhase.NOT_RUN
        return CallPhase.UNKNOWN

    def _targets(self, state: TicketState) -> Iterator[tuple[int, int]]:
        """Yield each gate with each of its processes so far, as targets of an attempt.

        The owner's membership view may be stale and still name an ended process.
        """
        if state.n_attempts >= N_ATTEMPTS:
            return
        for gate, entry in enumerate(state.gates):
            for process in range(1, entry.process + 1):
                yield gate, process

    def _attempt_step(
        self, state: TicketState, target: tuple[int, int], waiting: tuple[int, ...]
    ) -> Step:
        gate, process = target
        number = state.n_attempts + 1
        message = Message(MessageKind.ATTEMPT, number, gate, process, waiting[0])
        sent = _with_message(state, message)._replace(n_attempts=number)
        owner = Owner(
            state.owner.process, Phase.ATTEMPTING, number, gate, process, waiting
        )
        action = f"ticket:attempt {number} at gate {gate}.{process}"
        return Step(action, sent._replace(owner=owner))

    def _attempt_outcome_steps(self, state: TicketState) -> Iterator[Step]:
        owner = state.owner
        attempt_key = (owner.attempt, owner.gate, owner.gate_process)
        if Message(MessageKind.RAN, *attempt_key) in state.network:
            yield Step(
                "ticket:outcome ran", _end_attempts(state, Phase.RAN, CallPhase.RAN)
            )
        for kind in (MessageKind.REFUSED, MessageKind.REVOKED):
            if Message(kind, *attempt_key) in state.network:
                yield from self._next_attempt_steps(state)
        if owner.phase is Phase.ATTEMPTING:
            revoke = Message(MessageKind.REVOKE, *attempt_key)
            revoking = _with_owner(_with_message(state, revoke), phase=Phase.REVOKING)
            yield Step("owner:no-answer", revoking)
            if not self.has(TicketRule.ONE_ATTEMPT_AT_A_TIME):
                yield from self._next_attempt_steps(state)
            return
        # The revocation gets no answer, or shows that the gate started the attempt.
        unknown = _end_attempts(state, Phase.UNKNOWN, CallPhase.UNKNOWN)
        yield Step("ticket:outcome unknown", unknown)
        if Message(MessageKind.STARTED, *attempt_key) in state.network and not self.has(
            TicketRule.STARTED_IS_UNKNOWN
        ):
            yield from self._next_attempt_steps(state)

    def _next_attempt_steps(self, state: TicketState) -> Iterator[Step]:
        not_run = _end_attempts(state, Phase.ISSUED, CallPhase.NOT_RUN)
        yield Step("ticket:outcome not-run", not_run)
        for target in self._targets(state):
            yield self._attempt_step(state, target, state.owner.waiting)

    def _gate_steps(self, state: TicketState) -> Iterator[Step]:
        for message in sorted(state.network, key=_sort_key):
            if message.kind is MessageKind.ATTEMPT:
                yield from self._attempt_arrival_steps(state, message)
            elif message.kind is MessageKind.REVOKE:
                yield from self._revocation_arrival_steps(state, message)

    def _is_for_other_process(self, gate: Gate, message: Message) -> bool:
        if not self.has(TicketRule.GATE_PROCESS_NAMED):
            return False
        return gate.process != message.gate_process

    def _attempt_arrival_steps(
        self, state: TicketState, message: Message
    ) -> Iterator[Step]:
        gate = state.gates[message.gate]
        if self._is_for_other_process(gate, message):
            return
        if gate.started and self.has(TicketRule.START_ONCE):
            return
        is_expired = gate.expired and self.has(TicketRule.EXPIRED_IS_REFUSED)
        if is_expired or gate.decided >= message.attempt:
            return
        gate_label = f"{message.gate}.{gate.process}"
        started = _with_gate(
            state,
            message.gate,
            gate._replace(decided=message.attempt, started=True, expired=False)
            if self.has(TicketRule.START_ONCE)
            else gate,
        )
        answered = _with_message(
            started, message._replace(kind=MessageKind.RAN, cause=0)
        )
        ran = answered._replace(
            n_runs=state.n_runs + 1, ran_for=state.ran_for | {message.cause}
        )
        yield Step(f"gate:started {message.attempt} at gate {gate_label}", ran)
        refused = _with_message(
            state, message._replace(kind=MessageKind.REFUSED, cause=0)
        )
        if self.has(TicketRule.REFUSAL_IS_FINAL):
            entry = gate._replace(decided=message.attempt, expired=False)
            refused = _with_gate(refused, message.gate, entry)
        yield Step(f"gate:refused {message.attempt} at gate {gate_label}", refused)

    def _revocation_arrival_steps(
        self, state: TicketState, message: Message
    ) -> Iterator[Step]:
        gate = state.gates[message.gate]
        if self._is_for_other_process(gate, message):
            return
        gate_label = f"{message.gate}.{gate.process}"
        if gate.started:
            answered = _with_message(state, message._replace(kind=MessageKind.STARTED))
            yield Step(f"gate:already-started at gate {gate_label}", answered)
            return
        if gate.expired:
            # The entry that shows whether the attempt ran was discarded, so the gate
            # does not answer.
            return
        revoked = _with_message(state, message._replace(kind=MessageKind.REVOKED))
        if self.has(TicketRule.TOMBSTONE):
            decided = max(gate.decided, message.attempt)
            revoked = _with_gate(revoked, message.gate, gate._replace(decided=decided))
        yield Step(f"gate:revoked {message.attempt} at gate {gate_label}", revoked)

    def _fault_steps(self, state: TicketState) -> Iterator[Step]:
        if state.owner.process < N_OWNER_PROCESSES:
            replaced = INITIAL_OWNER._replace(process=state.owner.process + 1)
            yield Step("fault:owner-replaced", state._replace(owner=replaced))
        for index, gate in enumerate(state.gates):
            if gate.process < GATE_PROCESSES[index]:
                fresh = Gate(gate.process + 1, 0, False, False)
                yield Step(
                    f"fault:gate-replaced {index}", _with_gate(state, index, fresh)
                )
            if (gate.decided or gate.started) and not gate.expired:
                discarded = Gate(gate.process, 0, False, True)
                yield Step(
                    f"gate:forget at gate {index}", _with_gate(state, index, discarded)
                )


def _not_run_is_honest(state: TicketState) -> bool:
    if state.false_not_run:
        return False
    return not any(state.calls[call] is CallPhase.NOT_RUN for call in state.ran_for)


def _sort_key(message: Message) -> tuple[int, int, int, int]:
    return (
        message.kind.value,
        message.attempt,
        message.gate,
        message.gate_process,
    )


def _with_call(state: TicketState, call: int, phase: CallPhase) -> TicketState:
    calls = list(state.calls)
    calls[call] = phase
    return state._replace(calls=tuple(calls))


def _with_answer(state: TicketState, call: int, outcome: CallPhase) -> TicketState:
    """Answer a call, unless its node has already reported the owner as lost."""
    if state.calls[call] is not CallPhase.SENT:
        return state
    answered = _with_call(state, call, outcome)
    if outcome is CallPhase.NOT_RUN and state.n_runs:
        answered = answered._replace(false_not_run=True)
    return answered


def _end_attempts(state: TicketState, phase: Phase, outcome: CallPhase) -> TicketState:
    """End the attempts and answer all waiting calls."""
    for call in state.owner.waiting:
        state = _with_answer(state, call, outcome)
    return state._replace(
        owner=INITIAL_OWNER._replace(process=state.owner.process, phase=phase)
    )


def _with_owner(state: TicketState, **changes: Any) -> TicketState:
    return state._replace(owner=state.owner._replace(**changes))


def _with_gate(state: TicketState, index: int, gate: Gate) -> TicketState:
    gates = list(state.gates)
    gates[index] = gate
    return state._replace(gates=tuple(gates))


def _with_message(state: TicketState, message: Message) -> TicketState:
    return state._replace(network=state.network | {message})
