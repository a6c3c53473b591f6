"""Measures the cost of control traffic on each node, at several sizes of the mesh.

Run ``python -m knapweedspring_standins._control_bench --sizes 8 16``: it starts
that many node processes in four data centres and one platform, sends no calls, and
prints one line for each size. The column ``in force s`` is the longest time until a
declaration was in force on every node. The column ``dead s`` is the longest time until
every remaining node marked a killed node as dead.
"""

import argparse
import functools
import statistics
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import TypeVar

import msgspec
import urllib3
import zmq

from knapweedspring_core import (
    AnnouncedUpstream,
    Event,
    EventsPage,
    HttpPlatform,
    MembersPage,
    MemberState,
    ObjectKey,
)
from knapweedspring_standins._platform_faults import CallCounts
from knapweedspring_standins._processes import Process, ProcessGroup, poll_until
from knapweedspring_standins._socket_counts import SentBytesCounter

__all__ = ["ControlFigures", "measure"]

DATA_CENTRES = ("a", "b", "c", "d")
#: Seconds to wait after all nodes joined, so that control traffic of the joins has
#: ended before the measurement.
SETTLE_S = 20.0
POLL_TIMEOUT_S = 60.0
SAMPLE_PERIOD_S = 2.0
PAGE_TIMEOUT_S = 5.0
N_DECLARATIONS = 5
N_KILLS = 3
N_ANNOUNCEMENTS = 20
ANNOUNCEMENT_PERIOD_S = 1.0
#: Longest time in seconds until a node withdraws an upstream that sends no more
#: heartbeats.
WITHDRAWAL_MAX_S = 8.0
_US_PER_S = 1_000_000

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class _NodeFile:
    """Settings file of one node."""

    node_id: str
    firm: str
    data_centre: str
    platform_address: str
    mesh_key: str
    seeds: tuple[str, ...]
    curve_public_key: str
    curve_secret_key: str
    call_address: str = "127.0.0.1:0"
    control_address: str = "127.0.0.1:0"
    admin_address: str = "127.0.0.1:0"


@dataclass(frozen=True, slots=True)
class ControlFigures:
    """Figures of one mesh size; per node unless stated otherwise."""

    #: Number of node processes.
    n_nodes: int
    #: Mean CPU usage, in percent of a core.
    cpu_percent: float
    #: CPU usage of the busiest node, in percent of a core.
    cpu_percent_max: float
    #: Mean resident memory, in MB.
    memory_mb: float
    #: Resident memory of the largest node, in MB.
    memory_mb_max: float
    #: Mean number of bytes that a node sends to other nodes per second, including TCP
    #: and IP headers.
    sent_bytes_per_s: float
    #: Bytes per second of the node that sends most to other nodes.
    sent_bytes_per_s_max: float
    #: Calls per second that all nodes together make to the platform.
    platform_calls_per_s: float
    #: Longest time from the platform's answer to the write of a declaration until the
    #: declaration was in force on every node, in s.
    in_force_max_s: float
    #: Longest time from the kill of a node until every remaining node marked it as
    #: dead, in s.
    death_detection_max_s: float
    #: Mean number of bytes that a node sends for one change of any member's entry,
    #: beyond the traffic without changes.
    bytes_per_change: float


