"""A complete mesh of real processes: platform, nodes and upstreams."""

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

__all__ = ["Mesh", "MeshVm", "start_mesh"]

PAGE_TIMEOUT_S = 5.0
WRITER = "bench"


@dataclass(slots=True)
class MeshVm:
    """One VM with an upstream and the node beside it."""

    #: Settings file of the node.
    node_file: NodeFile
    #: Process of the node.
    node: Process
    #: Service of the upstream.
    service: ServiceLayout
    #: Process of the upstream; None before its start.
    upstream: Process | None = None
    #: Journal files of all upstreams that ran on this VM.
    journal_files: list[Path] = field(default_factory=list)
    #: Proxy in front of the node's call address; None without one.
    call_proxy: FaultProxy | None = None
    #: Proxy in front of the node's control address; None without one.
    control_proxy: FaultProxy | None = None

    @property
    def proxies(self) -> tuple[FaultProxy, ...]:
        """Proxies in front of the node."""
        candidates = (self.call_proxy, self.control_proxy)
        return tuple(proxy for proxy in candidates if proxy is not None)

    @property
    def call_address(self) -> str:
        """Call address of the node."""
        return self.node.ready.call_address

    @property
    def seed_address(self) -> str:
        """Control address through which other nodes join the mesh."""
        if self.control_proxy is not None:
            return self.control_proxy.address
        return self.node.ready.control_address

    @property
    def admin_address(self) -> str:
        """Admin address of the node, which serves its pages."""
        return self.node.ready.admin_address

    @property
    def upstream_address(self) -> str:
        """Address that the upstream serves on."""
        assert self.upstream is not None
        return self.upstream.ready.address


