"""Paired latency bench: direct calls, calls through one node, and through two.

Each caller makes groups of three calls, one over each route, back to back and in
rotating order, so that load spikes of the machine affect all three routes equally. The
differences between the latencies of a group are the latency that the nodes add.
"""

import gc
import os
import random
import socket
import threading
import time
from collections.abc import Iterable
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram
from urllib3.connection import HTTPConnection

from knapweedspring_core import RequestClass, Service
from knapweedspring_standins._layout import (
    DeclaredObject,
    MeshLayout,
    ServiceLayout,
)
from knapweedspring_standins._mesh import Mesh, start_mesh
from knapweedspring_standins._processes import ProcessFailed, ProcessGroup

__all__ = ["LatencyReport", "RouteFigures", "latency_text", "run_latency"]

#: Load levels: number of connections on each route, and mean pause of a caller between
#: two call groups, in seconds.
LEVELS = ((1, 0.033), (8, 0.1), (64, 0.5))
#: The first route is the reference of the differences.
ROUTES = ("direct", "one node", "two nodes")
WARM_UP_S = 2.0
TIMEOUT_S = 10.0
US_PER_S = 1_000_000
HISTOGRAM_MAX_US = 10 * US_PER_S


@dataclass(frozen=True, slots=True)
class RouteFigures:
    """Latency of one route at one number of connections."""

    #: Number of connections on each route.
    n_connections: int
    #: Name of the route.
    route: str
    #: Number of calls that were measured.
    n: int
    #: Median, in ms.
    p50_ms: float
    #: 99th percentile, in ms.
    p99_ms: float
    #: Median of the difference to the direct call of the same group, in ms.
    added_p50_ms: float
    #: 99th percentile of the difference to the direct call of the same group, in ms.
    added_p99_ms: float
    #: Difference of the 99th percentiles of the route and of direct calls, in ms.
    p99_difference_ms: float


@dataclass(frozen=True, slots=True)
class LatencyReport:
    """Figures of one run of the latency bench."""

    #: Seed of the pauses.
    seed: int
    #: Length of the measurement at each number of connections, in seconds.
    seconds: float
    #: Processor cores of the machine.
    n_cores: int
    #: Load average of the machine over the minute before the run.
    load_before: float
    #: Number of call groups in which a call failed.
    n_failed: int
    #: Figures of each route at each number of connections.
    routes: tuple[RouteFigures, ...]


@dataclass(frozen=True, slots=True)
class _CallGroup:
    """Latencies of a call group: one call over each route, made back to back."""

    #: Latencies in seconds, in the order of :data:`ROUTES`.
    seconds: tuple[float, ...]


def run_latency(seed: int, seconds: float) -> LatencyReport:
    """Measure the latency that nodes add to a call.

    :param seed: seed of the pauses.
    :param seconds: length of the measurement at each number of connections.
    :return: latency of each route at each number of connections.
    :raises ProcessFailed: a process did not become ready, or a service is not served.
    """
    load_before = os.getloadavg()[0]
    figures: list[RouteFigures] = []
    n_failed = 0
    with ProcessGroup() as group:
        mesh = start_mesh(_layout(seed), group)
        try:
            if not mesh.wait_until_serving():
                raise ProcessFailed("not every node serves every service")
            for n_connections, pause_s in LEVELS:
                level = _LoadLevel(mesh, n_connections, pause_s, seconds, seed)
                figures += level.run()
                n_failed += level.n_failed
        finally:
            mesh.close()
    return LatencyReport(
        seed=seed,
        seconds=seconds,
        n_cores=os.cpu_count() or 0,
        load_before=load_before,
        n_failed=n_failed,
        routes=tuple(figures),
    )


def latency_text(report: LatencyReport) -> str:
    """Format a report as a text table."""
    lines = [
        f"latency, seed {report.seed}, {report.n_cores} cores, load before "
        f"{report.load_before:.1f}, {report.n_failed} call groups failed, ms",
        f"{'connections':>12} {'route':10}{'n':>7}{'p50':>8}{'p99':>8}"
        f"{'+p50':>8}{'+p99':>8}{'p99-p99':>9}",
    ]
    for route in report.routes:
        lines.append(
            f"{route.n_connections:12} {route.route:10}{route.n:7}"
            f"{route.p50_ms:8.2f}{route.p99_ms:8.2f}{route.added_p50_ms:8.2f}"
            f"{route.added_p99_ms:8.2f}{route.p99_difference_ms:9.2f}"
        )
    return "\n".join(lines)


