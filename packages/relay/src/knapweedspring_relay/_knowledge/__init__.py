"""What a node knows of its deployment: configuration and directory of the gates.

One node of each data centre watches the store; the others follow it over connections
between nodes. :class:`Knowledge` combines the parts; the other names are the types that
the rest of the package uses.
"""

from knapweedspring_relay._knowledge._declared_state import DeclaredState
from knapweedspring_relay._knowledge._directory import (
    Directory,
    DirectorySnapshot,
    GateEntry,
    SkippedEntry,
    UpstreamState,
)
from knapweedspring_relay._knowledge._entry_rules import (
    problem_of_entry,
    problem_of_upstream,
)
from knapweedspring_relay._knowledge._followers import FollowHandler
from knapweedspring_relay._knowledge._knowledge import Knowledge
from knapweedspring_relay._knowledge._object_store import (
    ConfigurationRead,
    DeploymentStore,
    DirectoryChanges,
    EntryRecord,
    StoreConflict,
    StoreError,
    StoreHistoryGone,
    StoreUnavailable,
)
from knapweedspring_relay._knowledge._peer_pages import ControlHandler, PeerPageHandler
from knapweedspring_relay._knowledge._position import ORIGIN, StorePosition
from knapweedspring_relay._knowledge._source_selector import SourceSelector

__all__ = [
    "ConfigurationRead",
    "ControlHandler",
    "DeclaredState",
    "DeploymentStore",
    "Directory",
    "DirectoryChanges",
    "DirectorySnapshot",
    "EntryRecord",
    "FollowHandler",
    "GateEntry",
    "Knowledge",
    "ORIGIN",
    "PeerPageHandler",
    "SkippedEntry",
    "SourceSelector",
    "StoreConflict",
    "StoreError",
    "StoreHistoryGone",
    "StorePosition",
    "StoreUnavailable",
    "UpstreamState",
    "problem_of_entry",
    "problem_of_upstream",
]