class _IdleMesh:
    """A mesh of nodes that get no calls, and its platform."""

    def __init__(self, group: ProcessGroup, n_nodes: int) -> None:
        self._group = group
        self._pool = urllib3.PoolManager(num_pools=n_nodes + 2, retries=False)
        platform = group.start_standin("platform", ["platform", "--port=0"])
        self._platform_address = platform.ready.address
        self._platform = HttpPlatform(self._platform_address)
        self._keys = tuple(key.decode() for key in zmq.curve_keypair())
        self._nodes = [self._start(0, ())]
        seeds = (self._nodes[0].ready.control_address,)
        self._nodes += [self._start(index, seeds) for index in range(1, n_nodes)]

    def wait_joined(self) -> None:
        """Wait until each node's membership view shows all nodes as alive.

        :raises RuntimeError: a node does not show this in time.
        """
        for node in self._nodes:
            if not poll_until(
                functools.partial(self._has_all_alive, node), POLL_TIMEOUT_S
            ):
                raise RuntimeError(f"{node.name} does not list all nodes as alive")

    def idle_figures(self, seconds: float) -> ControlFigures:
        """Measure the mesh while nothing changes.

        :param seconds: length of the measurement.
        :return: figures of the mesh; the fields about declarations, kills and changes
            of entries are 0.
        """
        sent_bytes = self._start_counting_sent()
        began_at = time.monotonic()
        sent_before = dict(sent_bytes.by_pid)
        cpu_before = {node.pid: node.cpu_s() for node in self._nodes}
        calls_before = self._n_platform_calls()
        while time.monotonic() < began_at + seconds:
            time.sleep(SAMPLE_PERIOD_S)
            sent_bytes.sample()
        elapsed_s = time.monotonic() - began_at
        cpu_percents = [
            (node.cpu_s() - cpu_before[node.pid]) / elapsed_s * 100
            for node in self._nodes
        ]
        by_pid = sent_bytes.by_pid
        sent_rates = [
            (by_pid.get(node.pid, 0) - sent_before.get(node.pid, 0)) / elapsed_s
            for node in self._nodes
        ]
        memory_mbs = [node.memory_kb() / 1_024 for node in self._nodes]
        return ControlFigures(
            n_nodes=len(self._nodes),
            cpu_percent=statistics.mean(cpu_percents),
            cpu_percent_max=max(cpu_percents),
            memory_mb=statistics.mean(memory_mbs),
            memory_mb_max=max(memory_mbs),
            sent_bytes_per_s=statistics.mean(sent_rates),
            sent_bytes_per_s_max=max(sent_rates),
            platform_calls_per_s=(self._n_platform_calls() - calls_before) / elapsed_s,
            in_force_max_s=0.0,
            death_detection_max_s=0.0,
            bytes_per_change=0.0,
        )

    def bytes_per_change(self, idle_bytes_per_s: float) -> float:
        """Announce upstreams, and return the mean bytes that a node sends per change.

        The bytes that a node would have sent without changes are subtracted. A node
        withdraws an upstream whose announcement is not repeated, so each announcement
        makes two changes of the node's entry.

        :param idle_bytes_per_s: mean bytes that a node sends per second without
            changes.
        """
        sent_bytes = self._start_counting_sent()
        n_bytes_before = sum(sent_bytes.by_pid.values())
        began_at = time.monotonic()
        for number in range(N_ANNOUNCEMENTS):
            self._announce(self._nodes[number % len(self._nodes)])
            time.sleep(ANNOUNCEMENT_PERIOD_S)
            sent_bytes.sample()
        deadline_at = time.monotonic() + WITHDRAWAL_MAX_S
        while time.monotonic() < deadline_at:
            time.sleep(SAMPLE_PERIOD_S)
            sent_bytes.sample()
        elapsed_s = time.monotonic() - began_at
        n_bytes = (sum(sent_bytes.by_pid.values()) - n_bytes_before) / len(self._nodes)
        return (n_bytes - idle_bytes_per_s * elapsed_s) / (2 * N_ANNOUNCEMENTS)

    def in_force_max_s(self) -> float:
        """Write declarations and return the longest time for one to come into force.

        The time of a declaration runs from the platform's answer to the write until
        the declaration is in force on every node, in seconds.
        """
        return max(self._time_declaration_s(number) for number in range(N_DECLARATIONS))

    def death_detection_max_s(self) -> float:
        """Kill nodes one by one and return the longest time to detect a death.

        The time of a death runs from the kill until every remaining node has marked
        the killed node as dead, in seconds.
        """
        return max(self._time_death_s() for _ in range(N_KILLS))

    def _start(self, index: int, seeds: tuple[str, ...]) -> Process:
        public_key, secret_key = self._keys
        settings = _NodeFile(
            node_id=f"node-{index}-",
            firm="bench",
            data_centre=DATA_CENTRES[index % len(DATA_CENTRES)],
            platform_address=self._platform_address,
            mesh_key="00" * 32,
            seeds=seeds,
            curve_public_key=public_key,
            curve_secret_key=secret_key,
        )
        return self._group.start_node(settings)

    def _start_counting_sent(self) -> SentBytesCounter:
        addresses = [node.ready.control_address for node in self._nodes]
        ports = frozenset(address.rpartition(":")[2] for address in addresses)
        sent_bytes = SentBytesCounter(ports)
        sent_bytes.sample()
        return sent_bytes

    def _announce(self, node: Process) -> None:
        upstream = AnnouncedUpstream("bench", "127.0.0.1:9", 10, 10)
        url = f"http://{node.ready.admin_address}/upstreams"
        body = msgspec.json.encode(upstream)
        self._pool.request("POST", url, body=body, timeout=PAGE_TIMEOUT_S)

    def _has_all_alive(self, node: Process) -> bool:
        members = self._page(node, "/members", MembersPage).members
        alive_members = [
            member for member in members if member.state is MemberState.ALIVE
        ]
        return len(alive_members) == len(self._nodes)

    def _time_declaration_s(self, number: int) -> float:
        key = ObjectKey("RequestClass", f"class-{number}")
        record = self._platform.put(key, '{"priority": 1}', "bench", 0).unwrap()
        written_us = time.time_ns() // 1_000

        def is_in_force(event: Event) -> bool:
            version = event.fields.get("version", "")
            return (
                event.kind == "declaration:in-force"
                and event.fields["key"] == str(key)
                and version == str(record.version)
            )

        return self._longest_delay_s(written_us, is_in_force)

    def _time_death_s(self) -> float:
        killed_node = self._nodes.pop()
        node_id = killed_node.ready.node_id
        killed_node.kill()
        killed_us = time.time_ns() // 1_000

        def marks_dead(event: Event) -> bool:
            return (
                event.kind == "membership:state"
                and event.fields["node"] == node_id
                and event.fields["state"] == MemberState.DEAD
            )

        return self._longest_delay_s(killed_us, marks_dead)

    def _longest_delay_s(
        self, since_us: int, matches: Callable[[Event], bool]
    ) -> float:
        return (
            max(self._event_us(node, matches) - since_us for node in self._nodes)
            / _US_PER_S
        )

    def _event_us(self, node: Process, matches: Callable[[Event], bool]) -> int:
        event_times_us: list[int] = []

        def find_events() -> bool:
            events = self._page(node, "/events", EventsPage).events
            event_times_us.extend(
                event.stamp.wall_us for event in events if matches(event)
            )
            return bool(event_times_us)

        if not poll_until(find_events, POLL_TIMEOUT_S):
            raise RuntimeError(f"{node.name} recorded no matching event in time")
        return min(event_times_us)

    def _n_platform_calls(self) -> int:
        url = f"http://{self._platform_address}/-/calls"
        answer = self._pool.request("GET", url, timeout=PAGE_TIMEOUT_S)
        return msgspec.json.decode(answer.data, type=CallCounts).total

    def _page(self, node: Process, path: str, page_type: type[T]) -> T:
        url = f"http://{node.ready.admin_address}{path}"
        answer = self._pool.request("GET", url, timeout=PAGE_TIMEOUT_S)
        return msgspec.json.decode(answer.data, type=page_type)


