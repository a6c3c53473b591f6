"""The short list of addresses through which nodes of a data centre are found.

One object of kind ``Contacts`` for each data centre holds a few nodes, so that
starting nodes, and islands that lost each other, find peers to join.
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

__all__ = ["ContactsUnreadable", "choose_contacts", "read_contacts"]

#: Contacts kept for each data centre.
MAX_CONTACTS = 4

#: Of these, how many at least are live in the writer's view. The rest is left
#: to an island that the writer does not know.
MIN_OWN_CONTACTS = 2


@dataclass(frozen=True, slots=True)
class ContactsUnreadable:
    """The contacts cannot be had."""

    #: Why.
    detail: str


def read_contacts(
    platform: Platform,
) -> Result[tuple[str, ...], ContactsUnreadable]:
    """Read the control addresses of every data centre's contacts.

    :return: addresses to join through, perhaps none.
    """
    listed = platform.list_all((CONTACTS_KIND,))
    if isinstance(listed, Err):
        return Err(ContactsUnreadable(str(listed.err_value)))
    return Ok(
        tuple(
            contact.control_address
            for record in listed.ok_value.records
            for contact in parse_contacts(record).contacts
        )
    )


def choose_contacts(
    held: Contacts, live: tuple[Member, ...], known: tuple[Member, ...]
) -> Contacts:
    """Say what the list should be; unchanged while it serves its purpose.

    :param held: the list as stored.
    :param live: live members of the data centre, best candidates first.
    :param known: every member that the writer knows, whatever its state.
    """
    kept = [one for one in held.contacts if _is_live(one, live)]
    foreign = [one for one in held.contacts if not _is_known(one, known)]
    n_wanted = min(MIN_OWN_CONTACTS, len(live))
    chosen = kept[:MAX_CONTACTS]
    for member in live:
        if len(chosen) >= n_wanted:
            break
        candidate = Contact(
            member.node_id, member.control_address, member.admin_address
        )
        if candidate not in chosen:
            chosen.append(candidate)
    room = MAX_CONTACTS - len(chosen)
    # In the order of names, so that two writers who agree write the same text.
    listed = sorted((*chosen, *foreign[:room]), key=lambda one: one.node_id)
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
