"""Mesh layouts of the two firms of the users, with the firms' numbers of servers.

Each firm's numbers of slots and connections are divided by a scale factor of that firm.
As a result, the slots of the deepest service (the last of the call chain) limit the
load, and not the processors of the machine that runs the bench.
"""

from dataclasses import dataclass

from knapweedspring_core import RequestClass, RouteRule, Service
from knapweedspring_standins._caller_plan import RequestKind
from knapweedspring_standins._layout import (
    DeclaredObject,
    MeshLayout,
    ServiceLayout,
)

__all__ = ["FIRMS", "Firm"]

#: Service time of the deepest service, which is the slowest and has the fewest slots.
DEEP_SERVICE_MS = 200.0
#: Service time of the other services, without their child calls.
CALLING_SERVICE_MS = 40.0


@dataclass(frozen=True, slots=True)
class Firm:
    """A firm's mesh, its request mix and its capacity."""

    #: Data centres, services and declarations.
    layout: MeshLayout
    #: Kinds of requests that callers send, with their weights.
    kinds: tuple[RequestKind, ...]
    #: Successful requests a second that the slots of the deepest service allow.
    saturation_rate: float
    #: Name of the deepest service.
    deep_service: str
    #: Kind of request that overload must shed last.
    top_kind: str
    #: Divisor of the firm's own numbers of slots and connections.
    scale: int


def _boerewors() -> Firm:
    scale = 5
    services = (
        _service_layout("recipes", 4, 150, 1_000, scale, ("catalogue/stock",)),
        _service_layout("orders", 4, 150, 1_000, scale, ("recipes/blend",)),
        _service_layout("library", 4, 150, 1_000, scale, ("recipes/list",)),
        _service_layout("catalogue", 4, 30, 250, scale),
    )
    objects = (
        DeclaredObject("spice-order", RequestClass(100, False, 4_000, 2)),
        DeclaredObject("lookup", RequestClass(50, True, 2_000, 2)),
        DeclaredObject("bundle", RequestClass(20, True, 6_000, 2)),
        DeclaredObject("recipes", Service("lookup")),
        DeclaredObject("catalogue", Service("lookup")),
        DeclaredObject("library", Service("bundle")),
        DeclaredObject("orders", _service_with_rule("lookup", "spice-order", "/spice")),
    )
    kinds = (
        RequestKind("lookup", "recipes", "/braai", "lookup", 0.70),
        _non_repeatable_kind("spice-order", "orders", "/spice", 0.15),
        RequestKind(
            name="bundle",
            service="library",
            path="/bundle",
            request_class="bundle",
            weight=0.15,
            n_echo_bytes=50_000,
            repeats_with_id=True,
        ),
    )
    layout = MeshLayout(
        firm="boerewors",
        data_centres=("johannesburg", "pretoria", "midrand", "vereeniging"),
        services=services,
        objects=objects,
        n_workers=128,
    )
    n_deep_slots = 4 * (30 // scale)
    rate = n_deep_slots / (DEEP_SERVICE_MS / 1_000)
    return Firm(layout, kinds, rate, "catalogue", "spice-order", scale)


def _pen_care() -> Firm:
    scale = 10
    services = (
        _service_layout("rota", 4, 300, 1_800, scale, ("survey/state",)),
        _service_layout("dispatch", 3, 400, 2_400, scale, ("rota/turn",)),
        _service_layout("survey", 3, 400, 2_400, scale, ("registry/pen",)),
        _service_layout("registry", 3, 60, 450, scale),
    )
    objects = (
        DeclaredObject("assignment", RequestClass(100, False, 4_000, 2)),
        DeclaredObject("rota-check", RequestClass(50, True, 2_000, 2)),
        DeclaredObject("survey-report", RequestClass(20, True, 4_000, 2)),
        DeclaredObject("rota", Service("rota-check")),
        DeclaredObject("registry", Service("rota-check")),
        DeclaredObject(
            "survey", _service_with_rule("rota-check", "survey-report", "/report")
        ),
        DeclaredObject(
            "dispatch", _service_with_rule("rota-check", "assignment", "/book")
        ),
    )
    kinds = (
        RequestKind("rota-check", "rota", "/turn", "rota-check", 0.70),
        _non_repeatable_kind("assignment", "dispatch", "/book", 0.15),
        RequestKind("survey-report", "survey", "/report", "survey-report", 0.15),
    )
    layout = MeshLayout(
        firm="pen-care",
        data_centres=("kingston", "montego-bay", "ocho-rios"),
        services=services,
        objects=objects,
        n_workers=128,
    )
    n_deep_slots = 3 * (60 // scale)
    rate = n_deep_slots / (DEEP_SERVICE_MS / 1_000)
    return Firm(layout, kinds, rate, "registry", "assignment", scale)


def _service_layout(
    name: str,
    n_servers: int,
    n_slots: int,
    n_connections: int,
    scale: int,
    calls: tuple[str, ...] = (),
) -> ServiceLayout:
    return ServiceLayout(
        name=name,
        n_servers=n_servers,
        n_slots=n_slots // scale,
        n_connections=n_connections // scale,
        service_ms=CALLING_SERVICE_MS if calls else DEEP_SERVICE_MS,
        calls=calls,
    )


def _service_with_rule(default_class: str, request_class: str, prefix: str) -> Service:
    return Service(default_class, (RouteRule(request_class, "*", prefix),))


def _non_repeatable_kind(
    name: str, service: str, path: str, weight: float
) -> RequestKind:
    return RequestKind(
        name=name,
        service=service,
        path=path,
        request_class=name,
        weight=weight,
        method="POST",
        repeatable=False,
        n_body_bytes=200,
        repeats_with_id=True,
    )


#: The firms by name.
FIRMS: dict[str, Firm] = {"boerewors": _boerewors(), "pen-care": _pen_care()}