class Mesh:
    """A running mesh.

    :param layout: services, data centres and declarations of the mesh.
    :param group: group that starts and ends the processes.
    :param platform_address: address of the platform.
    """

    def __init__(
        self, layout: MeshLayout, group: ProcessGroup, platform_address: str
    ) -> None:
        self._layout = layout
        self._group = group
        self._port_owners = PortOwners()
        self._random_seeds = itertools.count(layout.seed)
        self._platform_address = platform_address
        self._platform_proxy = self._make_proxy()
        self._platform_proxy.set_target(platform_address)
        self._platform = HttpPlatform(platform_address)
        self._mesh_key = secrets.token_hex(32)
        self._vms: list[MeshVm] = []
        self._n_replaced = 0
        self._pool = urllib3.PoolManager(maxsize=4, num_pools=64, retries=False)

    @property
    def group(self) -> ProcessGroup:
        """Group that started the processes of the mesh."""
        return self._group

    @property
    def layout(self) -> MeshLayout:
        """Services, data centres and declarations of the mesh."""
        return self._layout

    @property
    def vms(self) -> tuple[MeshVm, ...]:
        """VMs of the mesh."""
        return tuple(self._vms)

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
        """Stop the proxies; the processes end with their group."""
        for vm in self._vms:
            for proxy in vm.proxies:
                proxy.stop()
        self._platform_proxy.stop()

    def vms_of(self, service: str) -> list[MeshVm]:
        """Return the VMs that run a service."""
        return [vm for vm in self._vms if vm.service.name == service]

    def declare(self, name: str, declaration: Declaration) -> ObjectRecord:
        """Write a declaration; after a version conflict, retry with the stored version.

        :param name: name of the declared object.
        :param declaration: content to store.
        :return: the stored record.
        :raises ProcessFailed: the platform refused the write or was unavailable.
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

    def start_vms(self, placements: list[tuple[str, ServiceLayout]]) -> list[MeshVm]:
        """Start VMs in parallel and wait until each process is ready.

        :param placements: data centre and service of each VM.
        :return: the started VMs.
        :raises ProcessFailed: a process did not get ready.
        """
        vms = [self._add_vm(*pair) for pair in placements]
        for vm in vms:
            self._connect_node(vm)
            vm.upstream = self._start_upstream(vm)
        for vm in vms:
            assert vm.upstream is not None
            _ = vm.upstream.ready
        self.write_entries()
        return vms

    def replace_upstream(self, vm: MeshVm) -> None:
        """Start a new upstream beside the node of a VM and wait until it is ready."""
        vm.upstream = self._start_upstream(vm)
        _ = vm.upstream.ready

    def replace_vm(self, vm: MeshVm) -> None:
        """Start a new node and upstream on a VM whose node and upstream have ended.

        As after the replacement of a VM, the new node has another id and other
        addresses, which callers find in the list of entry nodes.
        """
        self._n_replaced += 1
        vm.node_file = replace(
            vm.node_file,
            node_id=f"{vm.service.name}-r{self._n_replaced}",
            seeds=tuple(p.seed_address for p in self._vms if p is not vm)[:2],
        )
        vm.node = self._group.start_node(vm.node_file)
        self._connect_node(vm)
        self.replace_upstream(vm)
        self.write_entries()

    @property
    def entries_file(self) -> Path:
        """File that lists the entry nodes for callers."""
        return self._group.directory / "entries.json"

    def write_entries(self) -> None:
        """Write the call addresses of all nodes by data centre to the entries file."""
        entries = [
            [
                vm.call_address
                for vm in self._vms
                if vm.node_file.data_centre == data_centre
            ]
            for data_centre in self._layout.data_centres
        ]
        # The rename is atomic, so that no reader gets an incomplete list.
        new_file = self.entries_file.with_suffix(".new")
        new_file.write_bytes(msgspec_json.encode(entries))
        new_file.rename(self.entries_file)

    def partition(self, data_centre: str) -> None:
        """Partition a data centre from all others and from the platform."""
        others = [dc for dc in self._layout.data_centres if dc != data_centre]
        for vm in self._vms:
            # The proxies of a VM hold the traffic with processes on the other side.
            is_inside = vm.node_file.data_centre == data_centre
            for source in others if is_inside else [data_centre]:
                for proxy in vm.proxies:
                    proxy.set_faults(BlackHole(), source=source)
        self._platform_proxy.set_faults(BlackHole(), source=data_centre)

    def heal(self) -> None:
        """End all partitions."""
        proxies = [proxy for vm in self._vms for proxy in vm.proxies]
        for proxy in [*proxies, self._platform_proxy]:
            for source in self._layout.data_centres:
                proxy.set_faults(source=source)

    def set_faults(self, vm: MeshVm, faults: UpstreamFaults) -> None:
        """Replace the faults of an upstream.

        :raises ProcessFailed: the upstream refused the faults.
        """
        url = f"http://{vm.upstream_address}/-/fault"
        body = msgspec_json.encode(faults)
        answer = self._pool.request("POST", url, body=body, timeout=PAGE_TIMEOUT_S)
        if answer.status != 200:
            raise ProcessFailed(f"faults were refused: {answer.data!r}")

    def journals(self) -> list[JournalPage]:
        """Read the journals of all upstreams, including those that ended."""
        files = [file for vm in self._vms for file in vm.journal_files]
        return [read_journal(file) for file in files]

    def node_page(self, vm: MeshVm, page: str) -> object:
        """Read a JSON page of a node.

        :param page: path of the page.
        :return: the page; None when the node is unreachable or answers an error.
        """
        url = f"http://{vm.admin_address}{page}"
        try:
            answer = self._pool.request("GET", url, timeout=PAGE_TIMEOUT_S)
        except (urllib3.exceptions.HTTPError, OSError):
            return None
        return answer.json() if answer.status == 200 else None

    def wait_until_serving(self, timeout_s: float = 30.0) -> bool:
        """Wait until each node answers a call for each service.

        :param timeout_s: longest wait for each node.
        :return: whether all nodes answered before their timeout.
        """
        return all(
            poll_until(functools.partial(self._serves_all, vm), timeout_s)
            for vm in self._vms
        )

    def _serves_all(self, vm: MeshVm) -> bool:
        return all(self._serves(vm, service.name) for service in self._layout.services)

    def _serves(self, vm: MeshVm, service: str) -> bool:
        url = f"http://{vm.call_address}/{service}/-/health"
        try:
            answer = self._pool.request("GET", url, timeout=PAGE_TIMEOUT_S)
        except (urllib3.exceptions.HTTPError, OSError):
            return False
        return answer.status == 200

    def _add_vm(self, data_centre: str, service: ServiceLayout) -> MeshVm:
        """Add a VM and start its node; the upstream starts once the node is ready."""
        n_existing = len(self.vms_of(service.name))
        file = NodeFile(
            node_id=f"{service.name}-{n_existing + 1}",
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
        vm = MeshVm(
            node_file=file,
            node=self._group.start_node(file),
            service=service,
            call_proxy=call_proxy,
            control_proxy=control_proxy,
        )
        self._vms.append(vm)
        return vm

    def _make_proxy(self) -> FaultProxy:
        proxy = FaultProxy("", next(self._random_seeds), self._port_owners.owner_of)
        proxy.start()
        return proxy

    def _connect_node(self, vm: MeshVm) -> None:
        """Register the node's process as a source, and set its proxies' targets."""
        ready = vm.node.ready
        self._port_owners.add(vm.node.pid, vm.node_file.data_centre)
        if vm.call_proxy is not None:
            vm.call_proxy.set_target(ready.call_address)
        if vm.control_proxy is not None:
            vm.control_proxy.set_target(ready.control_address)

    def _seed_addresses(self) -> tuple[str, ...]:
        return tuple(vm.seed_address for vm in self._vms[:1])

    def _start_upstream(self, vm: MeshVm) -> Process:
        service = vm.service
        name = f"upstream-{vm.node_file.node_id}-{len(vm.journal_files)}"
        journal_file = self._group.directory / f"{name}.journal"
        journal_file.touch()
        vm.journal_files.append(journal_file)
        arguments = [
            "upstream",
            f"--service={service.name}",
            f"--node-admin={vm.admin_address}",
            f"--node-calls={vm.call_address}",
            f"--slots={service.n_slots}",
            f"--connections={service.n_connections}",
            f"--service-ms={service.service_ms}",
            f"--seed={next(self._random_seeds)}",
            f"--journal-file={journal_file}",
            *(f"--calls={call}" for call in service.calls),
            *service.options,
        ]
        return self._group.start_standin(name, arguments)


def start_mesh(layout: MeshLayout, group: ProcessGroup) -> Mesh:
    """Start a platform, write the declarations, then start nodes and upstreams.

    :param layout: services, data centres and declarations of the mesh.
    :param group: group that starts and ends the processes.
    :return: the running mesh.
    :raises ProcessFailed: a process did not get ready.
    """
    platform = group.start_standin("platform", ["platform", "--port=0"])
    mesh = Mesh(layout, group, platform.ready.address)
    for declared in layout.objects:
        mesh.declare(declared.name, declared.declaration)
    placements = []
    for service in layout.services:
        for index in range(service.n_servers):
            data_centre = layout.data_centres[index % len(layout.data_centres)]
            placements.append((data_centre, service))
    mesh.start_vms(placements[:1])
    mesh.start_vms(placements[1:])
    return mesh
