"""Rules for what a node accepts as a directory entry or as a heartbeat.

The store of a deployment also holds entries of other writers, and anyone may send a
heartbeat. A value that has the right type may still be one that a later step cannot
use: an address that cannot be connected to, or a number that cannot be encoded.
"""

from knapweedspring_relay._addresses import is_ip_address
from knapweedspring_relay._knowledge._directory import GateEntry

__all__ = ["problem_of_entry", "problem_of_upstream"]

#: Greatest length of a name or an identity, in characters; the longest host name has
#: 253. Longer texts would not fit into the object of an entry.
MAX_TEXT_LENGTH = 256
#: Greatest number of requests that an upstream runs concurrently; more are a mistake,
#: and would attract all requests of the service.
MAX_SLOTS = 1_000_000
#: Latest start of a process, in milliseconds since the epoch: the end of the year 9999.
#: Greater numbers are no times, and those over 64 bits cannot be sent in a frame.
MAX_BORN_MS = 253_402_300_799_999


def problem_of_entry(entry: GateEntry) -> str:
    """Return why a directory entry cannot be used; empty when it can.

    :param entry: the entry, whose fields have the declared types.
    """
    if not _is_text(entry.node):
        return "the node's name is empty, too long or not printable"
    for name, address in (
        ("gate_address", entry.gate_address),
        ("knowledge_address", entry.knowledge_address),
    ):
        if not is_ip_address(address):
            return f"`{name}` is not an IP address with a port"
    if not _is_text(entry.data_centre):
        return "`data_centre` is empty, too long or not printable"
    if entry.service and not _is_text(entry.service):
        return "`service` is too long or not printable"
    return problem_of_upstream(entry.instance, entry.born_ms, entry.slots)


def problem_of_upstream(instance: str, born_ms: int, slots: int) -> str:
    """Return why what is said of an upstream cannot be used; empty when it can.

    :param instance: identity of the upstream's process.
    :param born_ms: start of the process, in milliseconds since the epoch.
    :param slots: maximum number of requests that the upstream runs concurrently.
    """
    if not _is_text(instance):
        return "the instance's identity is empty, too long or not printable"
    if not 0 <= born_ms <= MAX_BORN_MS:
        return "the start of the process is not a time"
    if not 1 <= slots <= MAX_SLOTS:
        return f"`slots` is not a number from 1 to {MAX_SLOTS}"
    return ""


def _is_text(text: str) -> bool:
    return 0 < len(text) <= MAX_TEXT_LENGTH and text.isprintable()
