"""Specification of how declarations reach the nodes: content in force never reverts.

The model has one object on the platform, a data centre with two nodes, either of
which may be replaced, and another data centre whose nodes have not received any
version. A node may receive any version at any time, late and out of order, from the
platform's watch or from a peer; in a partition or an outage it receives none.

*Accepted*: the platform stored the version, its content is valid by itself, and a
status object of the data centre holds a copy of it. *In force in a data centre*:
the status object shows the version as in force. The reporter may show it so when,
after the copy was stored, every known node of the data centre has acknowledged this
version or a higher version.

Bounds: two versions after the empty one, each valid, invalid or a deletion; two
processes for each of the two nodes.

Properties: ``no process reverts``: the version that a process has in force never
decreases; ``in force stays in force``: no serving process of the data centre,
including a process that started later, serves content older than the version that
the status object shows as in force.

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

__all__ = ["PropagationRule", "PropagationSpecification", "PropagationState"]

N_VERSIONS = 2
#: Nodes of the data centre whose status is modelled.
NODES = (0, 1)
#: Number of processes of each node, one after the other.
N_PROCESSES = 2


class PropagationRule(Enum):
    """Rules of the protocol, each needed by a property."""

    #: A lower version never replaces a higher one.
    HIGHEST_WINS = auto()
    #: An invalid version leaves the previous content in force.
    INVALID_KEEPS_PREVIOUS = auto()
    #: A valid version that arrives after a higher invalid one is still applied.
    ORDER_INDEPENDENT = auto()
    #: A process serves only after it has received a full list.
    LIST_BEFORE_SERVING = auto()
    #: A full list also shows which objects were deleted.
    LIST_COVERS_DELETIONS = auto()
    #: Status objects hold a copy of accepted content, and lists include them.
    STATUS_CARRIES_CONTENT = auto()
    #: Only acknowledgements that nodes gave after the copy was stored count.
    COPY_BEFORE_ACKS = auto()
    #: A starting process gets its full list from the platform or from a node of its own
    #: data centre.
    LIST_FROM_OWN_DATA_CENTRE = auto()
    #: Unreachable nodes count as lagging until they are known to have ended.
    EVERY_KNOWN_NODE_COUNTS = auto()
    #: After all nodes have acknowledged, the same processes confirm in a second
    #: round; thus all of them had the version in force at the same time.
    TWO_ROUNDS = auto()


class ContentKind(IntEnum):
    """Content of a version."""

    VALID = auto()
    INVALID = auto()
    DELETED = auto()


class Listing(NamedTuple):
    """Content of a list at the time when the platform made the list."""

    #: Newest version of the object.
    version: int
    #: Version that the status object held a copy of, 0 for none.
    copied: int


#: Value of ``Node.listing`` while no list request is in progress.
NO_LISTING = Listing(-1, -1)


class Node(NamedTuple):
    """The running process of a node."""

    #: Ordinal of the process: 1 for the node's first process, 2 for its successor.
    process: int
    serving: bool
    #: List requested from the platform and not yet received, or ``NO_LISTING``.
    listing: Listing
    #: Highest version received, 0 for none.
    highest: int
    #: Version whose content is in force, 0 for none.
    in_force: int


class Ack(NamedTuple):
    """A process's acknowledgement of the version that it has in force."""

    process: int
    in_force: int
    #: Whether the process confirmed the acknowledgement in the second round.
    confirmed: bool


#: Placeholder for a node from which the reporter has no acknowledgement.
NO_ACK = Ack(-1, -1, False)


class PropagationState(NamedTuple):
    """State of the platform, the status object, the nodes and the reporter."""

    #: Content of each version on the platform.
    kinds: tuple[ContentKind, ...]
    #: Version that the status object holds a copy of, 0 for none.
    copied: int
    #: Version that the status object shows as in force in the data centre, 0 for none.
    shown: int
    nodes: tuple[Node, ...]
    #: Newest acknowledgement that the reporter has from each node of the data centre.
    acks: tuple[Ack, ...]
    #: Whether a process replaced content in force by older content.
    reverted: bool

    @property
    def version(self) -> int:
        """Newest version on the platform."""
        return len(self.kinds)

    def is_absent(self, version: int) -> bool:
        """Return whether the object does not exist while a version is in force."""
        return version == 0 or self.kinds[version - 1] is ContentKind.DELETED


