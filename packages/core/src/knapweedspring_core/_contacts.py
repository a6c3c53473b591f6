"""Contacts: the few nodes of a data centre through which it can be found."""

from dataclasses import dataclass

import msgspec

from knapweedspring_core._declarations import ObjectRecord

__all__ = ["CONTACTS_KIND", "Contact", "Contacts", "parse_contacts"]

#: Kind of the objects on the platform; their names are those of data centres.
CONTACTS_KIND = "Contacts"


@dataclass(frozen=True, slots=True)
class Contact:
    """One node to join through."""

    #: Name of the node.
    node_id: str
    #: ``ip:port`` for control messages.
    control_address: str
    #: ``ip:port`` of the read-only pages, for operators.
    admin_address: str = ""


@dataclass(frozen=True, slots=True)
class Contacts:
    """Content of a ``Contacts`` object."""

    #: Nodes to join through.
    contacts: tuple[Contact, ...] = ()


def parse_contacts(record: ObjectRecord) -> Contacts:
    """Read the content of a ``Contacts`` object; empty when it is unusable."""
    if record.deleted:
        return Contacts()
    try:
        return msgspec.json.decode(record.content, type=Contacts)
    except msgspec.DecodeError:
        # The next writer replaces what it cannot read.
        return Contacts()
