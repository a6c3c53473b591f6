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
    "DeclarationForce",
    "DrainStatus",
    "Force",
    "ReporterPart",
    "ServiceLevel",
    "parse_status",
]

#: Kind of the objects on the platform; their names are those of data centres.
STATUS_KIND = "Status"


class Force(StrEnum):
    """How far a version has come in a data centre."""

    #: Every node that the reporter believes alive acts by it, or a higher one.
    IN_FORCE = "in-force"
    #: Some node has not confirmed it.
    LAGGING = "lagging"
    #: The data centre judged the version invalid; the one before stays.
    INVALID = "invalid"


@dataclass(frozen=True, slots=True)
class DeclarationForce:
    """One declaration in one data centre, as its reporter counted it."""

    #: Kind, such as ``RequestClass``.
    kind: str
    #: Name, unique within the kind.
    name: str
    #: Highest version heard of.
    version: int
    #: Lowest version in force among the live nodes; 0 when one has none.
    lowest_in_force: int
    #: Live nodes that act by the highest version.
    n_in_force: int
    #: Some of the live nodes that do not.
    lagging: tuple[str, ...] = ()
    #: Whether the highest version is a deletion.
    deleted: bool = False
    #: Path of the mistake in the highest version; empty when it is valid.
    invalid_path: str = ""
    #: What to write there instead.
    advice: str = ""

    @property
    def key(self) -> ObjectKey:
        """Identity of the declaration."""
        return ObjectKey(self.kind, self.name)


@dataclass(frozen=True, slots=True)
class ContentCopy:
    """Copy of the highest valid version of a declaration.

    An invalid write replaces the only other durable copy of what is in force.
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
    """A node that takes no new work."""

    #: Name of the node.
    node_id: str
    #: Requests, child calls and live tickets that it waits for.
    n_unfinished: int


@dataclass(frozen=True, slots=True)
class ServiceLevel:
    """What the gates of a service refuse in a data centre."""

    #: Name of the service.
    service: str
    #: Gates that report.
    n_gates: int
    #: Gates that shed calls at present.
    n_shedding: int
    #: Highest of their lowest admitted priorities; 0 when nothing is shed.
    level: int


@dataclass(frozen=True, slots=True)
class ReporterPart:
    """What one reporter knows of its data centre."""

    #: Node that reports.
    reporter: str
    #: Grows with each report of this node.
    sequence: int
    #: Nodes of the data centre that it believes alive.
    n_nodes: int
    #: Of these, how many have told it their state lately.
    n_reporting: int
    #: Declarations, in the order of their keys.
    declarations: tuple[DeclarationForce, ...] = ()
    #: Valid content that the reporter acts by.
    copies: tuple[ContentCopy, ...] = ()
    #: How many nodes are suspected or held dead.
    n_unreachable: int = 0
    #: Some of them.
    unreachable: tuple[str, ...] = ()
    #: Nodes that take no new work.
    draining: tuple[DrainStatus, ...] = ()
    #: Shedding by service.
    levels: tuple[ServiceLevel, ...] = ()
    #: Use of the retry budgets in the data centre.
    budget: BudgetUse = BudgetUse()


@dataclass(frozen=True, slots=True)
class DataCentreStatus:
    """Content of a ``Status`` object.

    There is one part, unless the data centre is split or a reporter has just
    been replaced.
    """

    #: Name of the data centre.
    data_centre: str
    #: One part for each reporter.
    parts: tuple[ReporterPart, ...] = ()

    def force_of(self, key: ObjectKey, version: int) -> Force:
        """Say how far a version has come here.

        :param key: the declaration.
        :param version: a version that the platform has stored.
        """
        found = [
            one for part in self.parts for one in part.declarations if one.key == key
        ]
        if any(one.version == version and one.invalid_path for one in found):
            return Force.INVALID
        everywhere = bool(found) and len(found) == len(self.parts)
        if everywhere and all(one.lowest_in_force >= version for one in found):
            return Force.IN_FORCE
        return Force.LAGGING

    def copied_records(self) -> tuple[ObjectRecord, ...]:
        """Return the copies as records that a store can merge."""
        return tuple(
            ObjectRecord(
                ObjectKey(one.kind, one.name), one.version, content=one.content
            )
            for part in self.parts
            for one in part.copies
        )

    def lagging(self, key: ObjectKey) -> tuple[str, ...]:
        """Some of the nodes that do not act by the highest version."""
        return tuple(
            node_id
            for part in self.parts
            for one in part.declarations
            if one.key == key
            for node_id in one.lagging
        )


def parse_status(record: ObjectRecord) -> Result[DataCentreStatus, DeclarationError]:
    """Read the content of a ``Status`` object."""
    try:
        return Ok(msgspec.json.decode(record.content, type=DataCentreStatus))
    except msgspec.DecodeError as error:
        return Err(DeclarationError("$", str(error)))
