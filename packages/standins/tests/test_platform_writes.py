"""Guards against a writer that misreports a write whose answer was lost.

The platform may apply a write although its connection is aborted before the answer;
the writer must read the object back to find the outcome.
"""

from knapweedspring_core import (
    HttpPlatform,
    ObjectKey,
    PlatformRefused,
    ResolvingWriter,
    WriteConflict,
    WriteOutcomeUnknown,
)

KEY = ObjectKey("Policy", "mesh")


def test_a_write_with_a_lost_answer_is_resolved_by_reading_back(client, fault):
    writer = ResolvingWriter(client, "ann", 10)
    fault(lose_answers_after_effect=1)
    stored = writer.put(KEY, "{}", 0).unwrap()
    assert client.get(KEY).unwrap() == stored
    assert stored.writer.startswith("ann/")
    assert client.list_all().unwrap().version == 1


def test_a_deletion_with_a_lost_answer_is_resolved_by_reading_back(client, fault):
    writer = ResolvingWriter(client, "ann", 10)
    stored = writer.put(KEY, "{}", 0).unwrap()
    fault(lose_answers_after_effect=1)
    assert writer.delete(KEY, stored.version).unwrap().deleted
    assert client.get(KEY).unwrap() is None


def test_concurrent_write_fails_with_the_stored_object(
    client,
):
    stored = ResolvingWriter(client, "ann", 10).put(KEY, "{}", 0).unwrap()
    conflict = ResolvingWriter(client, "ben", 10).put(KEY, "[]", 0).unwrap_err()
    assert conflict == WriteConflict(stored)


def test_outage_makes_the_outcome_of_a_write_unknown(client, fault):
    fault(down=True)
    error = ResolvingWriter(client, "ann", 0.2).put(KEY, "{}", 0).unwrap_err()
    assert isinstance(error, WriteOutcomeUnknown)


def test_a_write_succeeds_after_an_outage_that_ends_before_the_timeout(client, fault):
    fault(down=True)

    def pause(_):
        fault()

    stored = ResolvingWriter(client, "ann", 20, pause).put(KEY, "{}", 0).unwrap()
    assert client.get(KEY).unwrap() == stored


def test_later_write_by_another_writer_makes_the_outcome_unknown(server, client, fault):
    other = ResolvingWriter(client, "ben", 10)

    class OvertakenPlatform(HttpPlatform):
        def put(self, key, content, writer, expected_version):
            written = super().put(key, content, writer, expected_version)
            other.put(key, "[]", 1).unwrap()
            return written

    fault(lose_answers_after_effect=1)
    writer = ResolvingWriter(OvertakenPlatform(server.address), "ann", 10)
    error = writer.put(KEY, "{}", 0).unwrap_err()
    assert isinstance(error, WriteOutcomeUnknown)
    assert error.current.content == "[]"


def test_a_refused_write_is_not_retried(client):
    # The platform accepts request bodies of up to 1,000,000 bytes.
    too_large = "x" * 1_100_000
    refused = ResolvingWriter(client, "ann", 10).put(KEY, too_large, 0).unwrap_err()
    assert isinstance(refused, PlatformRefused)
    assert client.n_calls == 1
