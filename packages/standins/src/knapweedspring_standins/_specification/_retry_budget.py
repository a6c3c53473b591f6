"""Specification of the retry budget that all calls of a call tree share.

A root request calls a service, which makes two concurrent calls of its own. A
*place* is a position in the call tree. Three parties may attempt a call at a place
again: the node that made the call, the service that repeats its own call, and the
caller that repeats the request. Each call is lent a part of its parent's tokens and
returns the unused ones with its answer.

Bounds: a budget of two, three places (the call of the root request, and two child
calls of that call), any split of the tokens. An answer that was sent stays in the
network: it may be lost, late, or arrive twice. An abandoned call continues to run.

Properties: ``retries within budget``: the number of retries in the whole tree never
exceeds the budget. Each run of a parent place may attempt each of its child places
once without a retry; every further attempt at a child place in the same run is a
retry. ``runs of a place within budget``: the total number of attempts at a place
never exceeds the budget plus one. This total covers all runs of the parent place, so
it also includes attempts that are not retries but are made because the parent place
runs again.

States: 10,273.
"""

from collections.abc import Iterator
from enum import Enum, IntEnum, auto
from typing import NamedTuple

from knapweedspring_standins._specification._checking import (
    Property,
    Specification,
    Step,
)

__all__ = ["RetryBudgetSpecification", "RetryRule", "RetryState"]

BUDGET = 2

#: Places of the child calls of each place; place 0 is the root request at its entry
#: node.
CHILD_PLACES: tuple[tuple[int, ...], ...] = ((1,), (2, 3), (), ())


class RetryRule(Enum):
    """Rules of the protocol, each needed by a property."""

    #: Tokens lent to a call are taken from the lender, so that concurrent calls
    #: cannot both spend them.
    LOAN_LEAVES_LENDER = auto()
    #: The tokens lent to a call that gets no answer count as spent.
    LOST_LOAN_IS_SPENT = auto()
    #: Only the first answer to a call that the lender awaits returns tokens.
    ANSWER_RETURNS_ONCE = auto()
    #: A service that repeats its own call spends a token, like a node that retries.
    OWN_REPEAT_IS_CHARGED = auto()
    #: A request that its caller repeats continues with the remaining budget.
    CALLER_REPEAT_KEEPS_BUDGET = auto()


class AnswerState(IntEnum):
    """State of an attempt's answer at the caller of the attempt."""

    AWAITED = auto()
    RECEIVED = auto()
    #: The caller no longer waits for the answer.
    ABANDONED = auto()


class Attempt(NamedTuple):
    """One attempt at a place, as seen by the node that serves it."""

    place: int
    running: bool
    #: Number of tokens that the attempt may still spend or lend.
    n_tokens: int
    #: Number of tokens that the attempt's answer returns to the lender; 0 until the
    #: attempt has ended.
    n_returned: int
    answer_state: AnswerState
    #: Places of child calls that were attempted at least once.
    attempted_places: tuple[int, ...]
    #: Attempts at the child calls that this attempt made, sorted.
    children: tuple["Attempt", ...]


class RetryState(NamedTuple):
    """State of the call tree."""

    root: Attempt
    #: Number of attempts beyond the first at a place, over the whole tree.
    n_retries: int
    #: Number of attempts made at each place, indexed by place.
    n_attempts: tuple[int, ...]


