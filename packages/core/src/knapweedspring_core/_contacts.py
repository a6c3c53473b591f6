"""Contacts: nodes of a data centre through which other nodes join the mesh."""

from dataclasses import dataclass

import msgspec

from knapweedspring_core._declarations import ObjectRecord

__all__ = ["CONTACTS_KIND", "Contact", "Contacts", "parse_contacts"]

#: Kind of the platform objects with contacts, each named after its data centre.
CONTACTS_KIND = "Contacts"


@dataclass(frozen=True, slots=True)
class Contact:
    """A node through which other nodes join the mesh."""

    #: Name of the node.
    node_id: str
    #: ``ip:port`` at which the node accepts control messages.
    control_address: str
    #: ``ip:port`` of the node's read-only pages, which operators read.
    admin_address: str = ""


@dataclass(frozen=True, slots=True)
class Contacts:
    """Content of a ``Contacts`` object."""

    #: Nodes through which other nodes join the mesh.
    contacts: tuple[Contact, ...] = ()


def parse_contacts(record: ObjectRecord) -> Contacts:
    """Parse the content of a ``Contacts`` object.

    :param record: the object, as the platform stored it.
    :return: the contacts; empty when the object is deleted or malformed.
    """
    if record.deleted:
        return Contacts()
    try:
        return msgspec.json.decode(record.content, type=Contacts)
    except msgspec.DecodeError:
        # The next write replaces the malformed content.
        return Contacts()
