"""Choice of a data centre's contacts.

Guards against a list of contacts that grows, keeps dead nodes, or is overwritten
in turn by the two sides of a network partition, so that neither finds the other.
"""

import pytest

from knapweedspring_core import Contact, Contacts, Member, MemberState
from knapweedspring_node._config._contacts import choose_contacts


def _member(name, state=MemberState.ALIVE):
    return Member(name, 1, "sandton", "", f"{name}:1", "", state)


def _contacts(*names):
    return Contacts(tuple(Contact(name, f"{name}:1") for name in names))


LIVE = tuple(_member(name) for name in "abcdef")
DEAD = (_member("x", MemberState.DEAD),)


@pytest.mark.parametrize(
    ("stored", "chosen"),
    [
        ("", "ab"),
        ("cd", "cd"),
        ("abcd", "abcd"),
        ("c", "ac"),
        ("xc", "ac"),
        ("abcde", "abcd"),
        ("dcba", "abcd"),
        ("yz", "abyz"),
        ("vwyz", "abvw"),
        ("cdyz", "cdyz"),
    ],
)
def test_live_and_unknown_contacts_are_kept_and_dead_ones_replaced(stored, chosen):
    assert choose_contacts(_contacts(*stored), LIVE, LIVE + DEAD) == _contacts(*chosen)


def test_both_sides_of_a_partition_keep_the_same_contacts():
    one, other = LIVE[:3], LIVE[3:]
    stored = choose_contacts(Contacts(), one, one)
    stored = choose_contacts(stored, other, other)
    assert choose_contacts(stored, one, one) == stored
    assert choose_contacts(stored, other, other) == stored
    assert len(stored.contacts) == 4
