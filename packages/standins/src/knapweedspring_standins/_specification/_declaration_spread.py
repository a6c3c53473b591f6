"""Declarations, reading side: what is in force never reverts.

One object on the platform; a data centre with two nodes, either of which may be
replaced; another data centre whose nodes have heard nothing yet. Any node may
hear any version at any time, late and out of order, from the platform's watch or
from a peer; a partition or an outage is that it does not.

*Accepted*: the platform stored the version, its content is valid by itself, and a
status object of the data centre holds a copy of it. *In force in a data centre*:
the status object says so, which a reporter may write when every node known in the
data centre has acknowledged the version or a higher one after the copy was stored.

Bounds: two versions after the empty one, each valid, invalid or a deletion; two
processes for each of the two nodes.

Properties: ``no process reverts``: what one process has in force never gets
older; ``in force stays in force``: no serving process of the data centre, also
one that started later, serves content older than the status shows.

States: 40,008.
"""

from collections.abc import Iterator
from enum import Enum, IntEnum, auto
from typing import NamedTuple

from knapweedspring_standins._specification._checking import (
    Property,
    Specification,
    Step,
)

__all__ = ["SpreadRule", "SpreadSpecification", "SpreadState"]

N_VERSIONS = 2
#: Nodes of the data centre whose status is looked at.
LOCAL = (0, 1)
N_PROCESSES = 2


class SpreadRule(Enum):
    """Rules of the protocol, each needed by a property."""

    #: A lower version never replaces a higher one.
    HIGHEST_WINS = auto()
    #: An invalid version leaves in force what was before.
    INVALID_KEEPS_PREVIOUS = auto()
    #: A valid version that arrives after a higher invalid one still counts.
    ORDER_IS_INDIFFERENT = auto()
    #: A process serves only after it has heard a full list.
    LIST_BEFORE_SERVING = auto()
    #: A full list also says which objects are gone.
    LIST_COVERS_DELETIONS = auto()
    #: Status objects hold a copy of accepted content, and lists include them.
    STATUS_CARRIES_CONTENT = auto()
    #: Acknowledgements are asked for after the copy was stored.
    COPY_BEFORE_ACKS = auto()
    #: A process that starts takes its list from the platform or its data centre.
    LIST_FROM_OWN_DATA_CENTRE = auto()
    #: Unreached nodes count as behind until they are known to have ended.
    EVERY_KNOWN_NODE_COUNTS = auto()
    #: Once all have acknowledged, the same processes confirm in a second round, so
    #: that there was a moment at which all of them held the version.
    TWO_ROUNDS = auto()


class Kind(IntEnum):
    """Content of a version."""

    VALID = auto()
    INVALID = auto()
    DELETED = auto()


class Listing(NamedTuple):
    """What a list from the platform said when it was made."""

    version: int
    #: Version that the status held a copy of.
    copied: int


#: No list is under way.
NO_LISTING = Listing(-1, -1)


class Node(NamedTuple):
    """The running process of a node."""

    process: int
    serving: bool
    #: List asked of the platform and still under way, or ``NO_LISTING``.
    listing: Listing
    highest: int
    #: Version whose content is in force, 0 for none.
    in_force: int


class Ack(NamedTuple):
    """Acknowledgement of what a process has in force."""

    process: int
    in_force: int
    #: Given again by the same process after all had acknowledged.
    confirmed: bool


#: The reporter has no acknowledgement.
NO_ACK = Ack(-1, -1, False)


class SpreadState(NamedTuple):
    """State of the whole."""

    #: Content of each version on the platform.
    kinds: tuple[Kind, ...]
    #: Version that the status object holds a copy of, 0 for none.
    copied: int
    #: Version that the status object shows in force in the data centre.
    shown: int
    nodes: tuple[Node, ...]
    #: Newest acknowledgement of each local node that the reporter has.
    acks: tuple[Ack, ...]
    #: A process went back to older content.
    reverted: bool

    @property
    def version(self) -> int:
        """Newest version on the platform."""
        return len(self.kinds)

    def is_absent(self, version: int) -> bool:
        """Return whether a version in force means that there is no object."""
        return version == 0 or self.kinds[version - 1] is Kind.DELETED


