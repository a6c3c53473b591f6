"""Retry budget: one bound for the whole tree of calls, lent and returned.

A root request calls a service, which makes two calls of its own at once. Each
place in the tree may be attempted again: by the node that made the call, by the
service that repeats its own call, or by the caller that repeats the request.

Bounds: a budget of two, three places (one call of the root, two below it), any
split of the tokens. An answer that was sent stays in the network: it may be
lost, late, or arrive twice. A call that was given up goes on running.

Properties: ``retries within budget``: attempts beyond the first at their place,
within one run of the place above, are at most the budget over the whole tree;
``runs of a place within budget``: no place is attempted more than the budget
plus one times, repeated runs of the places above included.

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

#: Places below each place; place 0 is the root request at its entry node.
PLACES_BELOW: tuple[tuple[int, ...], ...] = ((1,), (2, 3), (), ())


class RetryRule(Enum):
    """Rules of the protocol, each needed by a property."""

    #: Tokens lent to a call leave the lender, so that concurrent calls split them.
    LOAN_LEAVES_LENDER = auto()
    #: The loan of a call without an answer counts as spent.
    LOST_LOAN_IS_SPENT = auto()
    #: Only the first answer of an awaited call returns tokens.
    ANSWER_RETURNS_ONCE = auto()
    #: A service that repeats its own call is charged like a node that retries.
    OWN_REPEAT_IS_CHARGED = auto()
    #: A caller that repeats a request goes on with the request's old budget.
    CALLER_REPEAT_KEEPS_BUDGET = auto()


class Awaited(IntEnum):
    """What the caller of an attempt still expects of it."""

    ANSWER = auto()
    ANSWERED = auto()
    GIVEN_UP = auto()


class Attempt(NamedTuple):
    """One attempt at a place, as the node that serves it knows it."""

    place: int
    running: bool
    #: Tokens held.
    n_tokens: int
    #: Tokens that its answer carries, once it has ended.
    n_returned: int
    awaited: Awaited
    #: Places below that were attempted at least once.
    tried: tuple[int, ...]
    #: Attempts below, in a fixed order.
    below: tuple["Attempt", ...]


class RetryState(NamedTuple):
    """State of the tree."""

    root: Attempt
    #: Attempts beyond the first.
    n_retries: int
    #: Attempts made at each place.
    n_attempts: tuple[int, ...]


class RetryBudgetSpecification(Specification[RetryState]):
    """The life of one root request's budget.

    >>> RetryBudgetSpecification().initial.n_retries
    0
    """

    @property
    def initial(self) -> RetryState:
        """Return the state when the root request arrives."""
        n_attempts = (1, *(0 for _ in PLACES_BELOW[1:]))
        return RetryState(_attempt(0, BUDGET), 0, n_attempts)

    @property
    def properties(self) -> tuple[Property[RetryState], ...]:
        """Return the bounds on attempts."""
        return (
            Property("retries within budget", lambda state: state.n_retries <= BUDGET),
            Property(
                "runs of a place within budget",
                lambda state: max(state.n_attempts) <= BUDGET + 1,
            ),
        )

    def steps(self, state: RetryState) -> Iterator[Step]:
        """Yield what nodes, services, the caller and the network may do."""
        if state.n_retries > BUDGET or max(state.n_attempts) > BUDGET + 1:
            return
        for change in self._changes(state.root):
            n_attempts = list(state.n_attempts)
            if change.attempted:
                n_attempts[change.attempted] += 1
            yield Step(
                change.action,
                RetryState(
                    change.attempt,
                    state.n_retries + change.is_retry,
                    tuple(n_attempts),
                ),
            )
        yield from self._caller_repeats(state)

    def _caller_repeats(self, state: RetryState) -> Iterator[Step]:
        """Let the caller repeat; with the rule it is an attempt like any other."""
        if self.has(RetryRule.CALLER_REPEAT_KEEPS_BUDGET) or not state.root.below:
            return
        renewed = state.root._replace(n_tokens=BUDGET)
        if renewed != state.root:
            yield Step("retry:caller-repeats", state._replace(root=renewed))

    def normalise(self, state: RetryState) -> RetryState:
        """Drop attempts that nothing can come of."""
        return state._replace(root=self._tidy(state.root))

    def _tidy(self, attempt: Attempt) -> Attempt:
        tidied = (self._tidy(below) for below in attempt.below)
        below = (each for each in tidied if not self._is_over(attempt, each))
        tried = attempt.tried if attempt.running else ()
        return attempt._replace(below=_sorted(tuple(below)), tried=tried)

    def _is_over(self, attempt: Attempt, below: Attempt) -> bool:
        acts = below.below or (below.running and PLACES_BELOW[below.place])
        if acts:
            return False
        if not attempt.running:
            return True
        if below.awaited is Awaited.ANSWER:
            return False
        return self.has(RetryRule.ANSWER_RETURNS_ONCE)

    def _changes(self, attempt: Attempt) -> Iterator["_Change"]:
        if attempt.running:
            for place in PLACES_BELOW[attempt.place]:
                yield from self._call(attempt, place)
            if attempt.place:
                yield _Change(f"retry:end {attempt.place}", _ended(attempt))
        for index, below in enumerate(attempt.below):
            yield from self._settle(attempt, index)
            for change in self._changes(below):
                yield change.at(_with_below(attempt, index, change.attempt))

    def _call(self, attempt: Attempt, place: int) -> Iterator["_Change"]:
        if any(_is_awaited(below, place) for below in attempt.below):
            # Calls to different places run at once, attempts at one in turn.
            return
        again = place in attempt.tried
        if not again:
            yield from self._lend(attempt, place, "retry:call")
            return
        if attempt.n_tokens:
            charged = attempt._replace(n_tokens=attempt.n_tokens - 1)
            yield from self._lend(charged, place, "retry:again", is_retry=True)
        if attempt.place and not self.has(RetryRule.OWN_REPEAT_IS_CHARGED):
            yield from self._lend(attempt, place, "retry:own-repeat", is_retry=True)

    def _lend(
        self, attempt: Attempt, place: int, action: str, is_retry: bool = False
    ) -> Iterator["_Change"]:
        for loan in range(attempt.n_tokens + 1):
            kept = attempt.n_tokens
            if self.has(RetryRule.LOAN_LEAVES_LENDER):
                kept -= loan
            lender = attempt._replace(
                n_tokens=kept,
                tried=tuple(sorted({*attempt.tried, place})),
                below=_sorted((*attempt.below, _attempt(place, loan))),
            )
            yield _Change(f"{action} {place} lend {loan}", lender, is_retry, place)

    def _settle(self, attempt: Attempt, index: int) -> Iterator["_Change"]:
        below = attempt.below[index]
        if below.awaited is Awaited.ANSWER:
            given_up = below._replace(awaited=Awaited.GIVEN_UP)
            after = attempt
            if not self.has(RetryRule.LOST_LOAN_IS_SPENT):
                after = _returned(attempt, below.n_tokens + below.n_returned)
            after = _with_below(after, index, given_up)
            yield _Change(f"retry:give-up {below.place}", after)
        if below.running:
            return
        first = below.awaited is Awaited.ANSWER
        if first or not self.has(RetryRule.ANSWER_RETURNS_ONCE):
            answered = below._replace(awaited=Awaited.ANSWERED)
            after = _with_below(_returned(attempt, below.n_returned), index, answered)
            if after != attempt:
                yield _Change(f"retry:answer {below.place}", after)


class _Change(NamedTuple):
    """A step inside one attempt, not yet put back into the tree."""

    action: str
    attempt: Attempt
    is_retry: bool = False
    #: Place of a new attempt, 0 for none.
    attempted: int = 0

    def at(self, above: Attempt) -> "_Change":
        """Return the change as seen one level up."""
        return self._replace(attempt=above)


def _attempt(place: int, n_tokens: int) -> Attempt:
    return Attempt(place, True, n_tokens, 0, Awaited.ANSWER, (), ())


def _ended(attempt: Attempt) -> Attempt:
    """End an attempt: its answer carries what it holds, and no more comes back.

    Attempts below that still run hold tokens of their own; a tree of given-up
    attempts goes on by itself.
    """
    return attempt._replace(running=False, n_tokens=0, n_returned=attempt.n_tokens)


def _returned(attempt: Attempt, n_tokens: int) -> Attempt:
    """Add tokens that came back, unless the answer has already left."""
    if not attempt.running:
        return attempt
    # No more than the budget is ever useful; it keeps broken variants finite.
    return attempt._replace(n_tokens=min(attempt.n_tokens + n_tokens, BUDGET))


def _with_below(attempt: Attempt, index: int, below: Attempt) -> Attempt:
    others = attempt.below[:index] + attempt.below[index + 1 :]
    return attempt._replace(below=_sorted((*others, below)))


def _is_awaited(attempt: Attempt, place: int) -> bool:
    return attempt.place == place and attempt.awaited is Awaited.ANSWER


def _sorted(attempts: tuple[Attempt, ...]) -> tuple[Attempt, ...]:
    """Order attempts, so that equal trees are equal states."""
    return tuple(sorted(attempts))
