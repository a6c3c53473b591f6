"""A whole mesh as real processes: platform, nodes, upstreams."""

import functools
import itertools
import secrets
from dataclasses import dataclass, field
from pathlib import Path

import urllib3
from msgspec import json as msgspec_json
from result import Err

from knapweedspring_core import (
    Declaration,
    HttpPlatform,
    ObjectKey,
    ObjectRecord,
    PlatformConflict,
)
from knapweedspring_standins._journal import JournalPage, read_journal
from knapweedspring_standins._processes import (
    Process,
    ProcessFailed,
    ProcessGroup,
    poll_until,
)
from knapweedspring_standins._upstream_settings import UpstreamFaults

__all__ = [
    "DeclaredObject",
    "Mesh",
    "MeshLayout",
    "NodeFile",
    "Place",
    "ServiceLayout",
    "start_mesh",
]

LOOPBACK_ANY_PORT = "127.0.0.1:0"
PAGE_TIMEOUT_S = 5.0
WRITER = "bench"


@dataclass(frozen=True, slots=True)
class NodeFile:
    """Settings file of one node."""

    #: Name of the node.
    node_id: str
    #: Firm that the mesh belongs to.
    firm: str
    #: Data centre of the node.
    data_centre: str
    #: Address of the platform, or of a proxy before it.
    platform_address: str
    #: Secret of the firm's nodes, hex text.
    mesh_key: str
    #: Control addresses to join by.
    seeds: tuple[str, ...] = ()
    #: Threads for calls.
    n_workers: int = 64
    #: Address for calls.
    call_address: str = LOOPBACK_ANY_PORT
    #: Address for control messages.
    control_address: str = LOOPBACK_ANY_PORT
    #: Address of the read-only pages.
    admin_address: str = LOOPBACK_ANY_PORT
    #: Control messages stay unencrypted on loopback.
    allow_plain_control: bool = True


@dataclass(frozen=True, slots=True)
class ServiceLayout:
    """One service and the servers that run it."""

    #: Name of the service.
    name: str
    #: Servers, dealt out to the data centres in turn.
    n_servers: int
    #: Slots of each server.
    n_slots: int
    #: Connections of each server.
    n_connections: int
    #: Service time besides child calls, in ms.
    service_ms: float
    #: Child calls, as ``[/prefix=]service/path``.
    calls: tuple[str, ...] = ()
    #: Further arguments of the upstream's command line.
    options: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class DeclaredObject:
    """A declaration and its name."""

    #: Name of the object.
    name: str
    #: Content.
    declaration: Declaration


@dataclass(frozen=True, slots=True)
class MeshLayout:
    """What a mesh consists of."""

    #: Name of the firm.
    firm: str
    #: Names of the data centres.
    data_centres: tuple[str, ...]
    #: Services.
    services: tuple[ServiceLayout, ...]
    #: Objects written to the platform before the nodes start.
    objects: tuple[DeclaredObject, ...]
    #: Threads for calls on each node.
    n_workers: int = 64
    #: Seed of the upstreams' service times.
    seed: int = 1


@dataclass(slots=True)
class Place:
    """One VM: an upstream and the node beside it."""

    #: Settings file of the node.
    node_file: NodeFile
    #: The node.
    node: Process
    #: Service of the upstream.
    service: ServiceLayout
    #: The upstream; None before its start.
    upstream: Process | None = None
    #: Journal files of all upstreams that ran here.
    journal_files: list[Path] = field(default_factory=list)

    @property
    def call_address(self) -> str:
        """Where callers reach the node."""
        return self.node.ready.call_address

    @property
    def admin_address(self) -> str:
        """Where the node's pages are."""
        return self.node.ready.admin_address

    @property
    def upstream_address(self) -> str:
        """Where the upstream serves."""
        assert self.upstream is not None
        return self.upstream.ready.address


