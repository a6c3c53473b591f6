"""Finds the request class of a call.

The first matching rule of the service decides, else the class that the caller's header
names, if it is declared, else the default class of the service.
"""

from dataclasses import dataclass
from urllib.parse import unquote

from result import Err, Ok, Result

from knapweedspring_core import (
    DeclarationStore,
    Header,
    Outcome,
    Reason,
    Refusal,
    RequestClass,
    RouteRule,
    Service,
)
from knapweedspring_node._calls._request import CallRequest

__all__ = ["ClassifiedCall", "classify"]


@dataclass(frozen=True, slots=True)
class ClassifiedCall:
    """Request class of a call."""

    #: Name of the class.
    class_name: str
    #: Declaration of the class.
    declaration: RequestClass


def classify(
    store: DeclarationStore, request: CallRequest
) -> Result[ClassifiedCall, Refusal]:
    """Find the class of a call.

    :param store: declarations in force.
    :param request: the call to classify.
    :return: the class, or a ``not-run`` refusal when the service or the class is
        not declared or this node has not received all declarations yet.
    """
    if not store.is_complete:
        detail = "this node has not heard all declarations yet"
        return Err(Refusal(Outcome.NOT_RUN, Reason.NOT_CONFIGURED, 1_000, detail))
    service = store.service(request.service)
    if service is None:
        detail = f"Service {request.service} is not declared"
        return Err(Refusal(Outcome.NOT_RUN, Reason.UNKNOWN_SERVICE, 0, detail))
    name = _class_name(service, store, request)
    declared = store.request_class(name)
    if declared is None:
        detail = f"RequestClass {name} is not declared"
        return Err(Refusal(Outcome.NOT_RUN, Reason.UNKNOWN_CLASS, 0, detail))
    return Ok(ClassifiedCall(name, declared))


def _class_name(service: Service, store: DeclarationStore, request: CallRequest) -> str:
    for rule in service.rules:
        if _matches(rule, request):
            return rule.request_class
    requested_class = request.kws_header(Header.REQUEST_CLASS)
    if requested_class and store.request_class(requested_class) is not None:
        return requested_class
    return service.default_class


def _matches(rule: RouteRule, request: CallRequest) -> bool:
    if rule.method not in ("*", request.method):
        return False
    # Percent-encoding of the path must not change the class.
    return unquote(request.target).startswith(rule.path_prefix)
