"""Declared routes, services, workspaces and limits, and how they are looked up."""

from dataclasses import dataclass
from enum import StrEnum

__all__ = [
    "DEFAULT_WORKSPACE_PRIORITY",
    "CallKind",
    "CallLimits",
    "Configuration",
    "Destination",
    "Quota",
    "Route",
    "RouteTable",
    "Service",
    "Workspace",
]

#: Priority of requests that belong to no workspace; 0 is the highest.
DEFAULT_WORKSPACE_PRIORITY = 1


class CallKind(StrEnum):
    """Whether a request may run more than once."""

    #: The request may run more than once.
    IDEMPOTENT = "idempotent"
    #: The request runs at most once for each request id.
    NON_IDEMPOTENT = "non-idempotent"
    #: The request has a large answer and may run more than once.
    DOWNLOAD = "download"

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may be sent to a second upstream after it may have run."""
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
    #: Whether requests may run more than once.
    kind: CallKind
    #: Services and their weights; at least one.
    destinations: tuple[Destination, ...]
    #: Latency up to which an answer has its full value, in seconds.
    goal_s: float
    #: Longest time from the arrival of a request to its answer, in seconds.
    timeout_s: float
    #: Maximum number of upstreams that one request may be sent to.
    max_attempts: int
    #: Priority of the requests; 0 is the highest.
    priority: int
    #: Whether requests need no key of a workspace.
    is_anonymous: bool = False


@dataclass(frozen=True, slots=True)
class Service:
    """A service that routes lead to."""

    #: Name of the service.
    name: str
    #: Path of its health check.
    health_path: str
    #: Number of connections that each upstream of the service accepts.
    max_connections: int


@dataclass(frozen=True, slots=True)
class Quota:
    """Limit on the requests of a workspace, for all nodes together."""

    #: Sustained rate, in requests per second.
    per_s: float
    #: Number of requests that may exceed the sustained rate at once.
    burst: float


@dataclass(frozen=True, slots=True)
class Workspace:
    """A group of callers that share keys, a priority and a quota."""

    #: Name, which upstreams receive.
    name: str
    #: Digests of the keys; see ``digest_key``. The keys themselves are not kept.
    key_digests: tuple[bytes, ...]
    #: Priority of the requests, which has precedence over that of the route; 0 is the
    #: highest.
    priority: int = DEFAULT_WORKSPACE_PRIORITY
    #: Limit on the requests; None when there is none.
    quota: Quota | None = None


@dataclass(frozen=True, slots=True)
class CallLimits:
    """Limits on the size and the time of callers' requests."""

    #: Largest head of a request, in bytes; a larger one gets status 431.
    header_bytes: int = 16_384
    #: Largest body of a request, in bytes; a larger one gets status 413.
    body_bytes: int = 67_108_864
    #: Time within which the head of a request must arrive, in seconds; otherwise the
    #: request gets status 408.
    header_s: float = 10.0
    #: Time after which a connection without a request is closed, in seconds.
    idle_s: float = 60.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """All declarations of the operators in one version."""

    #: Version; a greater one is newer.
    version: int
    #: All routes.
    routes: tuple[Route, ...]
    #: All services.
    services: tuple[Service, ...]
    #: Limits for callers.
    limits: CallLimits
    #: All workspaces; when there is none, requests need no key.
    workspaces: tuple[Workspace, ...] = ()


class RouteTable:
    """Finds routes by host and path, and workspaces by name and key.

    :param configuration: the declarations to index.
    """

    def __init__(self, configuration: Configuration) -> None:
        self._configuration = configuration
        self._services = {service.name: service for service in configuration.services}
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in configuration.routes:
            self._by_host.setdefault(route.host, {})[route.path_prefix] = route
        self._workspaces = {w.name: w for w in configuration.workspaces}
        self._has_quotas = any(w.quota for w in configuration.workspaces)
        self._workspace_by_digest = {
            digest: workspace
            for workspace in configuration.workspaces
            for digest in workspace.key_digests
        }

    @property
    def configuration(self) -> Configuration:
        """The declarations that the table was made from."""
        return self._configuration

    @property
    def has_workspaces(self) -> bool:
        """Whether requests need the key of a workspace."""
        return bool(self._workspaces)

    @property
    def has_quotas(self) -> bool:
        """Whether the requests of a workspace are limited."""
        return self._has_quotas

    def workspace(self, name: str) -> Workspace | None:
        """Return a declared workspace; None when there is none of that name."""
        return self._workspaces.get(name)

    def workspace_of_key(self, digest: bytes) -> Workspace | None:
        """Return the workspace that holds a key; None when no workspace holds it.

        :param digest: digest of the key.
        """
        return self._workspace_by_digest.get(digest)

    def service(self, name: str) -> Service | None:
        """Return a declared service; None when there is none of that name."""
        return self._services.get(name)

    def match(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest matching path prefix, if any.

        :param host: value of the request's Host header; a port is ignored.
        :param path: path of the request, with or without a query.
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