class SpreadSpecification(Specification[SpreadState]):
    """An object's way to the nodes.

    >>> SpreadSpecification().initial.version
    0
    """

    @property
    def initial(self) -> SpreadState:
        """Return the state in which every node serves and nothing is declared."""
        node = Node(1, True, NO_LISTING, 0, 0)
        return SpreadState((), 0, 0, (node,) * 2, (NO_ACK, NO_ACK), False)

    @property
    def properties(self) -> tuple[Property[SpreadState], ...]:
        """Return what operators may rely on."""
        return (
            Property("no process reverts", lambda state: not state.reverted),
            Property("in force stays in force", _shown_is_true),
        )

    def steps(self, state: SpreadState) -> Iterator[Step]:
        """Yield what operators, nodes, reporter and faults may do."""
        if state.reverted:
            return
        if state.version < N_VERSIONS:
            yield from _operator_steps(state)
        for index, node in enumerate(state.nodes):
            yield from self._push_steps(state, index)
            if not node.serving:
                yield from self._start_steps(state, index)
        for index in LOCAL:
            yield from _ack_steps(state, index)
            if state.nodes[index].process < N_PROCESSES:
                yield self._replace_node(state, index)
        yield from self._copy_steps(state)
        yield from self._report_steps(state)

    def normalise(self, state: SpreadState) -> SpreadState:
        """Drop acknowledgements that show nothing, and order the two nodes."""
        first, second = (
            ack if ack.in_force > state.shown else NO_ACK for ack in state.acks
        )
        if (state.nodes[0], first) <= (state.nodes[1], second):
            return state._replace(acks=(first, second))
        return state._replace(nodes=state.nodes[::-1], acks=(second, first))

    def _push_steps(self, state: SpreadState, index: int) -> Iterator[Step]:
        for version in range(1, state.version + 1):
            after = self._merged(state, index, version)
            if after != state:
                yield Step(f"node:merge {index} version {version}", after)

    def _merged(self, state: SpreadState, index: int, version: int) -> SpreadState:
        node = state.nodes[index]
        held = node.in_force
        if not self.has(SpreadRule.ORDER_IS_INDIFFERENT):
            held = node.highest
        if self.has(SpreadRule.HIGHEST_WINS) and version <= held:
            return state
        in_force = version
        if state.kinds[version - 1] is Kind.INVALID:
            in_force = node.in_force
            if not self.has(SpreadRule.INVALID_KEEPS_PREVIOUS):
                in_force = 0
        highest = max(node.highest, version)
        merged = node._replace(highest=highest, in_force=in_force)
        return _put(state, index, merged)

    def _replace_node(self, state: SpreadState, index: int) -> Step:
        serving = not self.has(SpreadRule.LIST_BEFORE_SERVING)
        process = state.nodes[index].process + 1
        nodes = list(state.nodes)
        nodes[index] = Node(process, serving, NO_LISTING, 0, 0)
        replaced = state._replace(nodes=tuple(nodes))
        return Step(f"fault:replaced {index}", replaced)

    def _start_steps(self, state: SpreadState, index: int) -> Iterator[Step]:
        node = state.nodes[index]
        if node.listing == NO_LISTING:
            asked = node._replace(listing=Listing(state.version, state.copied))
            yield Step(f"node:list {index}", _put(state, index, asked))
        else:
            yield Step(f"node:listed {index}", self._listed(state, index, node.listing))
        other = 1 - index
        if state.nodes[other].serving:
            yield Step(f"node:list-from-peer {index}", _list_from(state, index, other))
        if not self.has(SpreadRule.LIST_FROM_OWN_DATA_CENTRE):
            # The worst case: the other data centre has heard nothing yet.
            started = node._replace(serving=True, listing=NO_LISTING)
            yield Step(f"node:list-from-remote {index}", _put(state, index, started))

    def _listed(self, state: SpreadState, index: int, listing: Listing) -> SpreadState:
        node = state.nodes[index]._replace(listing=NO_LISTING, serving=True)
        state = _put(state, index, node)
        if not listing.version:
            return state
        if state.kinds[listing.version - 1] is Kind.DELETED:
            # The object is not in the list, nor is a copy of it kept.
            if not self.has(SpreadRule.LIST_COVERS_DELETIONS):
                return state
        elif listing.copied and self.has(SpreadRule.STATUS_CARRIES_CONTENT):
            state = self._merged(state, index, listing.copied)
        return self._merged(state, index, listing.version)

    def _copy_steps(self, state: SpreadState) -> Iterator[Step]:
        for version in range(state.copied + 1, state.version + 1):
            if state.kinds[version - 1] is Kind.INVALID:
                continue
            copied = state._replace(copied=version)
            if self.has(SpreadRule.COPY_BEFORE_ACKS):
                copied = copied._replace(acks=(NO_ACK, NO_ACK))
            yield Step(f"declaration:accepted {version}", copied)

    def _report_steps(self, state: SpreadState) -> Iterator[Step]:
        shown = min(self._common_version(state), state.copied)
        if shown > state.shown:
            yield Step(f"declaration:in-force {shown}", state._replace(shown=shown))

    def _common_version(self, state: SpreadState) -> int:
        """Return the version that the acknowledgements let the reporter show."""
        acks = [ack for ack in state.acks if ack != NO_ACK]
        if not acks:
            return 0
        if self.has(SpreadRule.EVERY_KNOWN_NODE_COUNTS) and len(acks) < len(LOCAL):
            return 0
        confirmed = all(ack.confirmed for ack in acks)
        if self.has(SpreadRule.TWO_ROUNDS) and not confirmed:
            return 0
        return min(ack.in_force for ack in acks)


