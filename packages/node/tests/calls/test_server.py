"""Guards against a reason phrase that changes on the wire.

Clients log the status line. A phrase that repeats a class name of the code changes when
the class is renamed.
"""

from http import HTTPStatus

import pytest

from knapweedspring_node._calls._server import _reason_phrase


@pytest.mark.parametrize(
    "status, phrase",
    [
        (HTTPStatus.SERVICE_UNAVAILABLE, "Service Unavailable"),
        (HTTPStatus.GATEWAY_TIMEOUT, "Gateway Timeout"),
        # Status of a call whose caller left; no standard defines its phrase.
        (499, "Refused"),
    ],
)
def test_status_line_keeps_its_reason_phrase(status, phrase):
    assert _reason_phrase(status) == phrase
