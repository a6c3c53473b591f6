"""Specification of a node's share of a quota, which it lends to coordinators.

A node owns a share. It uses the share itself, or lends it to one of two coordinators by
messages that take up to ``TRANSIT`` ticks or are lost. Whoever holds the share gains
one unit in each tick, up to ``DEPTH`` unused ones, and spends units at any time.

Bounds: two coordinators, two messages under way, leases of ``LEASE`` ticks. Time passes
in ticks at all parties; connections that end are not modelled, since they only end a
lease sooner.

Property: ``spent within the share``: in no window of ``WINDOW`` ticks are more units
spent than one holder alone could have, whichever messages are late or lost.

States: 788.
"""

from collections.abc import Iterator
from enum import Enum, auto
from typing import NamedTuple

from knapweedspring_standins._specification._checking import (
    Property,
    Specification,
    Step,
)

__all__ = ["ShareRule", "ShareSpecification", "ShareState"]

#: Length of a lease, longest time of a message and length of a window, in ticks.
LEASE = 3
TRANSIT = 2
WINDOW = 3
#: Greatest number of unused units.
DEPTH = 1
#: Messages that may be under way at the same time.
MAX_MESSAGES = 2
#: Index of the owner; the coordinators are 1 and 2.
OWNER = 0


class ShareRule(Enum):
    """Rules of the protocol, each needed by the property."""

    #: The owner uses the share or lends it to another coordinator only after the lease
    #: that it sent last has ended.
    WAIT_FOR_END = auto()
    #: The owner counts the time that the lease may have been under way.
    TRANSIT_COUNTS = auto()
    #: A coordinator stops when a lease is not renewed.
    LEASE_ENDS = auto()
    #: A share that changes hands starts without units.
    STARTS_EMPTY = auto()


class Message(NamedTuple):
    """A lease under way."""

    #: Coordinator that it is sent to.
    coordinator: int
    #: Ticks since it was sent.
    age: int


class ShareState(NamedTuple):
    """State of the owner, the coordinators and the messages."""

    #: Ticks until the owner holds the share again.
    wait: int
    #: Coordinator that the share was lent to last; 0 for none.
    lent_to: int
    #: Leases under way.
    messages: tuple[Message, ...]
    #: Ticks left of the lease, for the owner (unused) and each coordinator.
    left: tuple[int, int, int]
    #: Unused units of the owner and each coordinator.
    units: tuple[int, int, int]
    #: Units spent in each of the last ``WINDOW`` ticks.
    spent: tuple[int, ...]


class ShareSpecification(Specification[ShareState]):
    """The share of one node, which two coordinators may get."""

    @property
    def initial(self) -> ShareState:
        """The owner holds its share, without units."""
        return ShareState(0, 0, (), (0, 0, 0), (0, 0, 0), (0,) * WINDOW)

    @property
    def properties(self) -> tuple[Property[ShareState], ...]:
        """The bound on the units spent in a window."""
        # A window of so many ticks contains one fewer moment at which units are gained.
        allowed = WINDOW - 1 + DEPTH
        return (Property("spent within the share", lambda s: sum(s.spent) <= allowed),)

    def steps(self, state: ShareState) -> Iterator[Step]:
        """Yield each action that a state enables, with the state after the action."""
        yield Step("share:tick", self._after_tick(state))
        for coordinator in (1, 2):
            if len(state.messages) < MAX_MESSAGES and self._may_lend(
                state, coordinator
            ):
                yield Step(f"share:lend {coordinator}", self._lent(state, coordinator))
        for message in sorted(set(state.messages)):
            name = f"share:deliver {message.coordinator}"
            yield Step(name, self._delivered(state, message))
        for holder, n_units in enumerate(state.units):
            if n_units:
                yield Step(f"share:spend {holder}", _after_spending(state, holder))

    def _may_lend(self, state: ShareState, coordinator: int) -> bool:
        if not self.has(ShareRule.WAIT_FOR_END) or state.wait == 0:
            return True
        return coordinator == state.lent_to

    def _lent(self, state: ShareState, coordinator: int) -> ShareState:
        transit = TRANSIT if self.has(ShareRule.TRANSIT_COUNTS) else 0
        messages = tuple(sorted((*state.messages, Message(coordinator, 0))))
        return state._replace(
            wait=LEASE + transit,
            lent_to=coordinator,
            messages=messages,
            units=_with(state.units, OWNER, 0),
        )

    def _delivered(self, state: ShareState, message: Message) -> ShareState:
        messages = list(state.messages)
        messages.remove(message)
        holder, units = message.coordinator, state.units
        if state.left[holder] == 0:
            units = _with(units, holder, self._n_units_at_start)
        return state._replace(
            messages=tuple(messages),
            left=_with(state.left, holder, LEASE),
            units=units,
        )

    def _after_tick(self, state: ShareState) -> ShareState:
        units = list(state.units)
        left = list(state.left)
        for holder in (1, 2):
            if left[holder] == 0:
                continue
            units[holder] = min(DEPTH, units[holder] + 1)
            if self.has(ShareRule.LEASE_ENDS):
                left[holder] -= 1
                if left[holder] == 0:
                    units[holder] = 0
        if state.wait == 0:
            units[OWNER] = min(DEPTH, units[OWNER] + 1)
        elif state.wait == 1:
            units[OWNER] = self._n_units_at_start
        return ShareState(
            wait=max(0, state.wait - 1),
            lent_to=state.lent_to if state.wait > 1 else 0,
            # A message that took too long is lost with its connection.
            messages=tuple(
                Message(m.coordinator, m.age + 1)
                for m in state.messages
                if m.age < TRANSIT
            ),
            left=(left[0], left[1], left[2]),
            units=(units[0], units[1], units[2]),
            spent=(*state.spent[1:], 0),
        )

    @property
    def _n_units_at_start(self) -> int:
        return 0 if self.has(ShareRule.STARTS_EMPTY) else DEPTH


def _after_spending(state: ShareState, holder: int) -> ShareState:
    return state._replace(
        units=_with(state.units, holder, state.units[holder] - 1),
        spent=(*state.spent[:-1], state.spent[-1] + 1),
    )


def _with(values: tuple[int, int, int], index: int, value: int) -> tuple[int, int, int]:
    changed = list(values)
    changed[index] = value
    return changed[0], changed[1], changed[2]
