"""Declarations, platform client, events and metrics, shared by all programs."""

from knapweedspring_core._call_pacer import CallPacer
from knapweedspring_core._calls import (
    Header,
    Outcome,
    Reason,
    Refusal,
)
from knapweedspring_core._codec import (
    decode,
    encode,
)
from knapweedspring_core._contacts import (
    CONTACTS_KIND,
    Contact,
    Contacts,
    parse_contacts,
)
from knapweedspring_core._declarations import (
    DECLARATION_TYPES,
    Declaration,
    Intent,
    ObjectKey,
    ObjectRecord,
    Policy,
    PolicyMode,
    RequestClass,
    RouteRule,
    Service,
    UpstreamIntent,
    parse_declaration,
)
from knapweedspring_core._errors import (
    CodecError,
    DeclarationError,
    PlatformConflict,
    PlatformError,
    PlatformRefused,
    PlatformUnavailable,
    PlatformVersionTooOld,
    SettingsError,
)
from knapweedspring_core._events import (
    Event,
    EventLog,
    HybridClock,
    Stamp,
)
from knapweedspring_core._members import (
    AnnouncedUpstream,
    Member,
    MembershipView,
    MemberState,
    StaticMembershipView,
    UpstreamState,
)
from knapweedspring_core._metrics import (
    Counters,
    MetricsPage,
)
from knapweedspring_core._platform import (
    HttpPlatform,
    ObjectChanges,
    Platform,
)
from knapweedspring_core._rate import TokenBucket
from knapweedspring_core._settings import (
    load_settings,
    parse_settings,
)
from knapweedspring_core._status import (
    BudgetUse,
    DeclarationStatus,
    EventsPage,
    Explanation,
    GateStatus,
    MembersPage,
    PageProblem,
    StatusPage,
)
from knapweedspring_core._status_objects import (
    STATUS_KIND,
    ContentCopy,
    DataCentreStatus,
    DeclarationRollout,
    DrainStatus,
    ReporterStatus,
    RolloutState,
    ServiceShedding,
    parse_status,
)
from knapweedspring_core._store import (
    CHECKPOINT_KEY,
    DeclarationState,
    DeclarationStore,
    InvalidObject,
    declaration_key,
)
from knapweedspring_core._supervisor import (
    Child,
    Supervisor,
    ThreadChild,
)
from knapweedspring_core._timer import (
    Subscription,
    TimerService,
)
from knapweedspring_core._writes import (
    ResolvingWriter,
    WriteConflict,
    WriteError,
    WriteOutcomeUnknown,
)

__all__ = [
    "CHECKPOINT_KEY",
    "AnnouncedUpstream",
    "BudgetUse",
    "CONTACTS_KIND",
    "ObjectChanges",
    "CallPacer",
    "Child",
    "CodecError",
    "Contact",
    "Contacts",
    "ContentCopy",
    "Counters",
    "DECLARATION_TYPES",
    "DataCentreStatus",
    "Declaration",
    "DeclarationError",
    "DeclarationRollout",
    "DeclarationStatus",
    "DeclarationStore",
    "DrainStatus",
    "Event",
    "EventLog",
    "EventsPage",
    "Explanation",
    "StaticMembershipView",
    "RolloutState",
    "GateStatus",
    "Header",
    "DeclarationState",
    "HttpPlatform",
    "HybridClock",
    "Intent",
    "InvalidObject",
    "Member",
    "MemberState",
    "MembersPage",
    "MembershipView",
    "MetricsPage",
    "ObjectKey",
    "ObjectRecord",
    "Outcome",
    "PageProblem",
    "Platform",
    "PlatformConflict",
    "PlatformError",
    "PlatformRefused",
    "PlatformUnavailable",
    "PlatformVersionTooOld",
    "Policy",
    "PolicyMode",
    "Reason",
    "Refusal",
    "ReporterStatus",
    "RequestClass",
    "ResolvingWriter",
    "RouteRule",
    "STATUS_KIND",
    "Service",
    "ServiceShedding",
    "SettingsError",
    "Stamp",
    "StatusPage",
    "Subscription",
    "Supervisor",
    "ThreadChild",
    "TimerService",
    "TokenBucket",
    "UpstreamIntent",
    "UpstreamState",
    "WriteConflict",
    "WriteError",
    "WriteOutcomeUnknown",
    "declaration_key",
    "decode",
    "encode",
    "load_settings",
    "parse_contacts",
    "parse_declaration",
    "parse_settings",
    "parse_status",
]
