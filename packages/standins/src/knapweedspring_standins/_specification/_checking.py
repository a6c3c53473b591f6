"""Common form of the specifications and the run of the model checker over them.

A specification names its rules. Each rule can be left out, which gives a broken
variant that the checker has to refute; a property that survives every broken
variant would say nothing.
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
    #: State afterwards.
    state: tuple


@dataclass(frozen=True, slots=True)
class Property(Generic[StateT]):
    """A predicate that must hold in each reachable state."""

    #: Name, as it appears in reports.
    name: str
    #: Returns whether the state satisfies the property.
    holds: Callable[[StateT], bool]


class Specification(ABC, Generic[StateT]):
    """A protocol as a finite state machine.

    :param without: rules to leave out.
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
        """What must hold."""

    @abstractmethod
    def steps(self, state: StateT) -> Iterator[Step]:
        """Yield each enabled action with the state that follows."""

    def normalise(self, state: StateT) -> StateT:
        """Return the representative of the states with the same future.

        The default keeps every state apart.
        """
        return state

    def has(self, rule: Enum) -> bool:
        """Return whether a rule is part of this variant."""
        return rule not in self._without


@dataclass(frozen=True, slots=True)
class Violation:
    """A property that does not hold, with a shortest path to the bad state."""

    #: Name of the property.
    property_name: str
    #: Actions from the initial state to the bad state.
    actions: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class CheckReport:
    """Outcome of an exhaustive search."""

    #: Distinct states reached.
    n_states: int
    #: Whether the whole state space was searched.
    exhaustive: bool
    #: Properties that do not hold.
    violations: tuple[Violation, ...]

    @property
    def holds(self) -> bool:
        """Whether every property was shown to hold in every reachable state."""
        return self.exhaustive and not self.violations


def check(specification: Specification, max_states: int = MAX_STATES) -> CheckReport:
    """Search the reachable states of a specification.

    :param max_states: bound beyond which the search gives up undecided.
    :return: what was found.
    """
    initial = specification.initial
    make_state = type(initial)
    fields = initial._fields
    protocol = Protocol(
        name=type(specification).__name__,
        candidate=False,
        fields=fields,
        initial=initial,
        transitions=lambda state: [
            (step.action, specification.normalise(step.state))
            for step in specification.steps(state)
        ],
        invariants={
            each.name: _on_state(each, make_state) for each in specification.properties
        },
    )
    found = check_safety(protocol, max_states=max_states)
    violations = tuple(
        _violation(name, verdict["counterexample"])
        for name, verdict in found["properties"].items()
        if verdict["holds"] is False
    )
    return CheckReport(found["reachable_states"], found["exhaustive"], violations)


def _on_state(
    checked: Property, make_state: Callable[..., tuple]
) -> Callable[[Mapping[str, object]], bool]:
    """Adapt a predicate on states to the checker's mappings."""
    return lambda values: checked.holds(make_state(**values))


def _violation(name: str, path: list[dict]) -> Violation:
    actions = (step["label"] for step in path)
    return Violation(name, tuple(action for action in actions if action is not None))
