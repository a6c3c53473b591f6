"""Classification of replies as failures of a node.

A node whose replies wrongly count as failures is ejected while it is healthy; one
whose failures are missed keeps receiving calls.
"""

import pytest

from knapweedspring_core import Outcome, Reason
from knapweedspring_node._calls._attempts import _failure_kind
from knapweedspring_node._calls._reply import RelayedReply, refuse
from knapweedspring_node._calls._routing import FailureKind


@pytest.mark.parametrize(
    "outcome, reason, kind",
    [
        (Outcome.NOT_RUN, Reason.OVERLOADED, None),
        (Outcome.NOT_RUN, Reason.DRAINING, None),
        (Outcome.NOT_RUN, Reason.DEADLINE, None),
        (Outcome.UNKNOWN, Reason.DEADLINE, FailureKind.TIMEOUT),
        (Outcome.UNKNOWN, Reason.PEER_BROKE_OFF, FailureKind.BROKE_OFF),
        (Outcome.NOT_RUN, Reason.UPSTREAM_UNREACHABLE, FailureKind.CONNECT),
    ],
)
def test_refusal_counts_as_failure_only_when_the_node_is_at_fault(
    outcome, reason, kind
):
    assert _failure_kind(refuse(outcome, reason)) is kind


@pytest.mark.parametrize(
    "status, kind", [(200, None), (404, None), (500, FailureKind.ERROR)]
)
def test_only_server_errors_of_the_upstream_count_as_failure(status, kind):
    reply = RelayedReply(status=status, phrase="", headers=(), body=b"", length=0)
    assert _failure_kind(reply) is kind
