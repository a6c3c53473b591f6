"""Measures how fast declarations come into force, and the load on the platform.

``python -m knapweedspring_standins._declaration_bench --nodes 4 8 16`` starts a
mesh of each size over four data centres and prints one line of JSON for each size:
the time from the platform's answer to a write until the declaration is in force on
every node, the time from that answer until every status object shows the declaration
as in force, and the calls per second that the platform receives from the nodes, both
without changes and while one declaration changes per second.
"""

import argparse
import statistics
import time
from dataclasses import dataclass

import msgspec
import urllib3

from knapweedspring_core import (
    HttpPlatform,
    ObjectKey,
    RolloutState,
    StatusPage,
    parse_status,
)
from knapweedspring_node import NodeSettings
from knapweedspring_standins._platform_faults import CallCounts
from knapweedspring_standins._processes import Process, ProcessGroup, poll_until

__all__ = ["DeclarationFigures", "measure_declarations"]

DATA_CENTRES = ("sandton", "midrand", "centurion", "benoni")
KEY = ObjectKey("RequestClass", "measured")
POLL_INTERVAL_S = 0.005
READY_TIMEOUT_S = 60.0
#: Seconds over which the calls that the nodes make to the platform are counted.
CALL_RATE_PERIOD_S = 40.0
CHANGE_PERIOD_S = 1.0


@dataclass(frozen=True, slots=True)
class DeclarationFigures:
    """Figures of one mesh size."""

    #: Number of nodes.
    n_nodes: int
    #: Number of changes of the declaration that were timed.
    n_changes: int
    #: Median time from the platform's answer to a write until the change is in force
    #: on every node, in seconds.
    in_force_median_s: float
    #: Maximum of the time until a change is in force on every node, in seconds.
    in_force_max_s: float
    #: Median time from the platform's answer to a write until every status object
    #: shows the change as in force, in seconds.
    status_median_s: float
    #: Maximum of the time until every status object shows a change as in force, in
    #: seconds.
    status_max_s: float
    #: Calls per second that all nodes together make to the platform while nothing
    #: changes.
    calls_at_rest_per_s: float
    #: Calls per second that all nodes together make to the platform while one
    #: declaration changes per second; the bench's writes are not counted.
    calls_changing_per_s: float


