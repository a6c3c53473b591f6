"""A whole mesh as real processes: platform, nodes, upstreams."""

import functools
import itertools
import secrets
from dataclasses import dataclass, field, replace
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
from knapweedspring_standins._fault_proxy import FaultProxy
from knapweedspring_standins._faults import BlackHole
from knapweedspring_standins._journal import JournalPage, read_journal
from knapweedspring_standins._layout import MeshLayout, NodeFile, ServiceLayout
from knapweedspring_standins._port_owners import PortOwners
from knapweedspring_standins._processes import (
    Process,
    ProcessFailed,
    ProcessGroup,
    poll_until,
)
from knapweedspring_standins._upstream_settings import UpstreamFaults

__all__ = ["Mesh", "Place", "start_mesh"]

PAGE_TIMEOUT_S = 5.0
WRITER = "bench"


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
    #: Proxy before the node's call address; None without one.
    call_proxy: FaultProxy | None = None
    #: Proxy before the node's control address; None without one.
    control_proxy: FaultProxy | None = None

    @property
    def proxies(self) -> tuple[FaultProxy, ...]:
        """Proxies before the node."""
        both = (self.call_proxy, self.control_proxy)
        return tuple(proxy for proxy in both if proxy is not None)

    @property
    def call_address(self) -> str:
        """Where callers reach the node."""
        return self.node.ready.call_address

    @property
    def seed_address(self) -> str:
        """Control address that other nodes join by."""
        if self.control_proxy is not None:
            return self.control_proxy.address
        return self.node.ready.control_address

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
        self._owners = PortOwners()
        self._seeds = itertools.count(layout.seed)
        self._platform_address = platform_address
        self._platform_proxy = self._make_proxy()
        self._platform_proxy.set_target(platform_address)
        self._platform = HttpPlatform(platform_address)
        self._mesh_key = secrets.token_hex(32)
        self._places: list[Place] = []
        self._n_replaced = 0
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

    @property
    def platform_proxy(self) -> FaultProxy:
        """Proxy between the nodes and the platform."""
        return self._platform_proxy

    def close(self) -> None:
        """Stop the proxies; the group ends the processes."""
        for place in self._places:
            for proxy in place.proxies:
                proxy.stop()
        self._platform_proxy.stop()

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
            self._own(place)
            place.upstream = self._start_upstream(place)
        for place in places:
            assert place.upstream is not None
            _ = place.upstream.ready
        self.write_entries()
        return places

    def replace_upstream(self, place: Place) -> None:
        """Start a new upstream beside the node of a VM."""
        place.upstream = self._start_upstream(place)
        _ = place.upstream.ready

    def replace(self, place: Place) -> None:
        """Start a new node and upstream where both ended.

        The new node has another name and other addresses, as when a VM is
        replaced; callers learn of it by the list of entries.
        """
        self._n_replaced += 1
        place.node_file = replace(
            place.node_file,
            node_id=f"{place.service.name}-r{self._n_replaced}",
            seeds=tuple(p.seed_address for p in self._places if p is not place)[:2],
        )
        place.node = self._group.start_node(place.node_file)
        self._own(place)
        self.replace_upstream(place)
        self.write_entries()

    @property
    def entries_file(self) -> Path:
        """File that lists the entry nodes for callers."""
        return self._group.directory / "entries.json"

    def write_entries(self) -> None:
        """List the call addresses of all nodes by data centre."""
        entries = [
            [
                place.call_address
                for place in self._places
                if place.node_file.data_centre == data_centre
            ]
            for data_centre in self._layout.data_centres
        ]
        # Renaming lets readers see the old list or the new one, never a part.
        fresh = self.entries_file.with_suffix(".new")
        fresh.write_bytes(msgspec_json.encode(entries))
        fresh.rename(self.entries_file)

    def partition(self, data_centre: str) -> None:
        """Cut a data centre off from all others and from the platform."""
        others = [dc for dc in self._layout.data_centres if dc != data_centre]
        for place in self._places:
            inside = place.node_file.data_centre == data_centre
            for source in others if inside else [data_centre]:
                for proxy in place.proxies:
                    proxy.set_faults(BlackHole(), source=source)
        self._platform_proxy.set_faults(BlackHole(), source=data_centre)

    def heal(self) -> None:
        """End a partition."""
        proxies = [proxy for place in self._places for proxy in place.proxies]
        for proxy in [*proxies, self._platform_proxy]:
            for source in self._layout.data_centres:
                proxy.set_faults(source=source)

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
            platform_address=self._platform_proxy.address,
            mesh_key=self._mesh_key,
            seeds=self._seed_addresses(),
            n_workers=self._layout.n_workers,
        )
        call_proxy = control_proxy = None
        if self._layout.partitionable:
            call_proxy, control_proxy = self._make_proxy(), self._make_proxy()
            file = replace(
                file,
                advertised_call_address=call_proxy.address,
                advertised_control_address=control_proxy.address,
            )
        place = Place(
            node_file=file,
            node=self._group.start_node(file),
            service=service,
            call_proxy=call_proxy,
            control_proxy=control_proxy,
        )
        self._places.append(place)
        return place

    def _make_proxy(self) -> FaultProxy:
        proxy = FaultProxy("", next(self._seeds), self._owners.owner_of)
        proxy.start()
        return proxy

    def _own(self, place: Place) -> None:
        """Connect what belongs to a node that serves."""
        ready = place.node.ready
        self._owners.add(place.node.pid, place.node_file.data_centre)
        if place.call_proxy is not None:
            place.call_proxy.set_target(ready.call_address)
        if place.control_proxy is not None:
            place.control_proxy.set_target(ready.control_address)

    def _seed_addresses(self) -> tuple[str, ...]:
        return tuple(place.seed_address for place in self._places[:1])

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
