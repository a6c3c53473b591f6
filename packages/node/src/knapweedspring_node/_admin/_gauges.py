"""Gauges of a node, read from its state when the metrics page is scraped."""

from collections.abc import Callable

from knapweedspring_core import GateStatus, MetricsPage
from knapweedspring_node._admin._backend import AdminBackend

__all__ = ["register_gauges"]


def register_gauges(metrics: MetricsPage, backend: AdminBackend) -> None:
    """Register the gauges; their names are in docs/OPERATORS.md.

    :param metrics: page that the gauges are added to.
    :param backend: supplies the node's state.
    """
    for name, read in _GATE_GAUGES.items():
        metrics.add_gauges(name, _make_gate_reader(backend, read))
    metrics.add_gauges("members", lambda: _count_members_by_state(backend))
    metrics.add_gauge(
        "declarations_invalid",
        lambda: sum(
            bool(state.invalid_path) for state in backend.status().declarations
        ),
    )
    metrics.add_gauge("node_draining", lambda: backend.status().draining)
    metrics.add_gauge("node_unfinished", lambda: backend.status().n_unfinished)
    metrics.add_gauge("platform_watching", lambda: backend.status().watching)
    metrics.add_gauge("platform_reporting", lambda: backend.status().reporting)
    metrics.add_gauge("platform_calls", lambda: backend.status().n_platform_calls)


_GATE_GAUGES: dict[str, Callable[[GateStatus], float]] = {
    "gate_in_flight": lambda gate: gate.n_in_flight,
    "gate_waiting": lambda gate: gate.n_waiting,
    "gate_limit": lambda gate: gate.limit,
    "gate_shedding_level": lambda gate: gate.shedding_level,
}


def _make_gate_reader(
    backend: AdminBackend, read: Callable[[GateStatus], float]
) -> Callable[[], dict[str, float]]:
    """Return a function that reads one gauge of every gate, by service."""

    def read_all() -> dict[str, float]:
        return {gate.service: read(gate) for gate in backend.status().gates}

    return read_all


def _count_members_by_state(backend: AdminBackend) -> dict[str, float]:
    counts: dict[str, float] = {}
    for member in backend.members():
        counts[member.state] = counts.get(member.state, 0) + 1
    return counts