def _layout(seed: int) -> MeshLayout:
    services = (
        ServiceLayout("echo", 1, 128, 512, 0.0),
        ServiceLayout("other", 1, 8, 64, 0.0),
    )
    objects = (
        DeclaredObject("plain", RequestClass(50, True, 5_000, 0)),
        DeclaredObject("echo", Service("plain")),
        DeclaredObject("other", Service("plain")),
    )
    return MeshLayout("latency", ("here",), services, objects, n_workers=128, seed=seed)


class _LoadLevel:
    """The measurement at one number of connections."""

    def __init__(
        self, mesh: Mesh, n_connections: int, pause_s: float, seconds: float, seed: int
    ) -> None:
        echo = mesh.vms_of("echo")[0]
        other = mesh.vms_of("other")[0]
        self._targets = (
            (echo.upstream_address, "/echo/x"),
            (echo.call_address, "/echo/x"),
            (other.call_address, "/echo/x"),
        )
        self._n_connections = n_connections
        self._pause_s = pause_s
        self._seconds = seconds
        self._seed = seed
        self._groups: list[_CallGroup] = []
        self._n_failed = 0

    @property
    def n_failed(self) -> int:
        """Number of call groups in which a call failed."""
        return self._n_failed

    def run(self) -> list[RouteFigures]:
        """Measure with the garbage collector disabled, and return figures by route."""
        gc.collect()
        gc.freeze()
        gc.disable()
        threads = [
            threading.Thread(target=self._call_until_end, args=(connection_index,))
            for connection_index in range(self._n_connections)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        gc.enable()
        return [self._figures(index) for index in range(len(ROUTES))]

    def _call_until_end(self, connection_index: int) -> None:
        rng = random.Random(self._seed * 1_000 + connection_index)
        connections = [_connect(address) for address, _ in self._targets]
        started_at = time.monotonic()
        first_route = connection_index
        while (elapsed_s := time.monotonic() - started_at) < WARM_UP_S + self._seconds:
            time.sleep(self._pause_s * rng.uniform(0.5, 1.5))
            first_route += 1
            try:
                group = self._call_each_route(connections, first_route)
            except OSError:
                self._n_failed += 1
                connections = [_connect(address) for address, _ in self._targets]
                continue
            if group is None:
                self._n_failed += 1
            elif elapsed_s >= WARM_UP_S:
                self._groups.append(group)
        for connection in connections:
            connection.close()

    def _call_each_route(
        self, connections: list[HTTPConnection], first_route: int
    ) -> _CallGroup | None:
        seconds = [0.0] * len(ROUTES)
        for offset in range(len(ROUTES)):
            index = (first_route + offset) % len(ROUTES)
            started_at = time.perf_counter()
            status = _get_status(connections[index], self._targets[index][1])
            seconds[index] = time.perf_counter() - started_at
            if status != 200:
                return None
        return _CallGroup(tuple(seconds))

    def _figures(self, index: int) -> RouteFigures:
        route_histogram = _histogram(group.seconds[index] for group in self._groups)
        direct_histogram = _histogram(group.seconds[0] for group in self._groups)
        added_ms = sorted(
            (group.seconds[index] - group.seconds[0]) * 1_000 for group in self._groups
        )
        p99_ms = route_histogram.get_value_at_percentile(99) / 1_000
        return RouteFigures(
            n_connections=self._n_connections,
            route=ROUTES[index],
            n=len(self._groups),
            p50_ms=route_histogram.get_value_at_percentile(50) / 1_000,
            p99_ms=p99_ms,
            added_p50_ms=_quantile(added_ms, 0.5),
            added_p99_ms=_quantile(added_ms, 0.99),
            p99_difference_ms=p99_ms
            - direct_histogram.get_value_at_percentile(99) / 1_000,
        )


def _connect(address: str) -> HTTPConnection:
    host, _, port = address.rpartition(":")
    connection = HTTPConnection(host, int(port), timeout=TIMEOUT_S)
    connection.socket_options = [(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)]
    return connection


def _get_status(connection: HTTPConnection, path: str) -> int:
    connection.request("GET", path, preload_content=False)
    response = connection.getresponse()
    response.read()
    return response.status


def _histogram(seconds: Iterable[float]) -> HdrHistogram:
    histogram = HdrHistogram(1, HISTOGRAM_MAX_US, 3)
    for value in seconds:
        histogram.record_value(max(1, int(value * US_PER_S)))
    return histogram


def _quantile(sorted_values: list[float], quantile: float) -> float:
    """Return a quantile of sorted values, which may be negative.

    Used instead of a histogram, which cannot hold negative values.
    """
    if not sorted_values:
        return 0.0
    return sorted_values[
        min(len(sorted_values) - 1, int(quantile * len(sorted_values)))
    ]
