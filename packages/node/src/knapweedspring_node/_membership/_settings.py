"""Settings of the membership layer and the identity of a node."""

import ipaddress
import math
from dataclasses import dataclass

from result import Err, Ok, Result

from knapweedspring_node._membership._errors import (
    AddressUnusable,
    KeysInvalid,
    MembershipError,
)

__all__ = ["Identity", "MembershipSettings", "validate"]

#: Number of characters of a CURVE key in its printable (Z85) form.
CURVE_KEY_LENGTH = 40


@dataclass(frozen=True, slots=True)
class Identity:
    """What a node publishes about itself."""

    #: Node ID, unique in the firm's mesh.
    node_id: str
    #: Firm whose mesh the node belongs to.
    firm: str
    #: Data centre that the node runs in.
    data_centre: str
    #: ``ip:port`` for calls.
    call_address: str
    #: ``ip:port`` of the admin pages.
    admin_address: str
    #: Number of this process, larger than the incarnation of every earlier process with
    #: the same node ID.
    incarnation: int


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Addresses, keys and periods of the membership layer."""

    #: ``ip:port`` to bind; port 0 selects a free port.
    control_address: str = "127.0.0.1:0"
    #: ``ip:port`` that peers connect to; empty when it is the bound address.
    advertised_address: str = ""
    #: The firm's public CURVE key in printable form.
    curve_public_key: str = ""
    #: The firm's secret CURVE key in printable form.
    curve_secret_key: str = ""
    #: Use unencrypted connections; allowed on loopback only.
    allow_plain: bool = False
    #: Control addresses to join through.
    contacts: tuple[str, ...] = ()
    #: Seconds between two probes that this node sends.
    probe_period_s: float = 1.0
    #: Seconds to wait for a connection to the probed node, and as many again for its
    #: reply.
    probe_timeout_s: float = 0.5
    #: Seconds that a suspected node has to refute the suspicion.
    suspicion_s: float = 4.0
    #: Seconds between two comparisons of digests with a random peer.
    sync_period_s: float = 10.0
    #: Seconds between two attempts to reach a dead member or a contact, while the node
    #: has neighbours.
    rejoin_period_s: float = 3.0
    #: Seconds after which the entry of a dead or left member is removed.
    expiry_s: float = 600.0


def validate(settings: MembershipSettings) -> Result[None, MembershipError]:
    """Check the rules that the types do not express.

    :return: ``Ok(None)``, or an error that says which setting to change.
    """
    host = settings.control_address.rpartition(":")[0]
    try:
        address = ipaddress.ip_address(host)
    except ValueError:
        advice = f"write control_address as ip:port, not {settings.control_address!r}"
        return Err(AddressUnusable(advice))
    if address.is_unspecified and not settings.advertised_address:
        advice = "set advertised_address, since peers cannot connect to a wildcard"
        return Err(AddressUnusable(advice))
    if settings.allow_plain and not address.is_loopback:
        advice = "set the CURVE key pair; allow_plain works on loopback only"
        return Err(KeysInvalid(advice))
    if not settings.allow_plain and not _has_keys(settings):
        advice = f"set both CURVE keys, each of {CURVE_KEY_LENGTH} characters"
        return Err(KeysInvalid(advice))
    return _validate_times(settings)


def _has_keys(settings: MembershipSettings) -> bool:
    keys = (settings.curve_public_key, settings.curve_secret_key)
    return all(len(key) == CURVE_KEY_LENGTH for key in keys)


def _validate_times(settings: MembershipSettings) -> Result[None, MembershipError]:
    times = {
        "probe_period_s": settings.probe_period_s,
        "probe_timeout_s": settings.probe_timeout_s,
        "suspicion_s": settings.suspicion_s,
        "sync_period_s": settings.sync_period_s,
        "rejoin_period_s": settings.rejoin_period_s,
        "expiry_s": settings.expiry_s,
    }
    for name, value in times.items():
        if not (value > 0 and math.isfinite(value)):
            return Err(
                MembershipError(f"write a finite number of seconds above 0 as {name}")
            )
    return Ok(None)
