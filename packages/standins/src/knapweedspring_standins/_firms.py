"""The users' two firms as mesh layouts, at their stated numbers of servers.

Slots and connections are scaled down by one factor a firm, so that the slots
of the deepest service and not this machine's processors bound the work.
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

#: The deepest service takes longest and has the fewest slots.
DEEP_MS = 200.0
OWN_MS = 40.0


@dataclass(frozen=True, slots=True)
class Firm:
    """A firm's mesh, its request mix and its capacity."""

    #: Processes and declarations.
    layout: MeshLayout
    #: Request mix.
    kinds: tuple[RequestKind, ...]
    #: Whole requests a second that the deepest service's slots allow.
    saturation_rate: float
    #: Name of the deepest service.
    deep_service: str
    #: Kind of request that must be shed last.
    top_kind: str
    #: Divisor of the stated slots and connections.
    scale: int


def _boerewors() -> Firm:
    scale = 5
    services = (
        _service("recipes", 4, 150, 1_000, scale, ("catalogue/stock",)),
        _service("orders", 4, 150, 1_000, scale, ("recipes/blend",)),
        _service("library", 4, 150, 1_000, scale, ("recipes/list",)),
        _service("catalogue", 4, 30, 250, scale),
    )
    objects = (
        DeclaredObject("spice-order", RequestClass(100, False, 4_000, 2)),
        DeclaredObject("lookup", RequestClass(50, True, 2_000, 2)),
        DeclaredObject("bundle", RequestClass(20, True, 6_000, 2)),
        DeclaredObject("recipes", Service("lookup")),
        DeclaredObject("catalogue", Service("lookup")),
        DeclaredObject("library", Service("bundle")),
        DeclaredObject("orders", _with_rule("lookup", "spice-order", "/spice")),
    )
    kinds = (
        RequestKind("lookup", "recipes", "/braai", "lookup", 0.70),
        _exactly_once("spice-order", "orders", "/spice", 0.15),
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
    rate = n_deep_slots / (DEEP_MS / 1_000)
    return Firm(layout, kinds, rate, "catalogue", "spice-order", scale)


def _pen_care() -> Firm:
    scale = 10
    services = (
        _service("rota", 4, 300, 1_800, scale, ("survey/state",)),
        _service("dispatch", 3, 400, 2_400, scale, ("rota/turn",)),
        _service("survey", 3, 400, 2_400, scale, ("registry/pen",)),
        _service("registry", 3, 60, 450, scale),
    )
    objects = (
        DeclaredObject("assignment", RequestClass(100, False, 4_000, 2)),
        DeclaredObject("rota-check", RequestClass(50, True, 2_000, 2)),
        DeclaredObject("survey-report", RequestClass(20, True, 4_000, 2)),
        DeclaredObject("rota", Service("rota-check")),
        DeclaredObject("registry", Service("rota-check")),
        DeclaredObject("survey", _with_rule("rota-check", "survey-report", "/report")),
        DeclaredObject("dispatch", _with_rule("rota-check", "assignment", "/book")),
    )
    kinds = (
        RequestKind("rota-check", "rota", "/turn", "rota-check", 0.70),
        _exactly_once("assignment", "dispatch", "/book", 0.15),
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
    rate = n_deep_slots / (DEEP_MS / 1_000)
    return Firm(layout, kinds, rate, "registry", "assignment", scale)


def _service(
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
        service_ms=OWN_MS if calls else DEEP_MS,
        calls=calls,
    )


def _with_rule(default: str, request_class: str, prefix: str) -> Service:
    return Service(default, (RouteRule(request_class, "*", prefix),))


def _exactly_once(name: str, service: str, path: str, weight: float) -> RequestKind:
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