def _operator_steps(state: SpreadState) -> Iterator[Step]:
    for kind in Kind:
        written = state._replace(kinds=(*state.kinds, kind))
        yield Step(f"platform:write {kind.name.lower()}", written)


def _ack_steps(state: SpreadState, index: int) -> Iterator[Step]:
    node = state.nodes[index]
    if not node.serving:
        return
    # An acknowledgement of the first round ends a second one under way.
    acks = [ack._replace(confirmed=False) for ack in state.acks]
    acks[index] = Ack(node.process, node.in_force, False)
    yield Step(f"node:ack {index}", state._replace(acks=tuple(acks)))
    held = state.acks[index]
    if NO_ACK in state.acks:
        return
    # The second round begins when the first is complete.
    if held.process == node.process:
        confirmed = list(state.acks)
        confirmed[index] = held._replace(confirmed=True)
        yield Step(f"node:confirm {index}", state._replace(acks=tuple(confirmed)))


def _list_from(state: SpreadState, index: int, source: int) -> SpreadState:
    """Give a starting process a peer's whole content."""
    giver = state.nodes[source]
    taker = state.nodes[index]
    newer = taker.highest if taker.highest > giver.highest else giver.highest
    in_force = max(taker.in_force, giver.in_force)
    started = taker._replace(
        serving=True, listing=NO_LISTING, highest=newer, in_force=in_force
    )
    return _put(state, index, started)


def _put(state: SpreadState, index: int, node: Node) -> SpreadState:
    before = state.nodes[index]
    older = node.in_force < before.in_force
    both_absent = state.is_absent(node.in_force) and state.is_absent(before.in_force)
    nodes = list(state.nodes)
    nodes[index] = node
    reverted = state.reverted or (older and not both_absent)
    return state._replace(nodes=tuple(nodes), reverted=reverted)


def _shown_is_true(state: SpreadState) -> bool:
    return all(_serves_shown(state, state.nodes[index]) for index in LOCAL)


def _serves_shown(state: SpreadState, node: Node) -> bool:
    if not node.serving or node.in_force >= state.shown:
        return True
    return state.is_absent(node.in_force) and state.is_absent(state.shown)
