"""Messages that two nodes exchange about a call, besides the HTTP message itself."""

from enum import StrEnum

import msgspec

from knapweedspring_relay._configuration import (
    DEFAULT_WORKSPACE_PRIORITY,
    CallKind,
)
from knapweedspring_relay._crash_records import CrashRecord

__all__ = ["ChainOrigin", "GateReport", "HopCall", "HopOutcome"]


class ChainOrigin(msgspec.Struct, frozen=True, gc=False):
    """The request at the root of a chain of calls."""

    #: Priority of the root's route; 0 is the highest.
    priority: int
    #: Name of the workspace of the root; empty when there is none.
    workspace: str = ""
    #: Priority of that workspace, which has precedence; 0 is the highest.
    workspace_priority: int = DEFAULT_WORKSPACE_PRIORITY


class HopOutcome(StrEnum):
    """Outcome of a call at a gate."""

    #: The upstream answered; its answer is relayed.
    ANSWERED = "answered"
    #: The gate lacks capacity; it did not send the call to the upstream and will not.
    REFUSED = "refused"
    #: The gate accepts no calls for the service at present; the call was not sent.
    CLOSED = "closed"
    #: The upstream received the call and reported that it did not run it.
    SHED = "shed"
    #: The call was sent and no usable answer was received, so it may have run.
    LOST = "lost"
    #: The deadline of the call passed while the upstream ran it.
    LATE = "late"


class HopCall(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Description of a call that one node sends to another."""

    #: Id of the request, unique for each attempt of a caller.
    request_id: str
    #: Service that is to run the call.
    service: str
    #: Identity of the upstream that the sender expects beside the gate.
    instance: str
    #: Time left until the deadline, in seconds.
    left_s: float
    #: Priority of the route; 0 is the highest.
    priority: int
    #: Priority of the request at the root of the chain, or of the route if the root
    #: request is not known.
    root_priority: int
    #: Whether the call may run more than once.
    kind: CallKind
    #: Name of the route.
    route: str
    #: Service on the VM where the request entered the deployment.
    caller: str
    #: Version of the configuration in force at the sender.
    version: int
    #: Rate limit that the expected upstream named in the sender's last report of its
    #: gate, in requests per second; None when it named none. A gate whose process was
    #: restarted uses it until the upstream's next answer.
    rate_limit: float | None = None
    #: Fingerprint of the request, equal for attempts with different ids.
    fingerprint: bytes = b""
    #: Crashes of upstreams that ran the request, as known to the sender; None when it
    #: knows of none.
    crashes: CrashRecord | None = None
    #: Name of the workspace of the request at the root of the chain; empty when there
    #: is none. Older nodes do not send it.
    workspace: str = ""
    #: Priority of that workspace, which has precedence over the others; 0 is the
    #: highest.
    workspace_priority: int = DEFAULT_WORKSPACE_PRIORITY

    @property
    def origin(self) -> ChainOrigin:
        """The request at the root of the call's chain."""
        return ChainOrigin(self.root_priority, self.workspace, self.workspace_priority)


class GateReport(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Gate report: outcome of a call and load of the gate."""

    #: Outcome of the call.
    outcome: HopOutcome
    #: Reason of the outcome, for logs; empty when the upstream answered.
    reason: str
    #: Number of calls that the upstream is running.
    n_running: int
    #: Number of calls that wait in the gate's admission queue.
    n_waiting: int
    #: Concurrency limit: calls that the gate lets the upstream run at the same time. It
    #: is lower while the upstream names a rate limit.
    limit: int
    #: Time that the call waited at the gate, in seconds.
    waited_s: float
    #: Moving ratio of failed calls through the entry on the gate's VM, 0 to 1. These
    #: include the calls that the upstream makes.
    entry_failure_ratio: float
    #: Version of the configuration in force at the gate.
    version: int
    #: Identity of the upstream beside the gate; empty when there is none.
    instance: str
    #: Rate limit that the upstream names, in requests per second; None when it names
    #: none.
    rate_limit: float | None = None
    #: Whether the upstream accepts no new calls because it drains or leaves.
    is_leaving: bool = False
    #: Crashes of upstreams that ran the request, as known to the gate; None when it
    #: knows of none.
    crashes: CrashRecord | None = None
