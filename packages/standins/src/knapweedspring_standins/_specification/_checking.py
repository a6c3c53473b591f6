"""Base class of the specifications, and the model checker's run over them.

A specification names its rules. Each rule can be left out, which gives a broken
variant for which the checker must find a counterexample. A property that holds in
every broken variant would not test any rule.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Generic, NamedTuple, TypeVar

from minicheck import Protocol, check_safety

__all__ = ["CheckReport", "Property", "Specification", "Step", "Violation", "check"]

MAX_STATES = 400_000

StateT = TypeVar("StateT", bound=tuple)


class Step(NamedTuple):
    """An action and the state that it leads to."""

    #: Name of the action with its arguments.
    action: str
    #: State after the action.
    state: tuple


@dataclass(frozen=True, slots=True)
class Property(Generic[StateT]):
    """A predicate that must hold in each reachable state."""

    #: Name of the property, as it appears in reports.
    name: str
    #: Function that returns whether a state satisfies the property.
    holds: Callable[[StateT], bool]


class Specification(ABC, Generic[StateT]):
    """A protocol as a finite state machine.

    :param without: rules to leave out, which gives a broken variant; empty for the
        whole protocol.
    """

    def __init__(self, without: frozenset[Enum] = frozenset()) -> None:
        self._without = without

    @property
    @abstractmethod
    def initial(self) -> StateT:
        """The only initial state."""

    @property
    @abstractmethod
    def properties(self) -> tuple[Property[StateT], ...]:
        """Properties that must hold in each reachable state."""

    @abstractmethod
    def steps(self, state: StateT) -> Iterator[Step]:
        """Yield each action that a state enables, with the state after the action."""

    def normalise(self, state: StateT) -> StateT:
        """Return the representative of an equivalence class of states.

        Equivalent states allow the same further actions. By default each state is
        a class of its own.
        """
        return state

    def has(self, rule: Enum) -> bool:
        """Return whether a rule is part of this variant."""
        return rule not in self._without


@dataclass(frozen=True, slots=True)
class Violation:
    """A property that does not hold, with a shortest path to a violating state."""

    #: Name of the property.
    property_name: str
    #: Actions from the initial state to the violating state.
    actions: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class CheckReport:
    """Outcome of an exhaustive search."""

    #: Number of distinct states reached.
    n_states: int
    #: Whether the whole state space was searched.
    exhaustive: bool
    #: Properties that do not hold.
    violations: tuple[Violation, ...]

    @property
    def holds(self) -> bool:
        """Whether every property was shown to hold in every reachable state."""
        return self.exhaustive and not self.violations


def check(
    specification: Specification,
    max_states: int = MAX_STATES,
    stop_at: str | None = None,
) -> CheckReport:
    """Search the reachable states of a specification.

    :param specification: specification or broken variant to check.
    :param max_states: number of states after which the search ends; the report then
        says that the search was not exhaustive.
    :param stop_at: name of a property whose violation ends the search; None to
        continue after every violation.
    :return: properties that do not hold, and whether the search was exhaustive.
    """
    search = _Search(specification, stop_at)
    initial = specification.initial
    protocol = Protocol(
        name=type(specification).__name__,
        candidate=False,
        fields=initial._fields,
        initial=initial,
        transitions=search.expand,
        invariants={
            each.name: search.invariant(each) for each in specification.properties
        },
    )
    result = check_safety(protocol, max_states=max_states)
    violations = tuple(
        _violation(name, verdict["counterexample"])
        for name, verdict in result["properties"].items()
        if verdict["holds"] is False
    )
    exhaustive = result["exhaustive"] and not search.is_stopped
    return CheckReport(result["reachable_states"], exhaustive, violations)


class _Search:
    """Adapts a specification to the checker, whose states are plain tuples."""

    def __init__(self, specification: Specification, stop_at: str | None) -> None:
        self._specification = specification
        self._make_state = type(specification.initial)
        self._stop_at = stop_at
        self._is_stopped = False

    @property
    def is_stopped(self) -> bool:
        """Whether the search ended before every state was expanded."""
        return self._is_stopped

    def expand(self, state: tuple) -> list[tuple[str, tuple]]:
        """Return the actions that a state enables, with normalised next states."""
        if self._is_stopped:
            return []
        return [
            (step.action, self._specification.normalise(step.state))
            for step in self._specification.steps(state)
        ]

    def invariant(self, checked: Property) -> Callable[[Mapping[str, object]], bool]:
        """Adapt a property to the checker, which passes states as mappings."""

        def holds(values: Mapping[str, object]) -> bool:
            is_satisfied = checked.holds(self._make_state(**values))
            if not is_satisfied and checked.name == self._stop_at:
                self._is_stopped = True
            return is_satisfied

        return holds


def _violation(name: str, path: list[dict]) -> Violation:
    actions = (step["label"] for step in path)
    return Violation(name, tuple(action for action in actions if action is not None))