class _MeasuredMesh:
    """A mesh of nodes without upstreams, and its platform."""

    def __init__(self, group: ProcessGroup, n_nodes: int) -> None:
        self._platform = group.start_standin("platform", ["platform", "--port", "0"])
        self._address = self._platform.ready.address
        self._client = HttpPlatform(self._address, max_calls_per_s=1_000)
        self._pool = urllib3.PoolManager(num_pools=64)
        self._nodes = [self._start(group, index) for index in range(n_nodes)]
        for node in self._nodes:
            _ = node.ready
        assert poll_until(self._all_nodes_report, READY_TIMEOUT_S)

    @property
    def n_nodes(self) -> int:
        """Number of nodes."""
        return len(self._nodes)

    def n_platform_calls(self) -> int:
        """Return the number of calls that the platform got from nodes so far."""
        url = f"http://{self._address}/-/calls"
        counts = msgspec.json.decode(
            self._pool.request("GET", url).data, type=CallCounts
        )
        return sum(n for data_centre, n in counts.by_data_centre.items() if data_centre)

    def write_declaration(self, priority: int) -> int:
        """Write the measured declaration, a request class, with a new priority.

        :param priority: priority of the request class.
        :return: version of the object after the write.
        """
        current = self._client.get(KEY).unwrap()
        version = 0 if current is None else current.version
        content = f'{{"priority": {priority}}}'
        return self._client.put(KEY, content, "bench", version).unwrap().version

    def time_change(self, priority: int) -> tuple[float, float]:
        """Time one change of the declaration.

        :param priority: new priority of the request class.
        :return: seconds from the platform's answer until the change is in force on all
            nodes, and until all status objects show it as in force.
        """
        version = self.write_declaration(priority)
        began_at = time.monotonic()
        lagging = list(self._nodes)
        while lagging:
            lagging = [
                node for node in lagging if self._in_force_version(node) < version
            ]
            time.sleep(POLL_INTERVAL_S)
        in_force_s = time.monotonic() - began_at
        while not self._is_reported_in_force(version):
            time.sleep(POLL_INTERVAL_S)
        return in_force_s, time.monotonic() - began_at

    def _start(self, group: ProcessGroup, index: int) -> Process:
        settings = NodeSettings(
            node_id=f"n{index}",
            firm="bench",
            data_centre=DATA_CENTRES[index % len(DATA_CENTRES)],
            call_address="127.0.0.1:0",
            control_address="127.0.0.1:0",
            admin_address="127.0.0.1:0",
            platform_address=self._address,
            mesh_key="00" * 16,
            n_workers=2,
            allow_plain_control=True,
        )
        return group.start_node(settings)

    def _status_page(self, node: Process) -> StatusPage:
        url = f"http://{node.ready.admin_address}/status"
        return msgspec.json.decode(self._pool.request("GET", url).data, type=StatusPage)

    def _in_force_version(self, node: Process) -> int:
        for declaration in self._status_page(node).declarations:
            if (declaration.kind, declaration.name) == (KEY.kind, KEY.name):
                return declaration.in_force_version
        return 0

    def _all_nodes_report(self) -> bool:
        listed = self._client.list_all(("Status",)).unwrap()
        statuses = [parse_status(record).unwrap() for record in listed.records]
        n_reporting = sum(
            part.n_reporting for status in statuses for part in status.parts
        )
        one_part_each = all(len(status.parts) == 1 for status in statuses)
        return one_part_each and n_reporting == self.n_nodes

    def _is_reported_in_force(self, version: int) -> bool:
        listed = self._client.list_all(("Status",)).unwrap()
        return all(
            parse_status(record).unwrap().rollout_state(KEY, version)
            is RolloutState.IN_FORCE
            for record in listed.records
        )


def measure_declarations(n_nodes: int, n_changes: int) -> DeclarationFigures:
    """Start a mesh, and time changes of a declaration and count platform calls.

    :param n_nodes: number of nodes, at least one for each of the four data centres.
    :param n_changes: number of changes to time.
    :return: times of the changes, and rates of calls to the platform.
    """
    with ProcessGroup() as group:
        mesh = _MeasuredMesh(group, n_nodes)
        change_times_s = [mesh.time_change(index) for index in range(n_changes)]
        at_rest_per_s = _platform_calls_per_s(mesh, with_changes=False)
        changing_per_s = _platform_calls_per_s(mesh, with_changes=True)
    in_force_times_s = [in_force_s for in_force_s, _ in change_times_s]
    status_times_s = [status_s for _, status_s in change_times_s]
    return DeclarationFigures(
        n_nodes=n_nodes,
        n_changes=n_changes,
        in_force_median_s=statistics.median(in_force_times_s),
        in_force_max_s=max(in_force_times_s),
        status_median_s=statistics.median(status_times_s),
        status_max_s=max(status_times_s),
        calls_at_rest_per_s=at_rest_per_s,
        calls_changing_per_s=changing_per_s,
    )


def _platform_calls_per_s(mesh: _MeasuredMesh, with_changes: bool) -> float:
    began_at = time.monotonic()
    n_before = mesh.n_platform_calls()
    priority = 0
    while time.monotonic() - began_at < CALL_RATE_PERIOD_S:
        if with_changes:
            priority += 1
            mesh.write_declaration(priority)
        time.sleep(CHANGE_PERIOD_S)
    return (mesh.n_platform_calls() - n_before) / (time.monotonic() - began_at)


def _main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", type=int, nargs="+", default=[4, 8, 16])
    parser.add_argument("--changes", type=int, default=12)
    options = parser.parse_args()
    for n_nodes in options.nodes:
        figures = measure_declarations(n_nodes, options.changes)
        print(msgspec.json.encode(figures).decode(), flush=True)


if __name__ == "__main__":
    _main()
