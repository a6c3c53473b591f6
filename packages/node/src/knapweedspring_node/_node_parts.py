"""Parts of a running node."""

from dataclasses import dataclass

from knapweedspring_core import Counters, DeclarationStore, EventLog, HttpPlatform
from knapweedspring_node._announcements import Announcements
from knapweedspring_node._calls import CallPath
from knapweedspring_node._config import PlatformWatcher, StatusReporter
from knapweedspring_node._drain import Drain
from knapweedspring_node._membership import MembershipService

__all__ = ["NodeParts"]


@dataclass(frozen=True, slots=True)
class NodeParts:
    """References to the parts of a node, which live as long as the process."""

    #: Event log of the node.
    events: EventLog
    #: Counters shown on the metrics page.
    counters: Counters
    #: Declarations and which versions are in force.
    store: DeclarationStore
    #: Client of the platform.
    platform: HttpPlatform
    #: Reads declarations from the platform while this node is a watcher.
    watcher: PlatformWatcher
    #: Reports the node's state to the data centre's reporter or the platform.
    reporter: StatusReporter
    #: Membership view of the mesh, and the messages between nodes.
    membership: MembershipService
    #: Handles the requests that the call server receives.
    calls: CallPath
    #: Announcements of the upstreams on this VM.
    announcements: Announcements
    #: Refuses new calls and waits for running ones before the node stops.
    drain: Drain
