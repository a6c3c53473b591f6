"""Guards against reads of the store by each node whenever none is needed.

Own reads are for nodes whose sources stand still one after another (review/9).
"""

import asyncio

from knapweedspring_relay._knowledge._own_reads import (
    MAX_WITHOUT_SOURCE_S,
    OWN_READ_MAX_S,
    OwnReads,
)


def times_of_reads(has_source, answered_at=None, length_s=30.0):
    """Return the times at which a node reads, checked five times a second.

    :param has_source: whether the node has a source at a time.
    :param answered_at: time at which a node answers that doesn't watch the store.
    """
    times, clock = [], [0.0]

    async def read():
        times.append(round(clock[0], 1))
        return True

    async def play():
        reads = OwnReads(read)
        while clock[0] < length_s:
            if answered_at is not None and clock[0] >= answered_at:
                reads.record_answer(clock[0])
            reads.check(has_source(clock[0]), clock[0])
            await asyncio.sleep(0)
            clock[0] = round(clock[0] + 0.2, 1)

    asyncio.run(play())
    return times


def test_node_that_starts_reads_nothing():
    assert times_of_reads(lambda now: False) == []


def test_node_that_finds_another_source_soon_reads_nothing():
    assert times_of_reads(lambda now: not 5.0 <= now < 5.6) == []


def test_node_without_a_source_reads_at_once_and_then_less_and_less_often():
    times = times_of_reads(lambda now: now < 5.0)
    assert 5.0 + MAX_WITHOUT_SOURCE_S <= times[0] <= 5.2 + MAX_WITHOUT_SOURCE_S
    pauses = [later - earlier for earlier, later in zip(times, times[1:], strict=False)]
    assert pauses == sorted(pauses)
    assert pauses[-1] >= OWN_READ_MAX_S
    assert len(times) <= 6


def test_node_reads_nothing_while_others_cannot_reach_the_store():
    assert times_of_reads(lambda now: now < 5.0, answered_at=5.2) == []


def test_next_loss_of_a_source_is_read_for_as_soon_as_the_first():
    times = times_of_reads(lambda now: now < 5.0 or 10.0 <= now < 15.0)
    assert any(15.6 <= at <= 16.0 for at in times)
