"""Formal specifications of the protocols, and the tools that check them.

:func:`check` searches the reachable states of a specification exhaustively;
:func:`replay` checks the recorded events of a run against the specifications.
"""

from knapweedspring_standins._specification._checking import (
    CheckReport,
    Property,
    Specification,
    Step,
    Violation,
    check,
)
from knapweedspring_standins._specification._declaration_propagation import (
    PropagationRule,
    PropagationSpecification,
)
from knapweedspring_standins._specification._declaration_writers import (
    WriterRule,
    WriterSpecification,
)
from knapweedspring_standins._specification._drain import (
    DrainRule,
    DrainSpecification,
)
from knapweedspring_standins._specification._quota_shares import (
    ShareRule,
    ShareSpecification,
)
from knapweedspring_standins._specification._replay import (
    Breach,
    ReplayReport,
    replay,
)
from knapweedspring_standins._specification._retry_budget import (
    RetryBudgetSpecification,
    RetryRule,
)
from knapweedspring_standins._specification._run_events import (
    ProcessLog,
    RunEvent,
    RunEventKind,
    RunOutcome,
    log_of_journal,
    log_of_node,
)
from knapweedspring_standins._specification._tickets import (
    TicketRule,
    TicketSpecification,
)

__all__ = [
    "Breach",
    "CheckReport",
    "DrainRule",
    "DrainSpecification",
    "ProcessLog",
    "Property",
    "ReplayReport",
    "RetryBudgetSpecification",
    "RetryRule",
    "RunEvent",
    "RunEventKind",
    "RunOutcome",
    "ShareRule",
    "ShareSpecification",
    "Specification",
    "PropagationRule",
    "PropagationSpecification",
    "Step",
    "TicketRule",
    "TicketSpecification",
    "Violation",
    "WriterRule",
    "WriterSpecification",
    "check",
    "log_of_journal",
    "log_of_node",
    "replay",
]
