"""Declarations: the versioned objects with which operators configure the mesh.

Whether an object is valid depends on the content of this object alone. Every node
therefore comes to the same result, whichever other objects the node has received.
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any, TypeAlias

import msgspec
from result import Err, Ok, Result

from knapweedspring_core._errors import DeclarationError
from knapweedspring_core._unknown_fields import first_unknown_field

__all__ = [
    "DECLARATION_TYPES",
    "Declaration",
    "Intent",
    "ObjectKey",
    "ObjectRecord",
    "Policy",
    "PolicyMode",
    "RequestClass",
    "RouteRule",
    "Service",
    "UpstreamIntent",
    "parse_declaration",
]

MAX_DEADLINE_MS = 600_000
#: Highest valid ``retry_budget``, in attempts beyond the first.
MAX_RETRY_BUDGET = 100


class Intent(StrEnum):
    """State of an upstream that an operator declares."""

    JOINING = "joining"
    LEAVING = "leaving"


class PolicyMode(StrEnum):
    """Whether nodes apply overload control to calls."""

    PROTECT = "protect"
    PASSTHROUGH = "passthrough"


@dataclass(frozen=True, slots=True)
class RouteRule:
    """Assigns a request class to matching calls of a service."""

    #: Name of the request class that matching calls get.
    request_class: str
    #: HTTP method of matching calls, or ``*`` for any method.
    method: str = "*"
    #: Prefix of the path without its first segment, the name of the service: ``/new``
    #: matches ``/orders/new`` of the service ``orders``.
    path_prefix: str = "/"


@dataclass(frozen=True, slots=True)
class Service:
    """A service and how its calls are classified.

    A call gets the class of the first matching rule. If no rule matches, the call gets
    the class that the caller names, if that class is declared, and otherwise
    ``default_class``.
    """

    #: Name of the class of calls that match no rule and name no declared class.
    default_class: str
    #: Rules in order of precedence.
    rules: tuple[RouteRule, ...] = ()
    #: Whether a 503 answer of an upstream means that the request did not run.
    sheds_before_running: bool = False


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests: their priority, deadline and retry rules."""

    #: Priority from 0 to 1000; gates shed calls of a lower priority first.
    priority: int
    #: Whether the request may run more than once.
    repeatable: bool = True
    #: Time that a root request may take, in ms, if the caller sends no deadline.
    deadline_ms: int = 2_000
    #: Number of retries that a root request and all its child calls may make in total.
    retry_budget: int = 2


@dataclass(frozen=True, slots=True)
class UpstreamIntent:
    """Intent for the upstream of one node; the object is named after the node."""

    #: Whether the upstream is to join or to leave.
    intent: Intent
    #: Longest time, in ms, that a stopping node waits for calls in flight and for
    #: tickets that can still be used.
    stop_deadline_ms: int = 30_000


@dataclass(frozen=True, slots=True)
class Policy:
    """Mesh-wide behaviour; only the object named ``mesh`` is in force."""

    #: Whether overload control is on.
    mode: PolicyMode = PolicyMode.PROTECT


Declaration: TypeAlias = Service | RequestClass | UpstreamIntent | Policy

#: Data class of a declaration's content, by kind.
DECLARATION_TYPES: dict[str, type[Declaration]] = {
    "Service": Service,
    "RequestClass": RequestClass,
    "UpstreamIntent": UpstreamIntent,
    "Policy": Policy,
}


@dataclass(frozen=True, slots=True, order=True)
class ObjectKey:
    """Identity of an object on the platform."""

    #: Kind, such as ``RequestClass``.
    kind: str
    #: Name, unique within the kind.
    name: str

    def __str__(self) -> str:
        return f"{self.kind}/{self.name}"


@dataclass(frozen=True, slots=True)
class ObjectRecord:
    """One version of one object, as the platform stored it."""

    #: Identity of the object.
    key: ObjectKey
    #: Version of the platform after this write; each write of any object increases
    #: the platform's version.
    version: int
    #: Whether this version records a deletion.
    deleted: bool = False
    #: Name of the writer and id of the write. If the answer was lost, the writer reads
    #: the object back and recognises its write by this id.
    writer: str = ""
    #: JSON text of the content; empty for a deletion.
    content: str = ""


def parse_declaration(kind: str, content: str) -> Result[Declaration, DeclarationError]:
    """Parse and validate the content of a declaration.

    :param kind: a key of :data:`DECLARATION_TYPES`.
    :param content: JSON text of the declaration.
    :return: the declaration, or a :class:`DeclarationError` with the path of the
        invalid field and the advice for the operator.
    """
    declaration_type: Any = DECLARATION_TYPES.get(kind)
    if declaration_type is None:
        kinds = ", ".join(sorted(DECLARATION_TYPES))
        return Err(DeclarationError("$.kind", f"use one of {kinds}, not {kind!r}"))
    try:
        declaration = msgspec.json.decode(content, type=declaration_type)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Err(_decode_error(error))
    problem = _check_field_names(declaration, content) or _validate(declaration)
    if problem is not None:
        return Err(problem)
    return Ok(declaration)


def _decode_error(error: Exception) -> DeclarationError:
    message, _, path = str(error).partition(" - at `")
    return DeclarationError(path.rstrip("`") or "$", message)


def _check_field_names(
    declaration: Declaration, content: str
) -> DeclarationError | None:
    """Return an error for the first field of ``content`` that the data class lacks."""
    path = first_unknown_field(msgspec.json.decode(content), declaration)
    if path is None:
        return None
    return DeclarationError(path, "remove the field or correct its name")


def _validate(declaration: Declaration) -> DeclarationError | None:
    """Check the rules that types alone cannot express."""
    if isinstance(declaration, RequestClass):
        return _validate_request_class(declaration)
    if isinstance(declaration, Service):
        return _validate_service(declaration)
    if isinstance(declaration, UpstreamIntent) and declaration.stop_deadline_ms < 0:
        return DeclarationError("$.stop_deadline_ms", "write 0 or more milliseconds")
    return None


def _validate_request_class(declaration: RequestClass) -> DeclarationError | None:
    if not 1 <= declaration.deadline_ms <= MAX_DEADLINE_MS:
        advice = f"write milliseconds from 1 to {MAX_DEADLINE_MS}"
        return DeclarationError("$.deadline_ms", advice)
    if not 0 <= declaration.retry_budget <= MAX_RETRY_BUDGET:
        advice = f"write a number of attempts from 0 to {MAX_RETRY_BUDGET}"
        return DeclarationError("$.retry_budget", advice)
    if not 0 <= declaration.priority <= 1_000:
        return DeclarationError("$.priority", "write a number from 0 to 1000")
    return None


def _validate_service(declaration: Service) -> DeclarationError | None:
    if not declaration.default_class:
        return DeclarationError("$.default_class", "name a RequestClass")
    for index, rule in enumerate(declaration.rules):
        if not rule.path_prefix.startswith("/"):
            path = f"$.rules[{index}].path_prefix"
            return DeclarationError(path, "begin the prefix with '/'")
        if not rule.request_class:
            path = f"$.rules[{index}].request_class"
            return DeclarationError(path, "name a RequestClass")
    return None