class RetryBudgetSpecification(Specification[RetryState]):
    """Use of the retry budget of one root request.

    >>> RetryBudgetSpecification().initial.n_retries
    0
    """

    @property
    def initial(self) -> RetryState:
        """Return the state when the root request arrives."""
        n_attempts = (1, *(0 for _ in CHILD_PLACES[1:]))
        return RetryState(_new_attempt(0, BUDGET), 0, n_attempts)

    @property
    def properties(self) -> tuple[Property[RetryState], ...]:
        """Return the bounds on retries and attempts."""
        return (
            Property("retries within budget", lambda state: state.n_retries <= BUDGET),
            Property(
                "runs of a place within budget",
                lambda state: max(state.n_attempts) <= BUDGET + 1,
            ),
        )

    def steps(self, state: RetryState) -> Iterator[Step]:
        """Yield the possible steps of nodes, services, the caller and the network."""
        if state.n_retries > BUDGET or max(state.n_attempts) > BUDGET + 1:
            return
        for change in self._changes(state.root):
            n_attempts = list(state.n_attempts)
            if change.attempted_place:
                n_attempts[change.attempted_place] += 1
            yield Step(
                change.action,
                RetryState(
                    change.attempt,
                    state.n_retries + change.is_retry,
                    tuple(n_attempts),
                ),
            )
        yield from self._caller_repeat_steps(state)

    def _caller_repeat_steps(self, state: RetryState) -> Iterator[Step]:
        """Yield the step in which the caller repeats the request with a new budget.

        With ``CALLER_REPEAT_KEEPS_BUDGET`` there is no such step, because a repeat by
        the caller is an attempt like any other.
        """
        if self.has(RetryRule.CALLER_REPEAT_KEEPS_BUDGET) or not state.root.children:
            return
        renewed = state.root._replace(n_tokens=BUDGET)
        if renewed != state.root:
            yield Step("retry:caller-repeats", state._replace(root=renewed))

    def normalise(self, state: RetryState) -> RetryState:
        """Remove attempts that cannot cause further steps."""
        return state._replace(root=self._prune_attempt(state.root))

    def _prune_attempt(self, attempt: Attempt) -> Attempt:
        pruned = (self._prune_attempt(child) for child in attempt.children)
        children = (each for each in pruned if not self._is_inert(attempt, each))
        attempted = attempt.attempted_places if attempt.running else ()
        return attempt._replace(
            children=_sorted(tuple(children)), attempted_places=attempted
        )

    def _is_inert(self, attempt: Attempt, child: Attempt) -> bool:
        """Return whether a child attempt cannot cause further steps."""
        has_calls = child.children or (child.running and CHILD_PLACES[child.place])
        if has_calls:
            return False
        if not attempt.running:
            return True
        if child.answer_state is AnswerState.AWAITED:
            return False
        return self.has(RetryRule.ANSWER_RETURNS_ONCE)

    def _changes(self, attempt: Attempt) -> Iterator["_Change"]:
        if attempt.running:
            for place in CHILD_PLACES[attempt.place]:
                yield from self._call_changes(attempt, place)
            if attempt.place:
                yield _Change(f"retry:end {attempt.place}", _with_answer_sent(attempt))
        for index, child in enumerate(attempt.children):
            yield from self._answer_changes(attempt, index)
            for change in self._changes(child):
                yield change.in_parent(_with_child(attempt, index, change.attempt))

    def _call_changes(self, attempt: Attempt, place: int) -> Iterator["_Change"]:
        if any(_is_awaited(child, place) for child in attempt.children):
            # Calls to different places may run concurrently. An attempt at a place
            # starts only when no earlier attempt at the place is still awaited.
            return
        is_repeat = place in attempt.attempted_places
        if not is_repeat:
            yield from self._lending_changes(attempt, place, "retry:call")
            return
        if attempt.n_tokens:
            charged = attempt._replace(n_tokens=attempt.n_tokens - 1)
            yield from self._lending_changes(
                charged, place, "retry:again", is_retry=True
            )
        if attempt.place and not self.has(RetryRule.OWN_REPEAT_IS_CHARGED):
            yield from self._lending_changes(
                attempt, place, "retry:own-repeat", is_retry=True
            )

    def _lending_changes(
        self, attempt: Attempt, place: int, action: str, is_retry: bool = False
    ) -> Iterator["_Change"]:
        for n_lent in range(attempt.n_tokens + 1):
            n_kept = attempt.n_tokens
            if self.has(RetryRule.LOAN_LEAVES_LENDER):
                n_kept -= n_lent
            lender = attempt._replace(
                n_tokens=n_kept,
                attempted_places=tuple(sorted({*attempt.attempted_places, place})),
                children=_sorted((*attempt.children, _new_attempt(place, n_lent))),
            )
            yield _Change(f"{action} {place} lend {n_lent}", lender, is_retry, place)

    def _answer_changes(self, attempt: Attempt, index: int) -> Iterator["_Change"]:
        child = attempt.children[index]
        if child.answer_state is AnswerState.AWAITED:
            abandoned = child._replace(answer_state=AnswerState.ABANDONED)
            after = attempt
            if not self.has(RetryRule.LOST_LOAN_IS_SPENT):
                after = _with_returned_tokens(
                    attempt, child.n_tokens + child.n_returned
                )
            after = _with_child(after, index, abandoned)
            yield _Change(f"retry:give-up {child.place}", after)
        if child.running:
            return
        is_first = child.answer_state is AnswerState.AWAITED
        if is_first or not self.has(RetryRule.ANSWER_RETURNS_ONCE):
            answered = child._replace(answer_state=AnswerState.RECEIVED)
            after = _with_child(
                _with_returned_tokens(attempt, child.n_returned), index, answered
            )
            if after != attempt:
                yield _Change(f"retry:answer {child.place}", after)


class _Change(NamedTuple):
    """A step within one attempt, before it is applied to the whole tree."""

    action: str
    attempt: Attempt
    is_retry: bool = False
    #: Place of a new attempt, 0 for none.
    attempted_place: int = 0

    def in_parent(self, parent: Attempt) -> "_Change":
        """Return the change with the parent attempt in place of the changed attempt.

        :param parent: parent attempt, which already contains the changed attempt.
        """
        return self._replace(attempt=parent)


def _new_attempt(place: int, n_tokens: int) -> Attempt:
    return Attempt(place, True, n_tokens, 0, AnswerState.AWAITED, (), ())


def _with_answer_sent(attempt: Attempt) -> Attempt:
    """Return an attempt after its end; its answer carries its remaining tokens.

    Tokens that are returned to the attempt after its end are lost. Child attempts
    that still run keep their own tokens and continue independently.
    """
    return attempt._replace(running=False, n_tokens=0, n_returned=attempt.n_tokens)


def _with_returned_tokens(attempt: Attempt, n_tokens: int) -> Attempt:
    """Add returned tokens to an attempt; they are lost if the attempt has ended."""
    if not attempt.running:
        return attempt
    # Tokens beyond the budget have no further effect. The limit keeps the state space
    # of broken variants finite.
    return attempt._replace(n_tokens=min(attempt.n_tokens + n_tokens, BUDGET))


def _with_child(attempt: Attempt, index: int, child: Attempt) -> Attempt:
    others = attempt.children[:index] + attempt.children[index + 1 :]
    return attempt._replace(children=_sorted((*others, child)))


def _is_awaited(attempt: Attempt, place: int) -> bool:
    return attempt.place == place and attempt.answer_state is AnswerState.AWAITED


def _sorted(attempts: tuple[Attempt, ...]) -> tuple[Attempt, ...]:
    """Sort attempts, so that equal trees are equal states."""
    return tuple(sorted(attempts))
