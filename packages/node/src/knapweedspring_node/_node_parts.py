"""The parts of one node, as its pages and its drain see them."""

from dataclasses import dataclass

from knapweedspring_core import Counters, DeclarationStore, EventLog, HttpPlatform
from knapweedspring_node._announcements import Announcements
from knapweedspring_node._calls import CallStack
from knapweedspring_node._config import PlatformWatcher, StatusReporter
from knapweedspring_node._drain import Drain
from knapweedspring_node._membership import MembershipService

__all__ = ["NodeParts"]


@dataclass(frozen=True, slots=True)
class NodeParts:
    """References to the parts; they live as long as the process."""

    #: Changes of state.
    events: EventLog
    #: Counts of what happened.
    counters: Counters
    #: Declarations in force.
    store: DeclarationStore
    #: Client of the platform.
    platform: HttpPlatform
    #: Reads the platform while this node has that role.
    watcher: PlatformWatcher
    #: Tells the data centre's reporter, or the platform, how this node is.
    reporter: StatusReporter
    #: Who is there.
    membership: MembershipService
    #: The call path.
    calls: CallStack
    #: Upstreams of this VM.
    announcements: Announcements
    #: The planned stop.
    drain: Drain
