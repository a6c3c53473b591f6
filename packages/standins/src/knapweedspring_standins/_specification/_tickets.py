"""Tickets: a request that may not be repeated runs at most once.

One ticket, its owner, two gates and a caller that repeats at once.

Bounds: two calls with the ticket, three attempts, two processes of the owner one
after the other, two processes of the first gate and one of the second. The
network keeps every message for ever: each may arrive late, out of order, again
or never. A paused process is one that takes no step for a while, which the
interleaving covers.

Properties: ``runs at most once``; ``not-run is honest``: no call that was told
``not-run`` was the cause of a run, and none is told so after a run.

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
    NOBODY,
    CallPhase,
    Gate,
    Kind,
    Message,
    Owner,
    Phase,
    TicketState,
)

__all__ = ["TicketRule", "TicketSpecification", "TicketState"]

N_ATTEMPTS = 3
N_OWNER_PROCESSES = 2
GATE_PROCESSES = (2, 1)


class TicketRule(Enum):
    """Rules of the protocol, each needed by a property."""

    #: Only the process of the owner that issued the ticket starts it.
    OWNER_PROCESS_ONLY = auto()
    #: The owner tries the next upstream only after ``not-run``.
    ONE_ATTEMPT_AT_A_TIME = auto()
    #: A revocation leaves a tombstone, so that a late attempt is refused.
    TOMBSTONE = auto()
    #: A gate starts a ticket once, whatever arrives again.
    START_ONCE = auto()
    #: A gate that refused an attempt refuses it for ever.
    REFUSAL_IS_FINAL = auto()
    #: Attempts and revocations name the gate's process; another one declines.
    GATE_PROCESS_NAMED = auto()
    #: A gate that forgets a ticket refuses it from then on.
    FORGOTTEN_IS_REFUSED = auto()
    #: The owner answers ``unknown`` for a ticket that it has forgotten.
    EXPIRED_IS_UNKNOWN = auto()
    #: A node that loses the owner's answer says ``unknown``.
    LOST_OWNER_IS_UNKNOWN = auto()
    #: The owner answers a revocation's "started" with ``unknown``.
    STARTED_IS_UNKNOWN = auto()


class TicketSpecification(Specification[TicketState]):
    """The life of one ticket.

    >>> TicketSpecification().initial.n_runs
    0
    """

    @property
    def initial(self) -> TicketState:
        """Return the state after the ticket was issued."""
        gates = tuple(Gate(1, 0, False, False) for _ in GATE_PROCESSES)
        calls = (CallPhase.UNSENT, CallPhase.UNSENT)
        return TicketState(
            NOBODY,
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
        """Return the two promises about a ticket."""
        return (
            Property("runs at most once", lambda state: state.n_runs <= 1),
            Property("not-run is honest", _not_run_is_honest),
        )

    def steps(self, state: TicketState) -> Iterator[Step]:
        """Yield what callers, owner, gates and faults may do."""
        if state.n_runs > 1 or not _not_run_is_honest(state):
            return
        yield from self._caller_steps(state)
        yield from self._owner_steps(state)
        yield from self._gate_steps(state)
        yield from self._fault_steps(state)

    def normalise(self, state: TicketState) -> TicketState:
        """Drop messages that no process would act on any more."""
        live = frozenset(
            message for message in state.network if self._is_live(state, message)
        )
        return state._replace(network=live)

    def _is_live(self, state: TicketState, message: Message) -> bool:
        if message.kind is not Kind.ATTEMPT:
            # A late revocation can only refuse what is already refused.
            return message.attempt == state.owner.attempt
        gate = state.gates[message.gate]
        if self._declines(gate, message):
            return False
        if not self.has(TicketRule.FORGOTTEN_IS_REFUSED):
            return True
        return not gate.forgotten and gate.decided < message.attempt

    def _caller_steps(self, state: TicketState) -> Iterator[Step]:
        for call, phase in enumerate(state.calls):
            if phase is CallPhase.UNSENT:
                if call and state.calls[call - 1] is CallPhase.UNSENT:
                    continue
                yield Step(f"call:sent {call}", _with_call(state, call, CallPhase.SENT))
            elif phase is CallPhase.SENT:
                # The caller's node lost the connection to the owner.
                outcome = CallPhase.UNKNOWN
                if not self.has(TicketRule.LOST_OWNER_IS_UNKNOWN):
                    outcome = CallPhase.NOT_RUN
                yield Step(f"call:lost-owner {call}", _tell(state, call, outcome))

    def _owner_steps(self, state: TicketState) -> Iterator[Step]:
        for call, phase in enumerate(state.calls):
            # A call that its node gave up may still reach the owner later.
            if phase is not CallPhase.UNSENT and call not in state.received:
                arrived = state._replace(received=state.received | {call})
                yield from self._receive(arrived, call)
        if state.owner.phase in (Phase.TRYING, Phase.REVOKING):
            yield from self._follow_attempt(state)
        if state.owner.phase in (Phase.RAN, Phase.UNKNOWN):
            yield Step("owner:forget", _with_owner(state, phase=Phase.FORGOTTEN))

    def _receive(self, state: TicketState, call: int) -> Iterator[Step]:
        owner = state.owner
        if owner.process > 1 and self.has(TicketRule.OWNER_PROCESS_ONLY):
            told = _tell(state, call, CallPhase.UNKNOWN)
            yield Step(f"owner:foreign-ticket {call}", told)
        elif owner.phase is Phase.ISSUED:
            yield Step(f"owner:refuse {call}", _tell(state, call, CallPhase.NOT_RUN))
            for target in self._targets(state):
                yield self._attempt(state, target, (call,))
        elif owner.phase in (Phase.TRYING, Phase.REVOKING):
            waiting = (*owner.waiting, call)
            joined = _with_owner(state, waiting=waiting)
            yield Step(f"owner:join {call}", joined)
        else:
            told = _tell(state, call, self._held_answer(owner.phase))
            yield Step(f"owner:answer-held {call}", told)

    def _held_answer(self, phase: Phase) -> CallPhase:
        if phase is Phase.RAN:
            return CallPhase.RAN
        if phase is Phase.FORGOTTEN and not self.has(TicketRule.EXPIRED_IS_UNKNOWN):
            return CallPhase.NOT_RUN
        return CallPhase.UNKNOWN

    def _targets(self, state: TicketState) -> Iterator[tuple[int, int]]:
        """Yield gates and the processes that a stale view may name."""
        if state.n_attempts >= N_ATTEMPTS:
            return
        for gate, entry in enumerate(state.gates):
            for process in range(1, entry.process + 1):
                yield gate, process

    def _attempt(
        self, state: TicketState, target: tuple[int, int], waiting: tuple[int, ...]
    ) -> Step:
        gate, process = target
        number = state.n_attempts + 1
        message = Message(Kind.ATTEMPT, number, gate, process, waiting[0])
        sent = _send(state, message)._replace(n_attempts=number)
        owner = Owner(state.owner.process, Phase.TRYING, number, gate, process, waiting)
        action = f"ticket:attempt {number} at gate {gate}.{process}"
        return Step(action, sent._replace(owner=owner))

    def _follow_attempt(self, state: TicketState) -> Iterator[Step]:
        owner = state.owner
        about = (owner.attempt, owner.gate, owner.gate_process)
        if Message(Kind.RAN, *about) in state.network:
            yield Step("ticket:outcome ran", _settle(state, Phase.RAN, CallPhase.RAN))
        for kind in (Kind.REFUSED, Kind.REVOKED):
            if Message(kind, *about) in state.network:
                yield from self._move_on(state)
        if owner.phase is Phase.TRYING:
            revoke = Message(Kind.REVOKE, *about)
            asked = _with_owner(_send(state, revoke), phase=Phase.REVOKING)
            yield Step("owner:no-answer", asked)
            if not self.has(TicketRule.ONE_ATTEMPT_AT_A_TIME):
                yield from self._move_on(state)
            return
        # The gate may have started it, or cannot be reached.
        unknown = _settle(state, Phase.UNKNOWN, CallPhase.UNKNOWN)
        yield Step("ticket:outcome unknown", unknown)
        if Message(Kind.STARTED, *about) in state.network and not self.has(
            TicketRule.STARTED_IS_UNKNOWN
        ):
            yield from self._move_on(state)

    def _move_on(self, state: TicketState) -> Iterator[Step]:
        not_run = _settle(state, Phase.ISSUED, CallPhase.NOT_RUN)
        yield Step("ticket:outcome not-run", not_run)
        for target in self._targets(state):
            yield self._attempt(state, target, state.owner.waiting)

    def _gate_steps(self, state: TicketState) -> Iterator[Step]:
        for message in sorted(state.network, key=_order):
            if message.kind is Kind.ATTEMPT:
                yield from self._receive_attempt(state, message)
            elif message.kind is Kind.REVOKE:
                yield from self._receive_revoke(state, message)

    def _declines(self, gate: Gate, message: Message) -> bool:
        if not self.has(TicketRule.GATE_PROCESS_NAMED):
            return False
        return gate.process != message.gate_process

    def _receive_attempt(self, state: TicketState, message: Message) -> Iterator[Step]:
        gate = state.gates[message.gate]
        if self._declines(gate, message):
            return
        if gate.started and self.has(TicketRule.START_ONCE):
            return
        forgotten = gate.forgotten and self.has(TicketRule.FORGOTTEN_IS_REFUSED)
        if forgotten or gate.decided >= message.attempt:
            return
        where = f"{message.gate}.{gate.process}"
        started = _with_gate(
            state,
            message.gate,
            gate._replace(decided=message.attempt, started=True, forgotten=False)
            if self.has(TicketRule.START_ONCE)
            else gate,
        )
        answered = _send(started, message._replace(kind=Kind.RAN, cause=0))
        ran = answered._replace(
            n_runs=state.n_runs + 1, ran_for=state.ran_for | {message.cause}
        )
        yield Step(f"gate:started {message.attempt} at gate {where}", ran)
        refused = _send(state, message._replace(kind=Kind.REFUSED, cause=0))
        if self.has(TicketRule.REFUSAL_IS_FINAL):
            entry = gate._replace(decided=message.attempt, forgotten=False)
            refused = _with_gate(refused, message.gate, entry)
        yield Step(f"gate:refused {message.attempt} at gate {where}", refused)

    def _receive_revoke(self, state: TicketState, message: Message) -> Iterator[Step]:
        gate = state.gates[message.gate]
        if self._declines(gate, message):
            return
        where = f"{message.gate}.{gate.process}"
        if gate.started:
            answered = _send(state, message._replace(kind=Kind.STARTED))
            yield Step(f"gate:already-started at gate {where}", answered)
            return
        if gate.forgotten:
            # Whether it ran is no longer known, so there is no answer.
            return
        revoked = _send(state, message._replace(kind=Kind.REVOKED))
        if self.has(TicketRule.TOMBSTONE):
            decided = max(gate.decided, message.attempt)
            revoked = _with_gate(revoked, message.gate, gate._replace(decided=decided))
        yield Step(f"gate:revoked {message.attempt} at gate {where}", revoked)

    def _fault_steps(self, state: TicketState) -> Iterator[Step]:
        if state.owner.process < N_OWNER_PROCESSES:
            replaced = NOBODY._replace(process=state.owner.process + 1)
            yield Step("fault:owner-replaced", state._replace(owner=replaced))
        for index, gate in enumerate(state.gates):
            if gate.process < GATE_PROCESSES[index]:
                fresh = Gate(gate.process + 1, 0, False, False)
                yield Step(
                    f"fault:gate-replaced {index}", _with_gate(state, index, fresh)
                )
            if (gate.decided or gate.started) and not gate.forgotten:
                dropped = Gate(gate.process, 0, False, True)
                yield Step(
                    f"gate:forget at gate {index}", _with_gate(state, index, dropped)
                )


def _not_run_is_honest(state: TicketState) -> bool:
    if state.false_not_run:
        return False
    return not any(state.calls[call] is CallPhase.NOT_RUN for call in state.ran_for)


def _order(message: Message) -> tuple[int, int, int, int]:
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


def _tell(state: TicketState, call: int, outcome: CallPhase) -> TicketState:
    """Answer a call, unless its node already answered in the owner's place."""
    if state.calls[call] is not CallPhase.SENT:
        return state
    told = _with_call(state, call, outcome)
    if outcome is CallPhase.NOT_RUN and state.n_runs:
        told = told._replace(false_not_run=True)
    return told


def _settle(state: TicketState, phase: Phase, outcome: CallPhase) -> TicketState:
    """End the attempts and answer each call that waits."""
    for call in state.owner.waiting:
        state = _tell(state, call, outcome)
    return state._replace(
        owner=NOBODY._replace(process=state.owner.process, phase=phase)
    )


def _with_owner(state: TicketState, **changes: Any) -> TicketState:
    return state._replace(owner=state.owner._replace(**changes))


def _with_gate(state: TicketState, index: int, gate: Gate) -> TicketState:
    gates = list(state.gates)
    gates[index] = gate
    return state._replace(gates=tuple(gates))


def _send(state: TicketState, message: Message) -> TicketState:
    return state._replace(network=state.network | {message})
