"""The call path of a node: admission, routing, retries, tickets."""

from knapweedspring_node._calls._revocation import PeerRevoker, Revoker
from knapweedspring_node._calls._server import CallServer
from knapweedspring_node._calls._stack import CallPathSettings, CallStack

__all__ = ["CallPathSettings", "CallServer", "CallStack", "PeerRevoker", "Revoker"]
