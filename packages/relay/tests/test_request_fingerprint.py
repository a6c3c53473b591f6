"""Guards against fingerprints that miss a repeated request, or match another one."""

import pytest
from _deployment import HEADERS

from knapweedspring_relay._request_fingerprint import (
    FINGERPRINT_BYTES,
    RequestFingerprinter,
)
from knapweedspring_relay._requests import Request

FINGERPRINTER = RequestFingerprinter(HEADERS)


def fingerprint(method=b"GET", target=b"/read/1?q=2", body=b"", **headers):
    fields = {"host": "h", "x-id": "id-1", "user_agent": "a"} | headers
    pairs = [
        (name.replace("_", "-").encode(), value.encode())
        for name, value in fields.items()
    ]
    return FINGERPRINTER.fingerprint(Request(method, target, pairs, body, 0.0, True))


@pytest.mark.parametrize(
    "attempt",
    [
        {"x_id": "id-2"},
        {"x_deadline_ms": "30"},
        {"x_caller": "forged"},
        {"connection": "close"},
        {"traceparent": "00-1-2-01"},
        {"user_agent": "a", "host": "h"},
    ],
)
def test_attempts_of_a_request_have_one_fingerprint(attempt):
    assert fingerprint(**attempt) == fingerprint()
    assert len(fingerprint()) == FINGERPRINT_BYTES


@pytest.mark.parametrize(
    "other",
    [
        {"method": b"POST"},
        {"target": b"/read/1?q=3"},
        {"target": b"/read/1"},
        {"body": b"x"},
        {"host": "other"},
        {"authorization": "someone"},
        {"user_agent": "ab"},
        # The same bytes, divided in another way.
        {"target": b"/read/1?q=2h", "host": ""},
    ],
)
def test_other_requests_have_another_fingerprint(other):
    assert fingerprint(**other) != fingerprint()
