"""Status objects, which the reporters of the data centres write to the platform.

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

    #: The version or a higher one is in force on every live node of the data centre.
    IN_FORCE = "in-force"
    #: Some live node has not reported this version, or a higher one, as in force.
    LAGGING = "lagging"
    #: The version is invalid; the highest valid version stays in force.
    INVALID = "invalid"


@dataclass(frozen=True, slots=True)
class DeclarationRollout:
    """Rollout of one declaration in one data centre, as counted by a reporter.

    Live nodes are those that the reporter sees as alive or suspect, and itself.
    """

    #: Kind, such as ``RequestClass``.
    kind: str
    #: Name, unique within the kind.
    name: str
    #: Highest version that a live node has reported to the reporter.
    version: int
    #: Lowest version in force among the live nodes; 0 when some live node has no
    #: version in force or has not reported.
    lowest_in_force: int
    #: Number of live nodes on which the highest version is in force.
    n_in_force: int
    #: Names of some of the live nodes on which the highest version is not in force;
    #: empty when that version is invalid.
    lagging: tuple[str, ...] = ()
    #: Whether the highest version is a deletion.
    deleted: bool = False
    #: Path of the invalid field in the highest version; empty when it is valid.
    invalid_path: str = ""
    #: What the operator should write at ``invalid_path`` instead.
    advice: str = ""

    @property
    def key(self) -> ObjectKey:
        """Identity of the declaration."""
        return ObjectKey(self.kind, self.name)


@dataclass(frozen=True, slots=True)
class ContentCopy:
    """Copy of the highest valid version of a declaration.

    The platform stores only the last content of a declaration. After an invalid write,
    this copy is the only durable one of the version in force.
    """

    #: Kind, such as ``RequestClass``.
    kind: str
    #: Name, unique within the kind.
    name: str
    #: Version that was copied.
    version: int
    #: JSON text of that version.
    content: str


@dataclass(frozen=True, slots=True)
class DrainStatus:
    """A draining node, which accepts no new work."""

    #: Name of the node.
    node_id: str
    #: Number of unfinished requests, child calls and usable tickets that the node waits
    #: for.
    n_unfinished: int


@dataclass(frozen=True, slots=True)
class ServiceShedding:
    """Shedding by the gates of a service in a data centre."""

    #: Name of the service.
    service: str
    #: Number of gates whose nodes have reported their state recently.
    n_gates: int
    #: Number of gates that shed calls at present.
    n_shedding: int
    #: Highest of the gates' shedding levels, where a gate's level is the lowest
    #: priority that it admits; 0 when nothing is shed.
    level: int


@dataclass(frozen=True, slots=True)
class ReporterStatus:
    """Status of a data centre, as collected by one of its reporters."""

    #: Name of the node that reports.
    reporter: str
    #: Increases with each write of the reporter; starts again at 1 with each start of
    #: the reporter's process.
    sequence: int
    #: Number of live nodes of the data centre: those that the reporter sees as alive or
    #: suspect, and itself.
    n_nodes: int
    #: Number of these live nodes that have reported their state recently.
    n_reporting: int
    #: Rollout of each declaration, in the order of their keys.
    declarations: tuple[DeclarationRollout, ...] = ()
    #: Content of the declarations in force on the reporter.
    copies: tuple[ContentCopy, ...] = ()
    #: Number of unreachable nodes of the data centre: those that the reporter sees as
    #: suspect or dead.
    n_unreachable: int = 0
    #: Names of some of the unreachable nodes.
    unreachable: tuple[str, ...] = ()
    #: Nodes that accept no new work.
    draining: tuple[DrainStatus, ...] = ()
    #: Shedding of each service.
    levels: tuple[ServiceShedding, ...] = ()
    #: Sum of the budget use that the live nodes have reported.
    budget: BudgetUse = BudgetUse()


@dataclass(frozen=True, slots=True)
class DataCentreStatus:
    """Content of a ``Status`` object.

    The object has one part. It has several while the data centre is partitioned, and
    shortly after a reporter was replaced.
    """

    #: Name of the data centre.
    data_centre: str
    #: Status from each reporter.
    parts: tuple[ReporterStatus, ...] = ()

    def rollout_state(self, key: ObjectKey, version: int) -> RolloutState:
        """Return the rollout state of a version in this data centre.

        :param key: identity of the declaration.
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
        """Return the copies of all parts as records that a store can merge."""
        return tuple(
            ObjectRecord(
                ObjectKey(copy.kind, copy.name), copy.version, content=copy.content
            )
            for part in self.parts
            for copy in part.copies
        )

    def lagging(self, key: ObjectKey) -> tuple[str, ...]:
        """Return the names of some nodes on which the highest version is not in force.

        :param key: identity of the declaration.
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
