"""Names of the headers that a deployment's callers and upstreams use."""

from collections.abc import Callable
from dataclasses import dataclass

__all__ = ["CallHeaders"]


def _no_parent(request_id: str) -> str | None:
    return None


@dataclass(frozen=True, slots=True)
class CallHeaders:
    """Header names, in lower case; defined by the deployment's adapter."""

    #: Id of a request, new for each attempt of a caller.
    request_id: bytes
    #: Time that the caller waits for an answer, in milliseconds.
    deadline_ms: bytes
    #: Signature with which an upstream signs its answer.
    signature: bytes
    #: Identity of the upstream that the request is meant for.
    expected_instance: bytes
    #: Present on the answer of an upstream that did not run the request.
    not_executed: bytes
    #: Service on the VM where the request entered the deployment.
    caller_service: bytes
    #: Requests per second that the upstream accepts from all nodes together, as a
    #: decimal number; named in answers while the limit holds.
    rate_limit: bytes
    #: Present, with the value 1, on the answers of an upstream that leaves.
    leaving: bytes
    #: Key of the caller's workspace, in the form that ``read_key`` reads.
    credentials: bytes
    #: Name of the workspace that holds the caller's key; set by nodes.
    workspace: bytes
    #: Returns the key in a value of ``credentials``; None when the value is malformed.
    read_key: Callable[[bytes], bytes | None]
    #: Returns the id of the request for which an upstream made a call, given the id of
    #: the call; None when the id shows no such request.
    parent_of: Callable[[str], str | None] = _no_parent

    @property
    def set_by_system(self) -> frozenset[bytes]:
        """Headers that nodes set themselves; a caller's values are replaced."""
        return frozenset(
            {
                self.deadline_ms,
                self.expected_instance,
                self.caller_service,
                self.workspace,
            }
        )
