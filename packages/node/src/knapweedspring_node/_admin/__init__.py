"""Admin pages of a node, on its local address.

The pages show status, members, events and metrics, and receive the announcements of
upstreams and the reports of other nodes.
"""

from knapweedspring_node._admin._backend import AdminBackend
from knapweedspring_node._admin._server import AdminError, AdminPages

__all__ = ["AdminError", "AdminPages", "AdminBackend"]
