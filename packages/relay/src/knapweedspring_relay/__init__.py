"""The node for deployments that keep their state in an object store.

Each process runs one event loop. The entry accepts callers' requests and routes them to
gates, the gate admits calls to the upstream beside the node, and the directory of gates
and the configuration are synchronised with the store. An adapter translates the
protocols of a deployment.
"""

from knapweedspring_relay._adapter import DeploymentAdapter, HeartbeatReceiver
from knapweedspring_relay._answer import Answer
from knapweedspring_relay._configuration import (
    CallKind,
    CallLimits,
    Configuration,
    Destination,
    Quota,
    Route,
    Service,
    Workspace,
)
from knapweedspring_relay._errors import CallError
from knapweedspring_relay._headers import CallHeaders
from knapweedspring_relay._http_client import ConnectionPool, ConnectionSettings
from knapweedspring_relay._http_server import Exchange, RequestHandler
from knapweedspring_relay._knowledge import (
    ORIGIN,
    ConfigurationRead,
    DeploymentStore,
    DirectoryChanges,
    DirectorySnapshot,
    EntryRecord,
    GateEntry,
    SkippedEntry,
    StoreConflict,
    StoreError,
    StoreHistoryGone,
    StorePosition,
    StoreUnavailable,
    UpstreamState,
    problem_of_entry,
)
from knapweedspring_relay._local_upstream import (
    Heartbeat,
    HeartbeatVerdict,
    problem_of_heartbeat,
)
from knapweedspring_relay._logs import LineBuffer
from knapweedspring_relay._messages import encode_request
from knapweedspring_relay._numbers import parse_decimal
from knapweedspring_relay._relay import Relay
from knapweedspring_relay._settings import (
    RelaySettings,
    RetrySettings,
    ShutdownSettings,
    StoreSettings,
    VmSettings,
    WorkspaceSettings,
)
from knapweedspring_relay._workspace_keys import digest_key

__all__ = [
    "Answer",
    "CallError",
    "CallHeaders",
    "CallKind",
    "CallLimits",
    "Configuration",
    "ConfigurationRead",
    "ConnectionPool",
    "ConnectionSettings",
    "DeploymentAdapter",
    "DeploymentStore",
    "Destination",
    "DirectoryChanges",
    "DirectorySnapshot",
    "EntryRecord",
    "Exchange",
    "GateEntry",
    "Heartbeat",
    "HeartbeatReceiver",
    "HeartbeatVerdict",
    "LineBuffer",
    "ORIGIN",
    "Quota",
    "Relay",
    "RelaySettings",
    "RequestHandler",
    "RetrySettings",
    "Route",
    "Service",
    "ShutdownSettings",
    "SkippedEntry",
    "StoreConflict",
    "StoreError",
    "StoreHistoryGone",
    "StorePosition",
    "StoreSettings",
    "StoreUnavailable",
    "UpstreamState",
    "VmSettings",
    "Workspace",
    "WorkspaceSettings",
    "digest_key",
    "encode_request",
    "parse_decimal",
    "problem_of_entry",
    "problem_of_heartbeat",
]
