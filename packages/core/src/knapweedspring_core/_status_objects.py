"""Status objects: what a data centre's reporter writes to the platform.

The terms *accepted* and *in force* are defined in docs/PLATFORM.md.
"""

from dataclasses import dataclass
from enum import StrEnum

import msgspec
from result import Err, Ok, Result

from knapweedspring_core._declarations import ObjectKey, ObjectRecord
from knapweedspring_core._errors import DeclarationError
from knapweedspring_core._status import BudgetUse

__all__ = [
    "STATUS_KIND",
    "ContentCopy",
    "DataCentreStatus",
    "DeclarationRollout",
    "DrainStatus",
    "RolloutState",
    "ReporterStatus",
    "ServiceShedding",
    "parse_status",
]

#: Kind of the platform objects with a status, each named after its data centre.
STATUS_KIND = "Status"


class RolloutState(StrEnum):
    """Rollout state of a declaration's version in a data centre."""

    #: It or a higher version is in force on every node alive in the reporter's view.
    IN_FORCE = "in-force"
    #: Some node has not confirmed it.
    LAGGING = "lagging"
    #: The version is invalid; the one before it stays in force.
    INVALID = "invalid"


@dataclass(frozen=True, slots=True)
class DeclarationRollout:
    """Rollout of one declaration in one data centre, as counted by a reporter."""

    #: Kind, such as ``RequestClass``.
    kind: str
    #: Name, unique within the kind.
    name: str
    #: Highest version that the reporter has received.
    version: int
    #: Lowest version in force among the live nodes; 0 when one has none.
    lowest_in_force: int
    #: Number of live nodes on which the highest version is in force.
    n_in_force: int
    #: Some of the live nodes on which it is not in force.
    lagging: tuple[str, ...] = ()
    #: Whether the highest version is a deletion.
    deleted: bool = False
    #: Path of the invalid field in the highest version; empty when it is valid.
    invalid_path: str = ""
    #: What the operator should write there instead.
    advice: str = ""

    @property
    def key(self) -> ObjectKey:
        """Identity of the declaration."""
        return ObjectKey(self.kind, self.name)


@dataclass(frozen=True, slots=True)
class ContentCopy:
    """Copy of the highest valid version of a declaration.

    It keeps the version in force durable: an invalid write replaces the content
    of the declaration itself, the only other durable copy.
    """

    #: Kind, such as ``RequestClass``.
    kind: str
    #: Name, unique within the kind.
    name: str
    #: The version copied.
    version: int
    #: Its JSON text.
    content: str


@dataclass(frozen=True, slots=True)
class DrainStatus:
    """A draining node, which accepts no new work."""

    #: Name of the node.
    node_id: str
    #: Requests, child calls and live tickets that it waits for.
    n_unfinished: int


@dataclass(frozen=True, slots=True)
class ServiceShedding:
    """Shedding by the gates of a service in a data centre."""

    #: Name of the service.
    service: str
    #: Number of gates that report.
    n_gates: int
    #: Number of gates that shed calls at present.
    n_shedding: int
    #: Highest of the gates' shedding levels, where a gate's level is the lowest
    #: priority that it admits; 0 when nothing is shed.
    level: int


@dataclass(frozen=True, slots=True)
class ReporterStatus:
    """Status of a data centre, as collected by one of its reporters."""

    #: Node that reports.
    reporter: str
    #: Grows with each report of this node.
    sequence: int
    #: Number of nodes of the data centre that are alive in its membership view.
    n_nodes: int
    #: Number of these nodes that have reported their state recently.
    n_reporting: int
    #: Declarations, in the order of their keys.
    declarations: tuple[DeclarationRollout, ...] = ()
    #: Content of the declarations in force on the reporter.
    copies: tuple[ContentCopy, ...] = ()
    #: Number of nodes that are marked suspect or dead.
    n_unreachable: int = 0
    #: Names of some of these nodes.
    unreachable: tuple[str, ...] = ()
    #: Nodes that accept no new work.
    draining: tuple[DrainStatus, ...] = ()
    #: Shedding by service.
    levels: tuple[ServiceShedding, ...] = ()
    #: Use of the retry budgets in the data centre.
    budget: BudgetUse = BudgetUse()


@dataclass(frozen=True, slots=True)
class DataCentreStatus:
    """Content of a ``Status`` object.

    There is one part, unless the data centre is partitioned or a reporter has
    just been replaced.
    """

    #: Name of the data centre.
    data_centre: str
    #: One part for each reporter.
    parts: tuple[ReporterStatus, ...] = ()

    def rollout_state(self, key: ObjectKey, version: int) -> RolloutState:
        """Return the rollout state of a version in this data centre.

        :param key: the declaration.
        :param version: a version that the platform has stored.
        """
        rollouts = [
            rollout
            for part in self.parts
            for rollout in part.declarations
            if rollout.key == key
        ]
        if any(
            rollout.version == version and rollout.invalid_path for rollout in rollouts
        ):
            return RolloutState.INVALID
        reported_by_all = bool(rollouts) and len(rollouts) == len(self.parts)
        if reported_by_all and all(
            rollout.lowest_in_force >= version for rollout in rollouts
        ):
            return RolloutState.IN_FORCE
        return RolloutState.LAGGING

    def content_copy_records(self) -> tuple[ObjectRecord, ...]:
        """Return the copies as records that a store can merge."""
        return tuple(
            ObjectRecord(
                ObjectKey(copy.kind, copy.name), copy.version, content=copy.content
            )
            for part in self.parts
            for copy in part.copies
        )

    def lagging(self, key: ObjectKey) -> tuple[str, ...]:
        """Return some of the nodes on which the highest version is not in force.

        :param key: the declaration.
        """
        return tuple(
            node_id
            for part in self.parts
            for rollout in part.declarations
            if rollout.key == key
            for node_id in rollout.lagging
        )


def parse_status(record: ObjectRecord) -> Result[DataCentreStatus, DeclarationError]:
    """Parse the content of a ``Status`` object.

    :param record: the object, as the platform stored it.
    :return: the status, or a :class:`DeclarationError` when it is malformed.
    """
    try:
        return Ok(msgspec.json.decode(record.content, type=DataCentreStatus))
    except msgspec.DecodeError as error:
        return Err(DeclarationError("$", str(error)))
