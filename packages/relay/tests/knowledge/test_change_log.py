"""Guards against followers that miss a change of the directory."""

from knapweedspring_relay._knowledge._change_log import ChangeLog
from knapweedspring_relay._knowledge._position import StorePosition


def at(revision, era=1):
    return StorePosition(era, revision)


def make_log(max_changes=10):
    log = ChangeLog(max_changes)
    log.restart(at(5))
    log.add(at(6), frozenset({"a"}))
    log.add(at(8), frozenset({"b", "c"}))
    return log


def test_changes_after_a_position_are_returned():
    log = make_log()
    assert log.nodes_changed_since(at(5)) == {"a", "b", "c"}
    assert log.nodes_changed_since(at(6)) == {"b", "c"}
    assert log.nodes_changed_since(at(7)) == {"b", "c"}
    assert log.nodes_changed_since(at(8)) == frozenset()


def test_position_before_the_log_or_of_another_era_needs_everything():
    log = make_log()
    assert log.nodes_changed_since(at(4)) is None
    assert log.nodes_changed_since(at(6, era=0)) is None
    assert log.nodes_changed_since(at(6, era=2)) is None


def test_full_log_forgets_its_oldest_changes():
    log = make_log(max_changes=2)
    log.add(at(9), frozenset({"d"}))
    assert log.nodes_changed_since(at(5)) is None
    assert log.nodes_changed_since(at(6)) == {"b", "c", "d"}