def measure(n_nodes: int, seconds: float) -> ControlFigures:
    """Start a mesh and measure its control traffic.

    :param n_nodes: number of node processes.
    :param seconds: length of the measurement without changes.
    :return: cost of control traffic, and times of changes.
    :raises RuntimeError: a node does not reach an expected state in time.
    """
    with ProcessGroup() as group:
        mesh = _IdleMesh(group, n_nodes)
        mesh.wait_joined()
        time.sleep(SETTLE_S)
        idle = mesh.idle_figures(seconds)
        return replace(
            idle,
            bytes_per_change=mesh.bytes_per_change(idle.sent_bytes_per_s),
            in_force_max_s=mesh.in_force_max_s(),
            death_detection_max_s=mesh.death_detection_max_s(),
        )


def main(arguments: list[str] | None = None) -> int:
    """Measure a mesh of each size and print a table.

    :param arguments: command line without the program's name.
    :return: the exit code.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=[8, 16, 32, 64])
    parser.add_argument("--seconds", type=float, default=30.0)
    options = parser.parse_args(arguments)
    print(
        "nodes  cpu %  max  memory MB  max  sent B/s  max  platform calls/s"
        "  in force s   dead s  B/change"
    )
    for n_nodes in options.sizes:
        print(_table_row(measure(n_nodes, options.seconds)), flush=True)
    return 0


def _table_row(figures: ControlFigures) -> str:
    return (
        f"{figures.n_nodes:5}  {figures.cpu_percent:5.2f}  "
        f"{figures.cpu_percent_max:.2f}  {figures.memory_mb:9.1f}  "
        f"{figures.memory_mb_max:.1f}  {figures.sent_bytes_per_s:8.0f}  "
        f"{figures.sent_bytes_per_s_max:.0f}  {figures.platform_calls_per_s:16.2f}  "
        f"{figures.in_force_max_s:8.2f}  {figures.death_detection_max_s:9.2f}  "
        f"{figures.bytes_per_change:8.0f}"
    )


if __name__ == "__main__":
    sys.exit(main())
