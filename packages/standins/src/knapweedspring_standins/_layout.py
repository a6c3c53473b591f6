"""Layout of a mesh of real processes: nodes, services and declarations."""

from dataclasses import dataclass

from knapweedspring_core import Declaration

__all__ = ["DeclaredObject", "MeshLayout", "NodeFile", "ServiceLayout"]

LOOPBACK_ANY_PORT = "127.0.0.1:0"


@dataclass(frozen=True, slots=True)
class NodeFile:
    """Settings file of one node."""

    #: Id of the node.
    node_id: str
    #: Firm that the mesh belongs to.
    firm: str
    #: Data centre of the node.
    data_centre: str
    #: Address of the platform, or of a proxy in front of it.
    platform_address: str
    #: Shared secret of the firm's nodes, as hexadecimal text.
    mesh_key: str
    #: Control addresses of the members through which the node joins the mesh.
    seeds: tuple[str, ...] = ()
    #: Number of threads that handle calls.
    n_workers: int = 64
    #: Address that the node listens on for calls.
    call_address: str = LOOPBACK_ANY_PORT
    #: Address that the node listens on for control messages.
    control_address: str = LOOPBACK_ANY_PORT
    #: Address that the node serves its admin pages on.
    admin_address: str = LOOPBACK_ANY_PORT
    #: Call address announced to callers and nodes; empty for ``call_address``.
    advertised_call_address: str = ""
    #: Control address announced to nodes; empty for ``control_address``.
    advertised_control_address: str = ""
    #: Whether control messages on loopback are sent unencrypted.
    allow_plain_control: bool = True


@dataclass(frozen=True, slots=True)
class ServiceLayout:
    """One service and the servers that run it."""

    #: Name of the service.
    name: str
    #: Number of servers, distributed over the data centres in turn.
    n_servers: int
    #: Number of slots of each server.
    n_slots: int
    #: Number of connections that each server accepts.
    n_connections: int
    #: Service time without child calls, in ms.
    service_ms: float
    #: Child calls, as ``[/prefix=]service/path``.
    calls: tuple[str, ...] = ()
    #: Further arguments of the upstream's command line.
    options: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class DeclaredObject:
    """A declaration and the name of its object."""

    #: Name of the object.
    name: str
    #: Content of the object.
    declaration: Declaration


@dataclass(frozen=True, slots=True)
class MeshLayout:
    """Data centres, services and declarations of a mesh."""

    #: Name of the firm.
    firm: str
    #: Names of the data centres.
    data_centres: tuple[str, ...]
    #: Services and their servers.
    services: tuple[ServiceLayout, ...]
    #: Objects written to the platform before the nodes start.
    objects: tuple[DeclaredObject, ...]
    #: Number of threads on each node that handle calls.
    n_workers: int = 64
    #: Seed of the upstreams' service times and of the proxies.
    seed: int = 1
    #: Whether nodes reach each other through proxies, so that data centres
    #: can be partitioned.
    partitionable: bool = False