class PropagationSpecification(Specification[PropagationState]):
    """Propagation of one object's versions to the nodes.

    >>> PropagationSpecification().initial.version
    0
    """

    @property
    def initial(self) -> PropagationState:
        """Return the state in which every node serves and nothing is declared."""
        node = Node(1, True, NO_LISTING, 0, 0)
        return PropagationState((), 0, 0, (node,) * 2, (NO_ACK, NO_ACK), False)

    @property
    def properties(self) -> tuple[Property[PropagationState], ...]:
        """Return the guarantees that the protocol gives to operators."""
        return (
            Property("no process reverts", lambda state: not state.reverted),
            Property("in force stays in force", _shown_version_is_served),
        )

    def steps(self, state: PropagationState) -> Iterator[Step]:
        """Yield the possible steps of operators, nodes, the reporter and faults."""
        if state.reverted:
            return
        if state.version < N_VERSIONS:
            yield from _operator_steps(state)
        for index, node in enumerate(state.nodes):
            yield from self._merge_steps(state, index)
            if not node.serving:
                yield from self._start_steps(state, index)
        for index in NODES:
            yield from _ack_steps(state, index)
            if state.nodes[index].process < N_PROCESSES:
                yield self._replace_node(state, index)
        yield from self._copy_steps(state)
        yield from self._report_steps(state)

    def normalise(self, state: PropagationState) -> PropagationState:
        """Remove acknowledgements that cannot raise the shown version; sort nodes."""
        first, second = (
            ack if ack.in_force > state.shown else NO_ACK for ack in state.acks
        )
        if (state.nodes[0], first) <= (state.nodes[1], second):
            return state._replace(acks=(first, second))
        return state._replace(nodes=state.nodes[::-1], acks=(second, first))

    def _merge_steps(self, state: PropagationState, index: int) -> Iterator[Step]:
        for version in range(1, state.version + 1):
            after = self._merged(state, index, version)
            if after != state:
                yield Step(f"node:merge {index} version {version}", after)

    def _merged(
        self, state: PropagationState, index: int, version: int
    ) -> PropagationState:
        """Return the state after a node receives a version of the object."""
        node = state.nodes[index]
        current = node.in_force
        if not self.has(PropagationRule.ORDER_INDEPENDENT):
            current = node.highest
        if self.has(PropagationRule.HIGHEST_WINS) and version <= current:
            return state
        in_force = version
        if state.kinds[version - 1] is ContentKind.INVALID:
            in_force = node.in_force
            if not self.has(PropagationRule.INVALID_KEEPS_PREVIOUS):
                in_force = 0
        highest = max(node.highest, version)
        merged = node._replace(highest=highest, in_force=in_force)
        return _with_node(state, index, merged)

    def _replace_node(self, state: PropagationState, index: int) -> Step:
        serving = not self.has(PropagationRule.LIST_BEFORE_SERVING)
        process = state.nodes[index].process + 1
        nodes = list(state.nodes)
        nodes[index] = Node(process, serving, NO_LISTING, 0, 0)
        replaced = state._replace(nodes=tuple(nodes))
        return Step(f"fault:replaced {index}", replaced)

    def _start_steps(self, state: PropagationState, index: int) -> Iterator[Step]:
        node = state.nodes[index]
        if node.listing == NO_LISTING:
            requested = node._replace(listing=Listing(state.version, state.copied))
            yield Step(f"node:list {index}", _with_node(state, index, requested))
        else:
            yield Step(
                f"node:listed {index}",
                self._with_platform_list(state, index, node.listing),
            )
        other = 1 - index
        if state.nodes[other].serving:
            yield Step(
                f"node:list-from-peer {index}", _with_peer_list(state, index, other)
            )
        if not self.has(PropagationRule.LIST_FROM_OWN_DATA_CENTRE):
            # Worst case: the other data centre has not received any version.
            started = node._replace(serving=True, listing=NO_LISTING)
            yield Step(
                f"node:list-from-remote {index}", _with_node(state, index, started)
            )

    def _with_platform_list(
        self, state: PropagationState, index: int, listing: Listing
    ) -> PropagationState:
        """Return the state after a starting process gets a list from the platform."""
        node = state.nodes[index]._replace(listing=NO_LISTING, serving=True)
        state = _with_node(state, index, node)
        if not listing.version:
            return state
        if state.kinds[listing.version - 1] is ContentKind.DELETED:
            # The list does not contain the deleted object, and no copy of it is kept.
            if not self.has(PropagationRule.LIST_COVERS_DELETIONS):
                return state
        elif listing.copied and self.has(PropagationRule.STATUS_CARRIES_CONTENT):
            state = self._merged(state, index, listing.copied)
        return self._merged(state, index, listing.version)

    def _copy_steps(self, state: PropagationState) -> Iterator[Step]:
        for version in range(state.copied + 1, state.version + 1):
            if state.kinds[version - 1] is ContentKind.INVALID:
                continue
            copied = state._replace(copied=version)
            if self.has(PropagationRule.COPY_BEFORE_ACKS):
                copied = copied._replace(acks=(NO_ACK, NO_ACK))
            yield Step(f"declaration:accepted {version}", copied)

    def _report_steps(self, state: PropagationState) -> Iterator[Step]:
        shown = min(self._common_version(state), state.copied)
        if shown > state.shown:
            yield Step(f"declaration:in-force {shown}", state._replace(shown=shown))

    def _common_version(self, state: PropagationState) -> int:
        """Return the highest version that the acknowledgements allow to be shown."""
        acks = [ack for ack in state.acks if ack != NO_ACK]
        if not acks:
            return 0
        if self.has(PropagationRule.EVERY_KNOWN_NODE_COUNTS) and len(acks) < len(NODES):
            return 0
        confirmed = all(ack.confirmed for ack in acks)
        if self.has(PropagationRule.TWO_ROUNDS) and not confirmed:
            return 0
        return min(ack.in_force for ack in acks)


