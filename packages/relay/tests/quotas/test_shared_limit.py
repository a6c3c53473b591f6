"""Guards against a workspace that exceeds its quota over all nodes, or is starved.

A workspace sends many times its quota at a few nodes while nodes restart, pause, are
cut off and meet again. In no window may more requests start than the quota tolerates;
what a workspace asks below its quota is to start wherever its callers connect.
"""

import pytest
from _simulation import Simulation, make_quota
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from knapweedspring_relay._quotas import QuotaCoordinator

#: Number of nodes, number of data centres, and quota in requests per second.
DEPLOYMENTS = ((3, 1, 10.0), (8, 2, 20.0), (75, 4, 124.0), (300, 6, 400.0))
LENGTH_S = 30.0
WARM_UP_S = 8.0


def add_callers(simulation, total_per_s, n_callers, begins_at=WARM_UP_S):
    nodes = list(simulation.nodes.values())
    chosen = simulation.rng.sample(nodes, min(n_callers, len(nodes)))
    for node in chosen:
        rate_per_s = total_per_s / len(chosen)
        simulation.add_caller(node, rate_per_s, begins_at, LENGTH_S)


def inject_faults(simulation, n_faults):
    rng, nodes = simulation.rng, list(simulation.nodes.values())

    def some(share):
        return rng.sample(nodes, max(1, int(share * len(nodes))))

    def fault():
        kind = rng.choice(("cut", "zone", "pause", "restart", "restart-all", "count"))
        if kind == "cut":
            names = [node.name for node in some(0.3)]
            simulation.cut_nodes(names, rng.uniform(0.2, 6.0))
        elif kind == "zone":
            name = rng.choice(nodes).data_centre
            simulation.cut_data_centre(name, rng.uniform(0.2, 6.0))
        elif kind == "pause":
            for node in some(0.2):
                simulation.pause(node, rng.uniform(0.2, 3.0))
        elif kind == "restart":
            for node in some(0.2):
                simulation.restart(node, rng.uniform(0.3, 3.0))
        elif kind == "restart-all":
            for node in nodes:
                simulation.restart(node, 1.0)
        else:
            # Nodes learn of a change of the number of nodes at different times.
            for node in some(0.5):
                local = simulation.n_local(node.data_centre)
                node.n_known = max(1, round(0.95 * local))

    for _ in range(n_faults):
        simulation.at(rng.uniform(WARM_UP_S, LENGTH_S), fault)


@pytest.mark.parametrize("n_nodes, n_data_centres, per_s", DEPLOYMENTS[:3])
@given(seed=st.integers(0, 2**32), n_faults=st.integers(0, 8))
@settings(
    max_examples=12,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
def test_no_window_exceeds_the_quota_under_faults(
    n_nodes, n_data_centres, per_s, seed, n_faults
):
    simulation = Simulation(n_nodes, n_data_centres, make_quota(per_s), seed)
    add_callers(simulation, 3.0 * per_s, 3 * n_data_centres)
    inject_faults(simulation, n_faults)
    simulation.run(LENGTH_S)
    assert simulation.starts
    assert simulation.largest_window() <= simulation.allowed


@pytest.mark.parametrize("n_nodes, n_data_centres, per_s", DEPLOYMENTS)
def test_hot_workspace_is_held_to_its_quota_and_gets_all_of_it(
    n_nodes, n_data_centres, per_s
):
    simulation = Simulation(n_nodes, n_data_centres, make_quota(per_s), 1)
    add_callers(simulation, 7.5 * per_s, n_nodes)
    simulation.run(LENGTH_S)
    assert simulation.largest_window() <= simulation.allowed
    n_started = simulation.n_started(WARM_UP_S, LENGTH_S)
    assert n_started >= per_s * (LENGTH_S - WARM_UP_S)


@pytest.mark.parametrize("n_nodes, n_data_centres, per_s", DEPLOYMENTS)
def test_requests_below_the_quota_start_at_whichever_nodes_callers_use(
    n_nodes, n_data_centres, per_s
):
    """Two callers in each data centre send 60% of the quota."""
    simulation = Simulation(n_nodes, n_data_centres, make_quota(per_s), 1)
    for data_centre in {node.data_centre for node in simulation.nodes.values()}:
        local = [
            node
            for node in simulation.nodes.values()
            if node.data_centre == data_centre
        ]
        for node in simulation.rng.sample(local, min(2, len(local))):
            rate_per_s = 0.6 * per_s / n_data_centres / min(2, len(local))
            simulation.add_caller(node, rate_per_s, WARM_UP_S, LENGTH_S)
    simulation.run(LENGTH_S)
    n_expected = 0.6 * per_s * (LENGTH_S - WARM_UP_S)
    n_started = simulation.n_started(WARM_UP_S, LENGTH_S)
    assert n_started >= 0.9 * n_expected


def test_data_centre_whose_callers_need_more_borrows_what_the_others_leave():
    """All callers of a large workspace use one data centre, then move to another."""
    quota = make_quota(124.0)
    simulation = Simulation(75, 4, quota, 1)
    for data_centre, begin, end in (("dc0", WARM_UP_S, 18.0), ("dc2", 18.0, LENGTH_S)):
        local = [n for n in simulation.nodes.values() if n.data_centre == data_centre]
        for node in local[:3]:
            simulation.add_caller(node, 0.6 * quota.per_s / 3, begin, end)
    simulation.run(LENGTH_S)
    n_started = simulation.n_started(WARM_UP_S, LENGTH_S)
    assert n_started >= 0.85 * 0.6 * quota.per_s * (LENGTH_S - WARM_UP_S)
    assert simulation.largest_window() <= simulation.allowed


def test_cut_data_centre_keeps_its_part_and_loans_end():
    """The others stop to use what they borrowed before its part is used there."""
    quota = make_quota(124.0)
    simulation = Simulation(75, 4, quota, 1)
    nodes = list(simulation.nodes.values())
    for node in [n for n in nodes if n.data_centre == "dc0"][:3]:
        simulation.add_caller(node, 2.0 * quota.per_s, WARM_UP_S, LENGTH_S)
    simulation.at(14.9, lambda: simulation.cut_data_centre("dc1", 8.0))
    for node in [n for n in nodes if n.data_centre == "dc1"][:3]:
        simulation.add_caller(node, 2.0 * quota.per_s, 15.0, 22.0)
    simulation.run(LENGTH_S)
    assert simulation.largest_window() <= simulation.allowed


@pytest.mark.parametrize("seed", range(3))
def test_bound_does_not_hold_for_buckets_that_start_full(seed, monkeypatch):
    """The check of windows notices a coordinator that forgets what was spent."""
    monkeypatch.setattr(QuotaCoordinator, "_accrued_units", lambda *_: 1e9)
    simulation = Simulation(8, 2, make_quota(20.0), seed, slack=0.0)
    add_callers(simulation, 100.0, 8)
    for time in (12.0, 14.0, 16.0):

        def restart_all():
            for node in simulation.nodes.values():
                simulation.restart(node, 0.1)

        simulation.at(time, restart_all)
    simulation.run(LENGTH_S)
    assert simulation.largest_window() > simulation.allowed
