"""Start and revocation of a run exclude each other.

A delayed message must not start a run that was revoked, nor start a run a second
time: the caller of a revoked run was told ``not-run`` and may have repeated it.
"""

import pytest

from knapweedspring_core import EventLog, decode, encode
from knapweedspring_node._calls._context import RunKey
from knapweedspring_node._calls._revocation import (
    RevokeAnswer,
    RevokeHandler,
    RevokeRequest,
    RevokeResult,
)
from knapweedspring_node._calls._run_ledger import RunLedger, RunState

KEY = RunKey("node-1", 7, 1)
EPOCH = 99


def _revoke(ledger, epoch=EPOCH, payload=None):
    handler = RevokeHandler(ledger, EventLog("gate"), EPOCH)
    request = payload or encode(RevokeRequest(KEY, epoch))
    return decode(handler.handle(request), RevokeAnswer).unwrap().result


def _revoke_key(ledger, key):
    payload = encode(RevokeRequest(key, EPOCH))
    return _revoke(ledger, payload=payload)


def test_started_run_cannot_be_revoked():
    ledger = RunLedger(60)
    assert ledger.start(KEY) is None
    assert _revoke(ledger) is RevokeResult.MAY_HAVE_STARTED


def test_revoked_run_never_starts():
    ledger = RunLedger(60)
    assert _revoke(ledger) is RevokeResult.NEVER_STARTED
    assert ledger.start(KEY) is RunState.REVOKED
    assert _revoke(ledger) is RevokeResult.NEVER_STARTED


def test_second_start_is_reported_as_started():
    ledger = RunLedger(60)
    ledger.start(KEY)
    assert ledger.start(KEY) is RunState.STARTED


def test_withdrawn_run_may_start_again():
    ledger = RunLedger(60)
    ledger.start(KEY)
    ledger.withdraw(KEY)
    assert ledger.start(KEY) is None


@pytest.mark.parametrize("payload", [b"", b"\xc1", encode(RevokeAnswer("x"))])
def test_malformed_revocation_is_answered_as_may_have_started(payload):
    ledger = RunLedger(60)
    handler = RevokeHandler(ledger, EventLog("gate"), EPOCH)
    answer = decode(handler.handle(payload), RevokeAnswer).unwrap()
    assert answer.result is RevokeResult.MAY_HAVE_STARTED


def test_run_sent_to_an_earlier_process_may_have_started():
    ledger = RunLedger(60)
    assert _revoke(ledger, epoch=EPOCH - 1) is RevokeResult.MAY_HAVE_STARTED
    assert ledger.start(KEY) is None


def test_entries_expire_and_later_runs_may_start():
    ledger = RunLedger(0.0)
    ledger.start(KEY)
    assert not ledger.is_full()
    assert len(ledger) == 0
    assert ledger.start(RunKey(KEY.owner, KEY.epoch, KEY.sequence + 1)) is None


@pytest.mark.parametrize("sequence", [1, 2])
def test_delayed_run_up_to_an_expired_sequence_does_not_start(sequence):
    ledger = RunLedger(0.0)
    ledger.start(RunKey(KEY.owner, KEY.epoch, 2))
    assert not ledger.is_full()
    delayed = RunKey(KEY.owner, KEY.epoch, sequence)
    assert ledger.start(delayed) is RunState.STARTED
    assert _revoke_key(ledger, delayed) is RevokeResult.MAY_HAVE_STARTED