def _operator_steps(state: PropagationState) -> Iterator[Step]:
    for kind in ContentKind:
        written = state._replace(kinds=(*state.kinds, kind))
        yield Step(f"platform:write {kind.name.lower()}", written)


def _ack_steps(state: PropagationState, index: int) -> Iterator[Step]:
    node = state.nodes[index]
    if not node.serving:
        return
    # A new first-round acknowledgement discards the confirmations of a second round.
    acks = [ack._replace(confirmed=False) for ack in state.acks]
    acks[index] = Ack(node.process, node.in_force, False)
    yield Step(f"node:ack {index}", state._replace(acks=tuple(acks)))
    previous = state.acks[index]
    if NO_ACK in state.acks:
        return
    # The second round starts when all nodes have acknowledged in the first round.
    if previous.process == node.process:
        confirmed = list(state.acks)
        confirmed[index] = previous._replace(confirmed=True)
        yield Step(f"node:confirm {index}", state._replace(acks=tuple(confirmed)))


def _with_peer_list(
    state: PropagationState, index: int, source: int
) -> PropagationState:
    """Return the state after a starting process gets a peer's full list of objects.

    The model has one object, of which the list shows the peer's highest version and the
    version that the peer has in force.
    """
    peer = state.nodes[source]
    node = state.nodes[index]
    newest = node.highest if node.highest > peer.highest else peer.highest
    in_force = max(node.in_force, peer.in_force)
    started = node._replace(
        serving=True, listing=NO_LISTING, highest=newest, in_force=in_force
    )
    return _with_node(state, index, started)


def _with_node(state: PropagationState, index: int, node: Node) -> PropagationState:
    before = state.nodes[index]
    older = node.in_force < before.in_force
    both_absent = state.is_absent(node.in_force) and state.is_absent(before.in_force)
    nodes = list(state.nodes)
    nodes[index] = node
    reverted = state.reverted or (older and not both_absent)
    return state._replace(nodes=tuple(nodes), reverted=reverted)


def _shown_version_is_served(state: PropagationState) -> bool:
    return all(_serves_shown_version(state, state.nodes[index]) for index in NODES)


def _serves_shown_version(state: PropagationState, node: Node) -> bool:
    if not node.serving or node.in_force >= state.shown:
        return True
    return state.is_absent(node.in_force) and state.is_absent(state.shown)
