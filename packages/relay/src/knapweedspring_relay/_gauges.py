"""Gauges of the call path on the metrics page."""

from knapweedspring_core import MetricsPage
from knapweedspring_relay._call_path import CallPath
from knapweedspring_relay._crash_records import CrashRecords
from knapweedspring_relay._memory_budget import MemoryBudget

__all__ = ["register_gauges"]


def register_gauges(
    page: MetricsPage, path: CallPath, crashes: CrashRecords, budget: MemoryBudget
) -> None:
    """Add gauges for the state of a node's call path.

    :param page: the metrics page.
    :param path: the components that requests pass through.
    :param crashes: requests that are refused because upstreams ended under them.
    :param budget: limits what peers make the process hold.
    """
    gate, queue = path.gate, path.gate.queue
    page.add_gauge("gate_running", lambda: float(queue.n_running))
    page.add_gauge("gate_waiting", lambda: float(queue.n_waiting))
    page.add_gauge("gate_limit", lambda: float(queue.limit))
    page.add_gauge("upstream_rate_limit", lambda: gate.rate_limit or 0.0)
    page.add_gauge("crash_suspects", lambda: float(crashes.n_suspects))
    page.add_gauge("refused_requests", lambda: float(crashes.n_refused))
    hop_pool = path.hop_pool
    page.add_gauge("hop_connections", lambda: float(hop_pool.n_connections))
    page.add_gauge("hop_bad_frames", lambda: float(hop_pool.n_bad_frames))
    page.add_gauge("peer_bytes", lambda: float(budget.n_bytes))
    page.add_gauge("peer_connections", lambda: float(budget.n_connections))
    page.add_gauge("peers_ended", lambda: float(budget.n_ended))
    pool = path.upstream_pool
    page.add_gauge("upstream_connections", lambda: float(pool.n_opened))
    page.add_gauge("upstream_answers_skipped", lambda: float(pool.n_skipped_answers))
    path.quotas.register_gauges(page)
