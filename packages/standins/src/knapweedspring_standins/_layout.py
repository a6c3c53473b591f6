"""What a mesh of real processes consists of."""

from dataclasses import dataclass

from knapweedspring_core import Declaration

__all__ = ["DeclaredObject", "MeshLayout", "NodeFile", "ServiceLayout"]

LOOPBACK_ANY_PORT = "127.0.0.1:0"


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
    #: Address that callers and nodes use; empty for the address itself.
    advertised_call_address: str = ""
    #: Control address that nodes use; empty for the address itself.
    advertised_control_address: str = ""
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
    #: Seed of the upstreams' service times and of the proxies.
    seed: int = 1
    #: Whether nodes reach each other through proxies, so that data centres
    #: can be cut off from each other.
    partitionable: bool = False
