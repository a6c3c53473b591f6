"""Quotas of workspaces: one limit on the requests that all nodes start.

Each data centre may use an equal part of a quota. Within it, nodes lend their shares to
a coordinator, which grants a unit for each request. :class:`QuotaClient` obtains the
units, :class:`QuotaCoordinator` grants them, and :class:`Quotas` connects the parts of
one node.
"""

from knapweedspring_relay._quotas._coordinator import LEASE_S, QuotaCoordinator
from knapweedspring_relay._quotas._quota_client import QuotaClient, UnitDecision
from knapweedspring_relay._quotas._quota_server import QuotaHandler
from knapweedspring_relay._quotas._quotas import Quotas

__all__ = [
    "LEASE_S",
    "QuotaClient",
    "QuotaCoordinator",
    "QuotaHandler",
    "Quotas",
    "UnitDecision",
]
