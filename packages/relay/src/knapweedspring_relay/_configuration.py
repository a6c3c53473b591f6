"""Declared routes, services and limits, and the look-up of a request's route."""

from dataclasses import dataclass
from enum import StrEnum

__all__ = [
    "CallKind",
    "CallLimits",
    "Configuration",
    "Destination",
    "Route",
    "RouteTable",
    "Service",
]


class CallKind(StrEnum):
    """What may be repeated."""

    #: May run more than once.
    IDEMPOTENT = "idempotent"
    #: Runs at most once for each request id.
    NON_IDEMPOTENT = "non-idempotent"
    #: Large answer; may run more than once.
    DOWNLOAD = "download"

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may be sent to a second server after it may have run."""
        return self is not CallKind.NON_IDEMPOTENT


@dataclass(frozen=True, slots=True)
class Destination:
    """One service that a route leads to."""

    #: Name of the service.
    service: str
    #: Share of the route's requests, relative to the other destinations.
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class Route:
    """Rule for the requests of one host and path prefix."""

    #: Name for logs.
    name: str
    #: Host that the request names, in lower case and without a port.
    host: str
    #: Prefix of the path; begins and ends with a slash.
    path_prefix: str
    #: What may be repeated.
    kind: CallKind
    #: Services and their shares; at least one.
    destinations: tuple[Destination, ...]
    #: Time within which an answer is of full use, in seconds.
    goal_s: float
    #: Longest time that a caller is kept waiting, in seconds.
    timeout_s: float
    #: Most servers that one request may be sent to.
    max_attempts: int
    #: Rank of the requests; 0 is the highest.
    priority: int


@dataclass(frozen=True, slots=True)
class Service:
    """A service that routes lead to."""

    #: Name.
    name: str
    #: Path of its health check.
    health_path: str
    #: Connections that one of its servers accepts.
    max_connections: int


@dataclass(frozen=True, slots=True)
class CallLimits:
    """What callers may send and how long they may take."""

    #: Longest head of a request, in bytes.
    header_bytes: int = 16_384
    #: Longest body of a request, in bytes.
    body_bytes: int = 67_108_864
    #: Time for the head of a request to arrive, in seconds.
    header_s: float = 10.0
    #: Time that a connection may stay without a request, in seconds.
    idle_s: float = 60.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """Everything that operators declared, as of one version."""

    #: Version; the greater one is the newer one.
    version: int
    #: All routes.
    routes: tuple[Route, ...]
    #: All services.
    services: tuple[Service, ...]
    #: Limits for callers.
    limits: CallLimits


class RouteTable:
    """Finds routes by host and path.

    :param configuration: the declarations.
    """

    def __init__(self, configuration: Configuration) -> None:
        self._configuration = configuration
        self._services = {service.name: service for service in configuration.services}
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in configuration.routes:
            self._by_host.setdefault(route.host, {})[route.path_prefix] = route

    @property
    def configuration(self) -> Configuration:
        """The declarations that the table was made from."""
        return self._configuration

    def service(self, name: str) -> Service | None:
        """Return a declared service."""
        return self._services.get(name)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path.

        :param host: value of the request's host field; a port is ignored.
        :param path: path of the request, a query included or not.
        """
        prefixes = self._by_host.get(host.rsplit(":", 1)[0].lower())
        if prefixes is None:
            return None
        end = path.find("?")
        end = len(path) if end < 0 else end
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None
