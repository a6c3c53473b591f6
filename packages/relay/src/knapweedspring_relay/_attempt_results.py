"""What the outcome of an attempt shows about its gate."""

from knapweedspring_relay._balancer import AttemptResult
from knapweedspring_relay._gate_result import GateResult
from knapweedspring_relay._hop import GateReport, HopOutcome

__all__ = ["attempt_result_of", "result_without_report"]


def attempt_result_of(gate_result: GateResult) -> AttemptResult:
    """Return what the outcome of an attempt shows about the gate."""
    if gate_result.report.outcome is HopOutcome.REFUSED:
        return AttemptResult.REFUSED
    if gate_result.report.outcome is HopOutcome.CLOSED:
        return AttemptResult.CLOSED
    if gate_result.report.outcome is not HopOutcome.ANSWERED:
        return AttemptResult.FAILED
    is_failure = gate_result.answer is not None and gate_result.answer.status >= 500
    return AttemptResult.FAILED if is_failure else AttemptResult.GOOD


def result_without_report(outcome: HopOutcome, reason: str) -> GateResult:
    """Return the result of an offer for which the gate sent no report.

    :param outcome: outcome of the offer.
    :param reason: reason of the outcome, for logs.
    """
    return GateResult(GateReport(outcome, reason, 0, 0, 0, 0.0, 0.0, 0, ""), None)
