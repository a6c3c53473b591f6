"""Settings of a node process."""

from dataclasses import dataclass

__all__ = ["NodeSettings"]


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Content of the node's settings file.

    Every address is ``ip:port``; with port 0 a free port is bound.
    """

    #: Name of the node, unique in the firm's mesh.
    node_id: str
    #: Name of the firm; control messages of other firms' nodes are refused.
    firm: str
    #: Data centre of the VM.
    data_centre: str
    #: Address for calls from callers, from the VM's upstream and from other nodes.
    call_address: str
    #: Address for control messages between nodes.
    control_address: str
    #: Address of the admin pages, which also receive the announcements of upstreams
    #: and the reports of other nodes.
    admin_address: str
    #: Address of the platform's object API.
    platform_address: str
    #: Secret shared by the firm's nodes: hexadecimal text, at least 16 bytes.
    mesh_key: str
    #: Control addresses to join through, also while the platform does not answer.
    seeds: tuple[str, ...] = ()
    #: Threads that serve calls; a queued call occupies one. With fewer than three
    #: times the slots of the upstream, the gate may run fewer calls than it could.
    n_workers: int = 512
    #: Largest number of connections open at the same time on the call address.
    n_connections: int = 2_000
    #: Longest drain of a stopping node, in milliseconds, unless an
    #: ``UpstreamIntent`` declares another deadline.
    stop_deadline_ms: int = 30_000
    #: How long a ticket may be used, in milliseconds; less than the stop deadline,
    #: so that a drain can wait until unused tickets have expired.
    ticket_lifetime_ms: int = 25_000
    #: Call address published to peers; empty when it is the bound address.
    advertised_call_address: str = ""
    #: Control address published to peers; empty when it is the bound address.
    advertised_control_address: str = ""
    #: Allows control messages without encryption; only for loopback addresses.
    allow_plain_control: bool = False
    #: CURVE secret key of the firm's mesh (Z85 text); empty without encryption.
    curve_secret_key: str = ""
    #: CURVE public key of the firm's mesh (Z85 text); empty without encryption.
    curve_public_key: str = ""
