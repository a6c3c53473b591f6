"""Measures how fast declarations come into force, and what the platform pays.

``python -m knapweedspring_standins._declaration_bench --nodes 4 8 16`` starts a
mesh of each size over four data centres and prints one line a size: the time
from the platform's answer to a write until every node acts by it, the same until
the status objects say so, and the platform's calls a second at rest and while
one declaration changes a second.
"""

import argparse
import statistics
import time
from dataclasses import dataclass

import msgspec
import urllib3

from knapweedspring_core import (
    Force,
    HttpPlatform,
    ObjectKey,
    StatusPage,
    parse_status,
)
from knapweedspring_node import NodeSettings
from knapweedspring_standins._platform_faults import CallCounts
from knapweedspring_standins._processes import Process, ProcessGroup, poll_until

__all__ = ["DeclarationFigures", "measure_declarations"]

DATA_CENTRES = ("sandton", "midrand", "centurion", "benoni")
KEY = ObjectKey("RequestClass", "measured")
POLL_S = 0.005
SETTLE_TIMEOUT_S = 60.0
REST_S = 40.0
CHANGE_PERIOD_S = 1.0


@dataclass(frozen=True, slots=True)
class DeclarationFigures:
    """Figures of one size."""

    #: Nodes of the mesh.
    n_nodes: int
    #: Changes that were timed.
    n_changes: int
    #: Seconds from the platform's answer until the last node acts by it.
    in_force_median_s: float
    #: The same, worst case.
    in_force_max_s: float
    #: Seconds until every status object says that it is in force.
    status_median_s: float
    #: The same, worst case.
    status_max_s: float
    #: The platform's calls a second while nothing changes.
    calls_at_rest_per_s: float
    #: The platform's calls a second at one change a second, writes left out.
    calls_changing_per_s: float


class _MeasuredMesh:
    """Nodes without upstreams, and their platform."""

    def __init__(self, group: ProcessGroup, n_nodes: int) -> None:
        self._platform = group.start_standin("platform", ["platform", "--port", "0"])
        self._address = self._platform.ready.address
        self._client = HttpPlatform(self._address, max_calls_per_s=1_000)
        self._pool = urllib3.PoolManager(num_pools=64)
        self._nodes = [self._start(group, index) for index in range(n_nodes)]
        for node in self._nodes:
            _ = node.ready
        assert poll_until(self._is_settled, SETTLE_TIMEOUT_S)

    @property
    def n_nodes(self) -> int:
        """Nodes of the mesh."""
        return len(self._nodes)

    def n_calls(self) -> int:
        """Calls that the platform has counted, but for this program's own."""
        url = f"http://{self._address}/-/calls"
        counts = msgspec.json.decode(
            self._pool.request("GET", url).data, type=CallCounts
        )
        return sum(n for place, n in counts.by_data_centre.items() if place)

    def change(self, priority: int) -> int:
        """Write one declaration; returns its version."""
        held = self._client.get(KEY).unwrap()
        version = 0 if held is None else held.version
        content = f'{{"priority": {priority}}}'
        return self._client.put(KEY, content, "bench", version).unwrap().version

    def time_change(self, priority: int) -> tuple[float, float]:
        """Time one change until nodes and status objects show it, in seconds."""
        version = self.change(priority)
        began_at = time.monotonic()
        waiting = list(self._nodes)
        while waiting:
            waiting = [one for one in waiting if self._version(one) < version]
            time.sleep(POLL_S)
        in_force_s = time.monotonic() - began_at
        while not self._is_reported(version):
            time.sleep(POLL_S)
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

    def _page(self, node: Process) -> StatusPage:
        url = f"http://{node.ready.admin_address}/status"
        return msgspec.json.decode(self._pool.request("GET", url).data, type=StatusPage)

    def _version(self, node: Process) -> int:
        for one in self._page(node).declarations:
            if (one.kind, one.name) == (KEY.kind, KEY.name):
                return one.in_force_version
        return 0

    def _is_settled(self) -> bool:
        listed = self._client.list_all(("Status",)).unwrap()
        statuses = [parse_status(record).unwrap() for record in listed.records]
        n_reporting = sum(
            part.n_reporting for status in statuses for part in status.parts
        )
        one_part_each = all(len(status.parts) == 1 for status in statuses)
        return one_part_each and n_reporting == self.n_nodes

    def _is_reported(self, version: int) -> bool:
        listed = self._client.list_all(("Status",)).unwrap()
        return all(
            parse_status(record).unwrap().force_of(KEY, version) is Force.IN_FORCE
            for record in listed.records
        )


def measure_declarations(n_nodes: int, n_changes: int) -> DeclarationFigures:
    """Measure one size.

    :param n_nodes: nodes, at least one for each of the four data centres.
    :param n_changes: changes to time.
    """
    with ProcessGroup() as group:
        mesh = _MeasuredMesh(group, n_nodes)
        times = [mesh.time_change(index) for index in range(n_changes)]
        resting = _calls_per_s(mesh, changing=False)
        changing = _calls_per_s(mesh, changing=True)
    in_force = [one for one, _ in times]
    reported = [other for _, other in times]
    return DeclarationFigures(
        n_nodes=n_nodes,
        n_changes=n_changes,
        in_force_median_s=statistics.median(in_force),
        in_force_max_s=max(in_force),
        status_median_s=statistics.median(reported),
        status_max_s=max(reported),
        calls_at_rest_per_s=resting,
        calls_changing_per_s=changing,
    )


def _calls_per_s(mesh: _MeasuredMesh, changing: bool) -> float:
    began_at = time.monotonic()
    n_before = mesh.n_calls()
    priority = 0
    while time.monotonic() - began_at < REST_S:
        if changing:
            priority += 1
            mesh.change(priority)
        time.sleep(CHANGE_PERIOD_S)
    return (mesh.n_calls() - n_before) / (time.monotonic() - began_at)


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
