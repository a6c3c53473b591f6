"""Guards against a node that returns to an older or deleted version.

Versions from the platform and from peers arrive in any order, and a lagging peer
sends versions of objects that were deleted since.
"""

import itertools

import pytest

from knapweedspring_core import (
    DeclarationStore,
    ObjectKey,
    ObjectRecord,
    declaration_key,
)
from knapweedspring_core._store import CHECKPOINT_KEY

KEY = ObjectKey("RequestClass", "spice-order")


def _record(version, priority, deleted=False):
    content = "" if deleted else f'{{"priority": {priority}}}'
    return ObjectRecord(KEY, version, deleted, content=content)


@pytest.mark.parametrize(
    "order",
    list(itertools.permutations([(1, 1, False), (2, 2, False), (3, 3, False)])),
)
def test_any_order_of_arrival_leads_to_the_highest_version(order):
    store = DeclarationStore()
    for arguments in order:
        store.merge(_record(*arguments))
    assert store.request_class("spice-order").priority == 3


def test_lower_version_never_replaces_a_tombstone():
    store = DeclarationStore()
    assert store.merge(_record(5, 0, deleted=True))
    assert not store.merge(_record(4, 9))
    assert store.request_class("spice-order") is None


def test_invalid_version_is_listed_and_the_one_before_stays_in_force():
    store = DeclarationStore()
    store.merge(_record(1, 7))
    store.merge(_record(2, -1))
    assert store.request_class("spice-order").priority == 7
    (invalid,) = store.invalid
    assert invalid.record.version == 2
    assert invalid.error.path == "$.priority"


def test_a_new_node_receives_the_last_valid_version_from_a_peer():
    old, new = DeclarationStore(), DeclarationStore()
    old.merge(_record(1, 7))
    old.merge(_record(2, -1))
    new.merge(_record(2, -1))
    assert new.request_class("spice-order") is None
    for record in old.records:
        new.merge(record)
    assert new.request_class("spice-order").priority == 7
    (state,) = new.objects
    assert (state.record.version, state.in_force_version) == (2, 1)
    assert state.error.path == "$.priority"
    assert set(new.records) == set(old.records)


def test_a_stored_object_that_a_list_omits_is_deleted():
    store = DeclarationStore()
    store.merge(_record(4, 7))
    store.merge_list((), 9)
    assert store.request_class("spice-order") is None
    store.merge(_record(10, 3))
    assert store.request_class("spice-order").priority == 3


def test_a_lagging_peer_does_not_restore_a_deleted_object():
    listed, updated, lagging = (
        DeclarationStore(),
        DeclarationStore(),
        DeclarationStore(),
    )
    listed.merge_list((), 9)
    for record in listed.records:
        updated.merge(record)
    lagging.merge(_record(4, 7))
    for record in lagging.records:
        updated.merge(record)
    assert updated.request_class("spice-order") is None
    for record in updated.records:
        lagging.merge(record)
    assert lagging.request_class("spice-order") is None


RECORDS = (
    _record(1, 7),
    _record(2, -1),
    _record(3, 0, deleted=True),
    _record(5, -1),
    ObjectRecord(ObjectKey("Checkpoint", "objects"), 4, content="[]"),
)


@pytest.mark.parametrize("n_records", range(1, len(RECORDS) + 1))
def test_merging_is_commutative_and_in_force_versions_never_fall(n_records):
    outcomes = set()
    for order in itertools.permutations(RECORDS, n_records):
        store = DeclarationStore()
        last = 0
        for record in order:
            store.merge(record)
            assert store.in_force_version(KEY) >= last
            last = store.in_force_version(KEY)
        if n_records == len(RECORDS):
            outcomes.add((store.in_force_version(KEY), store.version_of(KEY)))
    assert len(outcomes) <= 1


def test_two_stores_that_exchange_records_become_equal():
    for order in itertools.permutations(RECORDS):
        first, second = DeclarationStore(), DeclarationStore()
        for record in order[:2]:
            first.merge(record)
        for record in order[2:]:
            second.merge(record)
        for _ in range(2):
            for record in first.records:
                second.merge(record)
            for record in second.records:
                first.merge(record)
        assert set(first.records) == set(second.records)
        assert first.objects == second.objects


def test_a_record_maps_to_the_declaration_that_it_belongs_to():
    assert declaration_key(KEY) == KEY
    copy_key = ObjectKey("LastValid:RequestClass", "spice-order")
    assert declaration_key(copy_key) == KEY
    assert declaration_key(ObjectKey("Checkpoint", "objects")) is None


def test_objects_that_are_not_declarations_are_ignored():
    store = DeclarationStore()
    assert not store.merge(ObjectRecord(ObjectKey("Status", "sandton"), 3))
    assert store.records == ()


def test_store_is_complete_once_every_listed_object_was_received():
    store = DeclarationStore()
    record = _record(1, 7)
    listed = DeclarationStore()
    listed.merge_list((record,), 1)
    assert listed.is_complete
    assert not store.is_complete
    for received in sorted(listed.records, key=lambda one: one.key != CHECKPOINT_KEY):
        assert not store.is_complete
        store.merge(received)
    assert store.is_complete


def test_an_empty_list_makes_the_store_complete():
    store = DeclarationStore()
    store.merge_list((), 0)
    assert store.is_complete