class Mesh:
    """A running mesh.

    :param layout: what it consists of.
    :param group: where its processes belong.
    :param platform_address: address of the platform.
    """

    def __init__(
        self, layout: MeshLayout, group: ProcessGroup, platform_address: str
    ) -> None:
        self._layout = layout
        self._group = group
        self._platform_address = platform_address
        self._platform = HttpPlatform(platform_address)
        self._mesh_key = secrets.token_hex(32)
        self._places: list[Place] = []
        self._seeds = itertools.count(layout.seed)
        self._pool = urllib3.PoolManager(maxsize=4, num_pools=64, retries=False)

    @property
    def group(self) -> ProcessGroup:
        """Processes of the mesh."""
        return self._group

    @property
    def layout(self) -> MeshLayout:
        """What the mesh consists of."""
        return self._layout

    @property
    def places(self) -> tuple[Place, ...]:
        """The VMs."""
        return tuple(self._places)

    @property
    def platform(self) -> HttpPlatform:
        """Client of the platform."""
        return self._platform

    @property
    def platform_address(self) -> str:
        """Address of the platform."""
        return self._platform_address

    def places_of(self, service: str) -> list[Place]:
        """VMs that run a service."""
        return [place for place in self._places if place.service.name == service]

    def declare(self, name: str, declaration: Declaration) -> ObjectRecord:
        """Write a declaration over whatever version is there.

        :raises ProcessFailed: the platform does not take it.
        """
        key = ObjectKey(type(declaration).__name__, name)
        content = msgspec_json.encode(declaration).decode()
        version = 0
        while True:
            answer = self._platform.put(key, content, WRITER, version)
            if not isinstance(answer, Err):
                return answer.ok_value
            if not isinstance(answer.err_value, PlatformConflict):
                raise ProcessFailed(f"{key} was not written: {answer.err_value}")
            version = answer.err_value.current_version

    def add_places(self, placed: list[tuple[str, ServiceLayout]]) -> list[Place]:
        """Start VMs together and wait until each process serves.

        :param placed: data centre and service of each VM.
        """
        places = [self._start_node(*pair) for pair in placed]
        for place in places:
            place.upstream = self._start_upstream(place)
        for place in places:
            assert place.upstream is not None
            _ = place.upstream.ready
        return places

    def replace_upstream(self, place: Place) -> None:
        """Start a new upstream beside the node of a VM."""
        place.upstream = self._start_upstream(place)
        _ = place.upstream.ready

    def set_faults(self, place: Place, faults: UpstreamFaults) -> None:
        """Replace the faults of an upstream."""
        url = f"http://{place.upstream_address}/-/fault"
        body = msgspec_json.encode(faults)
        answer = self._pool.request("POST", url, body=body, timeout=PAGE_TIMEOUT_S)
        if answer.status != 200:
            raise ProcessFailed(f"faults were refused: {answer.data!r}")

    def journals(self) -> list[JournalPage]:
        """Read the journals of all upstreams, also of those that ended."""
        files = [file for place in self._places for file in place.journal_files]
        return [read_journal(file) for file in files]

    def node_page(self, place: Place, page: str) -> object:
        """Read a JSON page of a node; None while it does not answer."""
        url = f"http://{place.admin_address}{page}"
        try:
            answer = self._pool.request("GET", url, timeout=PAGE_TIMEOUT_S)
        except (urllib3.exceptions.HTTPError, OSError):
            return None
        return answer.json() if answer.status == 200 else None

    def wait_served(self, timeout_s: float = 30.0) -> bool:
        """Wait until each node answers a call for each service."""
        return all(
            poll_until(functools.partial(self._serves_all, place), timeout_s)
            for place in self._places
        )

    def _serves_all(self, place: Place) -> bool:
        return all(
            self._serves(place, service.name) for service in self._layout.services
        )

    def _serves(self, place: Place, service: str) -> bool:
        url = f"http://{place.call_address}/{service}/-/health"
        try:
            answer = self._pool.request("GET", url, timeout=PAGE_TIMEOUT_S)
        except (urllib3.exceptions.HTTPError, OSError):
            return False
        return answer.status == 200

    def _start_node(self, data_centre: str, service: ServiceLayout) -> Place:
        n_before = len(self.places_of(service.name))
        file = NodeFile(
            node_id=f"{service.name}-{n_before + 1}",
            firm=self._layout.firm,
            data_centre=data_centre,
            platform_address=self._platform_address,
            mesh_key=self._mesh_key,
            seeds=self._seed_addresses(),
            n_workers=self._layout.n_workers,
        )
        place = Place(file, self._group.start_node(file), service)
        self._places.append(place)
        return place

    def _seed_addresses(self) -> tuple[str, ...]:
        return tuple(place.node.ready.control_address for place in self._places[:1])

    def _start_upstream(self, place: Place) -> Process:
        service = place.service
        name = f"upstream-{place.node_file.node_id}-{len(place.journal_files)}"
        journal_file = self._group.directory / f"{name}.journal"
        journal_file.touch()
        place.journal_files.append(journal_file)
        arguments = [
            "upstream",
            f"--service={service.name}",
            f"--node-admin={place.admin_address}",
            f"--node-calls={place.call_address}",
            f"--slots={service.n_slots}",
            f"--connections={service.n_connections}",
            f"--service-ms={service.service_ms}",
            f"--seed={next(self._seeds)}",
            f"--journal-file={journal_file}",
            *(f"--calls={call}" for call in service.calls),
            *service.options,
        ]
        return self._group.start_standin(name, arguments)


def start_mesh(layout: MeshLayout, group: ProcessGroup) -> Mesh:
    """Bring up platform, declarations, nodes and upstreams.

    :param layout: what the mesh consists of.
    :param group: where the processes belong.
    :raises ProcessFailed: a process did not get ready.
    """
    platform = group.start_standin("platform", ["platform", "--port=0"])
    mesh = Mesh(layout, group, platform.ready.address)
    for declared in layout.objects:
        mesh.declare(declared.name, declared.declaration)
    placed = []
    for service in layout.services:
        for index in range(service.n_servers):
            data_centre = layout.data_centres[index % len(layout.data_centres)]
            placed.append((data_centre, service))
    mesh.add_places(placed[:1])
    mesh.add_places(placed[1:])
    return mesh
