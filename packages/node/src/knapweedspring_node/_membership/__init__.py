"""Gossip-based membership and the dissemination of declarations between nodes."""

from knapweedspring_node._membership._errors import (
    AddressUnusable,
    KeysInvalid,
    MembershipError,
    MessageInvalid,
    PeerBusy,
    PeerUnknown,
    PeerUnreachable,
)
from knapweedspring_node._membership._links import TrafficFilter
from knapweedspring_node._membership._service import MembershipService
from knapweedspring_node._membership._settings import Identity, MembershipSettings

__all__ = [
    "AddressUnusable",
    "Identity",
    "KeysInvalid",
    "MembershipError",
    "MembershipService",
    "MembershipSettings",
    "MessageInvalid",
    "PeerBusy",
    "PeerUnknown",
    "PeerUnreachable",
    "TrafficFilter",
]
