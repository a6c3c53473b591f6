"""The contacts stay few, live, and open to an island that is not known."""

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
    ("held", "chosen"),
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
def test_choice(held, chosen):
    assert choose_contacts(_contacts(*held), LIVE, LIVE + DEAD) == _contacts(*chosen)


def test_the_choice_of_two_islands_is_stable():
    one, other = LIVE[:3], LIVE[3:]
    held = choose_contacts(Contacts(), one, one)
    held = choose_contacts(held, other, other)
    assert choose_contacts(held, one, one) == held
    assert choose_contacts(held, other, other) == held
    assert len(held.contacts) == 4
