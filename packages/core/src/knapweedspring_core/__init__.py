"""Parts that knapweedspring's programs share."""

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
    FixedView,
    Member,
    MembershipView,
    MemberState,
    UpstreamState,
)
from knapweedspring_core._metrics import (
    Counters,
    MetricsPage,
)
from knapweedspring_core._platform import (
    Changes,
    HttpPlatform,
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
    DataCentreStatus,
    DeclarationForce,
    DrainStatus,
    Force,
    ReporterPart,
    ServiceLevel,
    parse_status,
)
from knapweedspring_core._store import (
    CHECKPOINT_KEY,
    DeclarationStore,
    HeldObject,
    InvalidObject,
    declared_key,
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
    ResolvedWriter,
    WriteConflict,
    WriteError,
    WriteUnsure,
)

__all__ = [
    "CHECKPOINT_KEY",
    "AnnouncedUpstream",
    "BudgetUse",
    "CONTACTS_KIND",
    "Changes",
    "Child",
    "CodecError",
    "Contact",
    "Contacts",
    "Counters",
    "DECLARATION_TYPES",
    "DataCentreStatus",
    "Declaration",
    "DeclarationError",
    "DeclarationForce",
    "DeclarationStatus",
    "DeclarationStore",
    "DrainStatus",
    "Event",
    "EventLog",
    "EventsPage",
    "Explanation",
    "FixedView",
    "Force",
    "GateStatus",
    "Header",
    "HeldObject",
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
    "ReporterPart",
    "RequestClass",
    "ResolvedWriter",
    "RouteRule",
    "STATUS_KIND",
    "Service",
    "ServiceLevel",
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
    "WriteUnsure",
    "declared_key",
    "decode",
    "encode",
    "load_settings",
    "parse_contacts",
    "parse_declaration",
    "parse_settings",
    "parse_status",
]
