"""Guards against a write that is sent again without end."""

import time

from result import Err, Ok

from knapweedspring_core import ObjectKey, PlatformUnavailable, ResolvingWriter
from knapweedspring_core._writes import WriteOutcomeUnknown

TIMEOUT_S = 0.3


class PlatformThatTakesNoWrites:
    """Answers reads, and loses each write."""

    def __init__(self):
        self.n_writes = 0

    def put(self, *_):
        self.n_writes += 1
        return Err(PlatformUnavailable("no answer"))

    def get(self, _):
        return Ok(None)


def test_write_ends_when_each_send_fails_although_reads_work():
    platform = PlatformThatTakesNoWrites()
    writer = ResolvingWriter(platform, "operator", TIMEOUT_S)
    begun = time.monotonic()
    written = writer.put(ObjectKey("RequestClass", "a"), "{}", 0)
    assert isinstance(written.err_value, WriteOutcomeUnknown)
    assert TIMEOUT_S / 2 < time.monotonic() - begun < 4 * TIMEOUT_S
    # Sends are spread over the time limit.
    assert 1 < platform.n_writes < 20
