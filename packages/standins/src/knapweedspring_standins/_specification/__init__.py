"""Specifications of the protocols, checked by exhaustive search."""

from knapweedspring_standins._specification._checking import (
    CheckReport,
    Property,
    Specification,
    Step,
    Violation,
    check,
)
from knapweedspring_standins._specification._declaration_spread import (
    SpreadRule,
    SpreadSpecification,
)
from knapweedspring_standins._specification._declaration_writers import (
    WriterRule,
    WriterSpecification,
)
from knapweedspring_standins._specification._drain import (
    DrainRule,
    DrainSpecification,
)
from knapweedspring_standins._specification._retry_budget import (
    RetryBudgetSpecification,
    RetryRule,
)
from knapweedspring_standins._specification._tickets import (
    TicketRule,
    TicketSpecification,
)

__all__ = [
    "CheckReport",
    "DrainRule",
    "DrainSpecification",
    "Property",
    "RetryBudgetSpecification",
    "RetryRule",
    "Specification",
    "SpreadRule",
    "SpreadSpecification",
    "Step",
    "TicketRule",
    "TicketSpecification",
    "Violation",
    "WriterRule",
    "WriterSpecification",
    "check",
]
