"""A node's local pages: status, members, events, metrics, announcements."""

from knapweedspring_node._admin._facts import NodeFacts
from knapweedspring_node._admin._server import AdminError, AdminPages

__all__ = ["AdminError", "AdminPages", "NodeFacts"]
