"""Interfaces of gates: those of other nodes and the gate of this process."""

import asyncio
from abc import ABC, abstractmethod

from mypy_extensions import mypyc_attr

from knapweedspring_relay._gate_result import GateResult
from knapweedspring_relay._hop import GateReport, HopCall, HopOutcome
from knapweedspring_relay._requests import ForwardedRequest

__all__ = ["GateLink", "LocalGate"]


@mypyc_attr(allow_interpreted_subclasses=True)
class GateLink(ABC):
    """Access to a gate in this process or on another VM."""

    @abstractmethod
    async def run(self, call: HopCall, request: ForwardedRequest) -> GateResult:
        """Offer a call to the gate and wait for its outcome.

        :param call: description of the call.
        :param request: the HTTP request to send to the upstream.
        :return: the gate's report and the upstream's answer, if any.
        :raises ConnectFailed: when the gate could not be reached.
        :raises CallWithdrawn: when the call was withdrawn before it was sent.
        :raises CallError: when the connection to the gate failed after sending.
        """

    def withdraw(self, call: HopCall) -> None:  # noqa: B027
        """Withdraw an offered call that no upstream has got yet.

        Its outcome is then REFUSED. Nothing changes for a call that was sent to the
        upstream, or whose gate cannot confirm that it was not.

        :param call: the description that :meth:`run` was called with.
        """


@mypyc_attr(allow_interpreted_subclasses=True)
class LocalGate(GateLink):
    """Interface of the gate of this process, which also reports its load."""

    @abstractmethod
    def make_report(
        self, outcome: HopOutcome, reason: str = "", waited_s: float = 0.0
    ) -> GateReport:
        """Return a report with the outcome of a call and the load of the gate.

        :param outcome: outcome of the call.
        :param reason: reason of the outcome, for logs.
        :param waited_s: time that the call waited at the gate, in seconds.
        """

    def detached_call(
        self, request: ForwardedRequest
    ) -> "asyncio.Future[GateResult] | None":
        """Return the call that goes on with a request whose caller has left.

        :param request: the request.
        :return: the call; None when the gate no longer holds the request.
        """
        return None
