"""Contacts of a data centre: the nodes through which other nodes join the mesh.

One object of kind ``Contacts`` for each data centre lists a few nodes, so that
starting nodes, and groups of nodes separated by a network partition, find peers
to join.
"""

from dataclasses import dataclass

from result import Err, Ok, Result

from knapweedspring_core import (
    CONTACTS_KIND,
    Contact,
    Contacts,
    Member,
    MemberState,
    Platform,
    parse_contacts,
)

__all__ = ["ContactsReadError", "choose_contacts", "read_contacts"]

#: Largest number of contacts listed for each data centre.
MAX_CONTACTS = 4

#: Smallest number of live nodes to list; when fewer nodes are live, all of them are
#: listed. The other entries are left for stored contacts that are missing from the
#: writer's membership view, since these may be on the other side of a partition.
MIN_LIVE_CONTACTS = 2


@dataclass(frozen=True, slots=True)
class ContactsReadError:
    """The contacts cannot be read from the platform."""

    #: Cause of the failure.
    detail: str


def read_contacts(
    platform: Platform,
) -> Result[tuple[str, ...], ContactsReadError]:
    """Read the control addresses of every data centre's contacts.

    :param platform: client with which the contacts are listed.
    :return: the addresses as ``ip:port`` (none when no contacts are stored), or why
        the platform could not be read.
    """
    listed = platform.list_all((CONTACTS_KIND,))
    if isinstance(listed, Err):
        return Err(ContactsReadError(str(listed.err_value)))
    return Ok(
        tuple(
            contact.control_address
            for record in listed.ok_value.records
            for contact in parse_contacts(record).contacts
        )
    )


def choose_contacts(
    stored: Contacts, live: tuple[Member, ...], known: tuple[Member, ...]
) -> Contacts:
    """Choose the contacts of a data centre.

    Live stored contacts are kept, and live members are added up to
    ``MIN_LIVE_CONTACTS``. Stored contacts that are missing from the membership
    view fill the remaining entries. Stored contacts that the view contains but that
    are not live are removed.

    :param stored: the contacts stored on the platform.
    :param live: live members of the data centre, best candidates first.
    :param known: every member in the writer's membership view, whatever its state.
    :return: the contacts to store, sorted by node ID.
    """
    kept = [contact for contact in stored.contacts if _is_live(contact, live)]
    unknown = [contact for contact in stored.contacts if not _is_known(contact, known)]
    n_live_min = min(MIN_LIVE_CONTACTS, len(live))
    chosen = kept[:MAX_CONTACTS]
    for member in live:
        if len(chosen) >= n_live_min:
            break
        candidate = Contact(
            member.node_id, member.control_address, member.admin_address
        )
        if candidate not in chosen:
            chosen.append(candidate)
    n_free = MAX_CONTACTS - len(chosen)
    # Sorted, so that writers that choose the same contacts write the same text.
    listed = sorted((*chosen, *unknown[:n_free]), key=lambda contact: contact.node_id)
    return Contacts(tuple(listed))


def _is_live(contact: Contact, live: tuple[Member, ...]) -> bool:
    return any(
        member.node_id == contact.node_id
        and member.control_address == contact.control_address
        and member.state is MemberState.ALIVE
        for member in live
    )


def _is_known(contact: Contact, known: tuple[Member, ...]) -> bool:
    return any(
        contact.node_id == member.node_id
        or contact.control_address == member.control_address
        for member in known
    )
