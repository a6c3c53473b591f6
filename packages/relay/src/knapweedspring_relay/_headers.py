"""Names of the headers that callers and upstreams of a deployment speak."""

from collections.abc import Callable
from dataclasses import dataclass

__all__ = ["CallHeaders"]


def _no_parent(request_id: str) -> str | None:
    return None


@dataclass(frozen=True, slots=True)
class CallHeaders:
    """Header names, in lower case; each deployment's adapter says which."""

    #: Id of a request, new for each attempt of a caller.
    request_id: bytes
    #: How long the caller waits, in milliseconds.
    deadline_ms: bytes
    #: Signature of an upstream on its answer.
    seal: bytes
    #: Identity of the upstream that the request is meant for.
    expected_instance: bytes
    #: Present on answers of upstreams that did not run the request.
    not_executed: bytes
    #: Service on whose VM the request began.
    caller_service: bytes
    #: Returns the id of the request that a call belongs to, by the id of the call;
    #: None when the id names none.
    parent_of: Callable[[str], str | None] = _no_parent

    @property
    def set_by_system(self) -> frozenset[bytes]:
        """Headers that are replaced, whatever a caller sent."""
        return frozenset(
            {self.deadline_ms, self.expected_instance, self.caller_service}
        )
