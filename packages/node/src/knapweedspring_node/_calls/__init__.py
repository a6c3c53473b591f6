"""The call path of a node: admission, routing, retries, tickets."""

from knapweedspring_node._calls._call_path import CallPath, CallPathSettings
from knapweedspring_node._calls._revocation import PeerRevoker, Revoker
from knapweedspring_node._calls._server import CallServer, ServerLimits
from knapweedspring_node._calls._upstreams import LocalUpstream
from knapweedspring_node._calls._workers import WorkerGuard

__all__ = [
    "CallPathSettings",
    "CallServer",
    "CallPath",
    "LocalUpstream",
    "PeerRevoker",
    "Revoker",
    "ServerLimits",
    "WorkerGuard",
]
