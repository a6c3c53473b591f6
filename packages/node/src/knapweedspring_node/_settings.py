"""Settings of a node process."""

from dataclasses import dataclass

__all__ = ["NodeSettings"]


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """What an operator writes in the node's settings file.

    Every address is ``ip:port``; port 0 takes a free one.
    """

    #: Name of the node, unique in the firm's mesh.
    node_id: str
    #: Name of the firm; nodes of other firms are not spoken to.
    firm: str
    #: Data centre that the VM stands in.
    data_centre: str
    #: Address for calls, from callers, from the own upstream and from nodes.
    call_address: str
    #: Address for control messages between nodes.
    control_address: str
    #: Address of the read-only pages and of the upstream's announcements.
    admin_address: str
    #: Address of the platform's object API.
    platform_address: str
    #: Secret shared by the firm's nodes, hex text of at least 16 bytes.
    mesh_key: str
    #: Control addresses to join by when the platform does not answer.
    seeds: tuple[str, ...] = ()
    #: Threads that serve calls; a waiting call occupies one. At least three times
    #: the slots of the upstream, or the gate runs fewer calls than it could.
    n_workers: int = 512
    #: Connections accepted at once on the call address.
    n_connections: int = 2_000
    #: Longest time a planned stop may take, in milliseconds.
    stop_deadline_ms: int = 30_000
    #: How long a ticket may be used, in milliseconds; less than the stop deadline,
    #: so that a planned stop can wait for the tickets that were not used.
    ticket_lifetime_ms: int = 25_000
    #: Address for calls that peers are told, when it differs from the bound one.
    advertised_call_address: str = ""
    #: Control address that peers are told, when it differs from the bound one.
    advertised_control_address: str = ""
    #: Allows control messages without encryption; only for loopback addresses.
    allow_plain_control: bool = False
    #: CURVE secret key of the firm's mesh (Z85 text); empty with plain control.
    curve_secret_key: str = ""
    #: CURVE public key of the firm's mesh (Z85 text).
    curve_public_key: str = ""
