"""Identity of one run of an upstream."""

from typing import NamedTuple

__all__ = ["UpstreamProcess"]


class UpstreamProcess(NamedTuple):
    """Identity of one run of an upstream beside a node."""

    #: Name of the node.
    node: str
    #: Identity of the upstream's process.
    instance: str
    #: Start of the process, in milliseconds since the epoch.
    born_ms: int
