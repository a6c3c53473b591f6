"""Measures what control costs on each node, at several sizes of the mesh.

Run ``python -m knapweedspring_standins._control_bench --sizes 8 16``: it starts
that many node processes in four data centres beside one platform, without any
calls, and prints a line a size.
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
from knapweedspring_standins._socket_counts import SentBytes

__all__ = ["ControlFigures", "measure"]

DATA_CENTRES = ("a", "b", "c", "d")
SETTLE_S = 20.0
WAIT_MAX_S = 60.0
SAMPLE_PERIOD_S = 2.0
PAGE_TIMEOUT_S = 5.0
N_DECLARATIONS = 5
N_KILLS = 3
N_ANNOUNCEMENTS = 20
ANNOUNCEMENT_PERIOD_S = 1.0
#: Until the node has withdrawn the last upstream, whose heartbeat is missing.
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
    """Figures of one size; per node where not said otherwise."""

    #: Node processes.
    n_nodes: int
    #: Mean processor time, in percent of a core.
    cpu_percent: float
    #: That of the busiest node.
    cpu_percent_max: float
    #: Mean resident memory, in MB.
    memory_mb: float
    #: That of the largest node.
    memory_mb_max: float
    #: Mean bytes sent a second between nodes, TCP and IP headers included.
    sent_bytes_s: float
    #: Those of the node that sends most.
    sent_bytes_s_max: float
    #: Calls to the platform a second, of the whole mesh.
    platform_calls_s: float
    #: Longest time from a write's answer until every node had it in force, in s.
    spread_s: float
    #: Longest time from a kill until every node held the node dead, in s.
    noticed_s: float
    #: Mean bytes that a node sends for each change of an entry anywhere.
    change_bytes: float


class _Bench:
    """One mesh of idle nodes."""

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
        """Wait until each node knows all others."""
        for node in self._nodes:
            if not poll_until(functools.partial(self._knows_all, node), WAIT_MAX_S):
                raise RuntimeError(f"{node.name} does not know every node")

    def idle_figures(self, seconds: float) -> ControlFigures:
        """Measure a mesh in which nothing changes."""
        sent = self._watch_sent()
        began = time.monotonic()
        sent_before = dict(sent.by_pid)
        cpu_before = {node.pid: node.cpu_s() for node in self._nodes}
        calls_before = self._n_platform_calls()
        while time.monotonic() < began + seconds:
            time.sleep(SAMPLE_PERIOD_S)
            sent.sample()
        elapsed_s = time.monotonic() - began
        cpu = [
            (node.cpu_s() - cpu_before[node.pid]) / elapsed_s * 100
            for node in self._nodes
        ]
        by_pid = sent.by_pid
        rates = [
            (by_pid.get(node.pid, 0) - sent_before.get(node.pid, 0)) / elapsed_s
            for node in self._nodes
        ]
        memory = [node.memory_kb() / 1_024 for node in self._nodes]
        return ControlFigures(
            n_nodes=len(self._nodes),
            cpu_percent=statistics.mean(cpu),
            cpu_percent_max=max(cpu),
            memory_mb=statistics.mean(memory),
            memory_mb_max=max(memory),
            sent_bytes_s=statistics.mean(rates),
            sent_bytes_s_max=max(rates),
            platform_calls_s=(self._n_platform_calls() - calls_before) / elapsed_s,
            spread_s=0.0,
            noticed_s=0.0,
            change_bytes=0.0,
        )

    def change_bytes(self, idle_bytes_s: float) -> float:
        """Announce upstreams, and return what one change costs each node.

        An upstream that does not repeat its announcement is withdrawn, so that
        each announcement makes two changes.

        :param idle_bytes_s: mean bytes a second without changes.
        """
        sent = self._watch_sent()
        before = sum(sent.by_pid.values())
        began = time.monotonic()
        for number in range(N_ANNOUNCEMENTS):
            self._announce(self._nodes[number % len(self._nodes)])
            time.sleep(ANNOUNCEMENT_PERIOD_S)
            sent.sample()
        until = time.monotonic() + WITHDRAWAL_MAX_S
        while time.monotonic() < until:
            time.sleep(SAMPLE_PERIOD_S)
            sent.sample()
        elapsed_s = time.monotonic() - began
        n_bytes = (sum(sent.by_pid.values()) - before) / len(self._nodes)
        return (n_bytes - idle_bytes_s * elapsed_s) / (2 * N_ANNOUNCEMENTS)

    def spread_s(self) -> float:
        """Write declarations and return the longest time until all had one."""
        return max(self._spread_one(number) for number in range(N_DECLARATIONS))

    def noticed_s(self) -> float:
        """Kill nodes one by one and return the longest time until all knew."""
        return max(self._kill_one() for _ in range(N_KILLS))

    def _start(self, index: int, seeds: tuple[str, ...]) -> Process:
        public_key, secret_key = self._keys
        file = _NodeFile(
            node_id=f"node-{index}-",
            firm="bench",
            data_centre=DATA_CENTRES[index % len(DATA_CENTRES)],
            platform_address=self._platform_address,
            mesh_key="00" * 32,
            seeds=seeds,
            curve_public_key=public_key,
            curve_secret_key=secret_key,
        )
        return self._group.start_node(file)

    def _watch_sent(self) -> SentBytes:
        addresses = [node.ready.control_address for node in self._nodes]
        ports = frozenset(address.rpartition(":")[2] for address in addresses)
        sent = SentBytes(ports)
        sent.sample()
        return sent

    def _announce(self, node: Process) -> None:
        upstream = AnnouncedUpstream("bench", "127.0.0.1:9", 10, 10)
        url = f"http://{node.ready.admin_address}/upstreams"
        body = msgspec.json.encode(upstream)
        self._pool.request("POST", url, body=body, timeout=PAGE_TIMEOUT_S)

    def _knows_all(self, node: Process) -> bool:
        members = self._page(node, "/members", MembersPage).members
        alive = [one for one in members if one.state is MemberState.ALIVE]
        return len(alive) == len(self._nodes)

    def _spread_one(self, number: int) -> float:
        key = ObjectKey("RequestClass", f"class-{number}")
        record = self._platform.put(key, '{"priority": 1}', "bench", 0).unwrap()
        written_us = time.time_ns() // 1_000

        def has_it(event: Event) -> bool:
            version = event.fields.get("version", "")
            return (
                event.kind == "declaration:in-force"
                and event.fields["key"] == str(key)
                and version == str(record.version)
            )

        return self._longest_s(written_us, has_it)

    def _kill_one(self) -> float:
        killed = self._nodes.pop()
        node_id = killed.ready.node_id
        killed.kill()
        killed_us = time.time_ns() // 1_000

        def holds_dead(event: Event) -> bool:
            return (
                event.kind == "membership:state"
                and event.fields["node"] == node_id
                and event.fields["state"] == MemberState.DEAD
            )

        return self._longest_s(killed_us, holds_dead)

    def _longest_s(self, since_us: int, matches: Callable[[Event], bool]) -> float:
        return (
            max(self._event_us(node, matches) - since_us for node in self._nodes)
            / _US_PER_S
        )

    def _event_us(self, node: Process, matches: Callable[[Event], bool]) -> int:
        found: list[int] = []

        def look() -> bool:
            events = self._page(node, "/events", EventsPage).events
            found.extend(one.stamp.wall_us for one in events if matches(one))
            return bool(found)

        if not poll_until(look, WAIT_MAX_S):
            raise RuntimeError(f"{node.name} recorded no such event")
        return min(found)

    def _n_platform_calls(self) -> int:
        url = f"http://{self._platform_address}/-/calls"
        answer = self._pool.request("GET", url, timeout=PAGE_TIMEOUT_S)
        return msgspec.json.decode(answer.data, type=CallCounts).total

    def _page(self, node: Process, path: str, page_type: type[T]) -> T:
        url = f"http://{node.ready.admin_address}{path}"
        answer = self._pool.request("GET", url, timeout=PAGE_TIMEOUT_S)
        return msgspec.json.decode(answer.data, type=page_type)


def measure(n_nodes: int, seconds: float) -> ControlFigures:
    """Start a mesh, let it settle, and measure it.

    :param n_nodes: number of node processes.
    :param seconds: length of the measurement without changes.
    """
    with ProcessGroup() as group:
        bench = _Bench(group, n_nodes)
        bench.wait_joined()
        time.sleep(SETTLE_S)
        idle = bench.idle_figures(seconds)
        return replace(
            idle,
            change_bytes=bench.change_bytes(idle.sent_bytes_s),
            spread_s=bench.spread_s(),
            noticed_s=bench.noticed_s(),
        )


def main(arguments: list[str] | None = None) -> int:
    """Measure each size and print a table.

    :param arguments: command line without the program's name.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=[8, 16, 32, 64])
    parser.add_argument("--seconds", type=float, default=30.0)
    options = parser.parse_args(arguments)
    print(
        "nodes  cpu %  max  memory MB  max  sent B/s  max  platform calls/s"
        "  spread s  noticed s  B/change"
    )
    for n_nodes in options.sizes:
        print(_line(measure(n_nodes, options.seconds)), flush=True)
    return 0


def _line(figures: ControlFigures) -> str:
    return (
        f"{figures.n_nodes:5}  {figures.cpu_percent:5.2f}  "
        f"{figures.cpu_percent_max:.2f}  {figures.memory_mb:9.1f}  "
        f"{figures.memory_mb_max:.1f}  {figures.sent_bytes_s:8.0f}  "
        f"{figures.sent_bytes_s_max:.0f}  {figures.platform_calls_s:16.2f}  "
        f"{figures.spread_s:8.2f}  {figures.noticed_s:9.2f}  "
        f"{figures.change_bytes:8.0f}"
    )


if __name__ == "__main__":
    sys.exit(main())
